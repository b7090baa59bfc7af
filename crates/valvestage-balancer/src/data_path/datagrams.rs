//! Datagrams as they pass between the threads.

use std::net::SocketAddr;

/// Received datagram.
#[derive(Debug, Clone)]
pub struct Inbound {
    /// Source address.
    pub source: SocketAddr,
    /// Encoded content of the datagram.
    pub bytes: Vec<u8>,
}

/// Datagram to be sent.
#[derive(Debug, Clone)]
pub struct Outbound {
    /// Destination address.
    pub to: SocketAddr,
    /// Encoded content of the datagram.
    pub bytes: Vec<u8>,
}
