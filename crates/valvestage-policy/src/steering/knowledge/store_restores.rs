//! What stays known of backend servers after the store is restored from a backup.
//!
//! The restored store shows some entries as they were when the backup was made. Until each live
//! backend server has written its entry again, and the entries of the others have lapsed, an entry
//! from the backup proves nothing against what is known from an earlier era:
//!
//! - A backend server that is known to be draining gets no new flows.
//! - The entry of a backend server that has ended, or whose name or address another one has by now,
//!   is conflicting: it is left out until the store has settled, and applied if it is still there
//!   then.
//! - Entries that the backup lacks count as missing, and may return.

use std::time::Instant;

use valvestage_core::StorePosition;
use valvestage_core::ids::InstanceId;

use super::backend_directory::BackendDirectory;
use super::backend_entry::{BackendEnd, BackendEntry, BackendPhase};
use super::backend_name::BackendName;

/// An entry that contradicts what is known, and is left out until a time.
#[derive(Debug, Clone)]
pub(super) struct ConflictingEntry {
    pub(super) entry: BackendEntry,
    /// When the entry is applied if it is still there.
    pub(super) resolves_at: Instant,
}

impl BackendDirectory {
    /// Returns the lowest known position of the store at a list in its present era.
    #[must_use]
    pub fn era_head(&self) -> StorePosition {
        self.era_head
    }

    /// Records the position of the store at a list, read by this balancer or by a peer.
    pub fn record_list_position(&mut self, position: StorePosition, now: Instant) {
        if position.era > self.era_head.era {
            self.era_head = position;
            self.conflicting.clear();
            self.era_settles_at = Some(now + self.times().backup_settles_within());
        } else if position.era == self.era_head.era && position < self.era_head {
            self.era_head = position;
        }
    }

    /// Applies the entries that still conflict once their time is over and the store has confirmed
    /// the knowledge since. Returns the incarnations whose known state changed.
    pub fn resolve_conflicts(
        &mut self,
        confirmed_at: Option<Instant>,
        now: Instant,
    ) -> Vec<InstanceId> {
        if self.conflicting.is_empty() || self.is_unsettled(now) {
            return Vec::new();
        }

        let is_due = |conflict: &&ConflictingEntry| {
            conflict.resolves_at <= now && confirmed_at >= Some(conflict.resolves_at)
        };
        let due: Vec<_> = self.conflicting.values().filter(is_due).cloned().collect();
        due.into_iter().flat_map(|conflict| self.resolve_conflict(conflict.entry, now)).collect()
    }

    /// Returns the conflicting entries, which are left out for now.
    pub fn conflicting(&self) -> impl Iterator<Item = &BackendEntry> {
        self.conflicting.values().map(|conflict| &conflict.entry)
    }

    /// Reports whether a known entry is left out as conflicting at the same position.
    pub(in crate::steering) fn is_left_out(&self, entry: &BackendEntry) -> bool {
        let conflict = self.conflicting.get(&entry.instance);

        conflict.is_some_and(|conflict| conflict.entry.position == entry.position)
    }

    /// Returns the incarnations of a name that have conflicting entries.
    pub fn conflicting_incarnations(&self, name: BackendName) -> impl Iterator<Item = InstanceId> {
        let of_name = self.conflicting().filter(move |entry| entry.name == name);

        of_name.map(|entry| entry.instance)
    }

    /// Drops the conflicting entries that the store no longer has at a position. Returns their
    /// incarnations.
    pub(in crate::steering) fn drop_removed_conflicts(
        &mut self,
        has_gone: impl Fn(&BackendEntry) -> bool,
        at: StorePosition,
        now: Instant,
    ) -> Vec<InstanceId> {
        let is_selected = |entry: &BackendEntry| has_gone(entry) && entry.position <= at;
        let ended: Vec<_> =
            self.conflicting().filter(|entry| is_selected(entry)).cloned().collect();
        self.conflicting.retain(|_, conflict| !is_selected(&conflict.entry));

        let instances = ended.iter().map(|entry| entry.instance).collect();
        for entry in ended {
            // The entries conflict at the peers as well, which learn of the removal by this
            // position.
            let phase = BackendPhase::Gone { since: now, end: BackendEnd::Superseded };
            self.put(BackendEntry { position: at, phase, ..entry });
        }
        instances
    }

    /// Reconciles an entry with what earlier eras of the store showed. Returns `None` if the entry
    /// is conflicting.
    pub(super) fn reconcile_eras(
        &mut self,
        mut entry: BackendEntry,
        now: Instant,
    ) -> Option<BackendEntry> {
        self.drop_outdated_conflicts(&entry);
        if entry.is_gone() {
            return Some(entry);
        }
        if self.is_unsettled(now) && self.is_conflicting(&entry) {
            let resolves_at = self.era_settles_at.unwrap_or(now);
            self.add_conflict(entry, resolves_at);
            return None;
        }

        let known = self.entries.get(entry.instance);
        if let Some(known) = known.filter(|known| known.position.era < entry.position.era) {
            if known.phase == BackendPhase::Draining {
                entry.phase = BackendPhase::Draining;
            }
            // The backup says how much of the slow start was left when the backup was made.
            entry.cold_until = known.cold_until;
        }
        Some(entry)
    }

    /// Reports whether an entry of an earlier era that a peer reports may be written again in this
    /// era.
    pub(super) fn may_be_written_again(&self, reported: &BackendEntry, now: Instant) -> bool {
        !reported.is_gone()
            && reported.position.era < self.read_until().era
            && self.is_unsettled(now)
    }

    /// Marks a backend server as draining that is known as ready from a backup of the store, if a
    /// peer knows it as draining or ended. Returns false if nothing changed. The backend server may
    /// still serve its open flows.
    pub(super) fn apply_peer_drain(&mut self, reported: &BackendEntry, now: Instant) -> bool {
        if !self.is_unsettled(now) {
            return false;
        }
        let Some(known) = self.entries.get(reported.instance) else { return false };
        let is_from_backup =
            reported.position.era < known.position.era || reported.position == known.position;
        let departs =
            reported.phase == BackendPhase::Draining || reported.has_left_or_was_superseded();
        if !is_from_backup || !departs || known.phase != BackendPhase::Ready {
            return false;
        }

        self.entries.change(reported.instance, |known| known.phase = BackendPhase::Draining);
        true
    }

    /// Leaves out an entry for now that contradicts what is known. It is applied if it is still
    /// there after a time.
    pub(super) fn add_conflict(&mut self, entry: BackendEntry, resolves_at: Instant) {
        self.record_change(entry.position);
        self.conflicting.insert(entry.instance, ConflictingEntry { entry, resolves_at });
    }

    /// Returns when the next conflict is resolved. `None` if no entry is conflicting.
    #[must_use]
    pub fn conflicts_resolve_at(&self) -> Option<Instant> {
        let next = self.conflicting.values().map(|conflict| conflict.resolves_at).min();

        next.max(self.era_settles_at.filter(|_| next.is_some()))
    }

    /// Reports whether the store may still show entries that stem only from the backup.
    pub(super) fn is_unsettled(&self, now: Instant) -> bool {
        self.era_settles_at.is_some_and(|at| at > now)
    }

    /// Drops the conflicting entries that a later entry under their name or at their address shows
    /// to be outdated.
    fn drop_outdated_conflicts(&mut self, entry: &BackendEntry) {
        let is_followed = |conflicting: &BackendEntry| {
            let is_in_place = conflicting.instance == entry.instance
                || !entry.is_gone()
                    && (conflicting.name == entry.name || conflicting.address == entry.address);
            is_in_place && conflicting.position < entry.position
        };

        self.conflicting.retain(|_, conflict| !is_followed(&conflict.entry));
    }

    /// Reports whether an entry was written after the store was first listed in its present era, so
    /// that it does not stem from the backup.
    pub(super) fn is_written_since_restore(&self, entry: &BackendEntry) -> bool {
        entry.position > self.era_head && entry.position.era == self.era_head.era
    }

    /// Reports whether an entry may stem from the backup although an earlier era shows that its
    /// backend server has ended or was replaced at its name or address.
    fn is_conflicting(&self, entry: &BackendEntry) -> bool {
        if self.is_written_since_restore(entry) {
            return false;
        }

        let is_former = |known: &BackendEntry| known.position.era < entry.position.era;
        let known = self.entries.get(entry.instance).filter(|known| is_former(known));
        match known {
            Some(known) if known.has_left_or_was_superseded() => return true,
            Some(known) if !known.is_gone() => return false,
            _ => {}
        }
        self.with_name_or_address_of(entry)
            .any(|other| other.instance != entry.instance && is_former(other) && !other.is_gone())
    }
}
