//! What is known of one backend server.

use std::net::SocketAddrV4;
use std::time::Instant;

use valvestage_core::ids::{InstanceId, ServiceName, StoreRevision, ZoneName};

/// `BackendPhase` is where a backend server stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendPhase {
    /// It takes new flows.
    Ready,
    /// It keeps its flows and takes no new ones.
    Draining,
    /// Its entry is gone from the store.
    Gone {
        /// When this balancer learned of it.
        since: Instant,
        /// Whether it took new flows when its entry went, as far as was known here: its entry may have
        /// lapsed while it lives.
        lapsed: bool,
    },
}

/// `BackendEntry` is one incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
    /// Which incarnation; a restarted one is another.
    pub instance: InstanceId,
    /// The store's revision at the last change; the highest one known wins.
    pub revision: StoreRevision,
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
    /// Set while its entry is missing after the store was away: it counts as gone at this time
    /// unless it returns.
    pub missing_until: Option<Instant>,
}

impl BackendEntry {
    /// `is_gone` tells whether the entry is gone from the store.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        matches!(self.phase, BackendPhase::Gone { .. })
    }
}
