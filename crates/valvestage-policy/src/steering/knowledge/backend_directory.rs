//! All known backend servers, including removed ones.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Instant;

use valvestage_core::StorePosition;
use valvestage_core::ids::{InstanceId, ServiceName, ShortToken};

use super::backend_entry::{BackendEnd, BackendEntry, BackendPhase};
use super::backend_name::BackendName;
use super::entry_table::EntryTable;
pub use super::entry_table::LiveDigest;
use super::entry_times::EntryTimes;
use super::lapse::RETURN_TIME;
use super::ready_backends::ReadyBackends;
use super::store_restores::ConflictingEntry;

/// All known backend servers, by incarnation and by token.
///
/// Entries come from the store and from peers, in any order. For each incarnation the highest
/// position wins. `complete_until` is the position up to which nothing is missing: an unknown entry
/// of an earlier position was removed long ago.
#[derive(Debug, Default)]
pub struct BackendDirectory {
    pub(super) entries: EntryTable,
    /// The present incarnation of the name behind each token. Flows may open at a process before
    /// its start is known here, and after a restart of all balancers no balancer knows the earlier
    /// incarnations. If two names have the same token, the first one known keeps it until it is
    /// forgotten.
    pub(super) tokens: HashMap<ShortToken, InstanceId>,
    /// All known incarnations of each name, including the gone ones.
    pub(super) names: HashMap<BackendName, Vec<InstanceId>>,
    /// The services that the configuration in force names. `None` before the first configuration.
    pub(super) services: Option<HashSet<ServiceName>>,
    /// Every change up to this position is known. The start if nothing was read yet.
    complete_until: StorePosition,
    /// Every change up to this position is known, except for missing entries that may return. Never
    /// below `complete_until`.
    read_until: StorePosition,
    /// Position of the last known change.
    changed_at: StorePosition,
    /// Gone entries before this position are forgotten.
    history_begins_at: StorePosition,
    /// When entries that lapsed, or that a restored store has lost, have had time to return. `None`
    /// if the store was never unavailable.
    pub(super) settles_at: Option<Instant>,
    /// Position of the store when it was first listed in its present era. Entries up to here may
    /// stem from the backup.
    pub(super) era_head: StorePosition,
    /// When the store has no entry left that stems only from the backup. `None` if the store was
    /// never restored.
    pub(super) era_settles_at: Option<Instant>,
    /// Entries that are left out for now: from the backup, if they conflict with what is known from
    /// an earlier era, and those with an earlier birth than the process that is known.
    pub(super) conflicting: BTreeMap<InstanceId, ConflictingEntry>,
    /// Last position of each incarnation before its entry became unusable. An unusable entry does
    /// not say which incarnation wrote it last.
    pub(super) positions_before_unusable: HashMap<InstanceId, StorePosition>,
    /// Incarnations whose entries were applied while their service was unknown and others had their
    /// name or address; true for those that were new to this balancer.
    pub(super) awaiting_service: BTreeMap<InstanceId, bool>,
    /// How soon entries lapse and are written again.
    times: EntryTimes,
    /// Incarnations that became gone since the last call of [`Self::take_newly_gone`].
    pub(super) newly_gone: Vec<InstanceId>,
}

impl BackendDirectory {
    /// Returns the token of a backend server's number. It is the same at every balancer and never
    /// 0.
    #[must_use]
    pub fn token_of(number: u64) -> ShortToken {
        // Fibonacci hashing: spreads numbers that differ in few bits over all 32 bits.
        const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
        let hash = number.wrapping_mul(GOLDEN_RATIO) >> 32;

        ShortToken::try_from(hash).unwrap_or(ShortToken::MAX).max(1)
    }

    /// Sets how soon entries lapse and are written again.
    pub fn set_times(&mut self, times: EntryTimes) {
        self.times = times;
    }

    /// Returns how soon entries lapse and are written again.
    #[must_use]
    pub fn times(&self) -> EntryTimes {
        self.times
    }

    /// Returns the position up to which every change is known.
    #[must_use]
    pub fn complete_until(&self) -> StorePosition {
        self.complete_until
    }

    /// Returns the position up to which every change is known, except for missing entries that may
    /// return.
    #[must_use]
    pub fn read_until(&self) -> StorePosition {
        self.read_until
    }

    /// Returns the position of the last known change.
    #[must_use]
    pub fn changed_at(&self) -> StorePosition {
        self.changed_at
    }

    /// Returns a digest of the incarnations that are not gone, regardless of their positions. Two
    /// balancers that know all changes up to the same revision should have the same digest.
    #[must_use]
    pub fn live_digest(&self) -> LiveDigest {
        self.entries.live_digest()
    }

    /// Reports whether all changes after a position are still known.
    #[must_use]
    pub fn knows_changes_after(&self, after: StorePosition) -> bool {
        !after.is_start() && after >= self.history_begins_at
    }

    /// Reports whether all entries were read at least once.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        !self.complete_until.is_start()
    }

    /// Applies the state of an entry at its position, with what a new incarnation at a known name
    /// or address implies for the others. Returns the incarnations whose known state changed.
    pub fn apply_entry(&mut self, entry: BackendEntry, now: Instant) -> Vec<InstanceId> {
        if self.is_unusable_without_birth(&entry) {
            return self.apply_unusable(entry.name, entry.position);
        }

        self.apply_sound_entry(entry, now)
    }

    /// Applies an entry that names a backend server.
    fn apply_sound_entry(&mut self, entry: BackendEntry, now: Instant) -> Vec<InstanceId> {
        let conflicts_until = self.conflicting.get(&entry.instance).map(|it| it.resolves_at);
        let Some(entry) = self.reconcile_eras(entry, now) else { return Vec::new() };
        if self.has_doubtful_birth(&entry) {
            let resolves_at = conflicts_until.unwrap_or(now + self.times().lapse());
            return self.apply_doubtful_entry(entry, resolves_at);
        }
        let rivals = self.doubtful_rivals(&entry);
        if !rivals.is_empty() {
            return self.displace_rivals(entry, rivals, now);
        }

        self.apply_reconciled_entry(entry, now)
    }

    /// Applies an entry that contradicts nothing of what is known, or has stood for long enough.
    pub(super) fn apply_reconciled_entry(
        &mut self,
        mut entry: BackendEntry,
        now: Instant,
    ) -> Vec<InstanceId> {
        // The time in which a known entry may return counts from when this balancer learns that it
        // is gone.
        if let BackendPhase::Gone { since, .. } = &mut entry.phase
            && self.entries.contains(entry.instance)
        {
            *since = now;
        }
        if !entry.is_gone() && self.is_older_incarnation(&entry, now) {
            return self.apply_older_incarnation(entry, now);
        }
        if !entry.is_gone() && self.has_unknown_service(&entry) {
            return self.apply_unknown_service_entry(entry);
        }
        if let BackendPhase::Gone { end, .. } = &mut entry.phase
            && !self.live_of(entry.name).is_empty()
        {
            *end = BackendEnd::Superseded;
        }
        // The order of two incarnations in the first list is not known.
        let is_new = self.is_complete() && !self.entries.contains(entry.instance);
        let mut changed = Vec::new();
        if !entry.is_gone() {
            changed = self.end_older_incarnations(&entry, now);
        }
        if is_new && !entry.is_gone() {
            changed.extend(self.end_predecessors(&entry, now));
        }

        let instance = entry.instance;
        if self.put(entry) {
            changed.push(instance);
        }
        changed
    }

    /// Applies an entry that a peer reports. A missing entry has returned only if its reported
    /// position is newer than what was read. Otherwise the peer does not know that the entry was
    /// removed, or considers it missing, too.
    pub fn apply_peer_entry(&mut self, entry: BackendEntry, now: Instant) -> Vec<InstanceId> {
        let (instance, position) = (entry.instance, entry.position);
        if entry.is_gone() && self.is_end_refuted(instance, position) {
            return Vec::new();
        }
        if entry.listed_at.is_some_and(|listed_at| self.correct_end(&entry, listed_at)) {
            return vec![instance];
        }
        let known = self.entries.get(instance);
        if known.is_some_and(|known| known.position >= position) {
            return if self.apply_peer_drain(&entry, now) { vec![instance] } else { Vec::new() };
        }

        // An unknown entry that was not in the store when the store was read at a later position
        // may return, like the other entries that were missing then.
        let is_unknown = known.is_none() && !self.conflicting.contains_key(&instance);
        let is_absent = is_unknown && !entry.is_gone() && position > self.complete_until;
        let missing_until = match known {
            Some(known) => known.missing_until,
            None if self.may_be_written_again(&entry, now) => self.settles_at,
            None => is_absent.then(|| now + RETURN_TIME),
        };
        let changed = if self.lacks_birth(&entry) && self.contradicts_birth(&entry) {
            self.apply_unusable(entry.name, position)
        } else {
            self.apply_sound_entry(entry, now)
        };
        let stays_missing = missing_until.filter(|_| position <= self.read_until);
        if let Some(until) = stays_missing {
            self.mark_missing(instance, until);
        }
        changed
    }

    /// Adds as gone an entry that a peer considers live but that was removed before this balancer
    /// read the store. A network partition may keep a live backend server from the store, so its
    /// flows stay steerable until it is known whether it has ended.
    pub fn apply_obsolete_entry(
        &mut self,
        mut entry: BackendEntry,
        now: Instant,
    ) -> Vec<InstanceId> {
        let end = match entry.end_of_phase() {
            BackendEnd::Lapsed => BackendEnd::LapsedUnseen,
            end => end,
        };
        entry.phase = BackendPhase::Gone { since: now, end };

        self.apply_entry(entry, now)
    }

    /// Stores the state of an entry at its position. Returns false if that changes nothing: the same
    /// or a later state is known, or a new era only repeats the known state.
    pub fn put(&mut self, mut entry: BackendEntry) -> bool {
        match self.entries.get(entry.instance) {
            Some(known) if known.position > entry.position => return false,
            Some(known) if known.position == entry.position => {
                // The same entry was read again, so it is not missing.
                let was_missing = known.missing_until.is_some();
                if was_missing {
                    self.entries.change(entry.instance, |known| known.missing_until = None);
                }
                return was_missing;
            }
            _ => {}
        }

        entry.missing_until = None;
        self.record_position_before_unusable(entry.instance, entry.phase);
        if let BackendPhase::Gone { end, .. } = &mut entry.phase {
            let known = self.entries.get(entry.instance);
            *end = known.map_or(*end, BackendEntry::end_of_phase);
            self.newly_gone.push(entry.instance);
        }
        let known = self.entries.get(entry.instance);
        let is_repeated = known
            .is_some_and(|known| known.position.era < entry.position.era && known.is_same(&entry));
        self.record_change(entry.position);
        self.assign_token(&entry);
        let incarnations = self.names.entry(entry.name).or_default();
        if !incarnations.contains(&entry.instance) {
            incarnations.push(entry.instance);
        }
        self.entries.insert(entry);
        !is_repeated
    }

    /// Advances the position of the last known change, so that peers ask for it.
    pub(super) fn record_change(&mut self, at: StorePosition) {
        self.changed_at = self.changed_at.max(at);
    }

    /// Records that the entry of a name has named no usable backend server since a position. Returns
    /// the incarnations whose known state changed.
    pub fn apply_unusable(&mut self, name: BackendName, at: StorePosition) -> Vec<InstanceId> {
        let live = self.live_of(name);
        // If the entry had lapsed, it exists again: it may have been usable meanwhile, and others
        // may have seen that.
        let mut incarnations = if live.is_empty() { self.incarnations(name) } else { live };

        incarnations.retain(|instance| self.mark_unusable(*instance, at));
        incarnations
    }

    /// Records that the entry of an incarnation has named no usable backend server since a
    /// position. Returns false if newer state is known.
    pub fn mark_unusable(&mut self, instance: InstanceId, at: StorePosition) -> bool {
        let Some(entry) = self.entries.get(instance) else { return false };
        if entry.is_gone() && !entry.has_lapsed() || entry.position >= at {
            return false;
        }

        self.record_position_before_unusable(instance, BackendPhase::Unusable);
        self.entries.change(instance, |entry| {
            entry.phase = BackendPhase::Unusable;
            entry.position = at;
            entry.missing_until = None;
        });
        self.record_change(at);
        true
    }

    /// Reports whether an entry that a peer reports was removed long ago: every change up to its
    /// position is known here, and yet the entry is not.
    #[must_use]
    pub fn is_obsolete(&self, entry: &BackendEntry, now: Instant) -> bool {
        !entry.is_gone()
            && !self.may_be_written_again(entry, now)
            && !self.conflicting.contains_key(&entry.instance)
            && entry.listed_at.unwrap_or(entry.position) <= self.complete_until
            && !self.entries.contains(entry.instance)
            && !self.may_own_unusable_entry(entry)
            && self.doubtful_rivals(entry).is_empty()
    }

    /// Records that an entry was removed at a position. Returns false if that or newer state is
    /// known.
    pub fn mark_gone(&mut self, instance: InstanceId, at: StorePosition, now: Instant) -> bool {
        let Some(entry) = self.entries.get(instance).filter(|entry| entry.position <= at) else {
            return false;
        };
        if let BackendPhase::Gone { since, end } = entry.phase {
            // That it was superseded is only a conclusion of this balancer. The removal of its
            // entry has to reach the balancers that concluded otherwise because of another
            // configuration.
            let is_update = end == BackendEnd::Superseded && entry.position < at;
            if is_update {
                self.end_entry(instance, at, BackendPhase::Gone { since, end: BackendEnd::Left });
            }
            return is_update;
        }

        let phase = BackendPhase::Gone { since: now, end: entry.end_of_phase() };
        self.end_entry(instance, at, phase);
        self.newly_gone.push(instance);
        true
    }

    /// Puts an entry into a gone phase at a position.
    fn end_entry(&mut self, instance: InstanceId, at: StorePosition, phase: BackendPhase) {
        self.entries.change(instance, |entry| {
            entry.phase = phase;
            entry.position = at;
            entry.missing_until = None;
        });
        self.record_change(at);
    }

    /// Returns the incarnations that became gone since the last call.
    pub fn take_newly_gone(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.newly_gone)
    }

    /// Marks an entry as missing, so that it may return until a time. Returns false if the entry is
    /// gone or already missing.
    pub fn mark_missing(&mut self, instance: InstanceId, until: Instant) -> bool {
        let is_there = |entry: &&BackendEntry| !entry.is_gone() && entry.missing_until.is_none();
        if self.entries.get(instance).filter(is_there).is_none() {
            return false;
        }

        self.entries.change(instance, |entry| entry.missing_until = Some(until));
        true
    }

    /// Records that every change up to a position was read. The knowledge up to there is not
    /// complete while entries are missing that may return.
    pub fn complete(&mut self, until: StorePosition) {
        if self.complete_until.is_start() {
            // Removals before the first list were never seen here, and peers may still consider
            // those entries live.
            self.history_begins_at = self.history_begins_at.max(until);
            self.changed_at = self.changed_at.max(until);
        }
        self.read_until = self.read_until.max(until);
        if !self.has_missing() {
            self.complete_until = self.read_until;
        }
    }

    /// Applies a full list that was read at a position: live entries that it lacks are gone, or
    /// missing if a time is given until which they may return. Returns these entries.
    pub fn retain_listed(
        &mut self,
        listed: &HashSet<InstanceId>,
        at: StorePosition,
        missing_until: Option<Instant>,
        now: Instant,
    ) -> Vec<InstanceId> {
        let absent = self.live_until(at, |entry| !listed.contains(&entry.instance));

        for instance in self.superseded_without_successor() {
            self.mark_gone(instance, at, now);
        }
        self.drop_removed_conflicts(|entry| !listed.contains(&entry.instance), at, now);
        self.end_absent(&absent, at, missing_until, now);
        absent
    }

    /// Applies the entries that a peer reports as gone, with the positions of their ends, if both
    /// balancers know every change up to the same position. Returns those that were known as live:
    /// they are now gone, or missing if a time is given until which they may return.
    pub fn apply_peer_removals(
        &mut self,
        gone: &HashMap<InstanceId, StorePosition>,
        at: StorePosition,
        missing_until: Option<Instant>,
        now: Instant,
    ) -> Vec<InstanceId> {
        // An entry that is known at a later position than its end has returned since.
        let is_ended = |entry: &BackendEntry| {
            let end = gone.get(&entry.instance).copied();
            end.is_some_and(|end| end >= entry.position && entry.listed_at < Some(end))
        };
        let absent = self.live_until(at, is_ended);

        self.end_absent(&absent, at, missing_until, now);
        absent
    }

    /// Returns the live incarnations with positions up to `at` that the predicate selects.
    fn live_until(
        &self,
        at: StorePosition,
        is_selected: impl Fn(&BackendEntry) -> bool,
    ) -> Vec<InstanceId> {
        let is_live =
            |entry: &&BackendEntry| !entry.is_gone() && entry.position <= at && is_selected(entry);

        self.entries.all().filter(is_live).map(|entry| entry.instance).collect()
    }

    fn end_absent(
        &mut self,
        absent: &[InstanceId],
        at: StorePosition,
        missing_until: Option<Instant>,
        now: Instant,
    ) {
        for instance in absent {
            match missing_until {
                Some(until) => self.mark_missing(*instance, until),
                None => self.mark_gone(*instance, at, now),
            };
        }
    }

    /// Reports whether any entry is missing that may return.
    #[must_use]
    pub fn has_missing(&self) -> bool {
        self.entries.missing().next().is_some()
    }

    /// Sets when entries that lapsed, or that a restored store has lost, have had time to return.
    /// Missing entries with an earlier deadline get this one.
    pub fn settle_at(&mut self, until: Instant) {
        self.settles_at = self.settles_at.max(Some(until));
        let is_sooner = |entry: &&BackendEntry| entry.missing_until < Some(until);
        let sooner = self.entries.missing().filter(is_sooner);
        let sooner: Vec<_> = sooner.map(|entry| entry.instance).collect();

        for instance in sooner {
            self.entries.change(instance, |entry| entry.missing_until = Some(until));
        }
    }

    /// Reports whether the deadline of any missing entry has passed.
    #[must_use]
    pub fn has_expired_missing(&self, now: Instant) -> bool {
        self.entries.missing().any(|entry| entry.missing_until.is_some_and(|until| until <= now))
    }

    /// Marks the missing entries as gone whose deadline passed before a list began that lacks them,
    /// and returns them.
    pub fn expire_missing(&mut self, list_began: Instant) -> Vec<InstanceId> {
        let is_over =
            |entry: &&BackendEntry| entry.missing_until.is_some_and(|until| until <= list_began);
        let over: Vec<_> =
            self.entries.missing().filter(is_over).map(|entry| entry.instance).collect();

        for instance in &over {
            self.mark_gone(*instance, self.read_until, list_began);
        }
        self.complete(self.read_until);
        over
    }

    /// Forgets the entries that have been gone since before a time.
    pub fn forget_gone(&mut self, before: Instant) {
        let is_old = |entry: &&BackendEntry| match entry.phase {
            BackendPhase::Gone { since, .. } => since < before,
            _ => false,
        };
        let old = self.entries.gone().filter(is_old).map(|entry| entry.instance);

        for instance in old.collect::<Vec<_>>() {
            self.forget(instance);
        }
    }

    fn forget(&mut self, instance: InstanceId) {
        let Some(entry) = self.entries.remove(instance) else { return };
        let token = Self::token_of(entry.name.number);

        self.history_begins_at = self.history_begins_at.max(entry.position);
        self.positions_before_unusable.remove(&instance);
        self.awaiting_service.remove(&instance);
        if self.tokens.get(&token) == Some(&instance) {
            self.tokens.remove(&token);
        }
        if let Some(incarnations) = self.names.get_mut(&entry.name) {
            incarnations.retain(|id| *id != instance);
            if incarnations.is_empty() {
                self.names.remove(&entry.name);
            }
        }
    }

    /// Returns the entry of an incarnation, if it is known.
    #[must_use]
    pub fn get(&self, instance: InstanceId) -> Option<&BackendEntry> {
        self.entries.get(instance)
    }

    /// Reports whether the entry of an incarnation is known, and not gone.
    #[must_use]
    pub fn is_live(&self, instance: InstanceId) -> bool {
        self.entries.get(instance).is_some_and(|entry| !entry.is_gone())
    }

    /// Returns the entry of the incarnation that holds a token.
    #[must_use]
    pub fn by_token(&self, token: ShortToken) -> Option<&BackendEntry> {
        self.tokens.get(&token).and_then(|instance| self.entries.get(*instance))
    }

    /// Reports whether flows on an incarnation can be steered by the token of its name.
    #[must_use]
    pub fn owns_token(&self, entry: &BackendEntry) -> bool {
        self.tokens.get(&Self::token_of(entry.name.number)) == Some(&entry.instance)
    }

    /// Returns all entries in the order of their positions.
    pub fn iter(&self) -> impl Iterator<Item = &BackendEntry> {
        self.entries.all()
    }

    /// Returns the entries with later positions, or with higher incarnations at the same position,
    /// in this order.
    pub fn after(
        &self,
        position: StorePosition,
        instance: InstanceId,
    ) -> impl Iterator<Item = &BackendEntry> {
        self.entries.after(position, instance)
    }

    /// Returns the entries that are missing and may return.
    pub fn missing(&self) -> impl Iterator<Item = &BackendEntry> {
        self.entries.missing()
    }

    /// Returns the backend servers that take new flows.
    #[must_use]
    pub fn ready(&self) -> &ReadyBackends {
        self.entries.ready()
    }

    /// Returns how many entries were visited one by one since the start of the process.
    #[must_use]
    pub fn visits(&self) -> u64 {
        self.entries.visits()
    }
}
