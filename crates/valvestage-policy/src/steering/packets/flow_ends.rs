//! Decides whether the flow of a packet has ended.

use std::time::Instant;

use valvestage_core::ids::InstanceId;

use super::caller_packet::{CallerPacket, ResetReason};
use super::steering_policy::SteeringPolicy;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::lapse::LapseDetector;
use crate::steering::knowledge::zone_contacts::ZoneReach;

impl SteeringPolicy {
    /// Returns why the flow of a packet has ended, or `None` if it has not.
    ///
    /// Where no balancer can tell whether the backend server is alive, the packet is forwarded as a
    /// probe: an answer to it shows that the backend server is alive, and a retransmission of it
    /// that the backend server is not. That is so if the entry lapsed during a network partition,
    /// and for a suspected backend server in another zone, which may have been cut off until a
    /// moment ago. A reset would end flows that go on through balancers on the other side of the
    /// partition. A probe to another zone counts only if balancers of that zone are heard.
    pub(super) fn flow_end_reason(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        instance: InstanceId,
        now: Instant,
    ) -> Option<ResetReason> {
        let zone = &knowledge.directory.get(instance)?.zone;
        let health = self.backends.health();
        let detector = LapseDetector { own_zone: &self.options.zone, knowledge, health, now };
        let reach = detector.reach(zone);
        let is_away = *zone != self.options.zone;
        let not_before = match reach {
            ZoneReach::Since(joined_at) => Some(joined_at),
            // A network partition may have ended after the last packet was lost in it.
            ZoneReach::Silent if is_away => Some(now),
            ZoneReach::Unknown | ZoneReach::Silent => None,
        };

        if detector.has_ended(instance) {
            return Some(ResetReason::BackendGone);
        }
        if detector.has_inconclusive_lapse(instance) {
            let has_failed = self.flows.has_failed_probe(packet, not_before, now);
            return has_failed.then_some(ResetReason::BackendGone);
        }
        let counts_openings = counts_openings(knowledge, instance);
        if !health.is_in_doubt(instance, counts_openings, now) {
            return None;
        }
        let is_considered_dead = health.is_considered_dead(instance, counts_openings, now);
        if is_away && !self.flows.has_failed_probe(packet, not_before, now) || !is_considered_dead {
            return None;
        }
        self.reset_scheduler.on_considered_dead(instance);
        Some(ResetReason::BackendSilent)
    }

    /// Queues resets for the flows of the backend servers that have come to be considered dead. A
    /// backend server of another zone may have been cut off, so its flows end only after a probe.
    ///
    /// To be called several times a second, after the messages that have arrived were read: a
    /// refutation may be among them.
    pub fn end_silent_flows(&mut self, knowledge: &Knowledge, now: Instant) {
        for instance in self.backends.take_dead(knowledge, now) {
            let entry = knowledge.directory.get(instance);
            if entry.is_none_or(|entry| entry.zone != self.options.zone) {
                continue;
            }
            let waiting = self.backends.health().waiting_flows(instance);
            self.reset_scheduler.on_considered_dead(instance);
            self.reset_scheduler.on_unanswered(instance, waiting);
        }
    }
}

/// Reports whether silence on opening packets alone may end the open flows of a backend server: its
/// entry is missing or gone. A full backend server is silent to new flows, and renews its entry.
pub(in crate::steering) fn counts_openings(knowledge: &Knowledge, instance: InstanceId) -> bool {
    let entry = knowledge.directory.get(instance);

    entry.is_some_and(|entry| entry.missing_until.is_some() || entry.is_gone())
}
