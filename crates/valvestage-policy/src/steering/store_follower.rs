//! Keeping up with one kind of objects in the store: list all pages, then watch.
//!
//! A list is not the picture of one moment, so the watch begins at the revision of the first page and
//! replays what changed in between. A watch whose history is gone starts a new list. What is known
//! stays in force meanwhile.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Longest wait of one watch. A watch that is cut off without a word is noticed only after this time,
/// and a configuration has to be in force 3 s after its acknowledgement.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);

/// Pause after a first failure; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause: a store that returns is noticed within this time.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Entries that lapsed while the store was away return within 2 s; one that is missing after that is
/// gone.
const RETURN_TIME: Duration = Duration::from_millis(2_500);

/// `ListedObject` is one object of a list or watch, with the shape that its reader gave it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedObject<T> {
    /// Its name.
    pub name: String,
    /// Its value; none if it was deleted.
    pub value: Option<T>,
}

/// `FollowerStep` is what the driver is to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerStep {
    /// Read the page of the list that follows a name; none: the first page.
    List {
        /// The last name of the page before.
        after: Option<String>,
    },
    /// Wait for changes.
    Watch {
        /// The revision to wait after.
        revision: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Do nothing until this time.
    Pause {
        /// When to ask again.
        until: Instant,
    },
}

/// `StoreReply` is how a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply<T> {
    /// A page of the list.
    Page {
        /// Its objects.
        objects: Vec<ListedObject<T>>,
        /// Whether more pages follow.
        more: bool,
        /// The store's revision.
        revision: u64,
    },
    /// Changes, in order; possibly none.
    Changes {
        /// The changed objects.
        objects: Vec<ListedObject<T>>,
        /// The revision to go on from.
        revision: u64,
    },
    /// The history that the watch asked for is gone.
    HistoryGone,
    /// No usable answer.
    Failed,
}

/// `FollowerNews` is what a reply brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerNews<T> {
    /// An object was read or changed.
    Put(String, T),
    /// An object is gone.
    Gone(String),
}

/// Where the follower stands.
#[derive(Debug, Clone)]
enum Phase {
    Listing { after: Option<String>, revision: Option<u64>, seen: HashSet<String> },
    Watching { revision: u64 },
}

/// `StoreFollower` decides the next call for one kind of objects.
#[derive(Debug)]
pub struct StoreFollower {
    phase: Phase,
    /// The names that are in force.
    known: HashSet<String>,
    /// Missing names and when they count as gone.
    missing: Vec<(String, Instant)>,
    pause_until: Option<Instant>,
    failures: u32,
    /// Whether calls have failed since the last list: entries may have lapsed meanwhile.
    was_away: bool,
    /// Whether a whole list was read once.
    complete: bool,
}

impl Default for StoreFollower {
    fn default() -> Self {
        Self {
            phase: Phase::Listing { after: None, revision: None, seen: HashSet::new() },
            known: HashSet::new(),
            missing: Vec::new(),
            pause_until: None,
            failures: 0,
            was_away: false,
            complete: false,
        }
    }
}

impl StoreFollower {
    /// `is_complete` tells whether a whole list was read.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// `is_failing` tells whether the last call failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// `next_step` gives what is to be done now.
    #[must_use]
    pub fn next_step(&self, now: Instant) -> FollowerStep {
        if let Some(until) = self.pause_until
            && until > now
        {
            return FollowerStep::Pause { until };
        }

        match &self.phase {
            Phase::Listing { after, .. } => FollowerStep::List { after: after.clone() },
            Phase::Watching { revision } => {
                FollowerStep::Watch { revision: *revision, wait: self.watch_wait(now) }
            }
        }
    }

    /// A watch ends when the next missing entry counts as gone.
    fn watch_wait(&self, now: Instant) -> Duration {
        let until = self.missing.iter().map(|(_, until)| *until).min();

        until.map_or(WATCH_WAIT, |until| {
            until.saturating_duration_since(now).clamp(FIRST_PAUSE, WATCH_WAIT)
        })
    }

    /// `on_reply` takes the result of a call in, and gives what it brought.
    pub fn on_reply<T>(&mut self, reply: StoreReply<T>, now: Instant) -> Vec<FollowerNews<T>> {
        let mut news = match reply {
            StoreReply::Page { objects, more, revision } => {
                self.on_page(objects, more, revision, now)
            }
            StoreReply::Changes { objects, revision } => self.on_changes(objects, revision, now),
            StoreReply::HistoryGone => {
                self.restart_list();
                Vec::new()
            }
            StoreReply::Failed => {
                self.on_failure(now);
                Vec::new()
            }
        };

        news.extend(self.take_gone(now));
        news
    }

    fn on_failure(&mut self, now: Instant) {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(3));

        self.failures += 1;
        self.was_away = true;
        self.pause_until = Some(now + pause.min(LONGEST_PAUSE));
        self.restart_list();
    }

    fn restart_list(&mut self) {
        self.phase = Phase::Listing { after: None, revision: None, seen: HashSet::new() };
    }

    fn on_success(&mut self) {
        self.failures = 0;
        self.pause_until = None;
    }

    fn on_page<T>(
        &mut self,
        objects: Vec<ListedObject<T>>,
        more: bool,
        page_revision: u64,
        now: Instant,
    ) -> Vec<FollowerNews<T>> {
        self.on_success();
        let Phase::Listing { after, revision, seen } = &mut self.phase else {
            return Vec::new();
        };

        let first_revision = *revision.get_or_insert(page_revision);
        *after = objects.last().map(|object| object.name.clone());
        seen.extend(objects.iter().map(|object| object.name.clone()));
        let news = self.take_in(objects, now);

        if !more {
            self.finish_list(first_revision, now);
        }
        news
    }

    fn finish_list(&mut self, revision: u64, now: Instant) {
        let next = Phase::Watching { revision };
        let Phase::Listing { seen, .. } = std::mem::replace(&mut self.phase, next) else {
            return;
        };

        let gone_at = if self.was_away { now + RETURN_TIME } else { now };
        let absent = self.known.difference(&seen);
        let waiting = |name: &&String| !self.missing.iter().any(|(other, _)| other == *name);
        let absent: Vec<_> = absent.filter(waiting).map(|name| (name.clone(), gone_at)).collect();
        self.missing.extend(absent);
        self.was_away = false;
        self.complete = true;
    }

    fn on_changes<T>(
        &mut self,
        objects: Vec<ListedObject<T>>,
        revision: u64,
        now: Instant,
    ) -> Vec<FollowerNews<T>> {
        self.on_success();
        if let Phase::Watching { revision: known } = &mut self.phase {
            *known = revision.max(*known);
        }

        self.take_in(objects, now)
    }

    fn take_in<T>(&mut self, objects: Vec<ListedObject<T>>, now: Instant) -> Vec<FollowerNews<T>> {
        let mut news = Vec::with_capacity(objects.len());

        for object in objects {
            match object.value {
                Some(value) => {
                    self.known.insert(object.name.clone());
                    self.missing.retain(|(name, _)| *name != object.name);
                    news.push(FollowerNews::Put(object.name, value));
                }
                None if self.known.contains(&object.name) => {
                    self.missing.retain(|(name, _)| *name != object.name);
                    self.missing.push((object.name, now));
                }
                None => {}
            }
        }
        news
    }

    /// The missing names whose time is over.
    fn take_gone<T>(&mut self, now: Instant) -> Vec<FollowerNews<T>> {
        let (gone, waiting): (Vec<_>, Vec<_>) =
            self.missing.drain(..).partition(|(_, until)| *until <= now);
        self.missing = waiting;

        for (name, _) in &gone {
            self.known.remove(name);
        }
        gone.into_iter().map(|(name, _)| FollowerNews::Gone(name)).collect()
    }
}
