//! The typed form of an envelope.

use std::net::SocketAddr;
use std::time::Duration;

use valvestage_core::ids::{Attempt, BackendId, Incarnation, RequestId, ServiceId};
use valvestage_core::time::Deadline;
use valvestage_core::{LoadReport, Outcome, PacketKind, RefusalReason, RequestClass, Segment};
use valvestage_policy::flows::{Binding, FlowToken, RelayHeader};

/// `Target` names the backend server that a packet is meant for, or comes from.
///
/// Both sides compare it with what they know: a packet that reaches a VM which serves something
/// else by now is refused there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// The backend server.
    pub backend: BackendId,
    /// The VM behind its record.
    pub incarnation: Incarnation,
}

/// `Header` is the attributes of a packet; which are present depends on its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// What the packet asks; a datagram without this attribute is a flow packet.
    pub kind: PacketKind,
    /// Names the request; with requests, cancels, answers and refusals of requests.
    pub request: Option<RequestId>,
    /// With requests.
    pub deadline: Option<Deadline>,
    /// With requests.
    pub repeatable: bool,
    /// With requests.
    pub class: RequestClass,
    /// With flow packets; issued with the answer to an opening packet.
    pub token: Option<FlowToken>,
    /// With refusals.
    pub retry_after: Option<Duration>,
    /// With everything that a backend server sends.
    pub load: Option<LoadReport>,
    /// With everything between balancers and backend servers.
    pub target: Option<Target>,
    /// With requests to backend servers, and their answers.
    pub attempt: Option<Attempt>,
    /// With everything that one balancer relays to another.
    pub hop: Option<RelayHeader>,
    /// With refusals.
    pub refusal: Option<(Outcome, RefusalReason)>,
    /// With answers of more than one datagram.
    pub segment: Option<Segment>,
    /// With binding messages.
    pub binding: Option<Binding>,
}

impl Header {
    /// `new` gives a header without attributes.
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

/// `Envelope` is one datagram: addresses, attributes, opaque payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// The caller, in both directions.
    pub caller: SocketAddr,
    /// The address at which the caller reaches the service, in both directions.
    pub service: SocketAddr,
    /// The attributes.
    pub header: Header,
    /// Never read.
    pub payload: &'a [u8],
}
