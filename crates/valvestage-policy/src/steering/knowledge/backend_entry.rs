//! What is known of one backend server.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::backend_name::BackendName;
use valvestage_core::StorePosition;
use valvestage_core::ids::{InstanceId, ServiceName, ZoneName};

/// `BackendPhase` is where a backend server stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendPhase {
    /// It takes new flows.
    Ready,
    /// It keeps its flows and takes no new ones.
    Draining,
    /// Its entry names no backend server to use: another writer may have written it, so that the backend server may live
    /// and answer. Its flows stay, and new ones go elsewhere until its entry is good again.
    Unusable,
    /// Its entry is gone from the store.
    Gone {
        /// When this balancer learned of it.
        since: Instant,
        /// What is known of its end.
        end: BackendEnd,
    },
}

/// `BackendEnd` is how a backend server came to be gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendEnd {
    /// It was draining, or nothing was known of it here before.
    Left,
    /// It took new flows when its entry went: it has died, or its entry has lapsed while it lives.
    Lapsed,
    /// The same, before this balancer knew it: whether it showed life could not be seen here.
    LapsedUnseen,
    /// Another incarnation has begun at its address, or under its name, so it has died.
    Superseded,
}

/// `BackendEntry` is one incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
    /// Which incarnation; a restarted one is another, also under the same name.
    pub instance: InstanceId,
    /// The name of its entry.
    pub name: BackendName,
    /// The store's position at the last change; the highest one known wins.
    pub position: StorePosition,
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
    /// `end_of_phase` gives how it ends if its entry goes now.
    #[must_use]
    pub fn end_of_phase(&self) -> BackendEnd {
        match self.phase {
            BackendPhase::Ready | BackendPhase::Unusable => BackendEnd::Lapsed,
            BackendPhase::Draining => BackendEnd::Left,
            BackendPhase::Gone { end, .. } => end,
        }
    }

    /// `is_superseded` tells whether another incarnation has begun in its place.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        matches!(self.phase, BackendPhase::Gone { end: BackendEnd::Superseded, .. })
    }

    /// `has_lapsed` tells whether the entry went while it took new flows, so that it may return.
    #[must_use]
    pub fn has_lapsed(&self) -> bool {
        matches!(
            self.phase,
            BackendPhase::Gone { end: BackendEnd::Lapsed | BackendEnd::LapsedUnseen, .. }
        )
    }

    /// Returns whether another entry says the same, at whatever position.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        *self == Self { position: self.position, ..other.clone() }
    }

    /// `is_gone` tells whether the entry is gone from the store.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        matches!(self.phase, BackendPhase::Gone { .. })
    }
}
