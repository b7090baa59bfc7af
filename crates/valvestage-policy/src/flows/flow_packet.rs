//! What the flow director takes in and gives out.

use serde::{Deserialize, Serialize};
use valvestage_core::RefusalReason;
use valvestage_core::ids::{BackendId, BalancerId, FlowKey, Incarnation, ServiceId};

use super::flow_token::FlowToken;

/// A packet is relayed at most this often.
pub const MAX_HOPS: u8 = 2;

/// `RelayPurpose` says why a packet was relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[repr(u8)]
pub enum RelayPurpose {
    /// The receiver is the home of the flow or owner of the service.
    Home = 0,
    /// The receiver was the home; it decides, and tells the sender the binding.
    FormerHome = 1,
}

/// `HopMark` is what a relayed packet carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HopMark {
    /// Relays so far; 0 for a packet from the fabric.
    pub count: u8,
    /// Why it was relayed.
    pub purpose: RelayPurpose,
    /// The view of the balancer that relayed it.
    pub view_epoch: u64,
}

impl HopMark {
    /// The mark of a packet from the fabric.
    pub const FIRST: Self = Self { count: 0, purpose: RelayPurpose::Home, view_epoch: 0 };
}

/// `FlowPacket` is what the director needs to know of a packet.
#[derive(Debug, Clone, Copy)]
pub struct FlowPacket {
    /// Names the flow.
    pub key: FlowKey,
    /// The service that the packet is addressed to.
    pub service: ServiceId,
    /// Whether it opens the flow.
    pub opening: bool,
    /// Whether it closes the flow.
    pub closing: bool,
    /// The token that the caller echoed.
    pub token: Option<FlowToken>,
    /// Relays so far.
    pub hop: HopMark,
}

/// `FlowSource` says which layer found the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FlowSource {
    /// The token that the caller echoed.
    Token,
    /// The table of the home balancer.
    Table,
    /// Placement of a new flow.
    Placement,
    /// Placement of a flow whose opening this balancer did not see.
    History,
}

/// `FlowVerdict` is the decision for one packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowVerdict {
    /// Send it to a backend server.
    Forward {
        /// The backend server.
        backend: BackendId,
        /// The VM behind its record.
        incarnation: Incarnation,
        /// The layer that found it.
        source: FlowSource,
        /// Whether the balancer that relayed it waits for the binding.
        tell_binding: bool,
    },
    /// Hand it to another balancer.
    Relay {
        /// The balancer.
        peer: BalancerId,
        /// The mark to carry.
        hop: HopMark,
    },
    /// Refuse it, and tell the caller.
    Refuse(RefusalReason),
    /// Drop it without a word: it may be much older than what the caller has been told since.
    Drop(RefusalReason),
}

/// `Binding` tells one balancer which backend server a flow is bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// Names the flow.
    pub key: FlowKey,
    /// The backend server.
    pub backend: BackendId,
}
