//! The platform's store.

use std::collections::{BTreeMap, BTreeSet};

use valvestage_core::StorePosition;
use valvestage_core::ids::{InstanceId, StoreEra};
use valvestage_policy::steering::{
    BackendEntry, BackendPhase, BackendUpdate, EntryChange, EvacuationUpdate, RouteMap, StoreCall,
    StoreKind, StoreReply,
};

use crate::events::{BalancerNumber, Millis};

/// What the client waits beyond the wait of a watch.
const CALL_TIMEOUT: Millis = 1_000;

/// Bytes of one route as the store has it, and of a link of 10 Mbit/s in a millisecond.
const ROUTE_BYTES: usize = 180;
const LINK_BYTES_EACH_MS: usize = 1_250;

/// The store takes values of up to 1 MiB, so a configuration has no more routes than these.
pub const MAX_ROUTES: usize = (1 << 20) / ROUTE_BYTES;

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Answers,
    Refuses,
    Silent,
}

/// A call that waits for its answer.
#[derive(Debug)]
pub struct OpenCall {
    pub balancer: BalancerNumber,
    /// The life of the balancer that made it.
    pub life: u32,
    pub kind: StoreKind,
    pub call: StoreCall,
    pub answer_at: Millis,
    pub ends_at: Millis,
    pub gives_up_at: Millis,
    /// Its connection says nothing more, or its answer is lost.
    pub is_silent: bool,
}

/// The answer to a call.
pub enum StoreAnswer {
    Routes(StoreReply<RouteMap>),
    Backends(StoreReply<BackendUpdate>),
    Evacuations(StoreReply<EvacuationUpdate>),
}

/// A time without an entry.
#[derive(Debug, Clone, Copy)]
pub struct Absence {
    pub since: Millis,
    /// When the entry was written again; none if it was not.
    pub until: Option<Millis>,
}

/// `FakeStore` keeps the configuration and the entries of backend servers, with their history.
pub struct FakeStore {
    /// How often it was restored from an older copy.
    pub era: StoreEra,
    pub revision: u64,
    pub routes: RouteMap,
    pub entries: BTreeMap<InstanceId, BackendEntry>,
    /// The last time in which the store had no entry of a backend server that had had one.
    absences: BTreeMap<InstanceId, Absence>,
    route_changes: Vec<(u64, RouteMap)>,
    entry_changes: Vec<BackendUpdate>,
    pub evacuated: BTreeSet<String>,
    evacuation_changes: Vec<EvacuationUpdate>,
    forgotten: u64,
    /// When each revision was given out.
    changed_at: Vec<(u64, Millis)>,
    pub mode: StoreMode,
    /// Whether one answer in three is lost.
    pub loses: bool,
    pub calls: Vec<OpenCall>,
    pub call_count: usize,
    /// Shows draining entries as ready ones.
    pub hides_drains: bool,
    /// Whether entries do not say which start they are of.
    pub hides_births: bool,
    /// Shows no evacuations; no entry as cold.
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
            absences: BTreeMap::new(),
            route_changes: Vec::new(),
            entry_changes: Vec::new(),
            evacuated: BTreeSet::new(),
            evacuation_changes: Vec::new(),
            forgotten: 0,
            changed_at: Vec::new(),
            mode: StoreMode::Answers,
            loses: false,
            calls: Vec::new(),
            call_count: 0,
            hides_drains: false,
            hides_births: false,
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
        if self.hides_births {
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

    /// The operator evacuates a zone, or takes it back.
    pub fn evacuate(&mut self, zone: &str, is_requested: bool) {
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

    /// Another writer puts what names no backend server in the place of an entry.
    pub fn spoil_entry(&mut self, instance: InstanceId) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };

        self.revision += 1;
        entry.position = StorePosition::new(self.era, self.revision);
        entry.phase = BackendPhase::Unusable;
        let (name, position) = (entry.name, entry.position);
        self.entry_changes.push(BackendUpdate { name, position, change: EntryChange::Unusable });
    }

    /// The last time in which the store had no entry of a backend server; none if it always had one.
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

    /// Keeps when the last revision was given out.
    pub fn note_time(&mut self, now: Millis) {
        if self.changed_at.last().is_none_or(|(revision, _)| *revision < self.revision) {
            self.changed_at.push((self.revision, now));
        }
    }

    /// The last revision before a time.
    pub fn revision_at(&self, time: Millis) -> u64 {
        let before = self.changed_at.iter().rev().find(|(_, at)| *at <= time);

        before.map_or(0, |(revision, _)| *revision)
    }

    /// Goes back to what there was at a revision, in the next era.
    pub fn restore(&mut self, revision: u64, now: Millis) {
        let former: Vec<_> = self.entries.keys().copied().collect();
        self.era += 1;
        self.revision = revision;
        self.forgotten = self.forgotten.min(revision);
        self.changed_at.retain(|(at, _)| *at <= revision);
        self.route_changes.retain(|(at, _)| *at <= revision);
        self.entry_changes.retain(|news| news.position.revision <= revision);
        self.evacuation_changes.retain(|news| news.position.revision <= revision);

        self.enter_era();
        let routes = self.route_changes.last();
        self.routes = routes.map(|(_, routes)| routes.clone()).unwrap_or_default();
        self.evacuated.clear();
        for news in &self.evacuation_changes {
            if news.is_requested {
                self.evacuated.insert(news.zone.clone());
            } else {
                self.evacuated.remove(&news.zone);
            }
        }
        self.entries.clear();
        for news in self.entry_changes.clone() {
            self.replay(news);
        }
        for instance in former.into_iter().filter(|one| !self.entries.contains_key(one)) {
            self.absences.insert(instance, Absence { since: now, until: None });
        }
    }

    /// What it tells now is told in its present era, also what was written in a former one.
    fn enter_era(&mut self) {
        let era = self.era;

        for news in &mut self.entry_changes {
            news.position.era = era;
            if let EntryChange::Written(entry) = &mut news.change {
                entry.position.era = era;
            }
        }
        for news in &mut self.evacuation_changes {
            news.position.era = era;
        }
    }

    /// Takes a change of an entry in that was there before.
    fn replay(&mut self, news: BackendUpdate) {
        let former = self.entries.values().find(|entry| entry.name == news.name).cloned();
        self.entries.retain(|_, entry| entry.name != news.name);

        let entry = match news.change {
            EntryChange::Written(entry) => entry,
            EntryChange::Unusable => {
                let Some(former) = former else { return };
                BackendEntry { phase: BackendPhase::Unusable, position: news.position, ..former }
            }
            EntryChange::Deleted => return,
        };
        self.entries.insert(entry.instance, entry);
    }

    /// Whether changes after a revision cannot be told.
    fn lacks(&self, after: u64) -> bool {
        after < self.forgotten || after > self.revision
    }

    pub fn forget_history(&mut self) {
        self.forgotten = self.revision;
    }

    pub fn begin_call(
        &mut self,
        (balancer, life): (BalancerNumber, u32),
        (kind, call): (StoreKind, StoreCall),
        has_slow_link: bool,
        now: Millis,
    ) {
        self.call_count += 1;
        let wait = match &call {
            StoreCall::List { .. } => 0,
            StoreCall::Watch { wait, .. } => Millis::try_from(wait.as_millis()).expect("short"),
        };
        let is_large = has_slow_link && kind == StoreKind::Configuration;
        let bytes = if is_large { self.routes.routes.len() * ROUTE_BYTES } else { 0 };
        let transfer = Millis::try_from(bytes / LINK_BYTES_EACH_MS).expect("short");
        self.calls.push(OpenCall {
            balancer,
            life,
            kind,
            call,
            answer_at: now + 4 + transfer,
            ends_at: now + wait,
            gives_up_at: now + wait + transfer + CALL_TIMEOUT,
            is_silent: false,
        });
    }

    /// The answer to a call, if there is something to say.
    pub fn answer(&self, kind: StoreKind, call: &StoreCall, is_over: bool) -> Option<StoreAnswer> {
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
            (StoreKind::Configuration, Some(after)) if self.lacks(after) => {
                StoreAnswer::Routes(StoreReply::HistoryGone)
            }
            (StoreKind::Configuration, Some(after)) => {
                let changes = self.route_changes.iter().filter(|(at, _)| *at > after);
                let objects: Vec<_> = changes.map(|(_, routes)| routes.clone()).collect();
                if objects.is_empty() && !is_over {
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
            (StoreKind::Evacuations, Some(after)) if self.lacks(after) => {
                StoreAnswer::Evacuations(StoreReply::HistoryGone)
            }
            (StoreKind::Evacuations, Some(after)) => {
                let changes =
                    self.evacuation_changes.iter().filter(|news| news.position.revision > after);
                let objects: Vec<_> = changes.cloned().collect();
                if objects.is_empty() && !is_over {
                    return None;
                }
                StoreAnswer::Evacuations(StoreReply::Changes { objects, position })
            }
            (StoreKind::Backends, Some(after)) if self.lacks(after) => {
                StoreAnswer::Backends(StoreReply::HistoryGone)
            }
            (StoreKind::Backends, Some(after)) => {
                let changes =
                    self.entry_changes.iter().filter(|news| news.position.revision > after);
                let objects: Vec<_> = changes.cloned().collect();
                if objects.is_empty() && !is_over {
                    return None;
                }
                StoreAnswer::Backends(StoreReply::Changes { objects, position })
            }
        })
    }
}
