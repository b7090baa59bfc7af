//! A fake of the platform's store.

use std::collections::{BTreeMap, BTreeSet};

use valvestage_core::StorePosition;
use valvestage_core::ids::{InstanceId, StoreEra};
use valvestage_policy::steering::{
    BackendEntry, BackendPhase, BackendUpdate, EntryChange, EvacuationUpdate, RouteMap, StoreCall,
    StoreKind, StoreReply,
};

use crate::events::{BalancerNumber, Millis};

/// Client timeout of a call, beyond the wait of a watch.
const CALL_TIMEOUT: Millis = 1_000;

/// Size of one route in the store, and bytes that a link of 10 Mbit/s carries in a millisecond.
const ROUTE_BYTES: usize = 180;
const LINK_BYTES_PER_MS: usize = 1_250;

/// Most routes of a configuration: the store accepts values of up to 1 MiB.
pub const MAX_ROUTES: usize = (1 << 20) / ROUTE_BYTES;

/// Whether the store answers calls, refuses them, or does not respond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Answers,
    Refuses,
    Silent,
}

/// A call to the store that has no answer yet.
#[derive(Debug)]
pub struct OpenCall {
    pub balancer: BalancerNumber,
    /// The balancer's start count when it made the call. A restarted balancer gets no answers to
    /// calls of its former process.
    pub start_count: u32,
    pub kind: StoreKind,
    pub call: StoreCall,
    pub answer_at: Millis,
    pub wait_ends_at: Millis,
    pub times_out_at: Millis,
    /// Whether the connection is dead or the answer was lost, so that the call times out.
    pub is_silent: bool,
}

/// The answer to a call, by the kind of object.
pub enum StoreAnswer {
    Routes(StoreReply<RouteMap>),
    Backends(StoreReply<BackendUpdate>),
    Evacuations(StoreReply<EvacuationUpdate>),
}

/// A period in which the store had no entry of a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Absence {
    pub since: Millis,
    /// When the entry was written again; None if it was not.
    pub until: Option<Millis>,
}

/// The store's state: the configuration, the entries of backend servers and the evacuations, each
/// with its change history.
pub struct FakeStore {
    /// Number of restores from a backup.
    pub era: StoreEra,
    pub revision: u64,
    pub routes: RouteMap,
    pub entries: BTreeMap<InstanceId, BackendEntry>,
    /// Incarnations that no process is, from entries of other writers, each with the one whose entry
    /// was overwritten.
    pub foreign_incarnations: BTreeMap<InstanceId, InstanceId>,
    /// For each backend server whose entry was deleted, the last period without an entry.
    absences: BTreeMap<InstanceId, Absence>,
    route_changes: Vec<(u64, RouteMap)>,
    entry_changes: Vec<BackendUpdate>,
    pub evacuated: BTreeSet<String>,
    evacuation_changes: Vec<EvacuationUpdate>,
    /// Watches after an older revision than this fail.
    compacted_revision: u64,
    /// When each revision was first seen by the periodic scan.
    revision_times: Vec<(u64, Millis)>,
    pub mode: StoreMode,
    /// Whether one answer in three is lost.
    pub loses_answers: bool,
    pub calls: Vec<OpenCall>,
    pub call_count: usize,
    /// Whether watches show draining entries as ready.
    pub hides_drains: bool,
    /// Whether entries hide the incarnation of their backend servers.
    pub hides_incarnations: bool,
    /// Whether no evacuations are shown, and no entry is shown as cold.
    pub hides_evacuations: bool,
    pub hides_cold: bool,
}

impl Default for FakeStore {
    fn default() -> Self {
        Self {
            era: 0,
            revision: 0,
            routes: RouteMap::default(),
            entries: BTreeMap::new(),
            foreign_incarnations: BTreeMap::new(),
            absences: BTreeMap::new(),
            route_changes: Vec::new(),
            entry_changes: Vec::new(),
            evacuated: BTreeSet::new(),
            evacuation_changes: Vec::new(),
            compacted_revision: 0,
            revision_times: Vec::new(),
            mode: StoreMode::Answers,
            loses_answers: false,
            calls: Vec::new(),
            call_count: 0,
            hides_drains: false,
            hides_incarnations: false,
            hides_evacuations: false,
            hides_cold: false,
        }
    }
}

impl FakeStore {
    pub fn put_routes(&mut self, routes: RouteMap) {
        self.revision += 1;
        self.routes = routes.clone();
        self.route_changes.push((self.revision, routes));
    }

    pub fn put_entry(&mut self, mut entry: BackendEntry, now: Millis) {
        if let Some(absence) = self.absences.get_mut(&entry.instance) {
            absence.until.get_or_insert(now);
        }
        if self.hides_cold {
            entry.cold_until = None;
        }
        if self.hides_incarnations {
            entry.instance = entry.name.number;
        }
        self.revision += 1;
        entry.position = self.position();
        self.entries.retain(|_, other| other.name != entry.name);
        self.entries.insert(entry.instance, entry.clone());
        if self.hides_drains {
            entry.phase = BackendPhase::Ready;
        }
        let (name, position) = (entry.name, self.position());
        self.entry_changes.push(BackendUpdate {
            name,
            position,
            change: EntryChange::Written(entry),
        });
    }

    /// Writes the operator's request to evacuate a zone, or to end its evacuation.
    pub fn set_evacuated(&mut self, zone: &str, is_requested: bool) {
        self.revision += 1;
        if is_requested {
            self.evacuated.insert(zone.to_owned());
        } else {
            self.evacuated.remove(zone);
        }
        let (zone, position) = (zone.to_owned(), self.position());
        if !self.hides_evacuations {
            self.evacuation_changes.push(EvacuationUpdate { zone, position, is_requested });
        }
    }

    /// Overwrites an entry as another writer does, with a value that names no usable backend
    /// server.
    pub fn make_entry_unusable(&mut self, instance: InstanceId) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };

        self.revision += 1;
        entry.position = StorePosition::new(self.era, self.revision);
        entry.phase = BackendPhase::Unusable;
        let (name, position) = (entry.name, entry.position);
        self.entry_changes.push(BackendUpdate { name, position, change: EntryChange::Unusable });
    }

    /// Overwrites an entry as another writer does, with what balancers read from its value.
    pub fn overwrite_entry(&mut self, instance: InstanceId, change: EntryChange) {
        let EntryChange::Written(mut entry) = change else {
            self.make_entry_unusable(instance);
            return;
        };
        if !self.entries.contains_key(&instance) {
            return;
        }

        self.revision += 1;
        let (name, position) = (entry.name, self.position());
        entry.position = position;
        if entry.instance != instance {
            self.foreign_incarnations.insert(entry.instance, instance);
        }
        self.entries.remove(&instance);
        self.entries.insert(entry.instance, entry.clone());
        self.entry_changes.push(BackendUpdate {
            name,
            position,
            change: EntryChange::Written(entry),
        });
    }

    /// Deletes the entry that another writer left in place of a backend server's, if it is still
    /// there.
    pub fn delete_foreign_entry(&mut self, instance: InstanceId, now: Millis) {
        let owned = self.foreign_incarnations.iter().filter(|(_, owner)| **owner == instance);
        let foreign: Vec<_> = owned.map(|(foreign, _)| *foreign).collect();

        for incarnation in foreign {
            self.delete_entry(incarnation, now);
        }
    }

    /// Returns the last period without an entry of a backend server; None if its entry was never
    /// deleted.
    pub fn absence(&self, instance: InstanceId) -> Option<Absence> {
        self.absences.get(&instance).copied()
    }

    pub fn delete_entry(&mut self, instance: InstanceId, now: Millis) {
        let Some(entry) = self.entries.remove(&instance) else { return };

        self.absences.insert(instance, Absence { since: now, until: None });
        self.revision += 1;
        let (name, position) = (entry.name, self.position());
        self.entry_changes.push(BackendUpdate { name, position, change: EntryChange::Deleted });
    }

    fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.revision)
    }

    /// Records the time of the current revision if it is new.
    pub fn record_revision_time(&mut self, now: Millis) {
        if self.revision_times.last().is_none_or(|(revision, _)| *revision < self.revision) {
            self.revision_times.push((self.revision, now));
        }
    }

    /// Returns the last revision recorded up to a time, or 0.
    pub fn revision_at(&self, time: Millis) -> u64 {
        let before = self.revision_times.iter().rev().find(|(_, at)| *at <= time);

        before.map_or(0, |(revision, _)| *revision)
    }

    /// Restores the state of a revision, in the next store era.
    pub fn restore(&mut self, revision: u64, now: Millis) {
        let former: Vec<_> = self.entries.keys().copied().collect();
        self.era += 1;
        self.revision = revision;
        self.compacted_revision = self.compacted_revision.min(revision);
        self.revision_times.retain(|(at, _)| *at <= revision);
        self.route_changes.retain(|(at, _)| *at <= revision);
        self.entry_changes.retain(|update| update.position.revision <= revision);
        self.evacuation_changes.retain(|update| update.position.revision <= revision);

        self.rewrite_history_era();
        let routes = self.route_changes.last();
        self.routes = routes.map(|(_, routes)| routes.clone()).unwrap_or_default();
        self.evacuated.clear();
        for update in &self.evacuation_changes {
            if update.is_requested {
                self.evacuated.insert(update.zone.clone());
            } else {
                self.evacuated.remove(&update.zone);
            }
        }
        self.entries.clear();
        for update in self.entry_changes.clone() {
            self.replay_change(update);
        }
        for instance in former.into_iter().filter(|one| !self.entries.contains_key(one)) {
            self.absences.insert(instance, Absence { since: now, until: None });
        }
    }

    /// Moves the change history to the present era: the store reports all positions in this era,
    /// also those of writes in a former one.
    fn rewrite_history_era(&mut self) {
        let era = self.era;

        for update in &mut self.entry_changes {
            update.position.era = era;
            if let EntryChange::Written(entry) = &mut update.change {
                entry.position.era = era;
            }
        }
        for update in &mut self.evacuation_changes {
            update.position.era = era;
        }
    }

    /// Applies a change of the history to the entries again.
    fn replay_change(&mut self, update: BackendUpdate) {
        let former = self.entries.values().find(|entry| entry.name == update.name).cloned();
        self.entries.retain(|_, entry| entry.name != update.name);

        let entry = match update.change {
            EntryChange::Written(entry) => entry,
            EntryChange::Unusable => {
                let Some(former) = former else { return };
                BackendEntry { phase: BackendPhase::Unusable, position: update.position, ..former }
            }
            EntryChange::Deleted => return,
        };
        self.entries.insert(entry.instance, entry);
    }

    /// Reports whether the changes after a revision are not available.
    fn lacks_history_after(&self, after: u64) -> bool {
        after < self.compacted_revision || after > self.revision
    }

    pub fn compact_history(&mut self) {
        self.compacted_revision = self.revision;
    }

    pub fn begin_call(
        &mut self,
        (balancer, start_count): (BalancerNumber, u32),
        (kind, call): (StoreKind, StoreCall),
        has_slow_link: bool,
        now: Millis,
    ) {
        self.call_count += 1;
        let wait = match &call {
            StoreCall::List { .. } => 0,
            StoreCall::Watch { wait, .. } => {
                Millis::try_from(wait.as_millis()).expect("the duration fits")
            }
        };
        let is_large = has_slow_link && kind == StoreKind::Configuration;
        let bytes = if is_large { self.routes.routes.len() * ROUTE_BYTES } else { 0 };
        let transfer = Millis::try_from(bytes / LINK_BYTES_PER_MS).expect("the duration fits");
        self.calls.push(OpenCall {
            balancer,
            start_count,
            kind,
            call,
            answer_at: now + 4 + transfer,
            wait_ends_at: now + wait,
            times_out_at: now + wait + transfer + CALL_TIMEOUT,
            is_silent: false,
        });
    }

    /// Returns the answer to a call. Returns None for a watch that has nothing to report and may
    /// still wait.
    pub fn answer(
        &self,
        kind: StoreKind,
        call: &StoreCall,
        is_wait_over: bool,
    ) -> Option<StoreAnswer> {
        let position = self.position();
        let after = match call {
            StoreCall::List { .. } => None,
            StoreCall::Watch { revision, .. } => Some(*revision),
        };
        Some(match (kind, after) {
            (StoreKind::Configuration, None) => {
                let has_any = self.routes.version > 0;
                let objects = has_any.then(|| self.routes.clone()).into_iter().collect();
                StoreAnswer::Routes(StoreReply::Page { objects, next_after: None, position })
            }
            (StoreKind::Configuration, Some(after)) if self.lacks_history_after(after) => {
                StoreAnswer::Routes(StoreReply::HistoryGone)
            }
            (StoreKind::Configuration, Some(after)) => {
                let changes = self.route_changes.iter().filter(|(at, _)| *at > after);
                let objects: Vec<_> = changes.map(|(_, routes)| routes.clone()).collect();
                if objects.is_empty() && !is_wait_over {
                    return None;
                }
                StoreAnswer::Routes(StoreReply::Changes { objects, position })
            }
            (StoreKind::Backends, None) => {
                let objects = self.entries.values().map(|entry| BackendUpdate {
                    name: entry.name,
                    position: entry.position,
                    change: match entry.phase {
                        BackendPhase::Unusable => EntryChange::Unusable,
                        _ => EntryChange::Written(entry.clone()),
                    },
                });
                let objects = objects.collect();
                StoreAnswer::Backends(StoreReply::Page { objects, next_after: None, position })
            }
            (StoreKind::Evacuations, None) => {
                let shown = self.evacuated.iter().filter(|_| !self.hides_evacuations).cloned();
                let objects =
                    shown.map(|zone| EvacuationUpdate { zone, position, is_requested: true });
                let objects = objects.collect();
                StoreAnswer::Evacuations(StoreReply::Page { objects, next_after: None, position })
            }
            (StoreKind::Evacuations, Some(after)) if self.lacks_history_after(after) => {
                StoreAnswer::Evacuations(StoreReply::HistoryGone)
            }
            (StoreKind::Evacuations, Some(after)) => {
                let changes = self
                    .evacuation_changes
                    .iter()
                    .filter(|update| update.position.revision > after);
                let objects: Vec<_> = changes.cloned().collect();
                if objects.is_empty() && !is_wait_over {
                    return None;
                }
                StoreAnswer::Evacuations(StoreReply::Changes { objects, position })
            }
            (StoreKind::Backends, Some(after)) if self.lacks_history_after(after) => {
                StoreAnswer::Backends(StoreReply::HistoryGone)
            }
            (StoreKind::Backends, Some(after)) => {
                let changes =
                    self.entry_changes.iter().filter(|update| update.position.revision > after);
                let objects: Vec<_> = changes.cloned().collect();
                if objects.is_empty() && !is_wait_over {
                    return None;
                }
                StoreAnswer::Backends(StoreReply::Changes { objects, position })
            }
        })
    }
}
