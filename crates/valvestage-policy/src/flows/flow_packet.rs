//! Input and output of the flow director.

use serde::{Deserialize, Serialize};
use valvestage_core::RefusalReason;
use valvestage_core::ids::{BackendId, BalancerId, FlowKey, Incarnation, ServiceId};

use super::flow_token::FlowToken;

/// Maximum number of times that a packet is relayed.
pub const MAX_HOPS: u8 = 2;

/// Reason why a packet was relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[repr(u8)]
pub enum RelayPurpose {
    /// The receiver is the home of the flow, or the owner of the service.
    Home = 0,
    /// The receiver was the home of the flow; it decides, and sends the binding back to the sender.
    FormerHome = 1,
}

/// Header that a relayed packet carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayHeader {
    /// Number of relays so far; 0 for a packet from the fabric.
    pub count: u8,
    /// Reason of the last relay.
    pub purpose: RelayPurpose,
    /// Epoch of the view of the balancer that relayed the packet.
    pub view_epoch: u64,
}

impl RelayHeader {
    /// Header of a packet from the fabric, which has not been relayed.
    pub const FIRST: Self = Self { count: 0, purpose: RelayPurpose::Home, view_epoch: 0 };
}

/// Fields of a packet that the director needs.
#[derive(Debug, Clone, Copy)]
pub struct FlowPacket {
    /// Hash that identifies the flow.
    pub key: FlowKey,
    /// Service that the packet is addressed to.
    pub service: ServiceId,
    /// Whether the packet opens the flow.
    pub opening: bool,
    /// Whether the packet closes the flow.
    pub closing: bool,
    /// Token that the caller echoed, if any.
    pub token: Option<FlowToken>,
    /// Relays so far, with the reason of the last one.
    pub hop: RelayHeader,
}

/// Layer that found the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FlowSource {
    /// Token that the caller echoed.
    Token,
    /// Table of the home balancer.
    Table,
    /// Placement of a new flow.
    Placement,
    /// Placement, by the configuration in force, of a flow whose opening packet this balancer did
    /// not see.
    History,
}

/// Decision for one packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowVerdict {
    /// The packet is forwarded to a backend server.
    Forward {
        /// Backend server that gets the packet.
        backend: BackendId,
        /// Incarnation of the backend server, that is, the VM behind its record.
        incarnation: Incarnation,
        /// Layer that found the backend server.
        source: FlowSource,
        /// Whether the balancer that relayed the packet waits for the binding.
        reply_with_binding: bool,
    },
    /// The packet is relayed to another balancer.
    Relay {
        /// Balancer that the packet is relayed to.
        peer: BalancerId,
        /// Header that the relayed packet carries.
        hop: RelayHeader,
    },
    /// The packet is refused, and the caller is notified.
    Refuse(RefusalReason),
    /// The packet is dropped without a reply: it may be much older than replies that the caller has
    /// received since.
    Drop(RefusalReason),
}

/// Binding of a flow to a backend server, as balancers exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Binding {
    /// Hash that identifies the flow.
    pub key: FlowKey,
    /// Backend server that the flow is bound to.
    pub backend: BackendId,
}
