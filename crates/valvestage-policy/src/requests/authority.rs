//! The right to run requests that may not be repeated.

use std::time::{Duration, SystemTime};

use valvestage_core::time::Deadline;

/// `Authority` is the right of one balancer to decide for a service, under its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    /// Since when the claim table knows every request of the service that was accepted.
    pub covers_from: SystemTime,
    /// End of the lease less the clock bound; no work is started past it, by anyone.
    pub fence: Deadline,
}

impl Authority {
    /// `is_valid` tells whether the lease still holds.
    #[must_use]
    pub fn is_valid(&self, now: SystemTime) -> bool {
        now < self.fence
    }

    /// `covers` tells whether a request with this deadline can only have been accepted within the
    /// time that the claim table covers: none is accepted earlier than `max_deadline` before its
    /// deadline.
    #[must_use]
    pub fn covers(&self, deadline: Deadline, max_deadline: Duration) -> bool {
        deadline.checked_sub(max_deadline).is_some_and(|earliest| earliest >= self.covers_from)
    }
}
