//! Packets that ask to open a flow, and their retransmissions.

use std::time::Instant;

use valvestage_core::ids::InstanceId;

use super::caller_packet::{CallerPacket, DropReason, FlowAddresses, PacketVerdict, ResetReason};
use super::flow_record::{FlowRecord, LivenessSignal};
use super::packet_verdicts::{forward, hash_flow, no_route_verdict};
use super::steering_policy::SteeringPolicy;
use crate::steering::decision::Decision;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_entry::BackendPhase;
use crate::steering::placement::cold_shares::ColdShares;
use crate::steering::placement::flow_placer::{FlowPlacer, MAX_ANSWER_TIME};

impl SteeringPolicy {
    /// Decides about a packet that asks to open a flow.
    pub(super) fn on_opening(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        now: Instant,
    ) -> PacketVerdict {
        if let Some(verdict) = self.on_opening_retransmission(knowledge, packet, now) {
            return verdict;
        }

        let draw = hash_flow(&packet.flow);
        match knowledge.routes.target(packet.flow.service, draw) {
            Some(service) => {
                self.measure_opening(knowledge, packet.flow, service, now);
                if self.is_refused(knowledge, packet, service, now) {
                    return PacketVerdict::Reset(ResetReason::ServiceOverloaded);
                }
                self.place(knowledge, packet.flow, service, None, now)
            }
            // Another balancer, which knows a newer configuration, may have got the first copy, and
            // the flow may be open by now.
            None if packet.acknowledged > 0 => PacketVerdict::Drop(DropReason::NoRoute),
            None => no_route_verdict(knowledge, now),
        }
    }

    /// Reports whether admission control refuses an opening packet, and records why.
    ///
    /// A copy of an opening packet is refused only if this balancer has just refused the flow.
    /// Others were admitted here or elsewhere, and their flows may be open by now.
    fn is_refused(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        service: &str,
        now: Instant,
    ) -> bool {
        let Some(admission) = &mut self.admission else { return false };
        let flow = packet.flow;
        let is_admitted = self.flows.get(&flow).is_some_and(|record| !record.open);
        if is_admitted || packet.acknowledged > 0 {
            return admission.was_refused(&flow, now);
        }

        let refusal = admission.refusal(&knowledge.routes, flow, service, now);
        let is_refused = refusal.is_some();
        self.decisions.extend(refusal.map(Decision::Refused));
        is_refused
    }

    /// Decides about a retransmitted opening packet. It goes where the first one went, unless that
    /// backend server does not answer or takes no new flows any more. Returns `None` if the packet
    /// is to be handled like a first one.
    fn on_opening_retransmission(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        now: Instant,
    ) -> Option<PacketVerdict> {
        let record = self.flows.get(&packet.flow)?;
        if record.open && packet.acknowledged == 0 {
            // The caller reuses the port for a new flow.
            return None;
        }
        let instance = record.instance;
        let signal = self.observe_known(knowledge, instance, packet, now);

        let entry = knowledge.directory.get(instance)?;
        let takes_new = entry.phase == BackendPhase::Ready
            && knowledge.routes.leads_to(packet.flow.service, &entry.service);
        if !takes_new {
            return None;
        }
        if self.placer(knowledge, now).exclusion_reason(packet.flow, entry).is_some() {
            let verdict = self.place(knowledge, packet.flow, &entry.service, Some(instance), now);
            let is_refused = matches!(verdict, PacketVerdict::Reset(_));
            return Some(if is_refused {
                PacketVerdict::Drop(DropReason::NoOther)
            } else {
                verdict
            });
        }
        if !self.is_unanswered(instance, signal, now) {
            self.count_cold_request(knowledge, instance, now);
            return Some(forward(knowledge, instance));
        }
        Some(self.place(knowledge, packet.flow, &entry.service, Some(instance), now))
    }

    /// Reports whether an answer is overdue, and the backend server has answered no other caller
    /// meanwhile.
    fn is_unanswered(&self, instance: InstanceId, signal: LivenessSignal, now: Instant) -> bool {
        match signal {
            LivenessSignal::Unopened(since) => {
                now.saturating_duration_since(since) >= MAX_ANSWER_TIME
                    && !self.backends.health().has_answered_here_since(instance, since)
            }
            _ => false,
        }
    }

    fn placer<'a>(&'a self, knowledge: &'a Knowledge, now: Instant) -> FlowPlacer<'a> {
        FlowPlacer {
            options: &self.options,
            knowledge,
            flows: &self.flows,
            backends: &self.backends,
            demand: &self.demand,
            cold: &self.cold,
            now,
        }
    }

    /// Counts a request to a backend server, if the backend server is cold and its request rate
    /// limited.
    pub(super) fn count_cold_request(
        &mut self,
        knowledge: &Knowledge,
        instance: InstanceId,
        now: Instant,
    ) {
        let Some(entry) = knowledge.directory.get(instance) else { return };

        if ColdShares::allowed_rate(self.options.cold_limit, knowledge, entry, now).is_some() {
            self.cold.on_request(instance, now);
        }
    }

    /// Places a flow on a backend server; resets it at once if no backend server can take it.
    fn place(
        &mut self,
        knowledge: &Knowledge,
        flow: FlowAddresses,
        service: &str,
        instead_of: Option<InstanceId>,
        now: Instant,
    ) -> PacketVerdict {
        let placer = self.placer(knowledge, now);
        let placement = match placer.place(flow, service, instead_of, hash_flow(&flow)) {
            Ok(placement) => placement,
            Err(reason) => return PacketVerdict::Reset(reason),
        };

        let instance = placement.instance;
        self.count_cold_request(knowledge, instance, now);
        if self.flows.len() < self.options.max_flows {
            self.flows.insert(flow, FlowRecord::open_at(instance, now));
        }
        self.decisions.push(Decision::Placed(placement));
        forward(knowledge, instance)
    }
}
