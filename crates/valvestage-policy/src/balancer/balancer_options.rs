//! Options of one balancer's policy.

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
}

impl BalancerOptions {
    /// `new` gives the options of production for a balancer.
    #[must_use]
    pub fn new(own: BalancerId, own_zone: ZoneName) -> Self {
        let pool = PoolOptions {
            own_zone: own_zone.clone(),
            ..PoolOptions::default()
        };

        Self {
            own,
            own_zone,
            flows: FlowOptions::default(),
            requests: RequestOptions::default(),
            pool,
            kept_decisions: 4_096,
        }
    }
}
