//! The table of the other known balancers.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::ZoneName;

use super::zone_members::ZoneMembers;
use crate::steering::seeded_draw::SeededDraw;

/// A balancer that was neither heard from nor reported for this time is forgotten unless the
/// settings name it. This is longer than the longest network partition that the platform's
/// documentation names.
pub(in crate::steering) const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Maximum number of balancers in the table, far above the size that the system is designed for.
const MAX_PEERS: usize = 2_048;

/// Balancers that were heard from within this time are named to others.
pub(in crate::steering) const RECENTLY_HEARD_WITHIN: Duration = Duration::from_secs(3);

/// Number of rounds in which a balancer sends heartbeats to all others before they count as knowing
/// it, since a datagram may be lost.
const ROUNDS_TO_SETTLE: u64 = 2;

/// Shortest time before the others count as knowing this balancer. In a small deployment,
/// heartbeats that are sent at once for an update make rounds short.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The known addresses of other balancers, and the order in which they get heartbeats.
#[derive(Debug)]
pub struct PeerTable {
    own: SocketAddrV4,
    /// Addresses named by the settings, which are never forgotten.
    seeds: Vec<SocketAddrV4>,
    /// The balancers that were heard from or reported.
    sightings: BTreeMap<SocketAddrV4, PeerSighting>,
    /// Balancers that have not had their turn in the present round, the next one last.
    ///
    /// Each balancer draws its own order. If all of them went through the same order at the same
    /// pace, whole stretches of it would be left out by all of them for a while.
    round_order: Vec<SocketAddrV4>,
    /// Number of rounds that have begun.
    rounds: u64,
    /// Set until this balancer and the others count as knowing each other.
    unsettled: Option<UnsettledView>,
    /// When any balancer was last heard from.
    heard_at: Option<Instant>,
}

/// What has to happen before a balancer that knew no other one counts as known to all others.
#[derive(Debug, Clone, Copy)]
struct UnsettledView {
    /// The round that has to begin.
    until_round: u64,
    /// The time that has to be reached.
    until: Instant,
}

/// When a balancer was last heard from, and when it was last heard from or reported by others.
#[derive(Debug, Clone)]
struct PeerSighting {
    directly_heard_at: Option<Instant>,
    reported_at: Instant,
    /// Its availability zone, once it has reported it.
    zone: Option<ZoneName>,
}

impl PeerSighting {
    fn is_recent(&self, now: Instant) -> bool {
        self.directly_heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < RECENTLY_HEARD_WITHIN)
    }
}

impl PeerTable {
    /// Creates a table that holds only the balancers named by the settings.
    #[must_use]
    pub fn new(own: SocketAddrV4, seeds: &[SocketAddrV4], now: Instant) -> Self {
        let mut table = Self {
            own,
            seeds: Vec::new(),
            sightings: BTreeMap::new(),
            round_order: Vec::new(),
            rounds: 0,
            unsettled: None,
            heard_at: None,
        };

        table.set_seeds(seeds);
        table.mark_unsettled(now);
        table
    }

    /// Replaces the balancers that are named by the settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.own).collect();
    }

    /// Returns the number of balancers that were heard from or reported.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sightings.len()
    }

    /// Reports whether no balancer was heard from or reported.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sightings.is_empty()
    }

    /// Records that a message of a balancer has arrived. Returns whether the balancer was unknown.
    pub fn on_heard(&mut self, peer: SocketAddrV4, now: Instant) -> bool {
        if peer == self.own || self.sightings.len() >= MAX_PEERS {
            return false;
        }

        // A balancer that has heard from no other one for a while may have been forgotten by
        // others, which then take over its work.
        if !self.hears_anyone(now) {
            self.mark_unsettled(now);
        }
        self.heard_at = Some(now);
        let is_new = !self.sightings.contains_key(&peer);
        let sighting = self.sighting(peer, now);
        sighting.directly_heard_at = Some(now);
        sighting.reported_at = now;
        is_new
    }

    /// Records the availability zone of a known balancer.
    pub fn on_zone(&mut self, peer: SocketAddrV4, zone: &ZoneName) {
        if let Some(sighting) = self.sightings.get_mut(&peer) {
            sighting.zone = Some(zone.clone());
        }
    }

    /// Returns the entry of a balancer, which is added if it is new.
    fn sighting(&mut self, peer: SocketAddrV4, now: Instant) -> &mut PeerSighting {
        if !self.sightings.contains_key(&peer) && self.unsettled.is_some() {
            self.mark_unsettled(now);
        }

        let fresh = PeerSighting { directly_heard_at: None, reported_at: now, zone: None };
        self.sightings.entry(peer).or_insert(fresh)
    }

    /// Records that others may not know this balancer, or it may not know them, until enough rounds
    /// have been completed.
    pub fn mark_unsettled(&mut self, now: Instant) {
        // The present round may have left them out already.
        let until_round = self.rounds + 1 + ROUNDS_TO_SETTLE;

        self.unsettled = Some(UnsettledView { until_round, until: now + SETTLE_TIME });
    }

    fn hears_anyone(&self, now: Instant) -> bool {
        self.heard_at.is_some_and(|at| now.saturating_duration_since(at) < RECENTLY_HEARD_WITHIN)
    }

    /// Returns the balancers of `zone`, which has to be the availability zone of this balancer.
    #[must_use]
    pub fn zone_members(&self, zone: &ZoneName, now: Instant) -> ZoneMembers {
        let may_be_member =
            |sighting: &PeerSighting| sighting.zone.as_ref().is_none_or(|known| known == zone);
        let members = self.sightings.iter().filter(|(_, sighting)| may_be_member(sighting));
        ZoneMembers {
            own: self.own,
            others: members.map(|(peer, _)| *peer).collect(),
            is_settled: self.unsettled.is_none() && self.hears_anyone(now),
        }
    }

    /// Returns the number of balancers that were heard from recently.
    #[must_use]
    pub fn recent_count(&self, now: Instant) -> u32 {
        let recent = self.sightings.values().filter(|sighting| sighting.is_recent(now));

        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    /// Records that a balancer was reported by another one.
    pub fn on_reported(&mut self, peer: SocketAddrV4, now: Instant) {
        if peer == self.own || self.sightings.len() >= MAX_PEERS {
            return;
        }

        self.sighting(peer, now).reported_at = now;
    }

    /// Ends the unsettled state once its rounds and its time are over.
    fn settle(&mut self, now: Instant) {
        let is_reached =
            |view: &UnsettledView| view.until <= now && view.until_round <= self.rounds;

        if self.unsettled.as_ref().is_some_and(is_reached) {
            self.unsettled = None;
        }
    }

    /// Removes the balancers that were neither heard from nor reported for long, and returns them.
    pub fn forget_silent(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        self.settle(now);
        let is_silent = |sighting: &PeerSighting| {
            now.saturating_duration_since(sighting.reported_at) >= FORGET_AFTER
        };
        let silent = self.sightings.iter().filter(|(_, sighting)| is_silent(sighting));
        let silent: Vec<SocketAddrV4> = silent.map(|(peer, _)| *peer).collect();

        for peer in &silent {
            self.sightings.remove(peer);
        }
        silent
    }

    /// Returns the next balancers in turn. Every balancer gets its turn before any gets a second
    /// one.
    pub fn next_in_turn(&mut self, count: usize, draw: &mut SeededDraw) -> Vec<SocketAddrV4> {
        let mut chosen = Vec::with_capacity(count);

        while chosen.len() < count {
            if self.round_order.is_empty() {
                self.round_order = self.shuffled(&chosen, draw);
                self.rounds += u64::from(!self.round_order.is_empty());
            }
            match self.round_order.pop() {
                Some(peer) => chosen.push(peer),
                None => break,
            }
        }
        chosen
    }

    /// Returns all balancers but `except` in a random order.
    fn shuffled(&self, except: &[SocketAddrV4], draw: &mut SeededDraw) -> Vec<SocketAddrV4> {
        let missing = self.seeds.iter().filter(|seed| !self.sightings.contains_key(seed));
        let all = self.sightings.keys().chain(missing).copied();
        let mut order: Vec<SocketAddrV4> = all.filter(|peer| !except.contains(peer)).collect();

        for last in (1..order.len()).rev() {
            order.swap(last, draw.below(last + 1));
        }
        order
    }

    /// Returns some balancers that were heard from recently, starting at an offset given by `draw`.
    pub fn sample_recent(&self, count: usize, draw: usize, now: Instant) -> Vec<SocketAddrV4> {
        let recent = self.sightings.iter().filter(|(_, sighting)| sighting.is_recent(now));
        let recent: Vec<SocketAddrV4> = recent.map(|(peer, _)| *peer).collect();

        let count = count.min(recent.len());
        (0..count).map(|step| recent[(draw + step) % recent.len()]).collect()
    }
}
