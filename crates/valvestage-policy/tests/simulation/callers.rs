//! The simulated callers and their flows.

use std::net::{Ipv4Addr, SocketAddrV4};

use valvestage_core::ids::InstanceId;
use valvestage_policy::rendezvous::mix;
use valvestage_policy::steering::{CallerPacket, FlowAddresses};

use crate::events::{BalancerNumber, Millis};

/// Times after the first opening packet at which it is retransmitted, and the timeout of the
/// opening.
pub const OPENING_RESENDS_AT: [Millis; 2] = [200, 600];
pub const OPENING_TIMEOUT: Millis = 1_400;

/// Delay before the first retransmission of a request, and the longest delay. The delay doubles
/// with each retransmission.
pub const FIRST_RESEND_DELAY: Millis = 200;
pub const MAX_RESEND_DELAY: Millis = 1_600;

/// Time after which a caller gives up a request.
pub const REQUEST_DEADLINE: Millis = 3_000;

/// Size of a request and of an answer, in bytes.
pub const REQUEST_BYTES: u32 = 300;
pub const ANSWER_BYTES: u32 = 900;

/// Sequence number of a flow's first byte.
const FIRST_SEQUENCE: u32 = 1_000;

/// How a caller uses its flows.
#[derive(Debug, Clone, Copy)]
pub struct CallerProfile {
    /// Number of flows that the caller has at the same time.
    pub flows: usize,
    /// Number of requests of a flow. The caller closes it after the last one.
    pub requests: u32,
    /// Shortest pause between two requests of a flow.
    pub min_pause: Millis,
    /// Limit of the random time that is added to the shortest pause, in milliseconds.
    pub extra_pause_ms: usize,
}

impl CallerProfile {
    /// A flow with many requests and short pauses.
    pub const LONG: Self = Self { flows: 1, requests: 40, min_pause: 200, extra_pause_ms: 1_300 };

    /// One flow for each request.
    pub const BRIEF: Self = Self { requests: 1, ..Self::LONG };

    /// Flows of a second or two.
    pub const SHORT: Self = Self { flows: 3, requests: 10, min_pause: 60, extra_pause_ms: 200 };

    /// A flow that rests for up to 14 s between two requests. That is shorter than the idle
    /// timeout, after which a flow may be forgotten.
    pub const RESTING: Self =
        Self { flows: 1, requests: 40, min_pause: 2_000, extra_pause_ms: 12_000 };
}

/// State of a flow as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowState {
    Opening,
    Open(InstanceId),
    Closed,
}

/// A request that has no answer yet.
#[derive(Debug, Clone, Copy)]
pub struct OpenRequest {
    pub started_at: Millis,
    pub resend_at: Millis,
    pub resend_delay: Millis,
    /// Number of the request's packets that balancers dropped although the flow could go on.
    pub dropped: u32,
}

/// A flow of a caller.
pub struct CallerFlow {
    pub caller: usize,
    pub zone: usize,
    pub addresses: FlowAddresses,
    pub state: FlowState,
    pub token: u32,
    /// The balancer that the routers chose for the last packet.
    pub last_balancer: Option<BalancerNumber>,
    pub opened_at: Millis,
    pub opening_resends: u32,
    pub next_sequence: u32,
    pub acknowledged: u32,
    pub request: Option<OpenRequest>,
    pub next_request_at: Millis,
    pub requests_left: u32,
    pub last_answer_at: Millis,
}

impl CallerFlow {
    pub fn new(
        number: usize,
        caller: usize,
        zone: usize,
        service: SocketAddrV4,
        requests: u32,
        now: Millis,
    ) -> Self {
        let [.., c, high, low] = number.to_be_bytes();
        let port = 1_024 + u16::from_be_bytes([high, low]) % 60_000;
        let caller_ip =
            Ipv4Addr::new(100, 64, c, u8::try_from(caller % 250).expect("the number fits"));

        Self {
            caller,
            zone,
            addresses: FlowAddresses { caller: SocketAddrV4::new(caller_ip, port), service },
            state: FlowState::Opening,
            token: 0,
            last_balancer: None,
            opened_at: now,
            opening_resends: 0,
            next_sequence: FIRST_SEQUENCE,
            acknowledged: 0,
            request: None,
            next_request_at: 0,
            requests_left: requests,
            last_answer_at: 0,
        }
    }

    /// Returns the hash of the flow's addresses that routers use.
    pub fn hash(&self) -> u64 {
        let FlowAddresses { caller, service } = self.addresses;
        let ends = (u64::from(u32::from(*caller.ip())) << 16) | u64::from(caller.port());

        mix(ends, (u64::from(u32::from(*service.ip())) << 16) | u64::from(service.port()))
    }

    pub fn opening_packet(&self) -> CallerPacket {
        CallerPacket {
            flow: self.addresses,
            opening: true,
            closing: false,
            reset: false,
            token: 0,
            sequence: FIRST_SEQUENCE - 1,
            acknowledged: self.opening_resends,
            data_length: 0,
        }
    }

    /// Returns a packet with the last `bytes` bytes that were sent, or without data for 0.
    pub fn packet(&self, bytes: u32) -> CallerPacket {
        CallerPacket {
            opening: false,
            token: self.token,
            sequence: self.next_sequence - bytes,
            acknowledged: self.acknowledged,
            data_length: bytes,
            ..self.opening_packet()
        }
    }
}
