//! Options of one balancer's policy.

use std::time::Duration;

use valvestage_core::ids::{BalancerId, ZoneName};

use crate::flows::FlowOptions;
use crate::requests::{PoolOptions, RequestOptions};

/// `BalancerOptions` is the options of all parts.
#[derive(Debug, Clone)]
pub struct BalancerOptions {
    /// Number of this balancer.
    pub own: BalancerId,
    /// Availability zone of its VM.
    pub own_zone: ZoneName,
    /// Of flows.
    pub flows: FlowOptions,
    /// Of requests.
    pub requests: RequestOptions,
    /// Of backend servers.
    pub pool: PoolOptions,
    /// Decisions kept for explanations.
    pub kept_decisions: usize,
    /// A gap between two events or ticks that shows that the process was paused.
    pub pause_limit: Duration,
    /// After a pause, the time without new work, in which control learns what changed.
    pub catch_up: Duration,
}

impl BalancerOptions {
    /// `new` gives the options of production for a balancer.
    #[must_use]
    pub fn new(own: BalancerId, own_zone: ZoneName) -> Self {
        let pool = PoolOptions { own_zone: own_zone.clone(), ..PoolOptions::default() };

        Self {
            own,
            own_zone,
            flows: FlowOptions::default(),
            requests: RequestOptions::default(),
            pool,
            kept_decisions: 4_096,
            pause_limit: Duration::from_secs(1),
            catch_up: Duration::from_secs(1),
        }
    }
}
