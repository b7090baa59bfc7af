//! What this balancer asks the store, and what it makes of the answers.

use std::collections::{BTreeSet, HashSet};
use std::time::{Duration, Instant};

use valvestage_core::StorePosition;
use valvestage_core::ids::{InstanceId, StoreEra, ZoneName};

use super::evacuation_follower::{EvacuationFollower, EvacuationNews};
use super::store_follower::{
    Completeness, FollowerNews, StoreCall, StoreFollower, StoreKind, StoreReply,
};
use crate::steering::decision::Decision;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_entry::BackendEntry;
use crate::steering::knowledge::backend_name::BackendName;
use crate::steering::knowledge::evacuated_zones::EvacuationReport;
use crate::steering::knowledge::lapse::RETURN_TIME;
use crate::steering::knowledge::route_map::RouteMap;

/// A failed call is followed by another one within 0.8 s, so that the store has returned by then if it
/// answers.
const RETRY_TIME: Duration = Duration::from_millis(800);

/// The store answers this balancer if it has done so within this time: one watch, and a slow answer.
const ANSWER_LIFE: Duration = Duration::from_millis(2_500);

/// Watches that are to confirm that a restored store has settled end so much later, since waits have whole milliseconds.
const CONFIRMED_AFTER: Duration = Duration::from_millis(20);

/// A balancer has just started for this time: two rounds of heartbeats to learn who else follows the store, and some more.
const FRESH_FOR: Duration = Duration::from_millis(1_200);

/// `BackendNews` is what the store says of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendNews {
    /// The name of its entry.
    pub name: BackendName,
    /// The store's position at the change.
    pub position: StorePosition,
    /// What became of the entry.
    pub change: EntryChange,
}

/// `EntryChange` is what the store says of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// It is there.
    Written(BackendEntry),
    /// It is there, and names no backend server to use.
    Unusable,
    /// It is gone.
    Deleted,
}

/// `StoreLink` follows all kinds of objects.
#[derive(Debug)]
pub struct StoreLink {
    routes: StoreFollower,
    backends: StoreFollower,
    /// None where operators evacuate no zones.
    evacuations: Option<EvacuationFollower>,
    /// What the list that is being read has so far.
    listed: HashSet<InstanceId>,
    /// When that list was begun.
    list_began: Option<Instant>,
    /// The last era of the store that was heard of; none before the first one.
    era: Option<StoreEra>,
    /// When the store last failed to answer this balancer or another one, or was restored.
    last_failure: Option<Instant>,
    /// Whether a call of this balancer has failed since it last began to follow the store.
    has_failed_since_begin: bool,
    /// When this balancer started.
    started_at: Instant,
}

impl StoreLink {
    /// Creates a link that has read nothing. Zones can be evacuated where they are given.
    #[must_use]
    pub fn new(evacuable: Option<BTreeSet<ZoneName>>, now: Instant) -> Self {
        Self {
            routes: StoreFollower::new(StoreKind::Configuration),
            backends: StoreFollower::new(StoreKind::Backends),
            evacuations: evacuable.map(EvacuationFollower::new),
            listed: HashSet::new(),
            list_began: None,
            era: None,
            last_failure: None,
            has_failed_since_begin: false,
            started_at: now,
        }
    }

    /// Returns whether the store does not answer this balancer.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        let evacuations = self.evacuations.as_ref();

        self.routes.is_failing()
            || self.backends.is_failing()
            || evacuations.is_some_and(EvacuationFollower::is_failing)
    }

    /// Returns what was noticed of the store since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        let mut decisions = self.routes.take_decisions();
        decisions.extend(self.backends.take_decisions());
        decisions.extend(self.evacuations.iter_mut().flat_map(EvacuationFollower::take_decisions));
        decisions
    }

    /// Returns when the store last answered for routes and backend servers, for the kind that it answered longer ago.
    /// With a third kind in it others would be told of an answer more often than each 1.5 s, and each by four messages.
    #[must_use]
    pub fn answered_at(&self) -> Option<Instant> {
        let routes = self.routes.last_answer()?;
        let backends = self.backends.last_answer()?;

        Some(routes.min(backends))
    }

    /// Returns the same while the store answers; none while it does not.
    #[must_use]
    pub fn answering_since(&self, now: Instant) -> Option<Instant> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= ANSWER_LIFE;

        self.answered_at().filter(is_recent).filter(|_| !self.is_failing())
    }

    /// Returns how long the last page took of a list of backend servers that is being read and has more of them.
    #[must_use]
    pub fn page_time(&self) -> Option<Duration> {
        self.backends.page_time()
    }

    /// Returns when the store last failed to answer this balancer or another one, or was restored.
    #[must_use]
    pub fn last_failure(&self) -> Option<Instant> {
        self.last_failure
    }

    /// Records a store failure that a peer has told of.
    pub fn merge_peer_failure(&mut self, at: Option<Instant>) {
        self.last_failure = self.last_failure.max(at);
    }

    /// Returns when entries have returned that lapsed before the store last failed; none if
    /// it never did.
    #[must_use]
    pub fn settles_at(&self) -> Option<Instant> {
        self.last_failure.map(|at| at + RETRY_TIME + RETURN_TIME)
    }

    /// Returns until when an entry that goes now may return: it may have lapsed in an
    /// outage. None: it is gone.
    #[must_use]
    pub fn missing_until(&self, now: Instant) -> Option<Instant> {
        let is_unsettled = self.settles_at().is_some_and(|at| at > now);

        is_unsettled.then(|| now + RETURN_TIME)
    }

    /// Returns whether the store does not answer this balancer since it last began to follow it. What failed
    /// before says nothing of this try: a call whose answer is long has no other chance than to be waited for.
    #[must_use]
    pub fn is_try_failing(&self) -> bool {
        self.has_failed_since_begin && self.is_failing()
    }

    /// Prepares for following the store. Where nobody has followed it for a while, it may
    /// have been away.
    pub fn begin(&mut self, knowledge: &Knowledge, now: Instant) {
        self.has_failed_since_begin = false;
        let shortest_lapse = knowledge.entry_times().shortest_lapse();
        let is_old = |at: Instant| now.saturating_duration_since(at) >= shortest_lapse;

        if knowledge.confirmed_at().is_some_and(is_old) {
            self.backends.assume_outage();
        }
    }

    /// Records the era of the store, as it says or as another balancer knows it. A restored store counts as away until now: entries
    /// that its copy lacks may be written again.
    pub fn enter_era(&mut self, era: StoreEra, now: Instant) {
        let former = self.era.replace(self.era.map_or(era, |known| known.max(era)));

        if former.is_some_and(|former| former < era) {
            self.last_failure = Some(now);
        }
    }

    /// Returns the calls that are due. One that is not staying follows until others are known to. Where packets wait for
    /// entries that are not known, one that stays begins to watch for them at once.
    pub fn calls(
        &mut self,
        knowledge: &Knowledge,
        is_staying: bool,
        packets_wait: bool,
        now: Instant,
    ) -> Vec<(StoreKind, StoreCall)> {
        let known_until = knowledge.directory.complete_until();
        // A watch may tell of a return late; a list does not.
        if knowledge.directory.has_overdue(now) {
            self.backends.list_again();
        }
        let held_until = self.started_at + FRESH_FOR;
        if is_staying && packets_wait {
            self.backends.release_watch(held_until);
        } else if self.is_fresh(now) {
            self.routes.hold_watch(held_until);
            self.backends.hold_watch(held_until);
        }
        let contests_end = knowledge.directory.contests_end_at().map(|at| at + CONFIRMED_AFTER);
        self.routes.end_watches_at(contests_end);
        self.backends.end_watches_at(contests_end);
        let routes = self.routes.next_call(StorePosition::START, now);
        let backends = self.backends.next_call(known_until, now);
        if matches!(backends, Some(StoreCall::List { after: None, .. })) {
            self.list_began = Some(now);
        }

        let evacuations = self.next_evacuations(knowledge, is_staying, now);

        let routes = routes.map(|call| (StoreKind::Configuration, call));
        let backends = backends.map(|call| (StoreKind::Backends, call));
        let evacuations = evacuations.map(|call| (StoreKind::Evacuations, call));
        routes.into_iter().chain(backends).chain(evacuations).collect()
    }

    /// Returns the call about evacuated zones that is due. A balancer that has just started reads what it needs to know, and leaves
    /// the watches to others.
    fn next_evacuations(
        &mut self,
        knowledge: &Knowledge,
        is_staying: bool,
        now: Instant,
    ) -> Option<StoreCall> {
        let is_next = if self.routes.is_failing() || self.backends.is_failing() {
            // Skips the evacuation call while other calls to the store fail.
            false
        } else if knowledge.evacuated.is_known() {
            is_staying && !self.is_fresh(now)
        } else {
            // Before there is a configuration, too: else all balancers would go on trying to learn.
            self.answered_at().is_some()
        };

        let follower = self.evacuations.as_mut().filter(|_| is_next)?;
        follower.next_call(&knowledge.evacuated, now)
    }

    /// Whether this balancer has just started. It reads what it needs to know, and leaves watches to others: of many that start at
    /// once nearly all begin to follow, and most have stopped when this time is over. What changed meanwhile the first watch
    /// tells at once.
    fn is_fresh(&self, now: Instant) -> bool {
        self.started_at + FRESH_FOR > now
    }

    /// Returns whether the last call for a kind failed.
    #[must_use]
    pub fn is_kind_failing(&self, kind: StoreKind) -> bool {
        match kind {
            StoreKind::Configuration => self.routes.is_failing(),
            StoreKind::Backends => self.backends.is_failing(),
            StoreKind::Evacuations => {
                self.evacuations.as_ref().is_some_and(EvacuationFollower::is_failing)
            }
        }
    }

    /// Processes an answer about evacuated zones. Returns what is the case by now, where that is
    /// known.
    pub fn on_evacuations_reply(
        &mut self,
        knowledge: &Knowledge,
        reply: StoreReply<EvacuationNews>,
        now: Instant,
    ) -> Option<EvacuationReport> {
        self.note_reply(&reply, now);

        self.evacuations.as_mut()?.on_reply(&knowledge.evacuated, reply, now)
    }

    /// Processes an answer about the configuration. Returns what it brought.
    pub fn on_routes_reply(&mut self, reply: StoreReply<RouteMap>, now: Instant) -> Vec<RouteMap> {
        self.note_reply(&reply, now);

        self.routes.on_reply(reply, now).objects
    }

    /// Processes an answer about backend servers. Returns those of which
    /// something else is believed now.
    pub fn on_backends_reply(
        &mut self,
        knowledge: &mut Knowledge,
        reply: StoreReply<BackendNews>,
        now: Instant,
    ) -> Vec<InstanceId> {
        self.note_reply(&reply, now);
        if let StoreReply::Page { position, .. } = &reply {
            knowledge.directory.note_listed(*position, now);
        }
        let FollowerNews { objects, completes } = self.backends.on_reply(reply, now);
        let begins = matches!(
            completes,
            Completeness::ListBegins | Completeness::ListEnds { single_page: true, .. }
        );
        if begins {
            self.listed.clear();
        }

        let mut changed = Vec::new();
        for news in objects {
            let name = news.name;
            changed.extend(self.take(knowledge, news, now));
            self.listed.extend(knowledge.directory.living(name));
            self.listed.extend(knowledge.directory.contested_births(name));
        }
        changed.extend(self.complete(knowledge, completes, now));
        changed
    }

    /// Takes in what the store says of one backend server; gives those of which something else is believed.
    fn take(&self, knowledge: &mut Knowledge, news: BackendNews, now: Instant) -> Vec<InstanceId> {
        let directory = &mut knowledge.directory;
        let BackendNews { name, position, change } = news;
        let mut living = directory.living(name);
        let contested = match &change {
            EntryChange::Deleted => {
                directory.end_contested(|entry| entry.name == name, position, now)
            }
            _ => Vec::new(),
        };

        match (change, self.missing_until(now)) {
            (EntryChange::Written(entry), _) => return directory.admit(entry, now),
            (EntryChange::Unusable, _) => {
                // It is there again if it had lapsed: others may have seen that it was good meanwhile.
                let births = if living.is_empty() { directory.births(name) } else { living };
                living = births;
                living.retain(|instance| directory.mark_unusable(*instance, position));
            }
            (EntryChange::Deleted, Some(until)) => {
                living.retain(|instance| directory.mark_missing(*instance, until));
                living.extend(directory.end_superseded(name, position, now));
                living.extend(contested);
            }
            (EntryChange::Deleted, None) => {
                let mut births = directory.births(name);
                births.retain(|instance| directory.mark_gone(*instance, position, now));
                births.extend(contested);
                return births;
            }
        }
        living
    }

    /// Takes in what a reply completes; gives the backend servers that it shows to be absent.
    fn complete(
        &self,
        knowledge: &mut Knowledge,
        completes: Completeness,
        now: Instant,
    ) -> Vec<InstanceId> {
        let directory = &mut knowledge.directory;

        match completes {
            Completeness::Unchanged | Completeness::ListBegins => Vec::new(),
            Completeness::Until(position) => {
                directory.complete(position);
                Vec::new()
            }
            Completeness::ListEnds { position, after_outage, .. } => {
                let after_outage = after_outage.then(|| now + RETURN_TIME);
                let missing_until = after_outage.or(self.missing_until(now));
                let mut absent =
                    directory.retain_listed(&self.listed, position, missing_until, now);
                directory.complete(position);
                if let Some(began) = self.list_began {
                    absent.extend(directory.expire_missing(began));
                }
                absent
            }
        }
    }

    fn note_reply<T>(&mut self, reply: &StoreReply<T>, now: Instant) {
        if let Some(position) = reply.position() {
            self.enter_era(position.era, now);
        }
        if matches!(reply, StoreReply::Failed) {
            self.last_failure = Some(now);
            self.has_failed_since_begin = true;
        }
    }
}
