//! Which balancers follow the store.
//!
//! Calls to the store are few for the whole deployment, so some balancers follow it and tell the
//! others. Nobody appoints them: a balancer that hears of too few begins, after a pause drawn anew each
//! time so that not all begin at once, and one that hears of too many stops. Of many the two with the
//! lowest addresses stay, the second one in another availability zone than the first, since a zone that
//! is cut off takes its followers with it.
//!
//! While the store answers nobody, or turns some balancers away, a few try at a time. One that gets no
//! answer lets others try, so that calls do not grow with the deployment, and one that the store
//! does answer is found.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::ZoneName;

use crate::steering::peers::peer_message::WatcherSighting;

/// Balancers that follow the store: one may fail or be cut off without a gap.
const WANTED_WATCHERS: usize = 2;

/// A balancer whose last answer of the store is older than this no longer counts: one watch of 1.5 s,
/// and time for the news of its end.
const SIGHTING_LIFE: Duration = Duration::from_millis(2_200);

/// A sighting that is newer by this much is passed on at once: news of a watch's end has to outrun
/// the life of a sighting.
const NEWS_STEP: Duration = Duration::from_millis(600);

/// Followers told of in one heartbeat, those first that stay; more of them are about to stop.
const MAX_TOLD: usize = 4;

/// How long a peer's unanswered attempt counts.
const ATTEMPT_TTL: Duration = Duration::from_millis(800);

/// Balancers that try at once, while what is known is in force everywhere.
const WANTED_TRIERS: usize = 3;

/// Balancers that try at once, of those that know nothing yet: each of them has callers waiting.
const WANTED_BEGINNERS: usize = 4;

/// A balancer that gets no answer lets others try after this time.
const TRY_FOR: Duration = Duration::from_millis(1_600);

/// One whose calls have failed lets others try after this time: a second try each.
const TRY_FOR_AFTER_FAILURE: Duration = Duration::from_millis(400);

/// Then it does not try again until about all others had their turn, but at least for so long.
const MIN_BACKOFF: Duration = Duration::from_millis(1_500);

/// And at most for so long: others may be cut off without its knowing.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Longest pause before a balancer begins to follow the store. With the life of a sighting it stays
/// below the 3 s within which a configuration has to be in force, but for the last ones to begin.
const MAX_JITTER: Duration = Duration::from_millis(600);

/// Shortest pause at the start of the process, in which peers that know everything may speak first.
/// Two datagrams to and fro take some milliseconds; a store that has to be read costs a call a page.
const START_DELAY: Duration = Duration::from_millis(15);

/// What is drawn on top of it: when all start at once, some read the store and tell the others.
const START_JITTER: Duration = Duration::from_millis(45);

/// What is drawn at the first start of a deployment, whose traffic begins ten seconds later, so that most balancers hear of the first
/// followers before they begin.
const FIRST_START_JITTER: Duration = Duration::from_millis(3_000);

/// Pause for a peer that knows everything to tell it.
const PULL_GRACE: Duration = Duration::from_millis(100);

/// `RoleState` is what the decision goes by, besides other balancers.
#[derive(Debug, Clone, Copy)]
pub struct RoleState {
    /// Whether the store answers this balancer.
    pub is_answering: bool,
    /// Whether calls of this balancer have failed since it began to follow the store, and since that last answered it.
    pub is_failing: bool,
    /// Whether this balancer knows all that it needs, or all that there is.
    pub is_complete: bool,
    /// Whether balancers of more than one availability zone are known.
    pub has_zones: bool,
    /// How long the last page took of a long list that this balancer is reading; none: it reads no such list.
    pub page_time: Option<Duration>,
    /// Whether a balancer was heard that knows everything, and can be asked.
    pub hears_complete: bool,
    /// Whether another balancer is telling this one what it knows.
    pub is_being_told: bool,
    /// Balancers that were heard lately.
    pub recent_peers: u32,
    /// A draw between 0 and 1.
    pub draw: f64,
}

/// What is known of another balancer that follows the store.
#[derive(Debug, Clone)]
struct Sighting {
    /// When the store last answered it, or when it was trying.
    seen_at: Instant,
    is_answered: bool,
    /// How long the last page took of a long list that it is reading.
    page_ms: Option<u16>,
    zone: ZoneName,
}

/// `ReaderRank` orders balancers that read a long list: the faster ones first, and those that are about as fast by address.
type ReaderRank = (u32, SocketAddrV4);

/// The rank of a balancer that reads a long list, or has not begun. Times of pages differ by chance, so only their magnitude counts.
fn reader_rank(page_ms: Option<u16>, peer: SocketAddrV4) -> ReaderRank {
    let magnitude = page_ms.map_or(u32::MAX, |time| time.max(1).ilog2());

    (magnitude, peer)
}

impl Sighting {
    fn is_alive(&self, now: Instant) -> bool {
        let life = if self.is_answered { SIGHTING_LIFE } else { ATTEMPT_TTL };

        now.saturating_duration_since(self.seen_at) <= life
    }
}

/// `WatchRole` decides whether this balancer follows the store.
#[derive(Debug)]
pub struct WatchRole {
    own: SocketAddrV4,
    watching: bool,
    zone: ZoneName,
    /// The balancers that follow the store, this one left out.
    sightings: BTreeMap<SocketAddrV4, Sighting>,
    /// When the store had last answered this balancer when others were told.
    told: Option<Instant>,
    /// When to begin, while there are too few.
    begin_at: Option<Instant>,
    /// Until when to try, while the store does not answer.
    try_until: Option<Instant>,
    /// Until when not to try.
    backoff_until: Option<Instant>,
}

impl WatchRole {
    /// `new` waits for peers for a moment that is drawn between 0 and 1.
    #[must_use]
    pub fn new(
        own: SocketAddrV4,
        zone: ZoneName,
        is_first_start: bool,
        draw: f64,
        now: Instant,
    ) -> Self {
        let jitter = if is_first_start { FIRST_START_JITTER } else { START_JITTER };

        Self {
            own,
            watching: false,
            zone,
            sightings: BTreeMap::new(),
            told: None,
            begin_at: Some(now + START_DELAY + jitter.mul_f64(draw)),
            try_until: None,
            backoff_until: None,
        }
    }

    /// `on_pull_sent` takes in that a peer was asked for what is not known here.
    pub fn on_pull_sent(&mut self, now: Instant) {
        if let Some(begin_at) = &mut self.begin_at {
            *begin_at = now + PULL_GRACE;
        }
    }

    /// `next_due` gives when to decide again at the latest; none if nothing is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.begin_at
    }

    /// `is_watching` tells whether this balancer follows the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Returns whether this balancer goes on following the store, as far as it knows of others that do.
    #[must_use]
    pub fn is_staying(&self, has_zones: bool) -> bool {
        self.watching && self.is_chosen(has_zones)
    }

    /// `others` gives the number of others that are known to follow it.
    #[must_use]
    pub fn others(&self) -> usize {
        self.sightings.len()
    }

    /// `on_sighting` takes in that a balancer follows the store; true if others should hear it now.
    pub fn on_sighting(&mut self, told: &WatcherSighting, now: Instant) -> bool {
        let Some(seen_at) = time_of_age(told.age_ms, now) else { return false };
        let sighting = Sighting {
            seen_at,
            is_answered: told.is_answered,
            page_ms: told.page_ms,
            zone: told.zone.clone(),
        };
        if told.peer == self.own || !sighting.is_alive(now) {
            return false;
        }

        let known = self.sightings.get(&told.peer);
        if known.is_some_and(|known| seen_at <= known.seen_at) {
            return false;
        }
        let is_news = match known {
            Some(known) => {
                seen_at - known.seen_at >= NEWS_STEP
                    || known.is_answered != told.is_answered
                    || known.page_ms.is_none() && told.page_ms.is_some()
            }
            // In a herd that starts at once many follow for a moment; some are enough to tell of.
            None => self.sightings.len() < MAX_TOLD,
        };
        self.sightings.insert(told.peer, sighting);
        is_news
    }

    /// `on_answer` takes in that the store has answered this balancer; true if others should hear it
    /// now.
    pub fn on_answer(&mut self, answered_at: Instant) -> bool {
        if !self.watching || self.told.is_some_and(|told| answered_at < told + NEWS_STEP) {
            return false;
        }

        self.told = Some(answered_at);
        true
    }

    /// `sightings` gives those that follow the store, for heartbeats. `answered_at` is when the store
    /// last answered this balancer; none while it does not.
    #[must_use]
    pub fn sightings(
        &self,
        answered_at: Option<Instant>,
        page_time: Option<Duration>,
        now: Instant,
    ) -> Vec<WatcherSighting> {
        let own = WatcherSighting {
            peer: self.own,
            zone: self.zone.clone(),
            age_ms: answered_at.map_or(0, |at| millis_since(at, now)),
            is_answered: answered_at.is_some(),
            page_ms: page_time.map(whole_millis),
        };
        let others = self.sightings.iter().map(|(peer, sighting)| WatcherSighting {
            peer: *peer,
            zone: sighting.zone.clone(),
            age_ms: millis_since(sighting.seen_at, now),
            is_answered: sighting.is_answered,
            page_ms: sighting.page_ms,
        });
        let own = self.watching.then_some(own);

        let mut told: Vec<_> = own.into_iter().chain(staying_first(others.collect())).collect();
        told.truncate(MAX_TOLD);
        told
    }

    /// `step` decides anew.
    pub fn step(&mut self, state: RoleState, now: Instant) {
        self.sightings.retain(|_, sighting| sighting.is_alive(now));
        if state.is_answering {
            self.try_until = None;
        }

        if state.is_complete && self.has_enough(state) {
            self.begin_at = None;
            // A follower without a working connection to the store steps down regardless of its address.
            self.watching &= state.is_answering && self.is_chosen(state.has_zones);
        } else if self.watching {
            self.retry_or_yield(state, now);
        } else {
            self.consider(state, now);
        }
    }

    /// Stops following the store once the attempt deadline has passed, so that another balancer can try.
    fn retry_or_yield(&mut self, state: RoleState, now: Instant) {
        if !state.is_complete && (state.is_being_told || self.is_outranked(state)) {
            self.watching = false;
            return;
        }
        if state.is_answering {
            return;
        }

        let longest = now + if state.is_failing { TRY_FOR_AFTER_FAILURE } else { TRY_FOR };
        let try_until = self.try_until.map_or(longest, |until| until.min(longest));
        self.try_until = Some(try_until);
        if try_until <= now {
            self.watching = false;
            self.try_until = None;
            self.backoff_until = Some(now + backoff_for(state.recent_peers));
        }
    }

    /// Begins, unless enough others are at it.
    fn consider(&mut self, state: RoleState, now: Instant) {
        let wanted = if state.is_complete { WANTED_TRIERS } else { WANTED_BEGINNERS };
        let trying = self.sightings.values().filter(|sighting| !sighting.is_answered).count();
        // Without any state in the cluster, backing off would only delay the first read.
        let has_alternative = state.is_complete || trying > 0;
        let rests = has_alternative && self.backoff_until.is_some_and(|until| until > now);
        let is_served = !state.is_complete && (state.is_being_told || self.is_outranked(state));
        if trying >= wanted || rests || is_served {
            self.begin_at = None;
            return;
        }

        let jitter = MAX_JITTER.mul_f64(state.draw);
        let begin_at = *self.begin_at.get_or_insert(now + jitter);
        if begin_at <= now {
            self.begin_at = None;
            self.watching = true;
        }
    }

    /// Whether enough others that come before this balancer are reading what nobody knows yet. A long list takes longer than any
    /// pause before the next ones begin, and all that read it share the store's link.
    fn is_outranked(&self, state: RoleState) -> bool {
        let own = reader_rank(state.page_time.map(whole_millis), self.own);
        let is_before = |(peer, sighting): &(&SocketAddrV4, &Sighting)| {
            sighting.page_ms.is_some() && reader_rank(sighting.page_ms, **peer) < own
        };
        let before = self.sightings.iter().filter(is_before).count();

        !state.hears_complete && before >= WANTED_BEGINNERS
    }

    /// Whether the store answers enough others: two, and not both in one zone where there are more.
    fn has_enough(&self, state: RoleState) -> bool {
        let answered = self.answered();
        let mut zones: Vec<&ZoneName> = answered.iter().map(|(_, zone)| *zone).collect();
        zones.sort_unstable();
        zones.dedup();

        let wanted_zones = if state.has_zones { WANTED_WATCHERS } else { 1 };
        answered.len() >= WANTED_WATCHERS && zones.len() >= wanted_zones
    }

    /// The others whom the store answers, by address.
    fn answered(&self) -> Vec<(SocketAddrV4, &ZoneName)> {
        let answered = self.sightings.iter().filter(|(_, sighting)| sighting.is_answered);

        answered.map(|(peer, sighting)| (*peer, &sighting.zone)).collect()
    }

    /// Whether this balancer is one of those that stay.
    fn is_chosen(&self, has_zones: bool) -> bool {
        let mut all = self.answered();
        all.push((self.own, &self.zone));
        all.sort_unstable();

        let Some((first, first_zone)) = all.first().copied() else { return true };
        let counts = |zone: &ZoneName| !has_zones || zone != first_zone;
        let second = all.iter().skip(1).find(|(_, zone)| counts(zone));
        first == self.own || second.is_some_and(|(peer, _)| *peer == self.own)
    }
}

/// Puts the two that stay before all others: a balancer that hears of one zone only goes on following, and in a
/// herd one zone alone may have more followers than are told of. While long lists are read, those that come first in it do.
fn staying_first(mut sightings: Vec<WatcherSighting>) -> Vec<WatcherSighting> {
    if sightings.iter().any(|sighting| sighting.page_ms.is_some()) {
        sightings.sort_by_key(|sighting| reader_rank(sighting.page_ms, sighting.peer));
        return sightings;
    }
    sightings.sort_by_key(|sighting| (!sighting.is_answered, sighting.peer));

    let elsewhere = sightings.first().and_then(|first| {
        let is_second = |other: &WatcherSighting| other.is_answered && other.zone != first.zone;
        sightings.iter().position(is_second)
    });
    if let Some(place) = elsewhere {
        sightings[1..=place].rotate_right(1);
    }
    sightings
}

/// How long one that got no answer rests, so that the others come first.
fn backoff_for(recent_peers: u32) -> Duration {
    // Some try at a time, and each turn takes about as long as a call that gets no answer.
    const TURN: Duration = Duration::from_millis(800);
    let turns = recent_peers / 3;

    (TURN * turns).clamp(MIN_BACKOFF, MAX_BACKOFF)
}

/// Added to what a message says of ages, for its way. With less than the real time a piece of news
/// that is passed on at once would stay young for ever.
const HOP_AGE: Duration = Duration::from_millis(10);

/// The time of something that another balancer gave an age for.
pub(in crate::steering) fn time_of_age(age_ms: u32, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms.into()) + HOP_AGE)
}

fn whole_millis(time: Duration) -> u16 {
    u16::try_from(time.as_millis()).unwrap_or(u16::MAX)
}

pub(in crate::steering) fn millis_since(time: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(time).as_millis();

    u32::try_from(age).unwrap_or(u32::MAX)
}
