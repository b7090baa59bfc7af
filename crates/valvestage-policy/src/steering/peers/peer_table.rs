//! The other balancers that are known.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::steering::seeded_draw::SeededDraw;

/// A balancer that was not heard of for so long is forgotten, unless the settings name it. It is more
/// than the longest cut that the platform's pages tell of.
pub(in crate::steering) const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Balancers remembered at most, by far more than the size to design for.
const MAX_PEERS: usize = 2_048;

/// A balancer heard of within this time is told on to others.
const TELL_WITHIN: Duration = Duration::from_secs(3);

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
    /// When a balancer of another availability zone was last heard.
    other_zone_heard: Option<Instant>,
}

/// When a balancer was heard, and heard of.
#[derive(Debug, Clone, Copy)]
struct PeerSighting {
    heard_itself: Option<Instant>,
    heard_of: Instant,
}

impl PeerSighting {
    fn is_recent(&self, now: Instant) -> bool {
        self.heard_itself.is_some_and(|at| now.saturating_duration_since(at) < TELL_WITHIN)
    }
}

impl PeerTable {
    /// `new` knows the balancers that the settings name.
    #[must_use]
    pub fn new(own: SocketAddrV4, seeds: &[SocketAddrV4]) -> Self {
        let mut table = Self {
            own,
            seeds: Vec::new(),
            heard: BTreeMap::new(),
            turns: Vec::new(),
            other_zone_heard: None,
        };

        table.set_seeds(seeds);
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

        let sighting = PeerSighting { heard_itself: Some(now), heard_of: now };
        self.heard.insert(peer, sighting).is_none()
    }

    /// `recent_count` gives how many were heard themselves lately.
    #[must_use]
    pub fn recent_count(&self, now: Instant) -> u32 {
        let recent = self.heard.values().filter(|sighting| sighting.is_recent(now));

        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    /// `on_other_zone` takes in that a balancer of another availability zone has spoken.
    pub fn on_other_zone(&mut self, now: Instant) {
        self.other_zone_heard = Some(now);
    }

    /// `hears_other_zones` tells whether one was heard lately: in a zone that is cut off there is
    /// nobody else to follow the store.
    #[must_use]
    pub fn hears_other_zones(&self, now: Instant) -> bool {
        self.other_zone_heard.is_some_and(|at| now.saturating_duration_since(at) < TELL_WITHIN)
    }

    /// `on_told` takes in that another balancer knows of one.
    pub fn on_told(&mut self, peer: SocketAddrV4, now: Instant) {
        if peer == self.own || self.heard.len() >= MAX_PEERS {
            return;
        }

        let fresh = PeerSighting { heard_itself: None, heard_of: now };
        self.heard.entry(peer).or_insert(fresh).heard_of = now;
    }

    /// `forget_silent` forgets balancers that were not heard of for long, and gives them.
    pub fn forget_silent(&mut self, now: Instant) -> Vec<SocketAddrV4> {
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
