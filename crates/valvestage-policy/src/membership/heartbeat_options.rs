//! Parameters of the heartbeat gossip.

use std::time::Duration;

/// Limits of the gossip traffic, and timeouts of failure detection.
///
/// A message takes about `70 * (1 + full_records) + 6 * digests` bytes, regardless of the size of
/// the deployment.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatOptions {
    /// Number of peers that a regular heartbeat is sent to.
    pub fanout: usize,
    /// Number of peers that a heartbeat with an update, such as a new configuration, is sent to.
    pub update_fanout: usize,
    /// Maximum number of changed records in one message, besides the sender's own record.
    pub full_records: usize,
    /// Maximum number of digests in one message.
    pub digests: usize,
    /// Time without a new heartbeat after which a balancer is considered dead.
    pub dead_after: Duration,
    /// Time without a new heartbeat after which a dead balancer is removed from the table.
    pub expire_after: Duration,
}

impl Default for HeartbeatOptions {
    fn default() -> Self {
        Self {
            fanout: 1,
            update_fanout: 4,
            full_records: 3,
            digests: 64,
            dead_after: Duration::from_secs(2),
            expire_after: Duration::from_secs(3_600),
        }
    }
}
