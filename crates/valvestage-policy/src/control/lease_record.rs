//! The lease object of one balancer in the platform.

use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};
use valvestage_core::ids::{BalancerId, LeaseEpoch};
use valvestage_core::time::from_unix_millis;

/// Platform object that limits the time for which a balancer may run non-repeatable requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Balancer that holds the lease.
    pub holder: BalancerId,
    /// Epoch of the lease; grows with each acquisition and stays the same on renewal.
    pub epoch: LeaseEpoch,
    /// End of the lease by the holder's clock, in Unix milliseconds.
    pub expires_ms: u64,
    /// Whether the holder released the lease, or another balancer found it lapsed and closed it. A
    /// closed lease cannot be renewed.
    pub closed: bool,
}

impl LeaseRecord {
    /// Reports whether the lease is closed, or has ended by every clock within the clock bound.
    #[must_use]
    pub fn has_lapsed(&self, now: SystemTime, clock_bound: Duration) -> bool {
        self.closed || from_unix_millis(self.expires_ms) + clock_bound < now
    }
}
