//! Options of the control policy.

use std::time::Duration;

use super::lease_keeper::LeaseOptions;
use crate::membership::HeartbeatOptions;

/// `ControlOptions` bounds what a balancer spends on control.
#[derive(Debug, Clone, Copy)]
pub struct ControlOptions {
    /// Of the gossip.
    pub heartbeat: HeartbeatOptions,
    /// Pause between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Of the lease.
    pub lease: LeaseOptions,
    /// Balancers of one availability zone that hold leases: renewals do not grow beyond it.
    pub owners_per_zone: usize,
    /// Balancers of one availability zone that watch the platform: a watch that waits counts as a
    /// call.
    pub watchers_per_zone: usize,
    /// Without news of the platform for this long, any balancer watches.
    pub stale_after: Duration,
    /// A start without an answer of the platform for this long goes on with what peers have.
    pub join_without_platform_after: Duration,
    /// Whether an object that is older than the one in force is ignored; off, a baseline.
    pub newest_only: bool,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self {
            heartbeat: HeartbeatOptions::default(),
            heartbeat_interval: Duration::from_millis(300),
            lease: LeaseOptions::default(),
            owners_per_zone: 8,
            watchers_per_zone: 2,
            stale_after: Duration::from_secs(6),
            join_without_platform_after: Duration::from_secs(5),
            newest_only: true,
        }
    }
}
