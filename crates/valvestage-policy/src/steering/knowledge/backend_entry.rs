//! The known state of one backend server.

use std::net::SocketAddrV4;
use std::time::Instant;

use super::backend_name::{BackendName, StartMillis};
use valvestage_core::StorePosition;
use valvestage_core::ids::{InstanceId, ServiceName, ZoneName};

/// Phase in the life cycle of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendPhase {
    /// Takes new flows.
    Ready,
    /// Keeps its flows and takes no new ones.
    Draining,
    /// Its entry does not name a usable backend server. Another writer may have overwritten it, so
    /// the backend server may still be alive. Its flows stay, and new ones go elsewhere until the
    /// entry is valid again.
    Unusable,
    /// Its entry was removed from the store.
    Gone {
        /// When this balancer learned of the removal.
        since: Instant,
        /// What is known of the end of the backend server.
        end: BackendEnd,
    },
}

/// The way in which a backend server came to be gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendEnd {
    /// It was draining, or nothing was known of it here before.
    Left,
    /// It took new flows when its entry was removed: it has died, or its entry has lapsed while it
    /// is alive.
    Lapsed,
    /// As [`Self::Lapsed`], but before this balancer knew it, so that signs of life could not be
    /// seen here.
    LapsedUnseen,
    /// Another incarnation has started at its address or under its name, so this one has ended.
    Superseded,
}

/// The known state of one incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
    /// Id of the incarnation. A restarted backend server gets another one, also under the same
    /// name.
    pub instance: InstanceId,
    /// Name under which the entry is stored.
    pub name: BackendName,
    /// When the incarnation started, by its own clock. `None` if its entry does not say when.
    pub born: Option<StartMillis>,
    /// Store position of the last change. The highest known one wins.
    pub position: StorePosition,
    /// The service that the backend server runs.
    pub service: ServiceName,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Availability zone of its VM.
    pub zone: ZoneName,
    /// Number of requests that it processes concurrently; at least 1.
    pub slots: u32,
    /// When its slow start ends. `None` if it has no slow start.
    pub cold_until: Option<Instant>,
    /// Phase in its life cycle.
    pub phase: BackendPhase,
    /// Set while its entry is missing after a store outage: when the entry counts as gone unless it
    /// has returned.
    pub missing_until: Option<Instant>,
    /// Position of a list of the store that showed the entry although its end was known at an
    /// earlier position. `None` if no end of it was corrected.
    pub listed_at: Option<StorePosition>,
}

impl BackendEntry {
    /// Returns how the backend server ends if its entry is removed now.
    #[must_use]
    pub fn end_of_phase(&self) -> BackendEnd {
        match self.phase {
            BackendPhase::Ready | BackendPhase::Unusable => BackendEnd::Lapsed,
            BackendPhase::Draining => BackendEnd::Left,
            BackendPhase::Gone { end, .. } => end,
        }
    }

    /// Reports whether another incarnation has started in its place.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        matches!(self.phase, BackendPhase::Gone { end: BackendEnd::Superseded, .. })
    }

    /// Reports whether the entry was removed while the backend server took new flows, so that it
    /// may return.
    #[must_use]
    pub fn has_lapsed(&self) -> bool {
        matches!(
            self.phase,
            BackendPhase::Gone { end: BackendEnd::Lapsed | BackendEnd::LapsedUnseen, .. }
        )
    }

    /// Reports whether the incarnation was draining when it went, or was superseded. It returns only
    /// with an entry that it writes afterwards.
    #[must_use]
    pub fn has_left_or_was_superseded(&self) -> bool {
        matches!(
            self.phase,
            BackendPhase::Gone { end: BackendEnd::Left | BackendEnd::Superseded, .. }
        )
    }

    /// Reports whether two entries agree in everything but their positions.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        let Self { position, listed_at, .. } = *self;

        *self == Self { position, listed_at, ..other.clone() }
    }

    /// Reports whether the entry was removed from the store.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        matches!(self.phase, BackendPhase::Gone { .. })
    }
}
