//! What is known of one backend server.

use std::net::SocketAddrV4;
use std::time::Instant;

use valvestage_core::ids::{InstanceId, ServiceName, ZoneName};

/// `BackendPhase` is where a backend server stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendPhase {
    /// It takes new flows.
    Ready,
    /// It keeps its flows and takes no new ones.
    Draining,
    /// Its entry is missing since this time.
    Gone {
        /// When the entry was found missing.
        since: Instant,
    },
}

/// `BackendEntry` is one incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
    /// Which incarnation; a restarted one is another.
    pub instance: InstanceId,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Availability zone of its VM.
    pub zone: ZoneName,
    /// Requests that it works on at once; at least 1.
    pub slots: u32,
    /// Until when it is slow after its start.
    pub cold_until: Option<Instant>,
    /// Where it stands.
    pub phase: BackendPhase,
}
