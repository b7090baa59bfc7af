//! What happens to datagrams on their way.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use valvestage_standins::draws::Draws;

use crate::site_plan::SitePlan;

/// `LinkEffect` is what happens to a datagram.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LinkEffect {
    /// It is lost.
    Cut,
    /// It is lost with this probability.
    Loss(f64),
    /// It comes later.
    Delay(Duration),
}

/// `LinkEnds` says on which ways a fault lies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnds {
    /// Between a zone and all others, both ways.
    ZoneBorder(usize),
    /// Out of a zone, not into it.
    OutOfZone(usize),
    /// From and to one balancer.
    Balancer(usize),
    /// Between all zones.
    Everywhere,
}

/// `LinkFault` is a fault that lasts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkFault {
    /// Where.
    pub ends: LinkEnds,
    /// What.
    pub effect: LinkEffect,
    /// Until when.
    pub until: Instant,
}

/// `LinkTable` is shared by everything that passes datagrams on.
#[derive(Clone, Default)]
pub struct LinkTable {
    faults: Arc<Mutex<Vec<LinkFault>>>,
}

impl LinkTable {
    /// `add` adds a fault.
    pub fn add(&self, fault: LinkFault) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).push(fault);
    }

    /// `pass` decides about a datagram of a balancer to another one or to a backend server of a zone:
    /// by how much it is delayed; none if it is lost.
    pub fn pass(
        &self,
        balancer: usize,
        to: LinkTarget,
        draws: &mut Draws,
        now: Instant,
    ) -> Option<Duration> {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.retain(|fault| fault.until > now);

        let mut delay = Duration::ZERO;
        for fault in faults.iter().filter(|fault| fault.ends.lie_on(balancer, to)) {
            match fault.effect {
                LinkEffect::Cut => return None,
                LinkEffect::Loss(share) if draws.unit() < share => return None,
                LinkEffect::Loss(_) => {}
                LinkEffect::Delay(time) => delay += time,
            }
        }
        Some(delay)
    }
}

/// `LinkTarget` is where a datagram of a balancer goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkTarget {
    /// Another balancer.
    Balancer(usize),
    /// A backend server of a zone.
    BackendIn(usize),
}

impl LinkEnds {
    fn lie_on(self, balancer: usize, to: LinkTarget) -> bool {
        let from = SitePlan::zone_of(balancer);
        let into = match to {
            LinkTarget::Balancer(number) => SitePlan::zone_of(number),
            LinkTarget::BackendIn(zone) => zone,
        };

        match self {
            Self::ZoneBorder(zone) => (from == zone) != (into == zone),
            Self::OutOfZone(zone) => from == zone && into != zone,
            Self::Balancer(number) => balancer == number || to == LinkTarget::Balancer(number),
            Self::Everywhere => true,
        }
    }
}
