//! The decoded form of an envelope.

use std::net::SocketAddr;
use std::time::Duration;

use valvestage_core::ids::{Attempt, BackendId, Incarnation, RequestId, ServiceId};
use valvestage_core::time::Deadline;
use valvestage_core::{LoadReport, Outcome, PacketKind, RefusalReason, RequestClass, Segment};
use valvestage_policy::flows::{Binding, FlowToken, RelayHeader};

/// The backend server that a packet is addressed to, or comes from.
///
/// Balancer and backend server both compare it with their own records. A VM that by now serves
/// another service, or runs as another backend server, thus refuses the packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Service that the packet belongs to.
    pub service: ServiceId,
    /// Id of the backend server.
    pub backend: BackendId,
    /// Incarnation of the VM behind the record of the backend server.
    pub incarnation: Incarnation,
}

/// Attributes of a packet; its kind determines which of them are present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Kind of the packet; a datagram without this attribute is decoded as [`PacketKind::Data`].
    pub kind: PacketKind,
    /// Id of the request; present in requests, cancellations, answers and refusals of requests.
    pub request: Option<RequestId>,
    /// Time after which the caller no longer needs the answer; present in requests.
    pub deadline: Option<Deadline>,
    /// Whether the request may run more than once; encoded only with a deadline.
    pub repeatable: bool,
    /// Priority class of the request; encoded only with a deadline.
    pub class: RequestClass,
    /// Token that identifies the backend server of the flow; present in flow packets. It is issued
    /// with the answer to an opening packet.
    pub token: Option<FlowToken>,
    /// Time after which the caller may retry; present in refusals.
    pub retry_after: Option<Duration>,
    /// Load of the sender; present in all packets from backend servers.
    pub load: Option<LoadReport>,
    /// Backend server concerned; present in all packets between balancers and backend servers.
    pub target: Option<Target>,
    /// Number of the attempt; present in requests and cancellations to backend servers, and in the
    /// answers and refusals that follow from them.
    pub attempt: Option<Attempt>,
    /// Relay header; present in all packets that one balancer relays to another.
    pub hop: Option<RelayHeader>,
    /// Outcome for the caller and the reason; present in refusals.
    pub refusal: Option<(Outcome, RefusalReason)>,
    /// Position of the datagram within the answer; an answer without it is a single datagram.
    pub segment: Option<Segment>,
    /// Binding of a flow to a backend server; present in binding messages.
    pub binding: Option<Binding>,
}

impl Header {
    /// Returns a header of the given kind without further attributes.
    #[must_use]
    pub fn new(kind: PacketKind) -> Self {
        Self {
            kind,
            request: None,
            deadline: None,
            repeatable: false,
            class: RequestClass::Urgent,
            token: None,
            retry_after: None,
            load: None,
            target: None,
            attempt: None,
            hop: None,
            refusal: None,
            segment: None,
            binding: None,
        }
    }
}

/// One datagram: addresses, attributes and opaque payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// Address of the caller, in both directions.
    pub caller: SocketAddr,
    /// Address at which the caller reaches the service, in both directions.
    pub service: SocketAddr,
    /// Attributes of the packet.
    pub header: Header,
    /// Payload, which is passed on without being interpreted.
    pub payload: &'a [u8],
}
