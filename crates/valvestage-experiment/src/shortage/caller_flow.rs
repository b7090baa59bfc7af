//! Flows and requests of callers.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use valvestage_core::ids::ShortToken;
use valvestage_policy::steering::{CallerPacket, FlowAddresses};

use super::traffic_class::CLASSES;
use crate::fleet::store::service_address;

/// Index of a flow, in the order in which flows are opened.
pub type FlowId = usize;

/// Index of a request, in the order in which requests are started.
pub type RequestId = usize;

/// Sizes of a request, of an answer and of a rejection, in bytes.
pub const REQUEST_BYTES: u32 = 300;
pub const ANSWER_BYTES: u32 = 900;
pub const REJECTION_BYTES: u32 = 120;

/// Addresses of callers.
const CALLER_ADDRESSES: usize = 1_000;

/// Sequence number of a flow's first byte, and number of the first byte of its answers.
const FIRST_SEQUENCE: u32 = 1_000;
const FIRST_ANSWER: u32 = 5_000;

/// State of a flow as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowState {
    /// No backend server has answered yet.
    Opening,
    /// The backend server given has answered.
    Open(usize),
    /// The flow is over.
    Closed,
}

/// A flow of a caller.
#[derive(Debug)]
pub struct CallerFlow {
    pub addresses: FlowAddresses,
    pub state: FlowState,
    /// Request under way on the flow.
    pub request: Option<RequestId>,
    /// Whether the backend server has acknowledged the data of that request.
    pub is_acknowledged: bool,
    /// Requests that the flow may still carry.
    pub requests_left: u32,
    /// Time of the last answer.
    pub idle_since: Duration,
    token: ShortToken,
    sent_until: u32,
    received_until: u32,
}

impl CallerFlow {
    /// Creates a flow whose opening packet is still to be sent.
    pub fn new(id: FlowId, class: usize, request: RequestId, requests_left: u32) -> Self {
        let address = u16::try_from(id % CALLER_ADDRESSES).unwrap_or_default().to_be_bytes();
        let port = u16::try_from(id / CALLER_ADDRESSES % 60_000).unwrap_or_default() + 1_024;
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, address[0], address[1]), port);
        let service = service_address(CLASSES[class].address);

        Self {
            addresses: FlowAddresses { caller, service },
            state: FlowState::Opening,
            request: Some(request),
            is_acknowledged: false,
            requests_left,
            idle_since: Duration::ZERO,
            token: 0,
            sent_until: FIRST_SEQUENCE,
            received_until: FIRST_ANSWER,
        }
    }

    /// Returns the opening packet, which was sent `copies` times before.
    pub fn opening_packet(&self, copies: u32) -> CallerPacket {
        CallerPacket {
            flow: self.addresses,
            opening: true,
            closing: false,
            reset: false,
            token: 0,
            sequence: FIRST_SEQUENCE - 1,
            acknowledged: copies,
            data_length: 0,
        }
    }

    /// Returns a packet without data.
    pub fn packet(&self) -> CallerPacket {
        CallerPacket {
            opening: false,
            token: self.token,
            sequence: self.sent_until,
            acknowledged: self.received_until,
            ..self.opening_packet(0)
        }
    }

    /// Returns the packet with the data of the request sent last.
    pub fn data_packet(&self) -> CallerPacket {
        CallerPacket {
            sequence: self.sent_until - REQUEST_BYTES,
            data_length: REQUEST_BYTES,
            ..self.packet()
        }
    }

    /// Records that the backend server has opened the flow.
    pub fn on_opened(&mut self, server: usize, token: ShortToken) {
        self.state = FlowState::Open(server);
        self.token = token;
    }

    /// Begins a request.
    pub fn begin(&mut self, request: RequestId) {
        self.request = Some(request);
        self.is_acknowledged = false;
        self.sent_until = self.sent_until.wrapping_add(REQUEST_BYTES);
        self.requests_left = self.requests_left.saturating_sub(1);
    }

    /// Records an answer to the request under way.
    pub fn on_answer(&mut self, bytes: u32, now: Duration) {
        self.request = None;
        self.received_until = self.received_until.wrapping_add(bytes);
        self.idle_since = now;
    }
}

/// A request of a caller, over all of its attempts.
#[derive(Debug, Clone, Copy)]
pub struct CallerRequest {
    pub class: usize,
    pub started_at: Duration,
    /// Time for which the request occupies a slot.
    pub work: Duration,
    pub retries_left: u32,
    /// Flow of the last attempt.
    pub flow: FlowId,
    pub is_over: bool,
}

/// The way in which an attempt ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A balancer reset the flow before it opened.
    Refused,
    /// A backend server rejected the request.
    Rejected,
    /// No backend server has opened the flow.
    Unopened,
    /// The flow ended while the request may have run.
    Broken,
}
