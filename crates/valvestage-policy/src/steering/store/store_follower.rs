//! Following one kind of object in the store: list all pages, then watch.
//!
//! The pages of a list are not read at one moment, so the watch starts at the revision of the first
//! page and replays what changed in between. A watch whose history the store no longer has is
//! followed by a new list. What is already known stays in force meanwhile.

use std::time::{Duration, Instant};

use valvestage_core::StorePosition;
use valvestage_core::ids::{StoreEra, StoreRevision};

use crate::steering::decision::Decision;

/// Longest time from an answer to the end of the next watch. A connection that is cut off silently
/// shows only at the end of the watch, and a configuration has to be in force within 3 s of its
/// acknowledgement.
pub const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Shortest wait of a watch that is cut short by [`StoreFollower::end_watches_at`].
const MIN_WATCH_WAIT: Duration = Duration::from_millis(100);

/// Pause after the first failure; doubled with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause after a failure, and so the longest time until a store that is reachable again is
/// noticed.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Pause after a change written by the operator, so that changes that directly follow it are read
/// by the same call.
const OPERATOR_PAUSE: Duration = Duration::from_millis(100);

/// Pause after changes of backend servers. Replacements cause a change every 100 to 200 ms, and a
/// backend server that leaves has to get no new flows after 3 s. Two followers whose pauses are not
/// aligned read a change within about half of this pause.
const BACKENDS_PAUSE: Duration = Duration::from_millis(400);

/// Kind of object that a balancer follows in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreKind {
    /// The operator's configuration.
    Configuration,
    /// The entries of backend servers.
    Backends,
    /// The operator's evacuations of availability zones.
    Evacuations,
}

/// One call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads the next page of the list.
    List {
        /// The last name of the previous page; `None` for the first page.
        after: Option<String>,
        /// How old the answer may be.
        freshness: ListFreshness,
    },
    /// Waits for changes.
    Watch {
        /// Changes after this revision are reported.
        revision: StoreRevision,
        /// How long the store waits for a change before it answers with none.
        wait: Duration,
    },
}

/// How old a list may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListFreshness {
    /// The list is the current state of the store.
    Current,
    /// The list may come from the store's cache and be some seconds old. Its position says how old
    /// it is, and it costs a tenth of a current one.
    Cached,
}

/// Outcome of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply<T> {
    /// A page of the list.
    Page {
        /// The objects on the page.
        objects: Vec<T>,
        /// Name of the last object if a further page follows; `None` on the last page.
        next_after: Option<String>,
        /// The store's position when the page was read.
        position: StorePosition,
    },
    /// Changes in order, possibly none.
    Changes {
        /// The changed objects.
        objects: Vec<T>,
        /// The position from which to continue watching.
        position: StorePosition,
    },
    /// The store no longer has the history that the watch asked for.
    HistoryGone,
    /// The call brought no usable answer.
    Failed,
}

/// What a reply of the store brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowerUpdate<T> {
    /// The objects that were listed or changed, in order.
    pub objects: Vec<T>,
    /// What is completely known with these objects.
    pub completes: Completeness,
}

/// How much is completely known after a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// Nothing more than before the reply.
    Unchanged,
    /// The objects are the first page of a list with more pages.
    ListBegins,
    /// The objects are the last page of a list.
    ListEnds {
        /// The position of the first page: changes after it are still to be watched for.
        position: StorePosition,
        /// Whether calls have failed since the previous list, so that entries may have lapsed.
        after_outage: bool,
        /// Whether the list has only one page.
        single_page: bool,
    },
    /// All changes up to this position are known.
    Until(StorePosition),
}

/// Progress of a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// Reads a list. `position` is that of its first page, `None` before it has been read.
    Listing {
        after: Option<String>,
        position: Option<StorePosition>,
    },
    Watching {
        position: StorePosition,
    },
}

/// Decides the next call to the store for one kind of object.
#[derive(Debug)]
pub struct StoreFollower {
    kind: StoreKind,
    phase: Phase,
    /// Whether a call is in flight; there is at most one.
    has_call_in_flight: bool,
    /// Pause after a reply with changes.
    change_pause: Duration,
    not_before: Option<Instant>,
    failures: u32,
    /// Whether calls have failed, or the store's era has changed, since the last complete list.
    had_outage: bool,
    /// Whether only a list can bring the current state, because the history after the known
    /// position is gone or belongs to another era.
    needs_list: bool,
    /// How old lists may be.
    freshness: ListFreshness,
    last_answer: Option<Instant>,
    /// When the call in flight, or else the last call, was made.
    called_at: Option<Instant>,
    /// Duration of the call for the last page of a list that has further pages; `None` while no
    /// such list is being read.
    page_time: Option<Duration>,
    /// The latest known era; `None` before the first answer.
    era: Option<StoreEra>,
    /// When watches have to end at the latest; `None` if they have no such limit.
    watch_due: Option<Instant>,
    /// Decisions since the last call of [`Self::take_decisions`].
    decisions: Vec<Decision>,
}

impl<T> StoreReply<T> {
    /// Returns the store's position at the time of the answer; `None` for a reply without a
    /// position.
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
            has_call_in_flight: false,
            change_pause: pause,
            not_before: None,
            failures: 0,
            had_outage: false,
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

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Allows lists from the store's cache, which may be some seconds old. This suits objects for
    /// which a watch from the list's position brings the later changes early enough. If the history
    /// after that position is gone, the next list is a current one.
    pub fn allow_cached_lists(&mut self) {
        self.freshness = ListFreshness::Cached;
    }

    /// Returns when the store last answered; `None` before its first answer.
    #[must_use]
    pub fn last_answer(&self) -> Option<Instant> {
        self.last_answer
    }

    /// Returns the duration of the call for the last page of a list that is being read and has
    /// further pages; `None` if there is no such list.
    #[must_use]
    pub fn page_time(&self) -> Option<Duration> {
        self.page_time
    }

    /// Reports whether the last call failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the call to make now; `None` while a call is in flight or a pause lasts.
    ///
    /// `known_until` may lie beyond what this follower has read, since peers also report changes:
    /// the watch then continues from there.
    pub fn next_call(&mut self, known_until: StorePosition, now: Instant) -> Option<StoreCall> {
        if self.has_call_in_flight || self.not_before.is_some_and(|time| time > now) {
            return None;
        }

        self.has_call_in_flight = true;
        self.called_at = Some(now);
        self.era = self.era.max((!known_until.is_start()).then_some(known_until.era));
        // Other balancers count this one as a follower only while its last answer is recent, so a
        // watch that starts late after an answer ends earlier.
        let age = self.last_answer.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let wait = WATCH_WAIT.saturating_sub(age).max(WATCH_WAIT / 2);
        let until_due = self.watch_due.map(|due| due.saturating_duration_since(now));
        let wait = until_due.map_or(wait, |time| wait.min(time.max(MIN_WATCH_WAIT)));
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

    /// Skips a list that has not begun and watches from a position up to which everything is known.
    ///
    /// Use it only for objects that are removed by their owners alone: entries that lapse while the
    /// store is unreachable can be found missing only by a list.
    pub fn resume_from(&mut self, position: StorePosition) {
        let is_to_list = matches!(self.phase, Phase::Listing { after: None, position: None });

        if is_to_list && !self.has_call_in_flight && !self.needs_list {
            self.phase = Phase::Watching { position };
        }
    }

    /// Delays watches until a time. Lists are not delayed.
    pub fn delay_watch(&mut self, until: Instant) {
        if matches!(self.phase, Phase::Watching { .. }) {
            self.not_before = self.not_before.max(Some(until));
        }
    }

    /// Sets the time at which watches have to end at the latest; `None` removes the limit.
    pub fn end_watches_at(&mut self, due: Option<Instant>) {
        self.watch_due = due;
    }

    /// Ends the delay that was set by [`Self::delay_watch`] with the same time.
    pub fn release_watch(&mut self, until: Instant) {
        if self.not_before == Some(until) {
            self.not_before = None;
        }
    }

    /// Restarts with a list unless a call is in flight. A list that has begun is continued. Returns
    /// whether a list begins.
    pub fn relist(&mut self) -> bool {
        let can_begin = !self.has_call_in_flight && matches!(self.phase, Phase::Watching { .. });

        if can_begin {
            self.restart_list();
        }
        can_begin
    }

    /// Restarts with a list as after failures: no balancer has followed the store for a while, so
    /// entries may have lapsed unnoticed. Has no effect while a call is in flight.
    pub fn assume_outage(&mut self) {
        if !self.has_call_in_flight {
            self.had_outage = true;
            self.restart_list();
        }
    }

    /// Processes the reply to the call in flight. Returns the objects that it brought.
    pub fn on_reply<T>(&mut self, reply: StoreReply<T>, now: Instant) -> FollowerUpdate<T> {
        self.has_call_in_flight = false;
        let (objects, completes) = match reply {
            StoreReply::Page { position, .. } | StoreReply::Changes { position, .. }
                if self.is_from_earlier_era(position) =>
            {
                self.on_failure(now);
                (Vec::new(), Completeness::Unchanged)
            }
            StoreReply::Page { objects, next_after, position } => {
                self.on_success(now);
                let goes_on = self.is_continued_by(position);
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
                let goes_on = self.is_continued_by(position);
                self.enter_era(position);
                if goes_on {
                    self.not_before = (!objects.is_empty()).then_some(now + self.change_pause);
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

        FollowerUpdate { objects, completes }
    }

    /// Reports whether an answer predates a restore of the store that is already known.
    fn is_from_earlier_era(&self, position: StorePosition) -> bool {
        self.era.is_some_and(|era| position.era < era)
    }

    /// Reports whether an answer continues what was read before. Revisions of different eras are
    /// not comparable, so a watch that ends in a new era does not report what came before its
    /// revision there.
    fn is_continued_by(&self, position: StorePosition) -> bool {
        match &self.phase {
            Phase::Listing { position: None, .. } => {
                self.freshness == ListFreshness::Current
                    || self.era.is_none_or(|era| era == position.era)
            }
            Phase::Listing { position: Some(first), .. } => first.era == position.era,
            Phase::Watching { position: from } => from.era == position.era,
        }
    }

    /// Adopts the era of an answer. In a new era only a current list can bring the current state,
    /// and entries that it lacks may be written again.
    fn enter_era(&mut self, position: StorePosition) {
        let former = self.era.replace(position.era);

        if let Some(former) = former.filter(|former| *former < position.era) {
            self.decisions.push(Decision::StoreEra { kind: self.kind, former, position });
            self.had_outage = true;
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
        let pause = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(3));

        self.failures += 1;
        self.had_outage = true;
        self.page_time = None;
        self.not_before = Some(now + pause.min(MAX_BACKOFF));
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
            after_outage: std::mem::take(&mut self.had_outage),
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
