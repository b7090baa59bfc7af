//! The parts of steering together.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::{InstanceId, ZoneName};

use super::caller_packet::{CallerPacket, DropReason, PacketVerdict};
use super::flow_backend::{instance_of, present_birth};
use super::flow_ender::{EndedFlow, FlowEnder};
use super::flow_record::{FlowRecord, FlowSign};
use super::flow_reset::FlowReset;
use super::flow_tracker::FlowTracker;
use super::packet_verdicts::{forward, refuse_route};
use super::wanted_tokens::WantedTokens;
use crate::steering::decision::{AnswerTime, Decision, DroppedPacket};
use crate::steering::health::backend_observer::BackendObserver;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::lapse::LapseJudge;
use crate::steering::peers::peer_message::{BalancerReport, HealthReport, ServiceDemand};
use crate::steering::peers::peer_table::FORGET_AFTER;
use crate::steering::peers::zone_members::ZoneMembers;
use crate::steering::placement::cold_shares::ColdShares;
use crate::steering::placement::fleet_demand::FleetDemand;
use crate::steering::placement::steering_options::SteeringOptions;

/// `SteeringPolicy` decides where each packet of a caller goes.
#[derive(Debug)]
pub struct SteeringPolicy {
    pub(super) options: SteeringOptions,
    pub(super) flows: FlowTracker,
    pub(super) backends: BackendObserver,
    pub(super) demand: FleetDemand,
    pub(super) cold: ColdShares,
    pub(super) ender: FlowEnder,
    wanted: WantedTokens,
    /// What was decided since they were last taken.
    pub(super) decisions: Vec<Decision>,
    /// Callers to be told unasked, since they were last taken.
    resets: Vec<FlowReset>,
}

impl SteeringPolicy {
    /// `new` knows nothing yet. The seed is for what is drawn.
    #[must_use]
    pub fn new(options: SteeringOptions, seed: u64) -> Self {
        Self {
            options,
            flows: FlowTracker::default(),
            backends: BackendObserver::new(seed),
            demand: FleetDemand::default(),
            cold: ColdShares::default(),
            ender: FlowEnder::default(),
            wanted: WantedTokens::default(),
            decisions: Vec::new(),
            resets: Vec::new(),
        }
    }

    /// `take_decisions` gives what was decided since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.decisions);

        decisions.extend(self.backends.take_decisions());
        decisions.extend(self.demand.take_decisions());
        decisions
    }

    /// `take_answers` gives the answers seen since the last call.
    pub fn take_answers(&mut self) -> Vec<AnswerTime> {
        self.backends.take_answers()
    }

    /// `take_resets` gives the callers to be told since the last call that their flows are over, besides
    /// those whose packets get that verdict.
    pub fn take_resets(&mut self) -> Vec<FlowReset> {
        std::mem::take(&mut self.resets)
    }

    /// `flow_count` gives the number of flows that are remembered.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// `on_tick` forgets what is too old; to be called about once a second.
    pub fn on_tick(&mut self, knowledge: &mut Knowledge, now: Instant) {
        let idle_timeout = Duration::from_millis(knowledge.routes.idle_timeout_ms);

        self.flows.expire(now, idle_timeout);
        if let Some(before) = now.checked_sub(self.options.remember_gone) {
            knowledge.directory.forget_gone(before);
        }
        self.backends.forget(knowledge, now);
        if let Some(before) = now.checked_sub(FORGET_AFTER) {
            self.demand.forget(before);
        }
        self.ender.forget(now);
    }

    /// `look_at_demand` takes in what is under way, with so many other balancers known; to be called several times a second.
    pub fn look_at_demand(&mut self, knowledge: &Knowledge, peer_count: usize, now: Instant) {
        let health = self.backends.health();

        self.demand.on_tick(&self.options, knowledge, &self.flows, health, peer_count, now);
    }

    /// Returns whether requests to cold backend servers are limited, so that members of the zone have to be known.
    #[must_use]
    pub fn limits_cold(&self) -> bool {
        self.options.cold_limit.is_some()
    }

    /// `look_at_members` takes in who else is in this availability zone; to be called several times a second.
    pub fn look_at_members(&mut self, knowledge: &Knowledge, members: &ZoneMembers, now: Instant) {
        let SteeringOptions { cold_limit, zone, .. } = &self.options;

        self.cold.renew(*cold_limit, knowledge, (zone, members), now);
    }

    /// `look_at_wanted` takes in which backend servers are known by now; to be called several times a second.
    pub fn look_at_wanted(&mut self, knowledge: &Knowledge, now: Instant) {
        self.wanted.forget(&knowledge.directory, now);
    }

    /// `on_peer_demand` takes in what the callers of another balancer ask for.
    pub fn on_peer_demand(
        &mut self,
        peer: SocketAddrV4,
        zone: &ZoneName,
        demands: &[ServiceDemand],
        now: Instant,
    ) {
        self.demand.on_told(peer, zone, demands, now);
    }

    /// `demand` gives what callers ask for.
    #[must_use]
    pub fn demand(&self) -> &FleetDemand {
        &self.demand
    }

    /// `end_flows` tells callers that their backend servers have ended; to be called ten times a second.
    pub fn end_flows(&mut self, knowledge: &mut Knowledge, now: Instant) {
        self.ender.on_gone(knowledge.directory.take_newly_gone());
        let judge = LapseJudge {
            own_zone: &self.options.zone,
            knowledge,
            health: self.backends.health(),
            now,
        };

        for EndedFlow { reset, instance, reason } in self.ender.round(&mut self.flows, &judge) {
            let flow = reset.flow;
            self.resets.push(reset);
            self.decisions.push(Decision::Reset { flow, reason, instance: Some(instance) });
        }
    }

    /// `judge_overdue` looks at requests that should have had their answer; to be called several times
    /// a second.
    pub fn judge_overdue(&mut self, knowledge: &Knowledge, now: Instant) {
        self.backends.judge_overdue(knowledge, &mut self.flows, now);
    }

    /// `on_standstill` takes in that the process stood still until now: when packets that came meanwhile
    /// were sent is not known.
    pub fn on_standstill(&mut self, now: Instant) {
        self.backends.on_standstill(now);
    }

    /// `on_pause` takes in that it did so for long: packets that answer what was under way may
    /// have been lost, so nothing is held against a backend server.
    pub fn on_pause(&mut self) {
        self.backends.on_pause();
        self.flows.forget_requests();
    }

    /// `on_peer_health` takes in what another balancer has seen of backend servers.
    pub fn on_peer_health(&mut self, peer: SocketAddrV4, report: &HealthReport, now: Instant) {
        self.backends.on_report(peer, report, now);
    }

    /// `report` gives what other balancers are to know of what is seen here.
    #[must_use]
    pub fn report(&self, now: Instant) -> BalancerReport {
        BalancerReport {
            health: self.backends.report(now),
            demands: self.demand.reports(),
            wanted: self.wanted.list(),
        }
    }

    /// `avoided_count` gives the number of backend servers that are avoided.
    #[must_use]
    pub fn avoided_count(&self, now: Instant) -> usize {
        self.backends.outliers().avoided_count(now)
    }

    /// `suspects` gives the backend servers that seem dead from here.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<InstanceId> {
        self.backends.health().suspects(now)
    }

    /// `on_packet` decides about a packet.
    pub fn on_packet(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        now: Instant,
    ) -> PacketVerdict {
        if !knowledge.is_complete() {
            return PacketVerdict::Drop(DropReason::NotReady);
        }

        let verdict = if packet.opening {
            self.on_opening(knowledge, packet, now)
        } else {
            self.on_further(knowledge, packet, now)
        };
        self.note(knowledge, packet, verdict, now);
        verdict
    }

    /// Keeps what a caller may complain about.
    fn note(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        verdict: PacketVerdict,
        now: Instant,
    ) {
        let flow = packet.flow;

        match verdict {
            PacketVerdict::Forward { .. } => {}
            PacketVerdict::Reset(reason) => {
                let instance = self.flows.get(&flow).map(|record| record.instance);
                self.decisions.push(Decision::Reset { flow, reason, instance });
                self.flows.remove(&flow);
            }
            PacketVerdict::Drop(reason) => {
                let dropped = self.dropped(knowledge, packet, reason, now);
                let is_held = reason.may_pass();
                if reason == DropReason::UnknownToken {
                    self.wanted.want(packet.token, now);
                }
                self.decisions.push(if is_held {
                    Decision::Held(dropped)
                } else {
                    Decision::Dropped(dropped)
                });
            }
        }
    }

    fn dropped(
        &self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        reason: DropReason,
        now: Instant,
    ) -> DroppedPacket {
        DroppedPacket {
            flow: packet.flow,
            reason,
            token: packet.token,
            instance: self.flows.get(&packet.flow).map(|record| record.instance),
            known_until: knowledge.directory.complete_until(),
            age: knowledge.age(now),
        }
    }

    /// `can_decide` tells whether enough is known to decide about a packet.
    #[must_use]
    pub fn can_decide(&self, knowledge: &Knowledge, packet: &CallerPacket) -> bool {
        let has_backend = || {
            let instance = instance_of(&self.flows, knowledge, packet);
            instance.is_some_and(|instance| knowledge.directory.get(instance).is_some())
        };

        knowledge.is_complete() && (packet.opening || has_backend())
    }

    /// `on_held_too_long` takes in that a packet waited in vain until enough is known.
    pub fn on_held_too_long(&mut self, knowledge: &Knowledge, packet: &CallerPacket, now: Instant) {
        let is_ready = knowledge.is_complete();
        let reason = if is_ready { DropReason::UnknownToken } else { DropReason::NotReady };
        let dropped = self.dropped(knowledge, packet, reason, now);

        self.decisions.push(Decision::Dropped(dropped));
    }

    /// A packet of a flow that a backend server has answered.
    ///
    /// Its token alone says where the flow is, not the service to which its address leads now: open
    /// flows stay where they are under a new configuration, and a balancer that has just started knows
    /// no former one. Comparing the two lost 0.018 of the requests of a day in which all balancers were
    /// restarted after a change of routes. A token that the caller did not get on this flow does no harm:
    /// the packet names one incarnation, which refuses flows that it does not hold.
    fn on_further(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        now: Instant,
    ) -> PacketVerdict {
        if !knowledge.routes.routes.contains_key(&packet.flow.service) {
            return refuse_route(knowledge, now);
        }
        let Some(instance) = instance_of(&self.flows, knowledge, packet) else {
            return PacketVerdict::Drop(DropReason::UnknownToken);
        };
        let instance = present_birth(knowledge, packet, instance);
        if knowledge.directory.get(instance).is_none() {
            return PacketVerdict::Drop(DropReason::UnknownToken);
        }

        self.observe(knowledge, instance, packet, now);
        if packet.reset {
            self.flows.remove(&packet.flow);
            return forward(knowledge, instance);
        }
        let Some(reason) = self.over_because(knowledge, packet, instance, now) else {
            return forward(knowledge, instance);
        };
        if self.ender.is_told(&packet.flow, now) {
            return PacketVerdict::Drop(DropReason::AlreadyTold);
        }
        self.ender.on_told(packet.flow, now);
        PacketVerdict::Reset(reason)
    }

    fn observe(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        packet: &CallerPacket,
        now: Instant,
    ) {
        let known = self.flows.get(&packet.flow).is_some_and(|flow| flow.instance == instance);

        if known {
            self.observe_known(knowledge, instance, packet, now);
        } else if self.flows.len() < self.options.max_flows {
            let record = FlowRecord::taken_over(instance, packet, now);
            self.flows.insert(packet.flow, record);
        }
    }

    /// Takes in what a packet of a remembered flow shows about its backend server.
    pub(super) fn observe_known(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        packet: &CallerPacket,
        now: Instant,
    ) -> FlowSign {
        let flow = packet.flow;
        let observation = self.flows.observe(packet, now);
        // The first request of a flow came with its opening packet; each further one is work, too.
        if observation.began.is_some()
            && self.flows.get(&flow).is_some_and(|flow| flow.has_opened_before(now))
        {
            self.count_cold(knowledge, instance, now);
        }

        self.backends.observe(knowledge, instance, flow, observation, now);
        observation.sign
    }
}
