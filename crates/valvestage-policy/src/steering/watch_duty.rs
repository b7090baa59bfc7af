//! Which balancers follow the store.
//!
//! Calls to the store are few for the whole deployment, so some balancers follow it and tell the
//! others. Nobody appoints them: a balancer that hears of too few begins, after a pause drawn anew each
//! time so that not all begin at once, and one that hears of too many stops. Of many the two with the
//! lowest addresses stay, the second one in another availability zone than the first, since a zone that
//! is cut off takes its followers with it.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::ZoneName;

use super::peer_message::WatcherSighting;

/// Balancers that follow the store: one may fail or be cut off without a gap.
const WANTED_WATCHERS: usize = 2;

/// A balancer whose last answer of the store is older than this no longer counts: one watch of 1.5 s,
/// and time for the news of its end.
const SIGHTING_LIFE: Duration = Duration::from_millis(2_200);

/// A sighting that is newer by this much is passed on at once: news of a watch's end has to outrun
/// the life of a sighting.
const TELLING_STEP: Duration = Duration::from_millis(600);

/// Followers told of in one heartbeat; more of them are about to stop.
const MAX_TOLD: usize = 4;

/// Longest pause before a balancer begins to follow the store. With the life of a sighting it stays
/// below the 3 s within which a configuration has to be in force, but for the last ones to begin.
const LONGEST_HESITATION: Duration = Duration::from_millis(600);

/// Shortest pause at the start of the process, in which peers that know everything may speak first.
/// Two datagrams to and fro take some milliseconds; a store that has to be read costs a call a page.
const START_HESITATION: Duration = Duration::from_millis(15);

/// What is drawn on top of it: when all start at once, some read the store and tell the others.
const START_SPREAD: Duration = Duration::from_millis(45);

/// What is drawn at the first start of a deployment, whose traffic begins seconds later.
const FIRST_START_SPREAD: Duration = Duration::from_millis(1_000);

/// Pause for a peer that knows everything to tell it.
const TELLING_TIME: Duration = Duration::from_millis(100);

/// `DutyState` is what the decision goes by, besides other balancers.
#[derive(Debug, Clone, Copy)]
pub struct DutyState {
    /// Whether the store answers this balancer.
    pub is_answering: bool,
    /// Whether this balancer knows all that it needs.
    pub is_complete: bool,
    /// Whether balancers of more than one availability zone are known.
    pub has_zones: bool,
    /// A draw between 0 and 1.
    pub draw: f64,
}

/// When the store last answered another balancer.
#[derive(Debug, Clone)]
struct Sighting {
    answered_at: Instant,
    zone: ZoneName,
}

/// `WatchDuty` decides whether this balancer follows the store.
#[derive(Debug)]
pub struct WatchDuty {
    own: SocketAddrV4,
    on_duty: bool,
    zone: ZoneName,
    /// The balancers that follow the store, this one left out.
    sightings: BTreeMap<SocketAddrV4, Sighting>,
    /// When the store had last answered this balancer when others were told.
    told: Option<Instant>,
    /// When to begin, while there are too few.
    begin_at: Option<Instant>,
}

impl WatchDuty {
    /// `new` waits for peers for a moment that is drawn between 0 and 1.
    #[must_use]
    pub fn new(
        own: SocketAddrV4,
        zone: ZoneName,
        is_first_start: bool,
        draw: f64,
        now: Instant,
    ) -> Self {
        let spread = if is_first_start { FIRST_START_SPREAD } else { START_SPREAD };

        Self {
            own,
            on_duty: false,
            zone,
            sightings: BTreeMap::new(),
            told: None,
            begin_at: Some(now + START_HESITATION + spread.mul_f64(draw)),
        }
    }

    /// `on_telling_peer` takes in that a peer was asked for what is not known here.
    pub fn on_telling_peer(&mut self, now: Instant) {
        if let Some(begin_at) = &mut self.begin_at {
            *begin_at = now + TELLING_TIME;
        }
    }

    /// `next_due` gives when to decide again at the latest; none if nothing is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.begin_at
    }

    /// `is_on_duty` tells whether this balancer follows the store.
    #[must_use]
    pub fn is_on_duty(&self) -> bool {
        self.on_duty
    }

    /// `others` gives the number of others that are known to follow it.
    #[must_use]
    pub fn others(&self) -> usize {
        self.sightings.len()
    }

    /// `on_sighting` takes in that a balancer follows the store; true if others should hear it now.
    pub fn on_sighting(&mut self, sighting: &WatcherSighting, now: Instant) -> bool {
        let age = Duration::from_millis(sighting.age_ms.into());
        let Some(answered_at) = now.checked_sub(age) else { return false };
        if sighting.peer == self.own || age > SIGHTING_LIFE {
            return false;
        }

        let zone = sighting.zone.clone();
        match self.sightings.get_mut(&sighting.peer) {
            Some(known) if answered_at <= known.answered_at => false,
            Some(known) => {
                let step = answered_at - known.answered_at;
                known.answered_at = answered_at;
                step >= TELLING_STEP
            }
            None => {
                self.sightings.insert(sighting.peer, Sighting { answered_at, zone });
                true
            }
        }
    }

    /// `on_answer` takes in that the store has answered this balancer; true if others should hear it
    /// now.
    pub fn on_answer(&mut self, answered_at: Instant) -> bool {
        if !self.on_duty || self.told.is_some_and(|told| answered_at < told + TELLING_STEP) {
            return false;
        }

        self.told = Some(answered_at);
        true
    }

    /// `sightings` gives those that follow the store, for heartbeats. `answered_at` is when the store
    /// last answered this balancer.
    #[must_use]
    pub fn sightings(&self, answered_at: Option<Instant>, now: Instant) -> Vec<WatcherSighting> {
        let own = answered_at.filter(|_| self.on_duty).map(|at| WatcherSighting {
            peer: self.own,
            zone: self.zone.clone(),
            age_ms: millis_since(at, now),
        });
        let others = self.sightings.iter().map(|(peer, sighting)| WatcherSighting {
            peer: *peer,
            zone: sighting.zone.clone(),
            age_ms: millis_since(sighting.answered_at, now),
        });

        own.into_iter().chain(others).take(MAX_TOLD).collect()
    }

    /// `step` decides anew.
    pub fn step(&mut self, state: DutyState, now: Instant) {
        let is_alive = |sighting: &Sighting| {
            now.saturating_duration_since(sighting.answered_at) <= SIGHTING_LIFE
        };
        self.sightings.retain(|_, sighting| is_alive(sighting));

        if state.is_complete && self.has_enough(state) {
            self.begin_at = None;
            // One whom the store does not answer makes room whatever its address.
            self.on_duty &= state.is_answering && self.is_chosen(state);
            return;
        }
        if self.on_duty {
            return;
        }

        let hesitation = LONGEST_HESITATION.mul_f64(state.draw);
        let begin_at = *self.begin_at.get_or_insert(now + hesitation);
        if begin_at <= now {
            self.begin_at = None;
            self.on_duty = true;
        }
    }

    /// Whether the others are enough: two, and not both in one zone where there are more.
    fn has_enough(&self, state: DutyState) -> bool {
        let mut zones: Vec<&ZoneName> =
            self.sightings.values().map(|sighting| &sighting.zone).collect();
        zones.sort_unstable();
        zones.dedup();

        let wanted_zones = if state.has_zones { WANTED_WATCHERS } else { 1 };
        self.sightings.len() >= WANTED_WATCHERS && zones.len() >= wanted_zones
    }

    /// Whether this balancer is one of those that stay.
    fn is_chosen(&self, state: DutyState) -> bool {
        let others = self.sightings.iter().map(|(peer, sighting)| (*peer, &sighting.zone));
        let mut all: Vec<_> = others.chain([(self.own, &self.zone)]).collect();
        all.sort_unstable();

        let Some((first, first_zone)) = all.first().copied() else { return true };
        let counts = |zone: &ZoneName| !state.has_zones || zone != first_zone;
        let second = all.iter().skip(1).find(|(_, zone)| counts(zone));
        first == self.own || second.is_some_and(|(peer, _)| *peer == self.own)
    }
}

pub(super) fn millis_since(time: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(time).as_millis();

    u32::try_from(age).unwrap_or(u32::MAX)
}
