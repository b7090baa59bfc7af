//! Parameters of the control policy.

use std::time::Duration;

use super::lease_manager::LeaseOptions;
use crate::membership::HeartbeatOptions;

/// Limits of the control traffic of a balancer, and its timeouts.
#[derive(Debug, Clone, Copy)]
pub struct ControlOptions {
    /// Parameters of the heartbeat gossip.
    pub heartbeat: HeartbeatOptions,
    /// Interval of heartbeats.
    pub heartbeat_interval: Duration,
    /// Parameters of the lease.
    pub lease: LeaseOptions,
    /// Number of balancers per availability zone that hold leases; bounds the rate of lease
    /// renewals.
    pub owners_per_zone: usize,
    /// Number of balancers per availability zone that watch the platform. The number is limited
    /// because a pending watch counts as a platform call.
    pub watchers_per_zone: usize,
    /// Time without a known platform answer after which every balancer watches the platform itself.
    pub stale_after: Duration,
    /// Time after the start without a platform answer after which the balancer joins with the
    /// configuration that it got from peers.
    pub join_without_platform_after: Duration,
    /// Whether an object older than the one in force is ignored; `false` is a baseline for
    /// comparisons.
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
