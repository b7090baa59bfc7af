//! The lease of one balancer, as the platform keeps it.

use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};
use valvestage_core::ids::{BalancerId, LeaseEpoch};
use valvestage_core::time::from_unix_millis;

/// `LeaseRecord` says until when a balancer may run requests that must not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The balancer.
    pub holder: BalancerId,
    /// Which of its leases; grows with each acquisition, stays the same on renewal.
    pub epoch: LeaseEpoch,
    /// End of the lease by the holder's clock, Unix milliseconds.
    pub expires_ms: u64,
    /// Whether the holder gave it back, or another balancer found it lapsed and closed it. A
    /// closed lease cannot be renewed.
    pub closed: bool,
}

impl LeaseRecord {
    /// `has_lapsed` tells whether no clock within the bound takes the lease as valid any more.
    #[must_use]
    pub fn has_lapsed(&self, now: SystemTime, clock_bound: Duration) -> bool {
        self.closed || from_unix_millis(self.expires_ms) + clock_bound < now
    }
}
