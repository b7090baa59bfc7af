//! Callers that open far more flows than the others.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use crate::steering::load::decaying_rate::DecayingRate;

/// Time after its last opening packet for which an address counts in the mean.
const RECENT: Duration = Duration::from_secs(1);

/// Multiple of the mean rate up to which an address has no excess.
const MAX_MULTIPLE: f64 = 4.0;

/// Recent opening packets, where older ones count less, up to which an address has no excess, whatever the mean: a
/// caller tries a request three times, and most addresses of a small sample have one packet.
const MIN_EXCESS: f64 = 4.0;

/// Maximum number of addresses that are tracked. Each takes some 40 bytes; further ones have no
/// excess until others are forgotten.
const MAX_ADDRESSES: usize = 4_096;

/// Rates of opening packets by caller address, as seen by this balancer.
#[derive(Debug, Default)]
pub struct CallerRates {
    openings: HashMap<Ipv4Addr, DecayingRate>,
    /// Mean over the recent addresses as of the last call of [`Self::update`].
    mean: f64,
}

impl CallerRates {
    /// Counts an opening packet of an address, and returns the part of the address's flows that is
    /// no excess, from 0 to 1.
    pub fn on_opening(&mut self, address: Ipv4Addr, now: Instant) -> f64 {
        if self.openings.len() >= MAX_ADDRESSES && !self.openings.contains_key(&address) {
            return 1.0;
        }

        let openings = self.openings.entry(address).or_default();
        openings.on_event(now);
        let allowed = (MAX_MULTIPLE * self.mean).max(MIN_EXCESS);
        (allowed / openings.count(now)).min(1.0)
    }

    /// Forgets the addresses without a recent opening packet, and updates the mean over the others;
    /// to be called several times a second.
    pub fn update(&mut self, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) <= RECENT;
        self.openings.retain(|_, openings| openings.last_event().is_some_and(is_recent));

        let sum: f64 = self.openings.values().map(|openings| openings.count(now)).sum();
        let addresses = u32::try_from(self.openings.len()).unwrap_or(u32::MAX);
        self.mean = sum / f64::from(addresses.max(1));
    }
}
