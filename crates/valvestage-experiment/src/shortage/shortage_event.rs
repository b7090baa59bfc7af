//! Events of a run.

use std::time::Duration;

use valvestage_core::ids::ShortToken;
use valvestage_policy::steering::CallerPacket;

use super::caller_flow::{FlowId, RequestId};

/// A packet with the request whose data it carries.
#[derive(Debug, Clone, Copy)]
pub struct SentPacket {
    pub flow: FlowId,
    pub request: Option<RequestId>,
    pub packet: CallerPacket,
}

/// What reaches the caller of a flow.
#[derive(Debug, Clone, Copy)]
pub enum Notice {
    /// A backend server has opened the flow.
    Opened { server: usize, token: ShortToken },
    /// A backend server has received the data of a request.
    Received(RequestId),
    /// The answer of a backend server, or its rejection.
    Answered { request: RequestId, is_rejection: bool },
    /// A balancer has refused the opening packet.
    Refused,
    /// A balancer or a backend server has reset the flow.
    Reset,
}

/// What happens to the backend servers.
#[derive(Debug, Clone, Copy)]
pub enum FaultStep {
    /// Some stop, or become slow.
    Begin,
    /// The entries of those that stopped lapse.
    Lapse,
    /// All are as before.
    End,
}

/// Event of a run.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// A caller starts a request of a class.
    Arrive(usize),
    /// A packet reaches a balancer.
    Steer(SentPacket),
    /// A packet reaches a backend server.
    Receive { server: usize, token: ShortToken, sent: SentPacket },
    /// The process of a backend server ends a request.
    Finish { server: usize, starts: u32, flow: FlowId, request: RequestId },
    /// Something reaches a caller.
    Notify(FlowId, Notice),
    /// An opening packet is due again. Carries the number of copies sent so far.
    ResendOpening(FlowId, u32),
    /// The data of a request is due again. Carries the delay before.
    ResendData(FlowId, RequestId, Duration),
    /// The deadline of a request.
    Expire(RequestId),
    /// A step of the scenario.
    Fault(FaultStep),
}
