//! The order of incarnations at one address and under one name.

use std::time::Instant;

use valvestage_core::StorePosition;
use valvestage_core::ids::InstanceId;

use super::backend_directory::BackendDirectory;
use super::backend_entry::{BackendEnd, BackendEntry, BackendPhase};
use super::backend_name::BackendName;

impl BackendDirectory {
    /// Ends the earlier incarnations at the address of a new one, and returns those that were not
    /// known as gone. An address has one process: its earlier incarnations have ended, though their
    /// entries last for some more seconds. When a fifth of the backend servers fell silent and
    /// others took their addresses 2 s later, this saved one in eight of the requests that were
    /// lost at the silent ones.
    pub(super) fn end_predecessors(
        &mut self,
        entry: &BackendEntry,
        now: Instant,
    ) -> Vec<InstanceId> {
        let is_predecessor = |other: &&BackendEntry| {
            other.position <= entry.position && other.instance != entry.instance
        };
        let predecessors = self.entries.at_address(entry.address).filter(is_predecessor);
        let predecessors: Vec<_> = predecessors.map(|other| other.instance).collect();

        self.mark_superseded(&predecessors, entry.position, now)
    }

    /// Ends the earlier incarnations of an entry's name, and returns those that were not known as
    /// gone. A name has one process: its earlier incarnations have ended and hold no flow any more.
    /// An incarnation known from a later era of the store is not an earlier one.
    pub(super) fn end_older_incarnations(
        &mut self,
        entry: &BackendEntry,
        now: Instant,
    ) -> Vec<InstanceId> {
        let is_older = |other: &&BackendEntry| other.position.era <= entry.position.era;
        let older = self.other_incarnations(entry).filter(is_older);
        let older: Vec<_> = older.map(|other| other.instance).collect();

        self.mark_superseded(&older, entry.position, now)
    }

    /// Returns the entries of all other incarnations of an entry's name.
    pub fn other_incarnations(&self, entry: &BackendEntry) -> impl Iterator<Item = &BackendEntry> {
        let instance = entry.instance;

        self.all_incarnations(entry.name).filter(move |other| other.instance != instance)
    }

    /// Returns the entries of all incarnations of a name.
    fn all_incarnations(&self, name: BackendName) -> impl Iterator<Item = &BackendEntry> {
        let incarnations = self.names.get(&name).into_iter().flatten();

        incarnations.filter_map(|id| self.entries.get(*id))
    }

    /// Returns the entries that have the name or the address of the given entry.
    pub(super) fn with_name_or_address_of(
        &self,
        entry: &BackendEntry,
    ) -> impl Iterator<Item = &BackendEntry> {
        self.all_incarnations(entry.name).chain(self.entries.at_address(entry.address))
    }

    /// Reports whether a later incarnation has followed the one that an entry describes.
    ///
    /// Incarnations are ordered by store position, once a restored store has settled. Within one
    /// era a superseded incarnation without a birth never returns, whatever the revision of a write
    /// that it sent before its end. One with a birth returns with an entry that it writes after its
    /// end. But an entry from the backup of a restored store does not permanently end an
    /// incarnation whose entry is written after the restore.
    pub(super) fn is_older_incarnation(&self, entry: &BackendEntry, now: Instant) -> bool {
        let era = entry.position.era;
        let known = self.entries.get(entry.instance);
        let ended_at = known.filter(|known| known.is_superseded() && known.position.era == era);
        let ended_at = ended_at.map(|known| known.position);

        let is_after_backup = |other: &BackendEntry| {
            self.is_written_since_restore(entry) && !self.is_written_since_restore(other)
        };
        let ends = |other: &BackendEntry| {
            ended_at.is_some_and(|ended_at| ended_at <= other.position)
                && !is_after_backup(other)
                && !self.is_own_later_write(entry, other)
        };
        let is_comparable =
            |other: &BackendEntry| other.position.era == era || !self.is_unsettled(now);
        self.other_incarnations(entry).any(|other| {
            !other.is_gone()
                && self.last_own_position(other) > entry.position
                && is_comparable(other)
                || ends(other)
        })
    }

    /// Returns the last position at which an incarnation may have written its entry itself. While
    /// the entry is unusable, another writer may have written it since.
    pub(super) fn last_own_position(&self, entry: &BackendEntry) -> StorePosition {
        let before = self.positions_before_unusable.get(&entry.instance);

        before.copied().unwrap_or(entry.position)
    }

    /// Reports whether an unusable entry that is recorded for another incarnation of the name may
    /// belong to this one.
    pub(super) fn may_own_unusable_entry(&self, entry: &BackendEntry) -> bool {
        self.other_incarnations(entry).any(|other| {
            let is_later = self.last_own_position(other) < entry.position;
            other.phase == BackendPhase::Unusable && is_later && entry.position <= other.position
        })
    }

    /// Records the position of an incarnation's entry before the entry becomes unusable, given its
    /// next phase. The order of incarnations depends on that position.
    pub(super) fn record_position_before_unusable(
        &mut self,
        instance: InstanceId,
        phase: BackendPhase,
    ) {
        let known = self.entries.get(instance);

        match (phase, known) {
            (BackendPhase::Unusable, Some(known)) if known.phase != BackendPhase::Unusable => {
                self.positions_before_unusable.insert(instance, known.position);
            }
            (BackendPhase::Unusable, _) => {}
            _ => {
                self.positions_before_unusable.remove(&instance);
            }
        }
    }

    /// Records an incarnation that preceded the present one of its name as gone, so that the
    /// callers of its flows can be sent resets.
    pub(super) fn apply_older_incarnation(
        &mut self,
        mut entry: BackendEntry,
        now: Instant,
    ) -> Vec<InstanceId> {
        if let Some(known) = self.entries.get(entry.instance) {
            let (instance, position) = (known.instance, known.position);
            return self.mark_superseded(&[instance], position, now);
        }

        entry.phase = BackendPhase::Gone { since: now, end: BackendEnd::Superseded };
        let instance = entry.instance;
        if self.put(entry) { vec![instance] } else { Vec::new() }
    }

    /// Marks incarnations as superseded, and returns those that were not known as gone.
    pub(super) fn mark_superseded(
        &mut self,
        instances: &[InstanceId],
        at: StorePosition,
        now: Instant,
    ) -> Vec<InstanceId> {
        let mut ended = Vec::new();

        for instance in instances {
            let was_live =
                self.entries.change(*instance, |other| mark_entry_superseded(other, at, now));
            if was_live == Some(true) {
                ended.push(*instance);
            }
        }
        self.newly_gone.extend(&ended);
        ended
    }

    /// Returns all incarnations of a name, including the gone ones.
    #[must_use]
    pub fn incarnations(&self, name: BackendName) -> Vec<InstanceId> {
        self.names.get(&name).cloned().unwrap_or_default()
    }

    /// Returns the incarnations of a name that are not gone. Usually there is at most one.
    #[must_use]
    pub fn live_of(&self, name: BackendName) -> Vec<InstanceId> {
        let incarnations = self.names.get(&name).into_iter().flatten();
        let is_live =
            |id: &&InstanceId| self.entries.get(**id).is_some_and(|entry| !entry.is_gone());

        incarnations.filter(is_live).copied().collect()
    }

    /// Returns the entry of the process that has started under the same name, at the same address
    /// and for the same service as an incarnation that has ended.
    #[must_use]
    pub fn successor(&self, instance: InstanceId) -> Option<&BackendEntry> {
        let ended = self.entries.get(instance).filter(|entry| entry.is_gone())?;
        let is_successor = |other: &&BackendEntry| {
            !other.is_gone() && other.address == ended.address && other.service == ended.service
        };

        self.other_incarnations(ended).find(is_successor)
    }

    /// Gives an incarnation the token of its name, unless a later one or another name holds it.
    pub(super) fn assign_token(&mut self, entry: &BackendEntry) {
        let holder = self.tokens.entry(Self::token_of(entry.name.number)).or_insert(entry.instance);
        let is_followed = self
            .entries
            .get(*holder)
            .is_some_and(|held| held.name == entry.name && held.is_gone() && !entry.is_gone());

        if is_followed {
            *holder = entry.instance;
        }
    }

    /// Records that the entry of a name was removed from the store, and returns the superseded
    /// incarnations whose removal was not known. The removal of its entry does not bring a
    /// superseded incarnation back. The removal is recorded at its own position: if it were recorded only
    /// with the next list, it would have a revision that peers already take for known, and a
    /// balancer might consider the incarnation live permanently.
    pub(in crate::steering) fn mark_superseded_gone(
        &mut self,
        name: BackendName,
        at: StorePosition,
        now: Instant,
    ) -> Vec<InstanceId> {
        let mut incarnations = self.incarnations(name);

        incarnations.retain(|id| self.entries.get(*id).is_some_and(BackendEntry::is_superseded));
        incarnations.retain(|id| self.mark_gone(*id, at, now));
        incarnations
    }

    /// Returns the superseded incarnations whose name has no live incarnation.
    pub(super) fn superseded_without_successor(&self) -> Vec<InstanceId> {
        let is_selected =
            |entry: &&BackendEntry| entry.is_superseded() && self.live_of(entry.name).is_empty();

        self.entries.gone().filter(is_selected).map(|entry| entry.instance).collect()
    }
}

/// Marks an entry as superseded. Returns true if it was not known as gone.
fn mark_entry_superseded(entry: &mut BackendEntry, at: StorePosition, now: Instant) -> bool {
    let end = BackendEnd::Superseded;

    // A peer may report the removal of the entry before its successor. The recorded end is
    // corrected then: the entry has not merely lapsed.
    if let BackendPhase::Gone { end: known, .. } = &mut entry.phase {
        *known = end;
        entry.position = entry.position.min(at);
        return false;
    }
    entry.phase = BackendPhase::Gone { since: now, end };
    entry.position = entry.position.max(at);
    entry.missing_until = None;
    true
}
