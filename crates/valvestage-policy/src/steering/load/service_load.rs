//! The estimated load of one service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::steering::knowledge::request_class::RoutePriority;

/// Estimated load of one service over all balancers that this one reaches. Rates are per second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests under way at backend servers that are not suspected to be dead, without those whose
    /// packets are still on the network.
    pub in_flight: f64,
    /// Number of open flows.
    pub open_flows: f64,
    /// Ordinary answers, that is, answers that are not much shorter than usual.
    pub completed: f64,
    /// Requests that full backend servers reject.
    pub rejected: f64,
    /// Time that a request takes at a backend server without waiting for a slot, in seconds; `None`
    /// if it is not known.
    pub service_time: Option<f64>,
    /// Shortest target latency of the routes to the service, in seconds; `None` if no route has one.
    pub target_latency: Option<f64>,
    /// Number of requests that the usable backend servers can process concurrently. Those that are
    /// cold or slow count less.
    pub slots: f64,
    /// Number of usable backend servers.
    pub backends: f64,
    /// Number of connections that the usable backend servers take together; `None` if that is not
    /// configured.
    pub connections: Option<f64>,
    /// What callers ask for, by priority. Routes without a class are not in here.
    pub classes: BTreeMap<RoutePriority, ClassLoad>,
    /// Number of balancers whose recent reports the estimate is from, including this one.
    pub reporters: usize,
    /// Weighted mean age of these reports.
    pub age: Duration,
    /// Whether enough balancers were heard recently for the estimate to be acted on.
    pub is_usable: bool,
}

/// Requests that callers make to a service at one priority, per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassLoad {
    /// First opening packets of flows, including those that are refused.
    pub opening: f64,
    /// Requests that begin on flows opened before.
    pub further: f64,
}
