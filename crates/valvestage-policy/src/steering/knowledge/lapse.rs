//! Entries that lapse while their backend servers are alive.
//!
//! An entry is removed from the store when its backend server has left, has died, or could not
//! reach the store to renew it. In the last case the entry returns, and the flows of the backend
//! server go on meanwhile.

use std::time::{Duration, Instant};

use valvestage_core::ids::{InstanceId, ZoneName};

use super::Knowledge;
use super::backend_entry::{BackendEnd, BackendEntry, BackendPhase};
use super::zone_contacts::ZoneReach;
use crate::steering::health::backend_health::BackendHealth;
use crate::steering::packets::flow_tracker::EndedBackend;

/// Time within which lapsed entries return: about 2 s after a backend server could not reach the
/// store, and up to 0.3 s more until the confirmation. An entry that is missing after that is gone.
pub(in crate::steering) const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// Distinguishes lapsed entries from ended backend servers, by what is known at one moment.
pub(in crate::steering) struct LapseDetector<'a> {
    /// Availability zone of this balancer.
    pub own_zone: &'a ZoneName,
    /// The known entries, and the last confirmation by the store.
    pub knowledge: &'a Knowledge,
    /// Signs of life of backend servers.
    pub health: &'a BackendHealth,
    /// The moment for which the questions are answered.
    pub now: Instant,
}

impl LapseDetector<'_> {
    /// Reports whether the entry of a backend server is gone.
    pub(in crate::steering) fn is_gone(&self, instance: InstanceId) -> bool {
        self.knowledge.directory.get(instance).is_some_and(BackendEntry::is_gone)
    }

    /// Reports whether a backend server has ended, so that its flows can be ended. A backend server
    /// whose entry is gone has not ended as long as the entry may return and the backend server
    /// either showed life shortly before or shared a network partition with this balancer.
    ///
    /// The time to return does not run while the store is unavailable, since no entry can return
    /// then. After a partition this keeps the flows in the zone that was cut off until its entries
    /// are back.
    pub(in crate::steering) fn has_ended(&self, instance: InstanceId) -> bool {
        let entry = self.knowledge.directory.get(instance);

        entry.is_some_and(|entry| match entry.phase {
            BackendPhase::Gone { since, end: BackendEnd::Lapsed } => {
                let may_be_alive = self.may_return(since) && self.may_be_alive(entry, since);
                !may_be_alive && !self.is_inconclusive(entry, since)
            }
            // A balancer that started after the lapse has not seen any signs of life itself.
            BackendPhase::Gone { since, end: BackendEnd::LapsedUnseen } => {
                !self.may_return(since) && !self.is_inconclusive(entry, since)
            }
            BackendPhase::Gone { .. } => true,
            BackendPhase::Ready | BackendPhase::Draining | BackendPhase::Unusable => false,
        })
    }

    /// Reports whether the entry of a backend server has lapsed and nothing can be concluded from
    /// that, so that each flow is to be judged by its own packets.
    pub(in crate::steering) fn has_inconclusive_lapse(&self, instance: InstanceId) -> bool {
        let entry = self.knowledge.directory.get(instance);

        entry.is_some_and(|entry| match entry.phase {
            BackendPhase::Gone { since, end: BackendEnd::Lapsed } => {
                self.is_inconclusive(entry, since) || self.is_unseen_lapse(entry, since)
            }
            BackendPhase::Gone { since, end: BackendEnd::LapsedUnseen } => {
                self.is_inconclusive(entry, since)
            }
            _ => false,
        })
    }

    /// Reports whether a backend server may be alive although its entry has lapsed, only because
    /// nothing speaks for or against it.
    fn is_unseen_lapse(&self, entry: &BackendEntry, lapsed_at: Instant) -> bool {
        self.may_return(lapsed_at)
            && !self.shared_partition(entry, lapsed_at)
            && self.is_undetermined(entry, self.silent_since(lapsed_at))
    }

    /// Reports whether nothing can be concluded from the lapse of an entry, however long ago it
    /// was. The backend server may go on serving callers through other balancers, including callers
    /// of flows that this balancer served before.
    fn is_inconclusive(&self, entry: &BackendEntry, lapsed_at: Instant) -> bool {
        self.health.has_answered_after(entry.instance, lapsed_at)
            || self.knowledge.is_behind(self.now)
            || self.may_have_lapsed_in_partition(entry, lapsed_at)
    }

    /// Reports whether the zone of a backend server, or the zone of this balancer, was cut off by a
    /// network partition when the entry lapsed, and the entry has not had the time to return since.
    /// That time begins when balancers on the other side of the partition are heard from again.
    fn may_have_lapsed_in_partition(&self, entry: &BackendEntry, lapsed_at: Instant) -> bool {
        match self.reach(&entry.zone) {
            ZoneReach::Unknown => false,
            ZoneReach::Silent => true,
            ZoneReach::Since(heard_since) => {
                let was_partitioned = heard_since > self.silent_since(lapsed_at);
                was_partitioned && !self.knowledge.has_confirmed_for(RETURN_TIME, heard_since)
            }
        }
    }

    /// Returns whether the other side of a partition of a zone can be reached: that zone itself, or
    /// any other zone if it is the zone of this balancer.
    pub(in crate::steering) fn reach(&self, zone: &ZoneName) -> ZoneReach {
        let contacts = &self.knowledge.contacts;

        if zone == self.own_zone {
            contacts.reach_of_others(self.now)
        } else {
            contacts.reach(zone, self.now)
        }
    }

    /// Returns which flows of an ended incarnation to end. If a successor has started at its
    /// address under its name, the most recent flows may already be at the successor.
    pub(in crate::steering) fn flows_to_end(&self, instance: InstanceId) -> EndedBackend {
        let directory = &self.knowledge.directory;
        let since = match directory.get(instance).map(|entry| entry.phase) {
            Some(BackendPhase::Gone { since, .. }) => since,
            _ => self.now,
        };
        let has_successor = directory.successor(instance).is_some();
        let updates_missing_since = self.knowledge.updates_missing_since(since);
        let known_within = self.knowledge.entry_times().start_known_within();
        let seen_before =
            has_successor.then(|| updates_missing_since.checked_sub(known_within)).flatten();

        EndedBackend { instance, seen_before }
    }

    /// Reports whether an entry that lapsed at a time may return.
    fn may_return(&self, lapsed_at: Instant) -> bool {
        let is_recent = self.now.saturating_duration_since(lapsed_at) < RETURN_TIME;

        is_recent || !self.knowledge.is_settled(self.now)
    }

    /// Reports whether a backend server may be alive although its entry has lapsed.
    fn may_be_alive(&self, entry: &BackendEntry, lapsed_at: Instant) -> bool {
        let alive_from = self.silent_since(lapsed_at);
        let was_alive = self.health.has_answered_since(entry.instance, alive_from);
        let shared_partition = self.shared_partition(entry, lapsed_at);

        was_alive || shared_partition || self.is_undetermined(entry, alive_from)
    }

    /// Reports whether a backend server was cut off from the store together with this balancer when
    /// its entry lapsed.
    fn shared_partition(&self, entry: &BackendEntry, lapsed_at: Instant) -> bool {
        entry.zone == *self.own_zone && self.knowledge.was_disconnected_from_store(lapsed_at)
    }

    /// Returns since when a backend server whose entry lapsed at a time has been silent, if it is
    /// dead.
    fn silent_since(&self, lapsed_at: Instant) -> Instant {
        let silence = self.knowledge.entry_times().shortest_lapse();

        lapsed_at.checked_sub(silence).unwrap_or(lapsed_at)
    }

    /// Reports whether nothing speaks for or against the life of a backend server: no sign of life
    /// was seen, and either its entry cannot return now because the store is unavailable, or this
    /// balancer started too late to see whether the backend server was silent before the lapse. The
    /// first packet of a flow that has just moved here from another balancer is forwarded. If the
    /// backend server is dead, the caller's first retransmission shows it 200 ms later, but only for
    /// that flow: the answer may have been lost on a link of the caller. The retransmissions of
    /// several callers speak against the backend server.
    fn is_undetermined(&self, entry: &BackendEntry, alive_from: Instant) -> bool {
        let is_unseen = !self.health.has_signal_since(entry.instance, alive_from);
        let knowledge = self.knowledge;

        is_unseen
            && !(knowledge.is_settled(self.now) && knowledge.has_seen_packets_since(alive_from))
    }
}
