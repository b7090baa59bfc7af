//! The mutations of the series with resting flows.

use valvestage_core::ids::InstanceId;
use valvestage_policy::steering::peers::peer_message::SuspicionRefutation;
use valvestage_policy::steering::{CallerPacket, PacketVerdict, PeerMessage, ResetReason};

use super::{HOP_MS, World};
use crate::callers::{CallerFlow, FIRST_RESEND_DELAY, FlowState};
use crate::events::{BalancerNumber, Event, FlowNumber, Millis};
use crate::mutation::{Mutation, RESTED};

/// How long a balancer counts as one that has just joined.
const JUST_JOINED: Millis = 2_000;

impl World {
    /// Applies mutations of what a balancer does by itself.
    pub(super) fn mutate_wake(&mut self, balancer: BalancerNumber) {
        if self.mutation == Some(Mutation::ResetRestedFlows) {
            let has_rested = |flow: &CallerFlow| {
                flow.last_balancer == Some(balancer) && flow.last_answer_at + RESTED < self.now
            };
            self.reset_flows(balancer, self.open_flows_where(has_rested));
        }
    }

    /// Returns the verdict on a packet of an open flow as it is under the mutation.
    pub(super) fn mutate_open_verdict(
        &self,
        verdict: PacketVerdict,
        balancer: BalancerNumber,
        number: FlowNumber,
    ) -> PacketVerdict {
        let flow = &self.flows[number];
        let node = &self.balancers[balancer];
        let is_selected = match self.mutation {
            Some(Mutation::ResetOnNewRoutes) => {
                !self.plan.is_founder(balancer)
                    && node.disturbed_at + JUST_JOINED > self.now
                    && self.added_addresses.contains(&flow.addresses.service)
            }
            Some(Mutation::ResetLatePackets) => node.paused_until == self.now,
            Some(Mutation::ResetReturningFlows) => {
                flow.last_answer_at > 0 && flow.last_answer_at + RESTED < self.now
            }
            _ => false,
        };

        if is_selected { PacketVerdict::Reset(ResetReason::BackendGone) } else { verdict }
    }

    /// Reports whether the mutation keeps a message from a balancer that has joined.
    pub(super) fn misses_message(&self, balancer: BalancerNumber, message: &PeerMessage) -> bool {
        self.has_joined_without_news(balancer) && matches!(message, PeerMessage::RoutesIndex(_))
    }

    /// Reports whether a balancer hears of no further configurations, because it has joined.
    pub(super) fn has_joined_without_news(&self, balancer: BalancerNumber) -> bool {
        self.mutation == Some(Mutation::MissRoutesOnceJoined) && !self.plan.is_founder(balancer)
    }

    /// Applies mutations of a message that is lost on its way.
    pub(super) fn mutate_lost_message(
        &mut self,
        from: BalancerNumber,
        to: BalancerNumber,
        message: &PeerMessage,
    ) {
        let PeerMessage::SuspicionQuery(query) = message else { return };

        if self.mutation == Some(Mutation::AcknowledgeLostQueries) {
            let acknowledged = Some(query.number);
            let answer = SuspicionRefutation { acknowledged, ..Default::default() };
            self.queue
                .add(self.now + HOP_MS, Event::Message(to, from, PeerMessage::Refutation(answer)));
        }
    }

    /// Applies mutations of what a balancer does about a caller's packet.
    pub(super) fn mutate_packet(
        &mut self,
        balancer: BalancerNumber,
        number: FlowNumber,
        packet: &CallerPacket,
    ) {
        let FlowState::Open(instance) = self.flows[number].state else { return };

        if self.mutation == Some(Mutation::BlameBackend)
            && self.link_lost_until(number) > 0
            && self.is_retransmission(number, packet)
        {
            self.reset_flows(balancer, self.flows_of_others(number, instance));
        }
    }

    /// Reports whether a packet carries a request that was sent before.
    fn is_retransmission(&self, number: FlowNumber, packet: &CallerPacket) -> bool {
        let request = self.flows[number].request;

        packet.data_length > 0
            && request.is_some_and(|request| request.started_at + FIRST_RESEND_DELAY <= self.now)
    }

    /// Returns the open flows of other callers at the backend server of a flow.
    fn flows_of_others(&self, number: FlowNumber, instance: InstanceId) -> Vec<FlowNumber> {
        let caller = self.flows[number].caller;

        self.open_flows_where(|flow| {
            flow.state == FlowState::Open(instance) && flow.caller != caller
        })
    }

    fn open_flows_where(&self, is_selected: impl Fn(&CallerFlow) -> bool) -> Vec<FlowNumber> {
        let is_open = |flow: &CallerFlow| matches!(flow.state, FlowState::Open(_));
        let flows = self.flows.iter().enumerate();

        flows
            .filter(|(_, flow)| is_open(flow) && is_selected(flow))
            .map(|(number, _)| number)
            .collect()
    }

    fn reset_flows(&mut self, balancer: BalancerNumber, flows: Vec<FlowNumber>) {
        for number in flows {
            self.reset_flow(balancer, self.flows[number].addresses);
        }
    }
}
