//! One packet of a caller, and the verdict on it.

use std::net::SocketAddrV4;

use valvestage_core::ids::{InstanceId, ShortToken};

/// Address pair that identifies a flow; every packet of the flow carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowAddresses {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the service, as the caller addresses it.
    pub service: SocketAddrV4,
}

/// One packet that a caller sent, reduced to the fields that steering needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerPacket {
    /// Flow that the packet belongs to.
    pub flow: FlowAddresses,
    /// Whether the packet asks to open the flow.
    pub opening: bool,
    /// Whether the packet ends the caller's side of the flow; the backend server may still send.
    pub closing: bool,
    /// Whether the packet aborts the flow in both directions.
    pub reset: bool,
    /// Token last sent to the caller on this flow; 0 if there was none.
    pub token: ShortToken,
    /// Sequence number of the first data byte.
    pub sequence: u32,
    /// Sequence number of the byte that the caller expects next. On an opening packet: how often
    /// the packet was sent before.
    pub acknowledged: u32,
    /// Length of the data in bytes.
    pub data_length: u32,
}

/// Verdict on one packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketVerdict {
    /// The packet is forwarded to a backend server.
    Forward {
        /// Incarnation of the backend server that is addressed.
        instance: InstanceId,
        /// Number by which the packet names the backend server; a backend server with another
        /// number at the same address ignores the packet.
        number: u64,
        /// Address where the backend server listens.
        address: SocketAddrV4,
        /// Token that the answers are to carry.
        token: ShortToken,
    },
    /// The caller is sent a reset, which ends the flow.
    Reset(ResetReason),
    /// The packet is not forwarded: it is held if the reason is transient, and dropped otherwise.
    /// The caller retransmits it.
    Drop(DropReason),
}

/// Reason why a flow is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// The service address has no route.
    NoRoute,
    /// No backend server of the service can take the flow.
    NoBackend,
    /// The backend servers that could take the flow are in regions that the service address does
    /// not serve.
    NoBackendInRegion,
    /// The backend servers that could take the flow are in availability zones that are being
    /// evacuated.
    ZonesEvacuated,
    /// The backend servers that could take the flow have just started and have reached their
    /// request limit for the moment.
    BackendsCold,
    /// The service is short of slots, and admission control leaves them to other callers.
    ServiceOverloaded,
    /// The backend server of the flow has ended.
    BackendGone,
    /// The backend server of the flow is considered dead.
    BackendSilent,
}

impl ResetReason {
    /// Returns the reason as it is written in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NoBackend => "no_backend",
            Self::NoBackendInRegion => "no_backend_in_region",
            Self::ZonesEvacuated => "zones_evacuated",
            Self::BackendsCold => "backends_cold",
            Self::ServiceOverloaded => "service_overloaded",
            Self::BackendGone => "backend_gone",
            Self::BackendSilent => "backend_silent",
        }
    }
}

/// Reason why a packet is dropped or held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// Routes or backend servers are not known yet.
    NotReady,
    /// The service address has no route in the known configuration, which may be out of date.
    NoRoute,
    /// The token and the flow record name no backend server that is known.
    UnknownToken,
    /// The packet retransmits an opening packet that first went to a backend server that takes no
    /// new flows any more, and no other backend server can take the flow. The first transmission
    /// may still be answered, so the flow is not reset.
    NoOther,
    /// The caller was sent a reset a moment ago, and is likely to have sent this packet before it
    /// got the reset.
    AlreadyReset,
}

impl DropReason {
    /// Reports whether the reason may disappear within moments, so that holding the packet is
    /// worthwhile.
    #[must_use]
    pub fn is_transient(self) -> bool {
        matches!(self, Self::NotReady | Self::UnknownToken)
    }

    /// Returns the reason as it is written in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoRoute => "no_route",
            Self::UnknownToken => "unknown_token",
            Self::NoOther => "no_other",
            Self::AlreadyReset => "already_told",
        }
    }
}
