//! Faults on datagram links.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use valvestage_standins::seeded_rng::SeededRng;

use crate::site_plan::SitePlan;

/// Effect of a fault on a datagram.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LinkEffect {
    /// The datagram is lost.
    Cut,
    /// The datagram is lost with this probability.
    Loss(f64),
    /// The datagram is delayed by this time.
    Delay(Duration),
}

/// Set of links that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkScope {
    /// Links between a zone and all others, in both directions.
    ZoneBorder(usize),
    /// Links out of a zone, but not into it.
    OutOfZone(usize),
    /// Links from and to one balancer.
    Balancer(usize),
    /// All links, within and between zones.
    Everywhere,
}

/// Fault on links that lasts until a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkFault {
    /// Links that the fault affects.
    pub scope: LinkScope,
    /// Effect on datagrams of these links.
    pub effect: LinkEffect,
    /// End of the fault.
    pub until: Instant,
}

/// Active faults on links, shared by everything that relays datagrams.
#[derive(Clone, Default)]
pub struct LinkTable {
    faults: Arc<Mutex<Vec<LinkFault>>>,
}

impl LinkTable {
    /// Adds a fault, which is removed after its end.
    pub fn add(&self, fault: LinkFault) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).push(fault);
    }

    /// Returns the delay of a datagram from a balancer to a target, the sum over all faults on the
    /// link, or `None` if the datagram is lost.
    pub fn datagram_delay(
        &self,
        balancer: usize,
        to: LinkTarget,
        rng: &mut SeededRng,
        now: Instant,
    ) -> Option<Duration> {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.retain(|fault| fault.until > now);

        let mut delay = Duration::ZERO;
        for fault in faults.iter().filter(|fault| fault.scope.includes(balancer, to)) {
            match fault.effect {
                LinkEffect::Cut => return None,
                LinkEffect::Loss(share) if rng.next_f64() < share => return None,
                LinkEffect::Loss(_) => {}
                LinkEffect::Delay(time) => delay += time,
            }
        }
        Some(delay)
    }
}

/// Receiver of a balancer's datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkTarget {
    /// Another balancer, by number.
    Balancer(usize),
    /// A backend server in this zone.
    BackendIn(usize),
}

impl LinkScope {
    fn includes(self, balancer: usize, to: LinkTarget) -> bool {
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
