//! Whether the flow of a packet is over.

use std::time::Instant;

use valvestage_core::ids::InstanceId;

use super::caller_packet::{CallerPacket, ResetReason};
use super::steering_policy::SteeringPolicy;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::lapse::LapseJudge;
use crate::steering::knowledge::zone_contacts::ZoneReach;

impl SteeringPolicy {
    /// Why the flow of a packet is over; none if it is not.
    ///
    /// Where nobody can tell whether its backend server lives, the answer to one more packet shows that it does, and the next copy
    /// of the packet that it does not. That is so where an entry lapsed in a cut, and for a backend server of another zone that
    /// seems dead: the zone may have been cut off until a moment ago. A reset would end flows that go on through balancers at the
    /// other side of the cut.
    pub(super) fn over_because(
        &mut self,
        knowledge: &Knowledge,
        packet: &CallerPacket,
        instance: InstanceId,
        now: Instant,
    ) -> Option<ResetReason> {
        let zone = &knowledge.directory.get(instance)?.zone;
        let health = self.backends.health();
        let judge = LapseJudge { own_zone: &self.options.zone, knowledge, health, now };
        let reach = judge.reach(zone);
        let not_before = match reach {
            ZoneReach::Since(joined_at) => Some(joined_at),
            ZoneReach::Unknown | ZoneReach::Silent => None,
        };

        if judge.has_ended(instance) {
            return Some(ResetReason::BackendGone);
        }
        if judge.lapsed_in_doubt(instance) {
            let is_missed = self.flows.misses_probe(packet, not_before, now);
            return is_missed.then_some(ResetReason::BackendGone);
        }
        if !health.is_given_up(instance, now) {
            return None;
        }
        let is_away = *zone != self.options.zone;
        if is_away && !self.flows.misses_probe(packet, not_before, now) {
            return None;
        }
        // Flows that rest here may go on elsewhere while their zone is cut off.
        if !(is_away && reach == ZoneReach::Silent) {
            self.ender.on_given_up(instance);
        }
        Some(ResetReason::BackendSilent)
    }
}
