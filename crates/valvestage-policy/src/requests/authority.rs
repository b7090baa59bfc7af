//! The authority to run non-repeatable requests.

use std::time::{Duration, SystemTime};

use valvestage_core::time::Deadline;

/// Authority of one balancer to decide for a service, derived from its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    /// Start of the time range in which the claim table knows every accepted request of the
    /// service.
    pub covers_from: SystemTime,
    /// End of the lease minus the clock bound. No balancer or backend server starts work after it.
    pub fence: Deadline,
}

impl Authority {
    /// Reports whether the lease still holds.
    #[must_use]
    pub fn is_valid(&self, now: SystemTime) -> bool {
        now < self.fence
    }

    /// Reports whether a request with this deadline can only have been accepted within the time
    /// range that the claim table covers.
    ///
    /// A request is never accepted earlier than `max_deadline` before its deadline.
    #[must_use]
    pub fn covers(&self, deadline: Deadline, max_deadline: Duration) -> bool {
        deadline.checked_sub(max_deadline).is_some_and(|earliest| earliest >= self.covers_from)
    }
}
