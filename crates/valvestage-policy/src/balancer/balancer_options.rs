//! Options of one balancer's policy.

use std::time::Duration;

use valvestage_core::ids::{BalancerId, ZoneName};

use crate::flows::FlowOptions;
use crate::requests::{PoolOptions, RequestOptions};

/// Options of all parts of a balancer's policy.
#[derive(Debug, Clone)]
pub struct BalancerOptions {
    /// Id of this balancer.
    pub own: BalancerId,
    /// Availability zone of the balancer's VM.
    pub own_zone: ZoneName,
    /// Options of the flow part.
    pub flows: FlowOptions,
    /// Options of the request part.
    pub requests: RequestOptions,
    /// Options of the backend server pools.
    pub pool: PoolOptions,
    /// Number of decisions kept for explanations.
    pub kept_decisions: usize,
    /// Minimum gap between two events or ticks that counts as a pause of the process.
    pub pause_limit: Duration,
    /// Time without new work after a pause, in which the control part catches up with changes.
    pub catch_up: Duration,
}

impl BalancerOptions {
    /// Returns the production options of a balancer.
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
