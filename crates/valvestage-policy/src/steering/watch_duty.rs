//! Which balancers follow the store.
//!
//! Calls to the store are few for the whole deployment, so some balancers follow it and tell the
//! others. Nobody appoints them: a balancer that hears of too few begins, after a pause drawn anew each
//! time so that not all begin at once, and one that hears of too many stops, unless its address is
//! among the lowest.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::peer_message::WatcherSighting;

/// Balancers that follow the store: one may fail or be cut off without a gap.
const WANTED_WATCHERS: usize = 2;

/// A balancer whose last answer of the store is older than this no longer counts. One watch takes up
/// to 1.5 s, and news of it some heartbeats.
const SIGHTING_LIFE: Duration = Duration::from_millis(2_600);

/// Longest pause before a balancer begins to follow the store. With the life of a sighting it stays
/// below the 3 s within which a configuration has to be in force, but for the last ones to begin.
const LONGEST_HESITATION: Duration = Duration::from_millis(600);

/// `WatchDuty` decides whether this balancer follows the store.
#[derive(Debug)]
pub struct WatchDuty {
    own: SocketAddrV4,
    on_duty: bool,
    /// When the store last answered each balancer that follows it, this one left out.
    sightings: BTreeMap<SocketAddrV4, Instant>,
    /// When to begin, while there are too few.
    begin_at: Option<Instant>,
}

impl WatchDuty {
    /// `new` follows the store until enough others are known to.
    #[must_use]
    pub fn new(own: SocketAddrV4) -> Self {
        Self { own, on_duty: true, sightings: BTreeMap::new(), begin_at: None }
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

    /// `on_sighting` takes in that a balancer follows the store.
    pub fn on_sighting(&mut self, sighting: WatcherSighting, now: Instant) {
        let age = Duration::from_millis(sighting.age_ms.into());
        let Some(at) = now.checked_sub(age) else { return };
        if sighting.peer == self.own || age > SIGHTING_LIFE {
            return;
        }

        let known = self.sightings.entry(sighting.peer).or_insert(at);
        *known = at.max(*known);
    }

    /// `sightings` gives what is known of others, for heartbeats.
    #[must_use]
    pub fn sightings(&self, now: Instant) -> Vec<WatcherSighting> {
        let told = self.sightings.iter();

        told.map(|(peer, at)| WatcherSighting { peer: *peer, age_ms: millis_since(*at, now) })
            .take(2 * WANTED_WATCHERS)
            .collect()
    }

    /// `step` decides anew. `answering` tells whether the store answers this balancer; the draw is
    /// between 0 and 1.
    pub fn step(&mut self, answering: bool, draw: f64, now: Instant) {
        self.sightings.retain(|_, at| now.saturating_duration_since(*at) <= SIGHTING_LIFE);
        let others = self.sightings.len();

        if others >= WANTED_WATCHERS {
            self.begin_at = None;
            let lower = self.sightings.keys().filter(|peer| **peer < self.own).count();
            // One whom the store does not answer makes room whatever its address.
            self.on_duty &= answering && lower < WANTED_WATCHERS;
            return;
        }
        if self.on_duty {
            return;
        }

        let hesitation = LONGEST_HESITATION.mul_f64(draw);
        let begin_at = *self.begin_at.get_or_insert(now + hesitation);
        if begin_at <= now {
            self.begin_at = None;
            self.on_duty = true;
        }
    }
}

pub(super) fn millis_since(time: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(time).as_millis();

    u32::try_from(age).unwrap_or(u32::MAX)
}
