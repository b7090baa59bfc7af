//! What stays known of backend servers when the store is restored from an older copy.
//!
//! The copy shows some entries as they were before. Until each backend server that lives has written its entry again, and those of the
//! others have lapsed, an entry of the copy proves nothing against what is known of a former era:
//!
//! - a backend server that is known as leaving gets no new flows;
//! - the entry of a backend server that has ended, or whose name or address has another one by now, is contested: it is left out until
//!   the store has settled, and admitted if it is still there then;
//! - entries that the copy lacks count as missing, and may return.

use std::time::Instant;

use valvestage_core::StorePosition;
use valvestage_core::ids::InstanceId;

use super::backend_directory::BackendDirectory;
use super::backend_entry::{BackendEnd, BackendEntry, BackendPhase};
use super::backend_name::BackendName;

impl BackendDirectory {
    /// Returns where the store stood when it was first listed in its present era, as far as is known.
    #[must_use]
    pub fn era_head(&self) -> StorePosition {
        self.era_head
    }

    /// Records where the store stood at a list, here or at another balancer.
    pub fn note_listed(&mut self, position: StorePosition, now: Instant) {
        if position.era > self.era_head.era {
            self.era_head = position;
            self.contested.clear();
            self.era_settles_at = Some(now + self.times().copy_settles_within());
        } else if position.era == self.era_head.era && position < self.era_head {
            self.era_head = position;
        }
    }

    /// Admits the entries that are still contested once the store has settled and has confirmed since that nothing else is the
    /// case. Returns the backend servers of which something else is believed.
    pub fn settle_contests(
        &mut self,
        confirmed_at: Option<Instant>,
        now: Instant,
    ) -> Vec<InstanceId> {
        let is_confirmed = self.era_settles_at.is_none_or(|at| confirmed_at >= Some(at));
        if self.contested.is_empty() || self.is_unsettled(now) || !is_confirmed {
            return Vec::new();
        }

        let contested = std::mem::take(&mut self.contested);
        contested.into_values().flat_map(|entry| self.admit(entry, now)).collect()
    }

    /// Returns the entries that are left out for now.
    pub fn contested(&self) -> impl Iterator<Item = &BackendEntry> {
        self.contested.values()
    }

    /// Returns the backend servers of the contested entries of a name.
    pub fn contested_births(&self, name: BackendName) -> impl Iterator<Item = InstanceId> {
        let of_name = self.contested.values().filter(move |entry| entry.name == name);

        of_name.map(|entry| entry.instance)
    }

    /// Ends the contests of entries that the store does not have any more at a position. Returns their backend servers.
    pub(in crate::steering) fn end_contested(
        &mut self,
        has_gone: impl Fn(&BackendEntry) -> bool,
        at: StorePosition,
        now: Instant,
    ) -> Vec<InstanceId> {
        let is_meant = |entry: &BackendEntry| has_gone(entry) && entry.position <= at;
        let ended: Vec<_> =
            self.contested.values().filter(|entry| is_meant(entry)).cloned().collect();
        self.contested.retain(|_, entry| !is_meant(entry));

        let instances = ended.iter().map(|entry| entry.instance).collect();
        for entry in ended {
            // Peers have it among their contested entries, too, and learn of its end by this position.
            let phase = BackendPhase::Gone { since: now, end: BackendEnd::Superseded };
            self.put(BackendEntry { position: at, phase, ..entry });
        }
        instances
    }

    /// Applies what former eras of the store showed to an entry of a later one; none if it is contested.
    pub(super) fn reconcile_eras(
        &mut self,
        mut entry: BackendEntry,
        now: Instant,
    ) -> Option<BackendEntry> {
        self.drop_contested(&entry);
        if entry.is_gone() {
            return Some(entry);
        }
        if self.is_unsettled(now) && self.is_contested(&entry) {
            self.note_change(entry.position);
            self.contested.insert(entry.instance, entry);
            return None;
        }

        let known = self.entries.get(entry.instance);
        if let Some(known) = known.filter(|known| known.position.era < entry.position.era) {
            if known.phase == BackendPhase::Draining {
                entry.phase = BackendPhase::Draining;
            }
            // The copy says what was left of the cold time when it was made.
            entry.cold_until = known.cold_until;
        }
        Some(entry)
    }

    /// Returns whether a peer tells of an entry of a former era which may be written again in this one.
    pub(super) fn may_be_written_again(&self, told: &BackendEntry, now: Instant) -> bool {
        !told.is_gone() && told.position.era < self.read_until().era && self.is_unsettled(now)
    }

    /// Marks a backend server as leaving that a peer knows as leaving, or as ended, and that is known as ready from an older copy
    /// of the store; false if that is no news. It may still serve the flows that it has.
    pub(super) fn admit_told_departure(&mut self, told: &BackendEntry, now: Instant) -> bool {
        if !self.is_unsettled(now) {
            return false;
        }
        let Some(known) = self.entries.get(told.instance) else { return false };
        let is_from_copy =
            told.position.era < known.position.era || told.position == known.position;
        let departs = told.phase == BackendPhase::Draining || has_ended_for_good(told);
        if !is_from_copy || !departs || known.phase != BackendPhase::Ready {
            return false;
        }

        self.entries.change(told.instance, |known| known.phase = BackendPhase::Draining);
        true
    }

    /// Returns when the contests are decided; none if nothing is contested.
    #[must_use]
    pub fn contests_end_at(&self) -> Option<Instant> {
        self.era_settles_at.filter(|_| !self.contested.is_empty())
    }

    /// Returns whether the store may still show entries of an older copy.
    pub(super) fn is_unsettled(&self, now: Instant) -> bool {
        self.era_settles_at.is_some_and(|at| at > now)
    }

    /// A later entry under the name, or at the address, of a contested one shows that it was an older one.
    fn drop_contested(&mut self, entry: &BackendEntry) {
        let is_followed = |contested: &BackendEntry| {
            let is_in_place = contested.instance == entry.instance
                || !entry.is_gone()
                    && (contested.name == entry.name || contested.address == entry.address);
            is_in_place && contested.position < entry.position
        };

        self.contested.retain(|_, contested| !is_followed(contested));
    }

    /// Whether an entry was written after the store was listed in its present era, so that it is not of the copy.
    pub(super) fn is_written_since_restore(&self, entry: &BackendEntry) -> bool {
        entry.position > self.era_head && entry.position.era == self.era_head.era
    }

    /// Whether an entry may be of the copy, and a former era shows that its backend server has ended or has another one in its place.
    fn is_contested(&self, entry: &BackendEntry) -> bool {
        if self.is_written_since_restore(entry) {
            return false;
        }

        let is_former = |known: &BackendEntry| known.position.era < entry.position.era;
        let known = self.entries.get(entry.instance).filter(|known| is_former(known));
        match known {
            Some(known) if has_ended_for_good(known) => return true,
            Some(known) if !known.is_gone() => return false,
            _ => {}
        }
        self.in_place_of(entry)
            .any(|other| other.instance != entry.instance && is_former(other) && !other.is_gone())
    }
}

/// Whether an incarnation never takes flows again, whatever an older copy shows.
fn has_ended_for_good(entry: &BackendEntry) -> bool {
    matches!(entry.phase, BackendPhase::Gone { end: BackendEnd::Left | BackendEnd::Superseded, .. })
}
