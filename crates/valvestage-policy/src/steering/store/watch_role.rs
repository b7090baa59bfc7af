//! The choice of the balancers that follow the store.
//!
//! To keep calls to the store few in the whole deployment, some balancers follow it and report what
//! they read to the others. The choice is made without coordination: a balancer that knows of too
//! few followers begins to follow after a pause, which is drawn anew each time so that not all
//! begin at once, and one that knows of too many stops. Of many followers the two with the lowest
//! addresses stay, the second one in another availability zone than the first, since a zone that is
//! cut off takes its followers with it.
//!
//! While the store answers no balancer, or refuses some balancers, a few balancers try at a time. A
//! balancer that gets no answer backs off and lets others try, so that the number of calls does not
//! grow with the deployment and a balancer that the store does answer is found.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::ZoneName;

use crate::steering::peers::peer_message::WatcherSighting;

/// Number of balancers that follow the store, so that one may fail or be cut off without a gap.
const REQUIRED_WATCHERS: usize = 2;

/// A balancer counts as a follower for this time after the store last answered it: one watch of
/// 1.5 s, plus the time for the report of its end to spread.
const SIGHTING_TTL: Duration = Duration::from_millis(2_200);

/// A sighting that is newer by at least this much is forwarded at once, so that the report of a
/// watch's end arrives before the former sighting expires.
const MIN_SIGHTING_ADVANCE: Duration = Duration::from_millis(600);

/// Number of followers named in one heartbeat, those that stay first. Any further ones are about to
/// stop.
const MAX_ANNOUNCED: usize = 4;

/// How long an attempt of a peer that the store does not answer counts.
const ATTEMPT_TTL: Duration = Duration::from_millis(800);

/// Number of balancers that may try at once while the known state is complete and in force.
const MAX_CONCURRENT_ATTEMPTS: usize = 3;

/// Number of balancers that may try at once while they know nothing yet: callers wait at each of
/// them.
const MAX_CONCURRENT_READERS: usize = 4;

/// A balancer that gets no answer lets others try after this time.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_600);

/// A balancer whose calls have failed lets others try after this time, which allows each call one
/// retry.
const ATTEMPT_TIMEOUT_AFTER_FAILURE: Duration = Duration::from_millis(400);

/// Shortest backoff after an unanswered attempt. The backoff lasts about as long as all other
/// balancers need to try in turn, but not less than this.
const MIN_BACKOFF: Duration = Duration::from_millis(1_500);

/// Longest backoff after an unanswered attempt, since the others may be cut off without this
/// balancer's knowing.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Longest pause before a balancer begins to follow the store. Together with the time after which a
/// sighting expires, it stays below the 3 s within which a configuration has to be in force, except
/// for the last balancers to begin.
const MAX_JITTER: Duration = Duration::from_millis(600);

/// Shortest pause at the start of the process, in which peers with complete knowledge may report
/// first. Two datagrams each way take a few milliseconds, while reading the store costs one call
/// per page.
const START_DELAY: Duration = Duration::from_millis(15);

/// Upper bound of the jitter that is added to the shortest pause: when all balancers start at once,
/// some read the store and report to the others.
const START_JITTER: Duration = Duration::from_millis(45);

/// Upper bound of the jitter at the first start of a deployment, whose traffic begins 10 s later:
/// most balancers learn of the first followers before they begin themselves.
const FIRST_START_JITTER: Duration = Duration::from_millis(3_000);

/// Time for a peer with complete knowledge to answer a pull before this balancer begins to follow
/// the store.
const PULL_GRACE: Duration = Duration::from_millis(100);

/// Inputs of the decision other than what is known of other followers.
#[derive(Debug, Clone, Copy)]
pub struct RoleInputs {
    /// Whether the store answers this balancer.
    pub is_answering: bool,
    /// Whether calls of this balancer have failed since it began to follow the store and since the
    /// store last answered it.
    pub is_failing: bool,
    /// Whether this balancer knows everything that it needs, or everything that exists.
    pub is_complete: bool,
    /// Whether balancers of other availability zones have been heard from recently.
    pub hears_other_zones: bool,
    /// Duration of the call for the last page of a long list that this balancer is reading; `None`
    /// if it reads no such list.
    pub page_time: Option<Duration>,
    /// Whether a peer with complete knowledge has been heard from and can be asked.
    pub has_complete_peer: bool,
    /// Whether a peer is currently sending its knowledge to this balancer.
    pub is_receiving_answer: bool,
    /// Number of peers that were heard from recently.
    pub recent_peers: u32,
    /// A random number between 0 and 1.
    pub draw: f64,
}

/// What is known of another balancer that follows the store or tries to.
#[derive(Debug, Clone)]
struct Sighting {
    /// When the store last answered it or, if the store does not answer it, when it last tried.
    seen_at: Instant,
    is_answered: bool,
    /// Duration of the call for the last page of a long list that it is reading, in milliseconds.
    page_ms: Option<u16>,
    zone: ZoneName,
}

/// Sort key of balancers that read a long list: the faster ones first, and those of about the same
/// speed by address.
type ReaderRank = (u32, SocketAddrV4);

/// Returns the rank of a balancer that reads a long list or, without a page time, has not begun.
/// Page times vary by chance, so only their order of magnitude counts.
fn reader_rank(page_ms: Option<u16>, peer: SocketAddrV4) -> ReaderRank {
    let magnitude = page_ms.map_or(u32::MAX, |time| time.max(1).ilog2());

    (magnitude, peer)
}

impl Sighting {
    fn is_alive(&self, now: Instant) -> bool {
        let life = if self.is_answered { SIGHTING_TTL } else { ATTEMPT_TTL };

        now.saturating_duration_since(self.seen_at) <= life
    }
}

/// Decides whether this balancer follows the store.
#[derive(Debug)]
pub struct WatchRole {
    own: SocketAddrV4,
    watching: bool,
    zone: ZoneName,
    /// The other balancers that follow the store or try to.
    sightings: BTreeMap<SocketAddrV4, Sighting>,
    /// Time of the store's answer that was last announced to peers.
    announced_at: Option<Instant>,
    /// When to begin to follow the store, while too few others do.
    begin_at: Option<Instant>,
    /// Until when to keep trying, while the store does not answer.
    attempt_until: Option<Instant>,
    /// Until when not to try.
    backoff_until: Option<Instant>,
}

impl WatchRole {
    /// Creates the role of a balancer that has just started. It waits for its peers for a time that
    /// `draw`, between 0 and 1, determines.
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
            announced_at: None,
            begin_at: Some(now + START_DELAY + jitter.mul_f64(draw)),
            attempt_until: None,
            backoff_until: None,
        }
    }

    /// Records that a peer was asked for missing knowledge, which postpones a pending start of
    /// following the store.
    pub fn on_pull_sent(&mut self, now: Instant) {
        if let Some(begin_at) = &mut self.begin_at {
            *begin_at = now + PULL_GRACE;
        }
    }

    /// Returns when [`Self::step`] has to be called at the latest; `None` if nothing is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.begin_at
    }

    /// Reports whether this balancer follows the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Reports whether this balancer will keep following the store, as far as it knows the other
    /// followers.
    #[must_use]
    pub fn keeps_watching(&self, hears_other_zones: bool) -> bool {
        self.watching && self.is_chosen(hears_other_zones)
    }

    /// Returns the number of other balancers that are known to follow the store or to try to.
    #[must_use]
    pub fn other_follower_count(&self) -> usize {
        self.sightings.len()
    }

    /// Records the report that a balancer follows the store. Returns whether peers should be
    /// notified at once.
    pub fn on_sighting(&mut self, reported: &WatcherSighting, now: Instant) -> bool {
        let Some(seen_at) = time_of_age(reported.age_ms, now) else { return false };
        let sighting = Sighting {
            seen_at,
            is_answered: reported.is_answered,
            page_ms: reported.page_ms,
            zone: reported.zone.clone(),
        };
        if reported.peer == self.own || !sighting.is_alive(now) {
            return false;
        }

        let known = self.sightings.get(&reported.peer);
        if known.is_some_and(|known| seen_at <= known.seen_at) {
            return false;
        }
        let is_update = match known {
            Some(known) => {
                seen_at - known.seen_at >= MIN_SIGHTING_ADVANCE
                    || known.is_answered != reported.is_answered
                    || known.page_ms.is_none() && reported.page_ms.is_some()
            }
            // When many balancers start at once, many of them follow for a moment; it is enough to
            // announce some of them.
            None => self.sightings.len() < MAX_ANNOUNCED,
        };
        self.sightings.insert(reported.peer, sighting);
        is_update
    }

    /// Records that the store has answered this balancer. Returns whether peers should be notified
    /// at once.
    pub fn on_answer(&mut self, answered_at: Instant) -> bool {
        if !self.watching
            || self.announced_at.is_some_and(|at| answered_at < at + MIN_SIGHTING_ADVANCE)
        {
            return false;
        }

        self.announced_at = Some(answered_at);
        true
    }

    /// Returns the followers to name in heartbeats. `answered_at` is the time of the store's last
    /// answer to this balancer, `None` while the store does not answer it.
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

        let mut announced: Vec<_> =
            own.into_iter().chain(sort_for_heartbeat(others.collect())).collect();
        announced.truncate(MAX_ANNOUNCED);
        announced
    }

    /// Updates the decision whether this balancer follows the store.
    pub fn step(&mut self, inputs: RoleInputs, now: Instant) {
        self.sightings.retain(|_, sighting| sighting.is_alive(now));
        if inputs.is_answering {
            self.attempt_until = None;
        }

        if inputs.is_complete && self.has_enough(inputs) {
            self.begin_at = None;
            // A follower without a working connection to the store steps down regardless of its
            // address.
            self.watching &= inputs.is_answering && self.is_chosen(inputs.hears_other_zones);
        } else if self.watching {
            self.retry_or_yield(inputs, now);
        } else {
            self.consider_following(inputs, now);
        }
    }

    /// Stops following the store if others provide what is missing, or once the attempt deadline
    /// has passed, so that another balancer can try.
    fn retry_or_yield(&mut self, inputs: RoleInputs, now: Instant) {
        if !inputs.is_complete && (inputs.is_receiving_answer || self.is_outranked(inputs)) {
            self.watching = false;
            return;
        }
        if inputs.is_answering {
            return;
        }

        let longest =
            now + if inputs.is_failing { ATTEMPT_TIMEOUT_AFTER_FAILURE } else { ATTEMPT_TIMEOUT };
        let attempt_until = self.attempt_until.map_or(longest, |until| until.min(longest));
        self.attempt_until = Some(attempt_until);
        if attempt_until <= now {
            self.watching = false;
            self.attempt_until = None;
            self.backoff_until = Some(now + backoff_for(inputs.recent_peers));
        }
    }

    /// Begins to follow the store after the pause, unless enough others are trying or this balancer
    /// backs off.
    fn consider_following(&mut self, inputs: RoleInputs, now: Instant) {
        let limit =
            if inputs.is_complete { MAX_CONCURRENT_ATTEMPTS } else { MAX_CONCURRENT_READERS };
        let trying = self.sightings.values().filter(|sighting| !sighting.is_answered).count();
        // If this balancer knows too little and no other one is trying, backing off would only
        // delay the first read.
        let has_alternative = inputs.is_complete || trying > 0;
        let is_backing_off = has_alternative && self.backoff_until.is_some_and(|until| until > now);
        let is_served =
            !inputs.is_complete && (inputs.is_receiving_answer || self.is_outranked(inputs));
        if trying >= limit || is_backing_off || is_served {
            self.begin_at = None;
            return;
        }

        let jitter = MAX_JITTER.mul_f64(inputs.draw);
        let begin_at = *self.begin_at.get_or_insert(now + jitter);
        if begin_at <= now {
            self.begin_at = None;
            self.watching = true;
        }
    }

    /// Reports whether enough balancers with a better rank are reading what no balancer knows yet.
    /// A long list takes longer to read than any pause before the next balancers begin, and all
    /// that read it share the store's link.
    fn is_outranked(&self, inputs: RoleInputs) -> bool {
        let own = reader_rank(inputs.page_time.map(whole_millis), self.own);
        let is_before = |(peer, sighting): &(&SocketAddrV4, &Sighting)| {
            sighting.page_ms.is_some() && reader_rank(sighting.page_ms, **peer) < own
        };
        let before = self.sightings.iter().filter(is_before).count();

        !inputs.has_complete_peer && before >= MAX_CONCURRENT_READERS
    }

    /// Reports whether the store answers enough other balancers: two, in different availability
    /// zones where there is more than one.
    fn has_enough(&self, inputs: RoleInputs) -> bool {
        let answered = self.answered();
        let mut zones: Vec<&ZoneName> = answered.iter().map(|(_, zone)| *zone).collect();
        zones.sort_unstable();
        zones.dedup();

        let required_zones = if inputs.hears_other_zones { REQUIRED_WATCHERS } else { 1 };
        answered.len() >= REQUIRED_WATCHERS && zones.len() >= required_zones
    }

    /// Returns the other balancers that the store answers, ordered by address.
    fn answered(&self) -> Vec<(SocketAddrV4, &ZoneName)> {
        let answered = self.sightings.iter().filter(|(_, sighting)| sighting.is_answered);

        answered.map(|(peer, sighting)| (*peer, &sighting.zone)).collect()
    }

    /// Reports whether this balancer is one of the two that stay, as long as the store answers it.
    fn is_chosen(&self, hears_other_zones: bool) -> bool {
        let mut all = self.answered();
        all.push((self.own, &self.zone));
        all.sort_unstable();

        let Some((first, first_zone)) = all.first().copied() else { return true };
        let counts = |zone: &ZoneName| !hears_other_zones || zone != first_zone;
        let second = all.iter().skip(1).find(|(_, zone)| counts(zone));
        first == self.own || second.is_some_and(|(peer, _)| *peer == self.own)
    }
}

/// Sorts followers so that the two that stay come first. A balancer that learns of followers in
/// only one zone keeps following, and when many start at once, a single zone may have more
/// followers than a heartbeat names. While long lists are read, the readers with the best rank come
/// first.
fn sort_for_heartbeat(mut sightings: Vec<WatcherSighting>) -> Vec<WatcherSighting> {
    if sightings.iter().any(|sighting| sighting.page_ms.is_some()) {
        sightings.sort_by_key(|sighting| reader_rank(sighting.page_ms, sighting.peer));
        return sightings;
    }
    sightings.sort_by_key(|sighting| (!sighting.is_answered, sighting.peer));

    let elsewhere = sightings.first().and_then(|first| {
        let is_second = |other: &WatcherSighting| other.is_answered && other.zone != first.zone;
        sightings.iter().position(is_second)
    });
    if let Some(index) = elsewhere {
        sightings[1..=index].rotate_right(1);
    }
    sightings
}

/// Returns how long a balancer without an answer backs off, so that all others try before it.
fn backoff_for(recent_peers: u32) -> Duration {
    // Three balancers try at a time, and each turn takes about as long as a call without an answer.
    const TURN: Duration = Duration::from_millis(800);
    let turns = recent_peers / 3;

    (TURN * turns).clamp(MIN_BACKOFF, MAX_BACKOFF)
}

/// Added to the ages in a message for its transit time. If it were less than the real transit time,
/// information that is forwarded at once would never age.
const HOP_DELAY: Duration = Duration::from_millis(10);

/// Returns the time of an event whose age another balancer reported; `None` if it is too far in the
/// past.
pub(in crate::steering) fn time_of_age(age_ms: u32, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms.into()) + HOP_DELAY)
}

fn whole_millis(time: Duration) -> u16 {
    u16::try_from(time.as_millis()).unwrap_or(u16::MAX)
}

pub(in crate::steering) fn millis_since(time: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(time).as_millis();

    u32::try_from(age).unwrap_or(u32::MAX)
}
