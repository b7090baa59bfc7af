//! Counters and gauges, as served by `/metrics`.

mod balancer_metrics;
mod labels;

pub use balancer_metrics::BalancerMetrics;
pub use labels::{
    DirectionLabel, PlatformLabel, PlatformResult, ReasonLabel, RetryLabel, SourceLabel,
};
