//! Bounds of the gossip.

use std::time::Duration;

/// `HeartbeatOptions` bounds the traffic and the time to detect a loss.
///
/// A message takes about `70 * (1 + full_records) + 6 * digests` bytes, whatever the size of the
/// deployment.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatOptions {
    /// Targets of one heartbeat.
    pub fanout: usize,
    /// Targets of a heartbeat that brings news, such as a new configuration.
    pub news_fanout: usize,
    /// Full records in one message besides the own one.
    pub full_records: usize,
    /// Digests in one message.
    pub digests: usize,
    /// Silence after which a balancer is taken as dead.
    pub dead_after: Duration,
    /// Silence after which a dead balancer is forgotten.
    pub forget_after: Duration,
}

impl Default for HeartbeatOptions {
    fn default() -> Self {
        Self {
            fanout: 1,
            news_fanout: 4,
            full_records: 3,
            digests: 64,
            dead_after: Duration::from_secs(2),
            forget_after: Duration::from_secs(3_600),
        }
    }
}
