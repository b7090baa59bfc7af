//! Times of backend servers' entries, by the time between two heartbeats of one.

use std::time::Duration;

use super::lapse::RETURN_TIME;

/// Heartbeats of silence after which an entry lapses.
const BEATS_TO_LAPSE: u32 = 3;

/// Time in which an entry that is written is known at all balancers: it is read within 1.9 s, and told on within 0.4 s.
const KNOWN_WITHIN: Duration = Duration::from_millis(2_300);

/// `EntryTimes` says how soon entries lapse and are written again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryTimes {
    /// Time between two heartbeats of a backend server.
    heartbeat: Duration,
}

impl Default for EntryTimes {
    /// Returns the times where the settings do not tell the heartbeat.
    fn default() -> Self {
        Self::new(Duration::from_millis(770))
    }
}

impl EntryTimes {
    /// Creates the times of entries that are written so often.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self { heartbeat }
    }

    /// Returns after which silence an entry lapses.
    #[must_use]
    pub fn lapse(self) -> Duration {
        self.heartbeat * BEATS_TO_LAPSE
    }

    /// Returns the silence that there was at least before a lapse: heartbeats are not exact.
    #[must_use]
    pub fn shortest_lapse(self) -> Duration {
        /// Share of a lapse that is certain.
        const CERTAIN_SHARE: f64 = 0.866;

        self.lapse().mul_f64(CERTAIN_SHARE)
    }

    /// Returns in which time a start of a backend server is known, but for times in which the store was not heard. It may not reach the
    /// store until the former entry lapses, and writes its own within a heartbeat.
    #[must_use]
    pub fn birth_known_within(self) -> Duration {
        self.lapse() + self.heartbeat + KNOWN_WITHIN
    }

    /// Returns in which time a restored store has no entry any more that is only of the copy: those of backend servers that live are
    /// written again, and the others lapse.
    #[must_use]
    pub fn copy_settles_within(self) -> Duration {
        self.shortest_lapse().max(RETURN_TIME)
    }
}
