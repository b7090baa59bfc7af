//! State of the callers: their flows, and the requests that they resend until answered.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::SystemTime;

use valvestage_core::Outcome;
use valvestage_core::ids::{BackendId, RequestId, ServiceId};
use valvestage_policy::flows::FlowToken;

pub fn caller_address(number: u32) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::from(0xc612_0000 + number).into(), 4_000)
}

/// Flow as its caller sees it.
#[derive(Debug, Clone)]
pub struct Flow {
    pub caller: SocketAddr,
    pub service: ServiceId,
    /// Whether the caller puts the token that it received into its packets.
    pub echoes_token: bool,
    /// Last token that the caller received.
    pub token: Option<FlowToken>,
    /// Backend server that first answered; an answer of any other breaks the flow.
    pub backend: Option<BackendId>,
    /// When the first answer arrived.
    pub opened: Option<SystemTime>,
    /// When the latest answer arrived.
    pub last_answer: Option<SystemTime>,
    /// When and why the flow broke.
    pub broken: Option<(SystemTime, &'static str)>,
    /// Whether the caller sends a token that was forged or issued to another flow.
    pub is_attacker: bool,
}

/// Reply that a caller receives for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerReply {
    /// An answer; [`Request::got_wrong_answer`] says whether it was incomplete or belonged to
    /// another request.
    Answered,
    /// A refusal that says what is known of the request's execution.
    Refused(Outcome),
}

/// Request as its caller sees it.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: RequestId,
    pub caller: SocketAddr,
    pub service: ServiceId,
    pub repeatable: bool,
    pub sent: SystemTime,
    pub deadline: SystemTime,
    /// Replies that the caller received, in order.
    pub replies: Vec<(SystemTime, CallerReply)>,
    /// How often the request was started, over all backend servers.
    pub runs: u32,
    /// Whether an answer belonged to another request or caller, or was incomplete.
    pub got_wrong_answer: bool,
    /// Whether the request is sent after the fault, to check that the service has recovered.
    pub is_probe: bool,
    /// Availability zone whose balancers alone the caller reaches; `None` reaches all balancers.
    pub from_zone: Option<usize>,
}

impl Request {
    pub fn first_reply(&self) -> Option<CallerReply> {
        self.replies.first().map(|(_, reply)| *reply)
    }

    pub fn has_received(&self, reply: CallerReply) -> bool {
        self.replies.iter().any(|(_, received)| *received == reply)
    }
}
