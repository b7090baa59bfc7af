//! Caller's end of a flow.

use std::time::{Duration, Instant};

use valvestage_policy::steering::FlowAddresses;

use super::flow_packet::{FlowPacket, flags};
use super::packet_request::{PacketRequest, REJECTION};

/// Times after the opening packet at which it is retransmitted.
pub const OPENING_RETRANSMISSION_DELAYS: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];

/// Time after which a flow without an answer to its opening packet has failed to open.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Wait before the first retransmission; doubled for each further one, up to [`MAX_RESEND_WAIT`].
const INITIAL_RESEND_WAIT: Duration = Duration::from_millis(200);

/// Longest wait before a retransmission.
const MAX_RESEND_WAIT: Duration = Duration::from_millis(1_600);

/// State of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowState {
    /// The opening packet has been sent, and then retransmitted `retransmissions` times.
    Opening { sent_at: Instant, retransmissions: u32 },
    /// A request has been sent and its answer is not complete.
    AwaitingAnswer { resend_at: Instant, resends: u32 },
    /// The answer to the last request is complete.
    Idle,
}

/// Event that a packet or a timer has caused on a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FlowEvent {
    /// No event.
    None,
    /// The answer to the request is complete.
    Answered {
        /// Whether every byte of the answer is the one expected for the request.
        is_correct: bool,
    },
    /// The backend server has rejected the request and will not run it.
    Rejected,
    /// The opening packet was not answered in time.
    OpenTimedOut,
}

/// Result of a packet or a timer on a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowStep {
    /// Packets to send.
    pub packets: Vec<FlowPacket>,
    /// Event to report to the owner of the flow.
    pub event: FlowEvent,
}

impl FlowStep {
    fn empty() -> Self {
        Self::with_packets(Vec::new())
    }

    fn with_packets(packets: Vec<FlowPacket>) -> Self {
        Self { packets, event: FlowEvent::None }
    }
}

/// Flow of a caller, with the request that is outstanding on it.
#[derive(Debug)]
pub struct CallerFlow {
    /// Addresses of the caller and the service.
    pub flow: FlowAddresses,
    state: FlowState,
    request: PacketRequest,
    token: u32,
    /// Sequence number of the next byte to send.
    sequence: u32,
    /// Sequence number of the byte expected next.
    expected: u32,
    received: Vec<u8>,
}

impl CallerFlow {
    /// Creates a flow that sends the request once it is open. `sequence` is the initial sequence
    /// number of the caller's side.
    #[must_use]
    pub fn new(flow: FlowAddresses, sequence: u32, request: PacketRequest, now: Instant) -> Self {
        Self {
            flow,
            state: FlowState::Opening { sent_at: now, retransmissions: 0 },
            request,
            token: 0,
            sequence,
            expected: 0,
            received: Vec::new(),
        }
    }

    /// Reports whether a backend server has answered the opening packet.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !matches!(self.state, FlowState::Opening { .. })
    }

    /// Returns the opening packet: the first one for 0, otherwise that retransmission of it.
    #[must_use]
    pub fn opening_packet(&self, retransmissions: u32) -> FlowPacket {
        let mut packet = self.packet(flags::SYN, Vec::new());

        packet.acknowledged = retransmissions;
        packet
    }

    /// Returns the packet that sends a request on the open flow.
    pub fn send_request(&mut self, request: PacketRequest, now: Instant) -> FlowPacket {
        self.request = request;
        self.received.clear();
        self.state = FlowState::AwaitingAnswer { resend_at: now + INITIAL_RESEND_WAIT, resends: 0 };

        self.packet(flags::ACK, request.encode())
    }

    /// Processes a packet from the backend server, and returns the packets to send.
    pub fn on_packet(&mut self, packet: &FlowPacket, now: Instant) -> FlowStep {
        if packet.has_flag(flags::SYN) {
            return FlowStep::with_packets(self.handle_opening_answer(packet, now));
        }
        if !self.is_open() || packet.data.is_empty() {
            return FlowStep::empty();
        }

        self.token = packet.token;
        if packet.sequence == self.expected {
            self.expected = self.expected.wrapping_add(data_length(&packet.data));
            self.received.extend_from_slice(&packet.data);
        }
        let event = self.finish_answer();
        FlowStep { packets: vec![self.packet(flags::ACK, Vec::new())], event }
    }

    /// Returns the packets whose retransmission is due, or the event that the flow failed to open.
    pub fn on_timer(&mut self, now: Instant) -> FlowStep {
        match self.state {
            FlowState::Opening { sent_at, .. } if now >= sent_at + OPEN_TIMEOUT => {
                FlowStep { packets: Vec::new(), event: FlowEvent::OpenTimedOut }
            }
            FlowState::Opening { sent_at, retransmissions } => {
                let due = OPENING_RETRANSMISSION_DELAYS
                    .get(retransmissions as usize)
                    .map(|delay| sent_at + *delay);
                if due.is_none_or(|due| due > now) {
                    return FlowStep::empty();
                }
                self.state = FlowState::Opening { sent_at, retransmissions: retransmissions + 1 };
                FlowStep::with_packets(vec![self.opening_packet(retransmissions + 1)])
            }
            FlowState::AwaitingAnswer { resend_at, resends } if resend_at <= now => {
                let wait =
                    INITIAL_RESEND_WAIT.saturating_mul(2 << resends.min(8)).min(MAX_RESEND_WAIT);
                self.state =
                    FlowState::AwaitingAnswer { resend_at: now + wait, resends: resends + 1 };
                FlowStep::with_packets(vec![self.packet(flags::ACK, self.request.encode())])
            }
            _ => FlowStep::empty(),
        }
    }

    /// Returns the packet that closes the flow.
    #[must_use]
    pub fn closing_packet(&self) -> FlowPacket {
        self.packet(flags::FIN | flags::ACK, Vec::new())
    }

    /// Opens the flow at the backend server that answers the opening packet first. An answer of
    /// another backend server is ignored.
    fn handle_opening_answer(&mut self, packet: &FlowPacket, now: Instant) -> Vec<FlowPacket> {
        if self.is_open() {
            return Vec::new();
        }

        self.token = packet.token;
        self.expected = packet.sequence.wrapping_add(1);
        self.sequence = self.sequence.wrapping_add(1);
        vec![self.send_request(self.request, now)]
    }

    fn finish_answer(&mut self) -> FlowEvent {
        let is_awaiting_answer = matches!(self.state, FlowState::AwaitingAnswer { .. });
        if is_awaiting_answer && self.received == REJECTION {
            return FlowEvent::Rejected;
        }
        if !is_awaiting_answer || self.received.len() < self.request.answer_bytes as usize {
            return FlowEvent::None;
        }

        self.state = FlowState::Idle;
        self.sequence = self.sequence.wrapping_add(data_length(&self.request.encode()));
        FlowEvent::Answered { is_correct: self.received == self.request.answer() }
    }

    fn packet(&self, flags: u8, data: Vec<u8>) -> FlowPacket {
        FlowPacket {
            flags,
            token: self.token,
            sequence: self.sequence,
            acknowledged: self.expected,
            source: self.flow.caller,
            destination: self.flow.service,
            data,
        }
    }
}

/// Returns the length of a packet's data, which is at most 1,200 bytes.
fn data_length(data: &[u8]) -> u32 {
    u32::try_from(data.len()).unwrap_or(u32::MAX)
}
