//! Entries that lapse while their backend servers live.
//!
//! An entry goes when its backend server has left, has died, or has been kept from the store. In the last
//! case it returns, and the flows there go on meanwhile.

use std::time::{Duration, Instant};

use valvestage_core::ids::{InstanceId, ZoneName};

use super::Knowledge;
use super::backend_entry::{BackendEnd, BackendEntry, BackendPhase};
use super::zone_contacts::ZoneReach;
use crate::steering::health::backend_health::BackendHealth;
use crate::steering::packets::flow_tracker::EndedBackend;

/// Entries that lapsed while their backend servers could not reach the store return within about 2 s; one
/// that is missing after that is gone. Confirmations take up to 0.3 s more.
pub(in crate::steering) const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// `LapseJudge` tells lapses from ends, by what is known at one moment.
pub(in crate::steering) struct LapseJudge<'a> {
    /// Availability zone of this balancer.
    pub own_zone: &'a ZoneName,
    /// What is known of entries, and of the store's last confirmation.
    pub knowledge: &'a Knowledge,
    /// Signs of life.
    pub health: &'a BackendHealth,
    /// The moment.
    pub now: Instant,
}

impl LapseJudge<'_> {
    /// `is_gone` tells whether the entry of a backend server is gone.
    pub(in crate::steering) fn is_gone(&self, instance: InstanceId) -> bool {
        self.knowledge.directory.get(instance).is_some_and(BackendEntry::is_gone)
    }

    /// `has_ended` tells whether a backend server has ended, so that its flows can be. One whose entry is
    /// gone has not if it may return and either showed life shortly before, or shared a cut with this balancer.
    ///
    /// Its time does not run while the store is away, which it could not return to. After a cut this keeps the flows in the zone
    /// that was cut off until the entries are back.
    pub(in crate::steering) fn has_ended(&self, instance: InstanceId) -> bool {
        let entry = self.knowledge.directory.get(instance);

        entry.is_some_and(|entry| match entry.phase {
            BackendPhase::Gone { since, end: BackendEnd::Lapsed } => {
                let may_live = self.may_return(since) && self.may_live(entry, since);
                !may_live && !self.is_in_doubt(entry, since)
            }
            // One that started after the lapse has no signs of life of its own.
            BackendPhase::Gone { since, end: BackendEnd::LapsedUnseen } => {
                !self.may_return(since) && !self.is_in_doubt(entry, since)
            }
            BackendPhase::Gone { .. } => true,
            BackendPhase::Ready | BackendPhase::Draining | BackendPhase::Unusable => false,
        })
    }

    /// `lapsed_in_doubt` tells whether the entry of a backend server has lapsed and nothing can be concluded from that.
    pub(in crate::steering) fn lapsed_in_doubt(&self, instance: InstanceId) -> bool {
        let entry = self.knowledge.directory.get(instance);

        entry.is_some_and(|entry| match entry.phase {
            BackendPhase::Gone { since, .. } => {
                entry.has_lapsed() && self.is_in_doubt(entry, since)
            }
            _ => false,
        })
    }

    /// Whether nothing can be concluded from the lapse of an entry, however long ago it is. The backend server may go on serving
    /// callers through other balancers, also those of flows that this one has served before.
    fn is_in_doubt(&self, entry: &BackendEntry, lapsed_at: Instant) -> bool {
        self.health.shows_life_after(entry.instance, lapsed_at)
            || self.knowledge.is_behind(self.now)
            || self.may_have_lapsed_in_cut(entry, lapsed_at)
    }

    /// Whether the zone of a backend server, or this one, was cut off when its entry lapsed, and the entry has not had the time to
    /// return since: the time begins when balancers on the other side of the cut are heard again.
    fn may_have_lapsed_in_cut(&self, entry: &BackendEntry, lapsed_at: Instant) -> bool {
        match self.reach(&entry.zone) {
            ZoneReach::Unknown => false,
            ZoneReach::Silent => true,
            ZoneReach::Since(joined_at) => {
                let was_cut = joined_at > self.silent_from(lapsed_at);
                was_cut && !self.knowledge.has_confirmed_for(RETURN_TIME, joined_at)
            }
        }
    }

    /// `reach` tells whether the other side of a cut of a zone can be reached: that zone, or from this one any other.
    pub(in crate::steering) fn reach(&self, zone: &ZoneName) -> ZoneReach {
        let contacts = &self.knowledge.contacts;

        if zone == self.own_zone {
            contacts.reach_of_others(self.now)
        } else {
            contacts.reach(zone, self.now)
        }
    }

    /// `ended` gives the flows of an incarnation that has ended. Where another one has started at its address under its name,
    /// flows of the last moments may be there already.
    pub(in crate::steering) fn ended(&self, instance: InstanceId) -> EndedBackend {
        let directory = &self.knowledge.directory;
        let since = match directory.get(instance).map(|entry| entry.phase) {
            Some(BackendPhase::Gone { since, .. }) => since,
            _ => self.now,
        };
        let has_heir = directory.heir(instance).is_some();
        let heard_before = self.knowledge.heard_before(since);
        let known_within = self.knowledge.entry_times().birth_known_within();
        let seen_before = has_heir.then(|| heard_before.checked_sub(known_within)).flatten();

        EndedBackend { instance, seen_before }
    }

    /// Whether an entry may return that lapsed at a time.
    fn may_return(&self, lapsed_at: Instant) -> bool {
        let is_recent = self.now.saturating_duration_since(lapsed_at) < RETURN_TIME;

        is_recent || !self.knowledge.is_settled(self.now)
    }

    /// Whether a backend server may live although its entry has lapsed.
    fn may_live(&self, entry: &BackendEntry, lapsed_at: Instant) -> bool {
        let alive_from = self.silent_from(lapsed_at);
        let was_alive = self.health.shows_life_since(entry.instance, alive_from);
        let shared_cut = entry.zone == *self.own_zone && self.knowledge.was_out_of_touch(lapsed_at);

        was_alive || shared_cut || self.is_open_question(entry, alive_from)
    }

    /// From when on a backend server was silent whose entry lapsed at a time, if it is dead.
    fn silent_from(&self, lapsed_at: Instant) -> Instant {
        let silence = self.knowledge.entry_times().shortest_lapse();

        lapsed_at.checked_sub(silence).unwrap_or(lapsed_at)
    }

    /// Whether nothing speaks for or against the life of a backend server: its entry cannot return now, since the store is
    /// away, or this balancer started too late to see whether it was silent before the lapse. A flow that has just come from
    /// another balancer goes on with its first packet; the first copy of it that its caller sends shows the end, 200 ms later.
    fn is_open_question(&self, entry: &BackendEntry, alive_from: Instant) -> bool {
        let is_unseen = !self.health.shows_anything_since(entry.instance, alive_from);
        let knowledge = self.knowledge;

        is_unseen && !(knowledge.is_settled(self.now) && knowledge.has_seen_since(alive_from))
    }
}
