//! Options of the fabric.

use std::net::SocketAddr;

/// `SprayFaults` is the share of packets that something happens to.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SprayFaults {
    /// Lost.
    pub lost: f64,
    /// Sent twice, to two balancers drawn independently.
    pub doubled: f64,
    /// Held back until the next packet has gone.
    pub reordered: f64,
}

/// `FabricOptions` says where the fabric listens and what it sprays over.
#[derive(Debug, Clone, PartialEq)]
pub struct FabricOptions {
    /// Callers send to it.
    pub caller_address: SocketAddr,
    /// Balancers send to it, and get packets from it.
    pub balancer_address: SocketAddr,
    /// Data and admin address of each balancer.
    pub balancers: Vec<(SocketAddr, SocketAddr)>,
    /// What goes wrong.
    pub faults: SprayFaults,
    /// Of the draws.
    pub seed: u64,
}
