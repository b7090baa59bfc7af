//! Datagrams as the threads hand them on.

use std::net::SocketAddr;

/// `Inbound` is a datagram as received.
#[derive(Debug, Clone)]
pub struct Inbound {
    /// Where it came from.
    pub source: SocketAddr,
    /// The whole datagram.
    pub bytes: Vec<u8>,
}

/// `Outbound` is a datagram to send.
#[derive(Debug, Clone)]
pub struct Outbound {
    /// Where it goes.
    pub to: SocketAddr,
    /// The whole datagram.
    pub bytes: Vec<u8>,
}
