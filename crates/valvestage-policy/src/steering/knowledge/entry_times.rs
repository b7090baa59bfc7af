//! Times of backend servers' entries, derived from the heartbeat interval of backend servers.

use std::time::Duration;

use super::lapse::RETURN_TIME;

/// Heartbeats of silence after which an entry lapses.
const HEARTBEATS_TO_LAPSE: u32 = 3;

/// Time within which a written entry is known at all balancers: it is read within 1.9 s, and passed
/// on within 0.4 s.
const PROPAGATION_TIME: Duration = Duration::from_millis(2_300);

/// How soon entries lapse and are written again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryTimes {
    /// Time between two heartbeats of a backend server.
    heartbeat: Duration,
}

impl Default for EntryTimes {
    /// Returns the times for the default heartbeat interval, where the settings name none.
    fn default() -> Self {
        Self::new(Duration::from_millis(770))
    }
}

impl EntryTimes {
    /// Creates the times for a heartbeat interval of backend servers.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self { heartbeat }
    }

    /// Returns the silence after which an entry lapses.
    #[must_use]
    pub fn lapse(self) -> Duration {
        self.heartbeat * HEARTBEATS_TO_LAPSE
    }

    /// Returns the shortest silence that can precede a lapse, since heartbeats are not exact.
    #[must_use]
    pub fn shortest_lapse(self) -> Duration {
        /// Share of the lapse time for which the backend server was silent for certain.
        const MIN_LAPSE_SHARE: f64 = 0.866;

        self.lapse().mul_f64(MIN_LAPSE_SHARE)
    }

    /// Returns the time within which a start of a backend server is known, not counting times in
    /// which the store was not heard from. The process may be unable to reach the store until the
    /// previous entry lapses, and then writes its own within a heartbeat.
    #[must_use]
    pub fn start_known_within(self) -> Duration {
        self.lapse() + self.heartbeat + PROPAGATION_TIME
    }

    /// Returns the time within which a restored store has no entry left that stems only from the
    /// backup: live backend servers write theirs again, and the other entries lapse.
    #[must_use]
    pub fn backup_settles_within(self) -> Duration {
        self.shortest_lapse().max(RETURN_TIME)
    }
}
