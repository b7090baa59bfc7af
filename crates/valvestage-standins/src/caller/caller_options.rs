//! Options of the load generator.

use std::net::SocketAddr;
use std::time::Duration;

/// Load on one service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLoad {
    /// Address of the service.
    pub address: SocketAddr,
    /// Number of flows held open.
    pub flows: usize,
    /// Mean rate of requests, per second.
    pub requests_per_second: f64,
}

/// Options of one run of the load generator.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// Address of the fabric to which callers send.
    pub fabric: SocketAddr,
    /// Load on each of the services.
    pub services: Vec<ServiceLoad>,
    /// How long packets and requests are sent. Answers to open requests are awaited after that.
    pub duration: Duration,
    /// Mean pause between two packets of a flow.
    pub flow_pause: Duration,
    /// Share of flows that echo the token, between 0 and 1.
    pub echoing_share: f64,
    /// Share of requests that are not repeatable, between 0 and 1.
    pub non_repeatable_share: f64,
    /// Time from the first send of a request to its deadline.
    pub request_timeout: Duration,
    /// Wait for the result of a request before it is resent with the same id.
    pub resend_pause: Duration,
    /// Seed of the random numbers.
    pub seed: u64,
}
