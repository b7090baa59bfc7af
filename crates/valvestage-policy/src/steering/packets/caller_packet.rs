//! What is known of one packet of a caller, and what is done with it.

use std::net::SocketAddrV4;

use valvestage_core::ids::{InstanceId, ShortToken};

/// `FlowAddresses` names a flow: every packet of it carries them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowAddresses {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the service, as the caller has it.
    pub service: SocketAddrV4,
}

/// `CallerPacket` is one packet that a caller sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerPacket {
    /// Its flow.
    pub flow: FlowAddresses,
    /// Asks to open the flow.
    pub opening: bool,
    /// Ends what the caller sends.
    pub closing: bool,
    /// Ends the flow at once.
    pub reset: bool,
    /// The token last sent to the caller on this flow; 0 if none was.
    pub token: ShortToken,
    /// Number of the first byte.
    pub sequence: u32,
    /// Number of the byte that the caller expects next; on an opening packet, how many copies of it
    /// were sent before.
    pub acknowledged: u32,
    /// Bytes of data.
    pub data_length: u32,
}

/// `PacketVerdict` says what is done with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketVerdict {
    /// It goes to a backend server.
    Forward {
        /// The incarnation that is meant.
        instance: InstanceId,
        /// The number by which the packet names it; a backend server of another number at the same address ignores it.
        number: u64,
        /// Where it listens.
        address: SocketAddrV4,
        /// The token that the answers are to carry.
        token: ShortToken,
    },
    /// The caller is told that the flow is over.
    Reset(ResetReason),
    /// Nothing is done; the caller sends it again.
    Drop(DropReason),
}

/// `ResetReason` says why a caller is told that its flow is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// No route leads from this address.
    NoRoute,
    /// No backend server of the service can take the flow.
    NoBackend,
    /// Those that could take it are in regions to which the address does not lead.
    NoBackendInRegion,
    /// Those that could take it are in availability zones that are evacuated.
    ZonesEvacuated,
    /// Those that could take it have just started, and bear no more at the moment.
    BackendsCold,
    /// The backend server of the flow has ended.
    BackendGone,
    /// The backend server of the flow seems dead.
    BackendSilent,
}

impl ResetReason {
    /// `name` gives the reason as logs and metrics have it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NoBackend => "no_backend",
            Self::NoBackendInRegion => "no_backend_in_region",
            Self::ZonesEvacuated => "zones_evacuated",
            Self::BackendsCold => "backends_cold",
            Self::BackendGone => "backend_gone",
            Self::BackendSilent => "backend_silent",
        }
    }
}

/// `DropReason` says why a packet is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// Routes or backend servers are not known yet.
    NotReady,
    /// No route leads from this address, as far as an uncertain configuration tells.
    NoRoute,
    /// The flow belongs to no backend server that is known.
    UnknownToken,
    /// A copy of an opening packet whose first one went to a backend server that gets no new flows any more, and nobody else
    /// may take it: the first one may be answered yet.
    NoOther,
    /// The caller was told a moment ago that its flow is over, and sent this before.
    AlreadyTold,
}

impl DropReason {
    /// `may_pass` tells whether the reason may be over in a moment, so that the packet is worth holding until then.
    #[must_use]
    pub fn may_pass(self) -> bool {
        matches!(self, Self::NotReady | Self::UnknownToken)
    }

    /// `name` gives the reason as logs and metrics have it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoRoute => "no_route",
            Self::UnknownToken => "unknown_token",
            Self::NoOther => "no_other",
            Self::AlreadyTold => "already_told",
        }
    }
}
