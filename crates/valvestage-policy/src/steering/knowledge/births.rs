//! What the births of processes say about entries.
//!
//! Where the deployment's processes say when they were born, an entry that doesn't was written by
//! something else. It names no backend server, so it ends none either: the process at its name or
//! address may be alive. Where they don't, as in older deployments, an entry is as sound without it.
//!
//! An entry with an earlier birth than the process that is known may be a late write of the one
//! before, or another writer's. It may also be a start after the clock of its machine went back. The
//! process that is known tells them apart: if it is alive, it writes its entry again within a
//! heartbeat. So such an entry ends nothing until it has stood for the time of a lapse, measured by
//! this balancer's steady clock, and the store has confirmed that it still stands.
//!
//! No birth is compared with the time of day here, which may jump. A later birth therefore always
//! counts as a start, wherever it lies in the future; it is corrected by the next entry of the
//! process that it seemed to end.

use std::time::Instant;

use valvestage_core::ids::InstanceId;

use super::backend_directory::BackendDirectory;
use super::backend_entry::{BackendEntry, BackendPhase};

impl BackendDirectory {
    /// Reports whether an entry does not say when its process was born, although the deployment's
    /// processes do. The majority of the known entries decides, so that one entry of another writer
    /// does not make those of a deployment without births unusable.
    pub(super) fn lacks_birth(&self, entry: &BackendEntry) -> bool {
        !entry.is_gone() && entry.born.is_none() && self.entries.births().has_majority_with_birth()
    }

    /// Reports whether an entry of the store names no backend server since it does not say when its
    /// process was born.
    pub(in crate::steering) fn is_unusable_without_birth(&self, entry: &BackendEntry) -> bool {
        self.lacks_birth(entry) && !self.is_in_use(entry)
    }

    /// Reports whether an entry is of a known process that may be alive, and of no other one. Such
    /// a process does not tell its birth beside others that do while their software is replaced.
    fn is_in_use(&self, entry: &BackendEntry) -> bool {
        let known = self.entries.get(entry.instance);

        known.is_some_and(|known| !known.has_left_or_was_superseded())
            && !self.contradicts_birth(entry)
    }

    /// Reports whether a process that may be alive and has told its birth has the name or the
    /// address of an entry.
    pub(super) fn contradicts_birth(&self, entry: &BackendEntry) -> bool {
        self.with_name_or_address_of(entry)
            .any(|other| other.born.is_some() && !other.has_left_or_was_superseded())
    }

    /// Reports whether an entry has an earlier birth than a process that may be alive at its name or
    /// address, or than the one that ended its own.
    pub(super) fn has_doubtful_birth(&self, entry: &BackendEntry) -> bool {
        if entry.is_gone() {
            return false;
        }
        let known = self.entries.get(entry.instance);
        let was_superseded = known.is_some_and(BackendEntry::is_superseded);
        let contradicts = |other: &BackendEntry| {
            entry.is_born_before(other)
                && (was_superseded || !other.has_left_or_was_superseded())
                && self.last_own_position(other) <= entry.position
        };

        self.other_incarnations(entry).any(contradicts) || self.has_later_holder(entry)
    }

    /// Reports whether a process with a later birth holds the address of an entry that is not known
    /// yet. The order of entries in the first list is not known.
    fn has_later_holder(&self, entry: &BackendEntry) -> bool {
        let is_new = self.is_complete() && !self.entries.contains(entry.instance);
        let is_holder = |other: &BackendEntry| {
            other.name != entry.name
                && !other.is_gone()
                && entry.is_born_before(other)
                && other.position < entry.position
        };

        is_new && self.entries.at_address(entry.address).any(is_holder)
    }

    /// Leaves out an entry with a doubtful birth until a time. The entry of the process at its name
    /// was overwritten, and cannot be used meanwhile. An unusable entry, as peers report it, does not
    /// say whose it is, and is not applied later either. Returns the incarnations whose known state
    /// changed.
    pub(super) fn apply_doubtful_entry(
        &mut self,
        entry: BackendEntry,
        resolves_at: Instant,
    ) -> Vec<InstanceId> {
        let changed = self.apply_unusable(entry.name, entry.position);

        if entry.phase != BackendPhase::Unusable {
            self.add_conflict(entry, resolves_at);
        }
        changed
    }

    /// Returns the live incarnations of a name whose entries should have been left out, as an entry
    /// that becomes known only now shows: it has a later birth, though an earlier position.
    pub(super) fn doubtful_rivals(&self, entry: &BackendEntry) -> Vec<InstanceId> {
        if entry.is_gone() || self.entries.contains(entry.instance) {
            return Vec::new();
        }
        let is_rival = |other: &&BackendEntry| {
            let has_no_birth = other.born.is_none() && entry.born.is_some();
            !other.is_gone()
                && (other.is_born_before(entry) || has_no_birth && self.lacks_birth(other))
                && entry.position <= other.position
        };

        self.other_incarnations(entry).filter(is_rival).map(|other| other.instance).collect()
    }

    /// Applies an entry, and leaves out the entries of the same name that contradict its birth.
    /// Returns the incarnations whose known state changed.
    pub(super) fn displace_rivals(
        &mut self,
        entry: BackendEntry,
        rivals: Vec<InstanceId>,
        now: Instant,
    ) -> Vec<InstanceId> {
        let instance = entry.instance;
        let resolves_at = now + self.times().lapse();
        self.put(entry);

        for rival in &rivals {
            let Some(rival) = self.entries.get(*rival).cloned() else { continue };
            self.mark_unusable(instance, rival.position);
            self.mark_superseded(&[rival.instance], rival.position, now);
            self.assign_token_of(instance);
            if rival.born.is_some() && rival.phase != BackendPhase::Unusable {
                self.add_conflict(rival, resolves_at);
            }
        }
        rivals.into_iter().chain([instance]).collect()
    }

    fn assign_token_of(&mut self, instance: InstanceId) {
        if let Some(entry) = self.entries.get(instance).cloned() {
            self.assign_token(&entry);
        }
    }

    /// Applies a conflicting entry whose time is over. An entry whose address another process with a
    /// later birth holds stays left out: that process has no reason to write its own entry again. Returns the incarnations whose known state changed.
    pub(super) fn resolve_conflict(
        &mut self,
        entry: BackendEntry,
        now: Instant,
    ) -> Vec<InstanceId> {
        if self.has_later_holder(&entry) {
            let resolves_at = now + self.times().lapse();
            self.add_conflict(entry, resolves_at);
            return Vec::new();
        }

        self.conflicting.remove(&entry.instance);
        let Some(entry) = self.reconcile_eras(entry, now) else { return Vec::new() };
        let known = self.entries.get(entry.instance);
        if known.is_some_and(|known| known.is_superseded() && known.position == entry.position) {
            // It was displaced at this position before it was confirmed.
            self.entries.remove(entry.instance);
        }
        self.apply_reconciled_entry(entry, now)
    }

    /// Reports whether a process that another one seemed to end wrote its entry afterwards, so that
    /// it has not ended. Where processes don't tell their births, this cannot be told from a late
    /// write.
    pub(super) fn is_own_later_write(&self, entry: &BackendEntry, other: &BackendEntry) -> bool {
        entry.born.is_some() && self.last_own_position(other) <= entry.position
    }
}

impl BackendEntry {
    /// Reports whether the process of an entry was born before that of another one. False if either
    /// does not tell its birth.
    fn is_born_before(&self, other: &Self) -> bool {
        self.born.zip(other.born).is_some_and(|(own, others)| own < others)
    }
}
