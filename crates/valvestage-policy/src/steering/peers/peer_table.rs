//! The other balancers that are known.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::ZoneName;

use super::zone_members::ZoneMembers;
use crate::steering::seeded_draw::SeededDraw;

/// A balancer that was not heard of for so long is forgotten, unless the settings name it. It is more
/// than the longest cut that the platform's pages tell of.
pub(in crate::steering) const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Balancers remembered at most, by far more than the size to design for.
const MAX_PEERS: usize = 2_048;

/// A balancer heard of within this time is told on to others.
pub(in crate::steering) const TELL_WITHIN: Duration = Duration::from_secs(3);

/// Rounds of turns in which a balancer tells all others of itself before it counts as known to them: a datagram may be lost.
const ROUNDS_TO_SETTLE: u64 = 2;

/// Shortest time for that. News makes rounds short in a small deployment.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// `PeerTable` holds the addresses of other balancers.
#[derive(Debug)]
pub struct PeerTable {
    own: SocketAddrV4,
    /// Named by the settings; never forgotten.
    seeds: Vec<SocketAddrV4>,
    /// When each balancer was last heard itself; none if others told of it.
    heard: BTreeMap<SocketAddrV4, PeerSighting>,
    /// Balancers that have not had their turn yet, in the order of their turns.
    ///
    /// Each balancer draws its own order. Where all went through one order at the same pace, whole
    /// stretches of it would be left out by all of them for a while.
    turns: Vec<SocketAddrV4>,
    /// Rounds of turns that have begun.
    rounds: u64,
    /// Set until this balancer and the others know of each other.
    unsettled: Option<UnsettledView>,
    /// When any balancer was last heard.
    heard_at: Option<Instant>,
}

/// What has to happen before a balancer that knew nobody counts as known to all others.
#[derive(Debug, Clone, Copy)]
struct UnsettledView {
    /// The round of turns that has to begin.
    until_round: u64,
    /// The time that has to come.
    until: Instant,
}

/// When a balancer was heard, and heard of.
#[derive(Debug, Clone)]
struct PeerSighting {
    heard_itself: Option<Instant>,
    heard_of: Instant,
    /// Its availability zone, once it has told it.
    zone: Option<ZoneName>,
}

impl PeerSighting {
    fn is_recent(&self, now: Instant) -> bool {
        self.heard_itself.is_some_and(|at| now.saturating_duration_since(at) < TELL_WITHIN)
    }
}

impl PeerTable {
    /// `new` knows the balancers that the settings name.
    #[must_use]
    pub fn new(own: SocketAddrV4, seeds: &[SocketAddrV4], now: Instant) -> Self {
        let mut table = Self {
            own,
            seeds: Vec::new(),
            heard: BTreeMap::new(),
            turns: Vec::new(),
            rounds: 0,
            unsettled: None,
            heard_at: None,
        };

        table.set_seeds(seeds);
        table.unsettle(now);
        table
    }

    /// `set_seeds` replaces the balancers that the settings name.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.own).collect();
    }

    /// `len` gives the number of balancers that were heard of.
    #[must_use]
    pub fn len(&self) -> usize {
        self.heard.len()
    }

    /// `is_empty` tells whether none was heard of.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    /// `on_heard` takes in that a balancer has spoken; true if it was not known.
    pub fn on_heard(&mut self, peer: SocketAddrV4, now: Instant) -> bool {
        if peer == self.own || self.heard.len() >= MAX_PEERS {
            return false;
        }

        // One that has heard nobody for a while may be forgotten by others, who take over what it did.
        if !self.hears_anyone(now) {
            self.unsettle(now);
        }
        self.heard_at = Some(now);
        let is_new = !self.heard.contains_key(&peer);
        let sighting = self.sighting(peer, now);
        sighting.heard_itself = Some(now);
        sighting.heard_of = now;
        is_new
    }

    /// `on_zone` takes in in which availability zone a balancer is.
    pub fn on_zone(&mut self, peer: SocketAddrV4, zone: &ZoneName) {
        if let Some(sighting) = self.heard.get_mut(&peer) {
            sighting.zone = Some(zone.clone());
        }
    }

    /// What is known of a balancer, which may be new.
    fn sighting(&mut self, peer: SocketAddrV4, now: Instant) -> &mut PeerSighting {
        if !self.heard.contains_key(&peer) && self.unsettled.is_some() {
            self.unsettle(now);
        }

        let fresh = PeerSighting { heard_itself: None, heard_of: now, zone: None };
        self.heard.entry(peer).or_insert(fresh)
    }

    /// `unsettle` takes in that others may not know of this balancer, nor this one of them.
    pub fn unsettle(&mut self, now: Instant) {
        // The one that goes on may have passed them over already.
        let until_round = self.rounds + 1 + ROUNDS_TO_SETTLE;

        self.unsettled = Some(UnsettledView { until_round, until: now + SETTLE_TIME });
    }

    fn hears_anyone(&self, now: Instant) -> bool {
        self.heard_at.is_some_and(|at| now.saturating_duration_since(at) < TELL_WITHIN)
    }

    /// `zone_members` gives the balancers of an availability zone, in which this one is.
    #[must_use]
    pub fn zone_members(&self, zone: &ZoneName, now: Instant) -> ZoneMembers {
        let may_be_member =
            |sighting: &PeerSighting| sighting.zone.as_ref().is_none_or(|known| known == zone);
        let members = self.heard.iter().filter(|(_, sighting)| may_be_member(sighting));
        ZoneMembers {
            own: self.own,
            others: members.map(|(peer, _)| *peer).collect(),
            is_settled: self.unsettled.is_none() && self.hears_anyone(now),
        }
    }

    /// `recent_count` gives how many were heard themselves lately.
    #[must_use]
    pub fn recent_count(&self, now: Instant) -> u32 {
        let recent = self.heard.values().filter(|sighting| sighting.is_recent(now));

        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    /// `on_told` takes in that another balancer knows of one.
    pub fn on_told(&mut self, peer: SocketAddrV4, now: Instant) {
        if peer == self.own || self.heard.len() >= MAX_PEERS {
            return;
        }

        self.sighting(peer, now).heard_of = now;
    }

    /// `settle` takes in that this balancer and the others know of each other, once that is so.
    fn settle(&mut self, now: Instant) {
        let is_reached =
            |view: &UnsettledView| view.until <= now && view.until_round <= self.rounds;

        if self.unsettled.as_ref().is_some_and(is_reached) {
            self.unsettled = None;
        }
    }

    /// `forget_silent` forgets balancers that were not heard of for long, and gives them.
    pub fn forget_silent(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        self.settle(now);
        let is_silent = |sighting: &PeerSighting| {
            now.saturating_duration_since(sighting.heard_of) >= FORGET_AFTER
        };
        let silent = self.heard.iter().filter(|(_, sighting)| is_silent(sighting));
        let silent: Vec<SocketAddrV4> = silent.map(|(peer, _)| *peer).collect();

        for peer in &silent {
            self.heard.remove(peer);
        }
        silent
    }

    /// `choose` gives some balancers, others each time until all had their turn.
    pub fn choose(&mut self, count: usize, draw: &mut SeededDraw) -> Vec<SocketAddrV4> {
        let mut chosen = Vec::with_capacity(count);

        while chosen.len() < count {
            if self.turns.is_empty() {
                self.turns = self.shuffled(&chosen, draw);
                self.rounds += u64::from(!self.turns.is_empty());
            }
            match self.turns.pop() {
                Some(peer) => chosen.push(peer),
                None => break,
            }
        }
        chosen
    }

    /// All balancers but some, in a drawn order.
    fn shuffled(&self, except: &[SocketAddrV4], draw: &mut SeededDraw) -> Vec<SocketAddrV4> {
        let missing = self.seeds.iter().filter(|seed| !self.heard.contains_key(seed));
        let all = self.heard.keys().chain(missing).copied();
        let mut order: Vec<SocketAddrV4> = all.filter(|peer| !except.contains(peer)).collect();

        for last in (1..order.len()).rev() {
            order.swap(last, draw.below(last + 1));
        }
        order
    }

    /// `sample` gives some balancers that were heard lately, others each time.
    pub fn sample(&self, count: usize, draw: usize, now: Instant) -> Vec<SocketAddrV4> {
        let recent = self.heard.iter().filter(|(_, sighting)| sighting.is_recent(now));
        let recent: Vec<SocketAddrV4> = recent.map(|(peer, _)| *peer).collect();

        let count = count.min(recent.len());
        (0..count).map(|step| recent[(draw + step) % recent.len()]).collect()
    }
}
