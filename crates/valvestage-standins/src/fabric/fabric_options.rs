//! Options of the fabric stand-in.

use std::net::SocketAddr;

/// Faults injected into packets from callers, each as a share of the packets between 0 and 1.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SprayFaults {
    /// Share of packets that are dropped.
    pub loss_rate: f64,
    /// Share of packets that are sent twice, to two balancers chosen independently at random.
    pub duplication_rate: f64,
    /// Share of packets that are delayed until the next packet has been sent.
    pub reordering_rate: f64,
}

/// Addresses of the fabric and its balancers, and the faults that it injects.
#[derive(Debug, Clone, PartialEq)]
pub struct FabricOptions {
    /// Address to which callers send.
    pub caller_address: SocketAddr,
    /// Address from which balancers receive packets and to which they send.
    pub balancer_address: SocketAddr,
    /// Data address and admin address of each balancer.
    pub balancers: Vec<(SocketAddr, SocketAddr)>,
    /// Faults injected into packets from callers.
    pub faults: SprayFaults,
    /// Seed of the random numbers.
    pub seed: u64,
}
