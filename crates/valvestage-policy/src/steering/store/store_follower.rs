//! Keeping up with one kind of objects in the store: list all pages, then watch.
//!
//! A list is not the picture of one moment, so the watch begins at the revision of the first page and
//! replays what changed in between. A watch whose history is gone starts a new list. What is known
//! stays in force meanwhile.

use std::time::{Duration, Instant};

use valvestage_core::StorePosition;
use valvestage_core::ids::{StoreEra, StoreRevision};

use crate::steering::decision::Decision;

/// Longest time from an answer to the end of the next watch. A watch that is cut off without a word shows it
/// only by its end, and a configuration has to be in force 3 s after its acknowledgement.
pub const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Shortest wait of a watch whose answer is needed at once.
const SHORTEST_WATCH: Duration = Duration::from_millis(100);

/// Pause after a first failure; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause: a store that returns is noticed within this time.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Pause after something that the operator wrote: what follows in the next moment comes with one call.
const OPERATOR_PAUSE: Duration = Duration::from_millis(100);

/// Pause after changes of backend servers. While some are replaced there is one every 100 to 200 ms, and a
/// leaving one is to get no new flows 3 s later: two followers out of step have it in half of this.
const BACKENDS_PAUSE: Duration = Duration::from_millis(400);

/// `StoreKind` is a kind of objects that steering follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreKind {
    /// The operator's configuration.
    Configuration,
    /// The entries of backend servers.
    Backends,
    /// The operator's evacuations of availability zones.
    Evacuations,
}

/// `StoreCall` is one call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Read the page of the list that follows a name; none: the first page.
    List {
        /// The last name of the page before.
        after: Option<String>,
        /// How old the answer may be.
        freshness: ListFreshness,
    },
    /// Wait for changes.
    Watch {
        /// The revision to wait after.
        revision: StoreRevision,
        /// Longest wait.
        wait: Duration,
    },
}

/// `ListFreshness` is how old a list may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListFreshness {
    /// It is what the store has now.
    Current,
    /// It may be some seconds old, with a revision that says so, and costs a tenth.
    Cached,
}

/// `StoreReply` is how a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply<T> {
    /// A page of the list.
    Page {
        /// Its objects.
        objects: Vec<T>,
        /// Name of the last object, if a further page follows it.
        next_after: Option<String>,
        /// The store's position when the page was read.
        position: StorePosition,
    },
    /// Changes, in order; possibly none.
    Changes {
        /// The changed objects.
        objects: Vec<T>,
        /// The position to go on from.
        position: StorePosition,
    },
    /// The history that the watch asked for is gone.
    HistoryGone,
    /// No usable answer.
    Failed,
}

/// `FollowerNews` is what a reply brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowerNews<T> {
    /// Objects, in order.
    pub objects: Vec<T>,
    /// What the objects complete.
    pub completes: Completeness,
}

/// `Completeness` says what is known after a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// Nothing more than before.
    Unchanged,
    /// A first page: what a list has so far begins here.
    ListBegins,
    /// The last page of a list.
    ListEnds {
        /// The position of its first page: changes after it are still to come.
        position: StorePosition,
        /// Whether calls have failed since the list before, so that entries may have lapsed.
        after_outage: bool,
        /// Whether the last page is also the first.
        single_page: bool,
    },
    /// All changes up to a position.
    Until(StorePosition),
}

/// Where the follower stands.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// `position` is that of the first page.
    Listing {
        after: Option<String>,
        position: Option<StorePosition>,
    },
    Watching {
        position: StorePosition,
    },
}

/// `StoreFollower` decides the next call for one kind of objects.
#[derive(Debug)]
pub struct StoreFollower {
    kind: StoreKind,
    phase: Phase,
    /// Whether a call is under way; there is one at most.
    calling: bool,
    /// Pause after changes.
    pause: Duration,
    not_before: Option<Instant>,
    failures: u32,
    /// Whether calls have failed since the last list.
    was_away: bool,
    /// Whether only a list can tell what is the case: the history after what is known is gone.
    needs_list: bool,
    /// How old lists may be.
    freshness: ListFreshness,
    last_answer: Option<Instant>,
    /// When the call under way, or the last one, was made.
    called_at: Option<Instant>,
    /// How long the last page took of a list that has more of them; none while no such list is being read.
    page_time: Option<Duration>,
    /// The last era that was heard of; none before the first answer.
    era: Option<StoreEra>,
    /// When an answer is needed that watches are to end for.
    watch_due: Option<Instant>,
    /// What was noticed since it was last taken.
    decisions: Vec<Decision>,
}

impl<T> StoreReply<T> {
    /// Returns where the store stood; none if the answer does not say so.
    #[must_use]
    pub fn position(&self) -> Option<StorePosition> {
        match self {
            Self::Page { position, .. } | Self::Changes { position, .. } => Some(*position),
            Self::HistoryGone | Self::Failed => None,
        }
    }
}

impl StoreFollower {
    /// Creates a follower that begins with a list.
    #[must_use]
    pub fn new(kind: StoreKind) -> Self {
        let pause = match kind {
            StoreKind::Configuration | StoreKind::Evacuations => OPERATOR_PAUSE,
            StoreKind::Backends => BACKENDS_PAUSE,
        };

        Self {
            kind,
            phase: Phase::Listing { after: None, position: None },
            calling: false,
            pause,
            not_before: None,
            failures: 0,
            was_away: false,
            needs_list: false,
            freshness: ListFreshness::Current,
            last_answer: None,
            called_at: None,
            page_time: None,
            era: None,
            watch_due: None,
            decisions: Vec::new(),
        }
    }

    /// Returns what was noticed of the store since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Allows lists that are some seconds old, where a watch from their position on brings what has changed
    /// meanwhile before it is needed. Where that history is gone, the next list is a current one.
    pub fn allow_cached_lists(&mut self) {
        self.freshness = ListFreshness::Cached;
    }

    /// Returns when the store answered last.
    #[must_use]
    pub fn last_answer(&self) -> Option<Instant> {
        self.last_answer
    }

    /// Returns how long the last page took of a list that is being read and has more of them; none if there is no such list.
    #[must_use]
    pub fn page_time(&self) -> Option<Duration> {
        self.page_time
    }

    /// Returns whether the last call failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the call to make now; none while one is under way or a pause lasts.
    ///
    /// Peers may know more than this follower has read itself: then the watch goes on from there.
    pub fn next_call(&mut self, known_until: StorePosition, now: Instant) -> Option<StoreCall> {
        if self.calling || self.not_before.is_some_and(|time| time > now) {
            return None;
        }

        self.calling = true;
        self.called_at = Some(now);
        self.era = self.era.max((!known_until.is_start()).then_some(known_until.era));
        // Others take this balancer for a follower by the age of its last answer.
        let age = self.last_answer.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let wait = WATCH_WAIT.saturating_sub(age).max(WATCH_WAIT / 2);
        let until_due = self.watch_due.map(|due| due.saturating_duration_since(now));
        let wait = until_due.map_or(wait, |time| wait.min(time.max(SHORTEST_WATCH)));
        Some(match &mut self.phase {
            Phase::Listing { after, .. } => {
                StoreCall::List { after: after.clone(), freshness: self.freshness }
            }
            Phase::Watching { position } => {
                *position = known_until.max(*position);
                StoreCall::Watch { revision: position.revision, wait }
            }
        })
    }

    /// Skips a list that has not begun, since all up to a position is known. For objects that only their
    /// owners take away: those that lapse while the store is away have to be listed.
    pub fn go_on_from(&mut self, position: StorePosition) {
        let is_to_list = matches!(self.phase, Phase::Listing { after: None, position: None });

        if is_to_list && !self.calling && !self.needs_list {
            self.phase = Phase::Watching { position };
        }
    }

    /// Delays watches until a time. Lists are made all the same.
    pub fn hold_watch(&mut self, until: Instant) {
        if matches!(self.phase, Phase::Watching { .. }) {
            self.not_before = self.not_before.max(Some(until));
        }
    }

    /// Lets watches end at a time, if they would last longer; none: as usual.
    pub fn end_watches_at(&mut self, due: Option<Instant>) {
        self.watch_due = due;
    }

    /// Allows a watch that was delayed until a time.
    pub fn release_watch(&mut self, until: Instant) {
        if self.not_before == Some(until) {
            self.not_before = None;
        }
    }

    /// Begins anew with a list, once no watch is under way. A list that has begun goes on.
    pub fn list_again(&mut self) {
        if !self.calling && matches!(self.phase, Phase::Watching { .. }) {
            self.restart_list();
        }
    }

    /// Begins anew with a list, as after failures: nobody has followed the store for a
    /// while, so entries may have lapsed unseen.
    pub fn assume_outage(&mut self) {
        if !self.calling {
            self.was_away = true;
            self.restart_list();
        }
    }

    /// Processes the result of the call. Returns what it brought.
    pub fn on_reply<T>(&mut self, reply: StoreReply<T>, now: Instant) -> FollowerNews<T> {
        self.calling = false;
        let (objects, completes) = match reply {
            StoreReply::Page { position, .. } | StoreReply::Changes { position, .. }
                if self.is_of_former_era(position) =>
            {
                self.on_failure(now);
                (Vec::new(), Completeness::Unchanged)
            }
            StoreReply::Page { objects, next_after, position } => {
                self.on_success(now);
                let goes_on = self.goes_on_in(position);
                self.enter_era(position);
                let called_at = self.called_at.filter(|_| next_after.is_some());
                self.page_time = called_at.map(|at| now.saturating_duration_since(at));
                if goes_on {
                    (objects, self.on_page(next_after, position))
                } else {
                    self.restart_list();
                    (Vec::new(), Completeness::Unchanged)
                }
            }
            StoreReply::Changes { objects, position } => {
                self.on_success(now);
                let goes_on = self.goes_on_in(position);
                self.enter_era(position);
                if goes_on {
                    self.not_before = (!objects.is_empty()).then_some(now + self.pause);
                    (objects, self.on_changes(position))
                } else {
                    self.restart_list();
                    (Vec::new(), Completeness::Unchanged)
                }
            }
            StoreReply::HistoryGone => {
                self.on_success(now);
                self.note_history_gone();
                self.restart_list();
                self.needs_list = true;
                self.freshness = ListFreshness::Current;
                (Vec::new(), Completeness::Unchanged)
            }
            StoreReply::Failed => {
                self.on_failure(now);
                (Vec::new(), Completeness::Unchanged)
            }
        };

        FollowerNews { objects, completes }
    }

    /// Whether an answer was given before the store was restored.
    fn is_of_former_era(&self, position: StorePosition) -> bool {
        self.era.is_some_and(|era| position.era < era)
    }

    /// Whether an answer goes on from what was read. Revisions of another era name other changes, so a watch that ends in a new era
    /// says nothing of what came before its revision there.
    fn goes_on_in(&self, position: StorePosition) -> bool {
        match &self.phase {
            Phase::Listing { position: None, .. } => {
                self.freshness == ListFreshness::Current
                    || self.era.is_none_or(|era| era == position.era)
            }
            Phase::Listing { position: Some(first), .. } => first.era == position.era,
            Phase::Watching { position: from } => from.era == position.era,
        }
    }

    /// Enters the era of an answer. In a new one only a current list can tell what is the case, and entries that it lacks may be
    /// written again.
    fn enter_era(&mut self, position: StorePosition) {
        let former = self.era.replace(position.era);

        if let Some(former) = former.filter(|former| *former < position.era) {
            self.decisions.push(Decision::StoreEra { kind: self.kind, former, position });
            self.was_away = true;
            self.needs_list = true;
            self.freshness = ListFreshness::Current;
        }
    }

    fn note_history_gone(&mut self) {
        if let Phase::Watching { position } = self.phase {
            self.decisions.push(Decision::HistoryGone { kind: self.kind, position });
        }
    }

    fn on_failure(&mut self, now: Instant) {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(3));

        self.failures += 1;
        self.was_away = true;
        self.page_time = None;
        self.not_before = Some(now + pause.min(LONGEST_PAUSE));
        self.restart_list();
    }

    fn restart_list(&mut self) {
        self.phase = Phase::Listing { after: None, position: None };
    }

    fn on_success(&mut self, now: Instant) {
        self.failures = 0;
        self.not_before = None;
        self.last_answer = Some(now);
    }

    fn on_page(&mut self, next_after: Option<String>, page: StorePosition) -> Completeness {
        let Phase::Listing { position, .. } = &self.phase else {
            return Completeness::Unchanged;
        };

        let is_first = position.is_none();
        let first = position.unwrap_or(page);
        if next_after.is_some() {
            self.phase = Phase::Listing { after: next_after, position: Some(first) };
            return if is_first { Completeness::ListBegins } else { Completeness::Unchanged };
        }

        self.phase = Phase::Watching { position: first };
        self.needs_list = false;
        Completeness::ListEnds {
            position: first,
            after_outage: std::mem::take(&mut self.was_away),
            single_page: is_first,
        }
    }

    fn on_changes(&mut self, until: StorePosition) -> Completeness {
        let Phase::Watching { position } = &mut self.phase else {
            return Completeness::Unchanged;
        };

        *position = until.max(*position);
        Completeness::Until(*position)
    }
}
