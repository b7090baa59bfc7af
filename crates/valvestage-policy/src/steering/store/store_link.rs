//! The calls of this balancer to the store, and how their replies are applied.

use std::collections::{BTreeSet, HashSet};
use std::time::{Duration, Instant};

use valvestage_core::StorePosition;
use valvestage_core::ids::{InstanceId, StoreEra, ZoneName};

use super::evacuation_follower::{EvacuationFollower, EvacuationUpdate};
use super::store_follower::{
    Completeness, FollowerUpdate, StoreCall, StoreFollower, StoreKind, StoreReply,
};
use crate::steering::decision::Decision;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_entry::BackendEntry;
use crate::steering::knowledge::backend_name::BackendName;
use crate::steering::knowledge::evacuated_zones::EvacuationReport;
use crate::steering::knowledge::lapse::RETURN_TIME;
use crate::steering::knowledge::route_map::RouteMap;

/// A failed call is retried within 0.8 s, so a store that is reachable again has answered by then.
const RETRY_TIME: Duration = Duration::from_millis(800);

/// The store counts as answering for this time after its last answer: one watch, and time for a
/// slow answer.
const ANSWER_TTL: Duration = Duration::from_millis(2_500);

/// Delay from the time at which conflicts can be resolved to the end of the watches, whose answers
/// have to confirm the knowledge before the conflicts are resolved. Waits are sent in whole
/// milliseconds, so a watch that ends exactly at that time could end too early.
const CONFLICT_RESOLUTION_DELAY: Duration = Duration::from_millis(20);

/// Period after the start in which a balancer that knows of others leaves watches to them: two
/// rounds of heartbeats to learn which balancers follow the store, and a margin.
const STARTUP_PERIOD: Duration = Duration::from_millis(1_200);

/// Shortest time between two lists that verify ends which other balancers have reported, so that
/// balancers that disagree do not keep reading the store.
const VERIFICATION_INTERVAL: Duration = Duration::from_secs(10);

/// State of this balancer, other than its knowledge, that decides which calls are due.
#[derive(Debug, Clone, Copy)]
pub struct FollowerState {
    /// Whether this balancer is going to keep following the store.
    pub keeps_watching: bool,
    /// Whether packets wait for unknown entries, here or at other balancers.
    pub packets_wait: bool,
    /// Whether this balancer knows of no other one, so that it has nobody to leave watches to.
    pub is_alone: bool,
}

/// A change of the entry of one backend server, as reported by the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendUpdate {
    /// The name of the entry.
    pub name: BackendName,
    /// The store's position at the change.
    pub position: StorePosition,
    /// What happened to the entry.
    pub change: EntryChange,
}

impl BackendUpdate {
    /// Reports whether the entry does not say when its process was born.
    fn lacks_birth(&self) -> bool {
        matches!(&self.change, EntryChange::Written(entry) if entry.born.is_none())
    }
}

/// State of an entry after a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// The entry exists and is usable.
    Written(BackendEntry),
    /// The entry exists but does not describe a usable backend server.
    Unusable,
    /// The entry was deleted, by its owner or by the store when its lease expired.
    Deleted,
}

/// Follows all kinds of objects in the store and applies the replies to the knowledge.
#[derive(Debug)]
pub struct StoreLink {
    routes: StoreFollower,
    backends: StoreFollower,
    /// `None` where operators cannot evacuate zones.
    evacuations: Option<EvacuationFollower>,
    /// The backend servers in the pages read so far of the current list.
    listed: HashSet<InstanceId>,
    /// When that list was begun.
    list_began_at: Option<Instant>,
    /// The latest known era of the store; `None` before the first one is known.
    era: Option<StoreEra>,
    /// When the store last failed to answer this balancer or another one, or was restored.
    last_failure: Option<Instant>,
    /// Whether a call has failed since this balancer last began to follow the store.
    has_failed_since_begin: bool,
    /// Whether a list is to verify ends that other balancers have reported.
    is_verification_due: bool,
    /// Earliest time of the next such list; `None` before the first one.
    next_verification_at: Option<Instant>,
    /// When this balancer started.
    started_at: Instant,
    /// What was decided on entries since the last call of [`Self::take_decisions`].
    decisions: Vec<Decision>,
}

impl StoreLink {
    /// Creates a link that has read nothing. `evacuable` holds the availability zones that
    /// operators can evacuate; `None` if they cannot evacuate any.
    #[must_use]
    pub fn new(evacuable: Option<BTreeSet<ZoneName>>, now: Instant) -> Self {
        Self {
            routes: StoreFollower::new(StoreKind::Configuration),
            backends: StoreFollower::new(StoreKind::Backends),
            evacuations: evacuable.map(EvacuationFollower::new),
            listed: HashSet::new(),
            list_began_at: None,
            era: None,
            last_failure: None,
            has_failed_since_begin: false,
            is_verification_due: false,
            next_verification_at: None,
            started_at: now,
            decisions: Vec::new(),
        }
    }

    /// Reports whether the last call for at least one kind of object failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        let evacuations = self.evacuations.as_ref();

        self.routes.is_failing()
            || self.backends.is_failing()
            || evacuations.is_some_and(EvacuationFollower::is_failing)
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.decisions);
        decisions.extend(self.routes.take_decisions());
        decisions.extend(self.backends.take_decisions());
        decisions.extend(self.evacuations.iter_mut().flat_map(EvacuationFollower::take_decisions));
        decisions
    }

    /// Returns the earlier of the times at which the store last answered for routes and for backend
    /// servers; `None` until it has answered for both.
    ///
    /// Evacuations are left out: with a third kind, answers would be announced to peers more often
    /// than every 1.5 s, each with four messages.
    #[must_use]
    pub fn answered_at(&self) -> Option<Instant> {
        let routes = self.routes.last_answer()?;
        let backends = self.backends.last_answer()?;

        Some(routes.min(backends))
    }

    /// Returns the value of [`Self::answered_at`] while the store answers; `None` while it does
    /// not.
    #[must_use]
    pub fn recent_answer_at(&self, now: Instant) -> Option<Instant> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= ANSWER_TTL;

        self.answered_at().filter(is_recent).filter(|_| !self.is_failing())
    }

    /// Returns the duration of the call for the last page of a list of backend servers that is
    /// being read and has further pages; `None` if there is no such list.
    #[must_use]
    pub fn page_time(&self) -> Option<Duration> {
        self.backends.page_time()
    }

    /// Returns when the store last failed to answer this balancer or another one, or was restored;
    /// `None` if neither has happened.
    #[must_use]
    pub fn last_failure(&self) -> Option<Instant> {
        self.last_failure
    }

    /// Records the time of a store failure that a peer has reported; `None` has no effect.
    pub fn merge_peer_failure(&mut self, at: Option<Instant>) {
        self.last_failure = self.last_failure.max(at);
    }

    /// Returns the time by which entries that lapsed before the store's last failure have been
    /// written again; `None` if it never failed.
    #[must_use]
    pub fn settles_at(&self) -> Option<Instant> {
        self.last_failure.map(|at| at + RETRY_TIME + RETURN_TIME)
    }

    /// Returns until when an entry that disappears now may be written again, because it may have
    /// lapsed in an outage; `None` if its disappearance is final.
    #[must_use]
    pub fn missing_until(&self, now: Instant) -> Option<Instant> {
        let is_unsettled = self.settles_at().is_some_and(|at| at > now);

        is_unsettled.then(|| now + RETURN_TIME)
    }

    /// Reports whether calls have been failing since this balancer last began to follow the store.
    /// Failures before that are no reason to give up the present attempt: a call with a long answer
    /// has to be waited for.
    #[must_use]
    pub fn is_attempt_failing(&self) -> bool {
        self.has_failed_since_begin && self.is_failing()
    }

    /// Prepares for following the store. If no balancer has followed it for a while, an outage is
    /// assumed.
    pub fn prepare_to_follow(&mut self, knowledge: &Knowledge, now: Instant) {
        self.has_failed_since_begin = false;
        let shortest_lapse = knowledge.entry_times().shortest_lapse();
        let is_old = |at: Instant| now.saturating_duration_since(at) >= shortest_lapse;

        if knowledge.confirmed_at().is_some_and(is_old) {
            self.backends.assume_outage();
        }
    }

    /// Requests a list of the backend servers, since another balancer has reported the end of one that
    /// should have been known here. The list confirms the end or corrects it.
    pub(in crate::steering) fn verify_ends(&mut self, now: Instant) {
        if self.next_verification_at.is_none_or(|at| at <= now) {
            self.next_verification_at = Some(now + VERIFICATION_INTERVAL);
            self.is_verification_due = true;
        }
    }

    /// Records the era of the store, as reported by the store or by another balancer. A restored
    /// store counts as unreachable until now, since entries that its backup lacks may be written
    /// again.
    pub fn enter_era(&mut self, era: StoreEra, now: Instant) {
        let former = self.era.replace(self.era.map_or(era, |known| known.max(era)));

        if former.is_some_and(|former| former < era) {
            self.last_failure = Some(now);
        }
    }

    /// Returns the calls that are due. A balancer that is not going to keep following the store
    /// makes calls until enough others are known to follow it. If packets wait for unknown entries,
    /// a balancer that keeps following begins to watch for them at once.
    pub fn calls(
        &mut self,
        knowledge: &Knowledge,
        state: FollowerState,
        now: Instant,
    ) -> Vec<(StoreKind, StoreCall)> {
        let known_until = knowledge.directory.complete_until();
        // A watch may report a returned entry late; a list shows it at once.
        let needs_list = knowledge.directory.has_expired_missing(now) || self.is_verification_due;
        if needs_list && self.backends.relist() {
            self.is_verification_due = false;
        }
        let held_until = self.started_at + STARTUP_PERIOD;
        if state.keeps_watching && state.packets_wait {
            self.backends.release_watch(held_until);
        } else if self.leaves_watches(state, now) {
            self.routes.delay_watch(held_until);
            self.backends.delay_watch(held_until);
        }
        let conflicts_end =
            knowledge.directory.conflicts_resolve_at().map(|at| at + CONFLICT_RESOLUTION_DELAY);
        self.routes.end_watches_at(conflicts_end);
        self.backends.end_watches_at(conflicts_end);
        let routes = self.routes.next_call(StorePosition::START, now);
        let backends = self.backends.next_call(known_until, now);
        if matches!(backends, Some(StoreCall::List { after: None, .. })) {
            self.list_began_at = Some(now);
        }

        let evacuations = self.next_evacuations(knowledge, state, now);

        let routes = routes.map(|call| (StoreKind::Configuration, call));
        let backends = backends.map(|call| (StoreKind::Backends, call));
        let evacuations = evacuations.map(|call| (StoreKind::Evacuations, call));
        routes.into_iter().chain(backends).chain(evacuations).collect()
    }

    /// Returns the call for evacuated zones that is due. A balancer that has just started reads the
    /// list if its peers have not reported it, and leaves the watches to others.
    fn next_evacuations(
        &mut self,
        knowledge: &Knowledge,
        state: FollowerState,
        now: Instant,
    ) -> Option<StoreCall> {
        let is_next = if self.routes.is_failing() || self.backends.is_failing() {
            // Skips the evacuation call while other calls to the store fail.
            false
        } else if knowledge.evacuated.is_known() {
            state.keeps_watching && !self.leaves_watches(state, now)
        } else {
            // Also while there is no configuration: otherwise all balancers would keep trying to
            // read the evacuations.
            self.answered_at().is_some()
        };

        let follower = self.evacuations.as_mut().filter(|_| is_next)?;
        follower.next_call(&knowledge.evacuated, now)
    }

    /// Reports whether this balancer has just started and knows of others. It then reads the lists
    /// that it needs and leaves watches to them: when many balancers start at once, nearly all begin
    /// to follow the store, and most have stopped by the end of this period. The first watch reports
    /// at once what has changed meanwhile.
    fn leaves_watches(&self, state: FollowerState, now: Instant) -> bool {
        !state.is_alone && self.started_at + STARTUP_PERIOD > now
    }

    /// Reports whether the last call for a kind of object failed.
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

    /// Processes a reply about evacuated zones. Returns the set of evacuated zones; `None` if it is
    /// not completely known or has not advanced.
    pub fn on_evacuations_reply(
        &mut self,
        knowledge: &Knowledge,
        reply: StoreReply<EvacuationUpdate>,
        now: Instant,
    ) -> Option<EvacuationReport> {
        self.note_reply(&reply, now);

        self.evacuations.as_mut()?.on_reply(&knowledge.evacuated, reply, now)
    }

    /// Processes a reply about the configuration. Returns the configurations that it brought.
    pub fn on_routes_reply(&mut self, reply: StoreReply<RouteMap>, now: Instant) -> Vec<RouteMap> {
        self.note_reply(&reply, now);

        self.routes.on_reply(reply, now).objects
    }

    /// Processes a reply about backend servers. Returns those whose known state has changed.
    pub fn on_backends_reply(
        &mut self,
        knowledge: &mut Knowledge,
        reply: StoreReply<BackendUpdate>,
        now: Instant,
    ) -> Vec<InstanceId> {
        self.note_reply(&reply, now);
        let mut reply = reply;
        let mut listed_at = None;
        if let StoreReply::Page { position, objects, .. } = &mut reply {
            knowledge.directory.record_list_position(*position, now);
            listed_at = Some(*position);
            // Whether the deployment's processes tell their births is known from the other entries
            // of the page, where nothing was known before.
            objects.sort_by_key(BackendUpdate::lacks_birth);
        }
        let FollowerUpdate { objects, completes } = self.backends.on_reply(reply, now);
        let begins = matches!(
            completes,
            Completeness::ListBegins | Completeness::ListEnds { single_page: true, .. }
        );
        if begins {
            self.listed.clear();
        }

        let mut changed = Vec::new();
        for update in objects {
            let name = update.name;
            changed.extend(self.correct_end(knowledge, &update, listed_at));
            changed.extend(self.apply_backend_update(knowledge, update, now));
            self.listed.extend(knowledge.directory.live_of(name));
            self.listed.extend(knowledge.directory.conflicting_incarnations(name));
        }
        changed.extend(self.apply_completeness(knowledge, completes, now));
        changed
    }

    /// Makes the backend server of a listed entry live again if the list contradicts its end. Returns
    /// it in that case.
    fn correct_end(
        &mut self,
        knowledge: &mut Knowledge,
        update: &BackendUpdate,
        listed_at: Option<StorePosition>,
    ) -> Option<InstanceId> {
        let directory = &mut knowledge.directory;
        let EntryChange::Written(entry) = &update.change else { return None };
        let (instance, listed_at) = (entry.instance, listed_at?);
        if directory.is_unusable_without_birth(entry) {
            return None;
        }

        let ended_at = directory.get(instance).map(|known| known.position)?;
        directory.correct_end(entry, listed_at).then(|| {
            self.decisions.push(Decision::EndCorrected { instance, ended_at, listed_at });
            instance
        })
    }

    /// Applies the change of one backend server's entry. Returns the backend servers whose known
    /// state has changed.
    fn apply_backend_update(
        &mut self,
        knowledge: &mut Knowledge,
        update: BackendUpdate,
        now: Instant,
    ) -> Vec<InstanceId> {
        let directory = &mut knowledge.directory;
        let BackendUpdate { name, position, change } = update;
        let mut live = directory.live_of(name);
        let conflicting = match &change {
            EntryChange::Deleted => {
                directory.record_removal_after_end(name, position);
                directory.drop_removed_conflicts(|entry| entry.name == name, position, now)
            }
            _ => Vec::new(),
        };

        match (change, self.missing_until(now)) {
            (EntryChange::Written(entry), _) => {
                if directory.is_unusable_without_birth(&entry) {
                    self.decisions.push(Decision::BirthMissing { name, position });
                }
                return directory.apply_entry(entry, now);
            }
            (EntryChange::Unusable, _) => return directory.apply_unusable(name, position),
            (EntryChange::Deleted, Some(until)) => {
                live.retain(|instance| directory.mark_missing(*instance, until));
                live.extend(directory.mark_superseded_gone(name, position, now));
                live.extend(conflicting);
            }
            (EntryChange::Deleted, None) => {
                let mut incarnations = directory.incarnations(name);
                incarnations.retain(|instance| directory.mark_gone(*instance, position, now));
                incarnations.extend(conflicting);
                return incarnations;
            }
        }
        live
    }

    /// Applies what is completely known after a reply. Returns the backend servers that it shows to
    /// be absent.
    fn apply_completeness(
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
                if let Some(began) = self.list_began_at {
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
