//! Options of the load.

use std::net::SocketAddr;
use std::time::Duration;

/// `ServiceLoad` is the load on one service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLoad {
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Flows held open.
    pub flows: usize,
    /// Requests a second.
    pub requests_per_second: f64,
}

/// `CallerOptions` is the whole load.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// The fabric.
    pub fabric: SocketAddr,
    /// The services.
    pub services: Vec<ServiceLoad>,
    /// How long load is offered; what is open then is waited for.
    pub duration: Duration,
    /// Pause between two packets of a flow.
    pub flow_pause: Duration,
    /// Share of flows that echo the token.
    pub echoing_share: f64,
    /// Share of requests that may not be repeated.
    pub once_only_share: f64,
    /// Time from a request to its deadline.
    pub request_patience: Duration,
    /// Pause before a request is sent again with the same id.
    pub resend_pause: Duration,
    /// Of the draws.
    pub seed: u64,
}
