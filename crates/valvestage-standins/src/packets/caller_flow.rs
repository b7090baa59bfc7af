//! One flow at its caller.

use std::time::{Duration, Instant};

use valvestage_policy::steering::FlowAddresses;

use super::flow_packet::{FlowPacket, flags};
use super::packet_request::PacketRequest;

/// Times after the opening packet at which copies of it follow.
const COPIES_AFTER: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Longest wait for a flow to open.
const OPEN_WITHIN: Duration = Duration::from_millis(1_400);

/// Wait before the first resend; doubled each time, up to [`LONGEST_RESEND`].
const FIRST_RESEND: Duration = Duration::from_millis(200);

/// Longest wait before a resend.
const LONGEST_RESEND: Duration = Duration::from_millis(1_600);

/// Where the flow stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowStage {
    /// The opening packet has been sent, with so many copies.
    Opening { sent_at: Instant, copies: u32 },
    /// A request is under way.
    Asking { resend_at: Instant, resends: u32 },
    /// The last answer has come.
    Resting,
}

/// `FlowProgress` is what a packet, or the time, has brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FlowProgress {
    /// Nothing.
    None,
    /// An answer has come.
    Answered {
        /// Whether every byte of it belongs to the request.
        whole: bool,
    },
    /// The flow did not open in time.
    Unopened,
}

/// `FlowStep` is what a flow does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowStep {
    /// Packets to send.
    pub packets: Vec<FlowPacket>,
    /// What has come of it.
    pub progress: FlowProgress,
}

impl FlowStep {
    fn nothing() -> Self {
        Self::send(Vec::new())
    }

    fn send(packets: Vec<FlowPacket>) -> Self {
        Self { packets, progress: FlowProgress::None }
    }
}

/// `CallerFlow` is a flow with the request that is under way on it.
#[derive(Debug)]
pub struct CallerFlow {
    /// Its addresses.
    pub flow: FlowAddresses,
    stage: FlowStage,
    request: PacketRequest,
    token: u32,
    /// Number of the next byte to send.
    sequence: u32,
    /// Number of the byte expected next.
    expected: u32,
    received: Vec<u8>,
}

impl CallerFlow {
    /// `new` is a flow that is about to open for a request.
    #[must_use]
    pub fn new(flow: FlowAddresses, sequence: u32, request: PacketRequest, now: Instant) -> Self {
        Self {
            flow,
            stage: FlowStage::Opening { sent_at: now, copies: 0 },
            request,
            token: 0,
            sequence,
            expected: 0,
            received: Vec::new(),
        }
    }

    /// `is_open` tells whether the flow has opened.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !matches!(self.stage, FlowStage::Opening { .. })
    }

    /// `opening_packet` gives the opening packet, or a copy of it.
    #[must_use]
    pub fn opening_packet(&self, copies: u32) -> FlowPacket {
        let mut packet = self.packet(flags::SYN, Vec::new());

        packet.acknowledged = copies;
        packet
    }

    /// `ask` sends a further request on the open flow.
    pub fn ask(&mut self, request: PacketRequest, now: Instant) -> FlowPacket {
        self.request = request;
        self.received.clear();
        self.stage = FlowStage::Asking { resend_at: now + FIRST_RESEND, resends: 0 };

        self.packet(flags::ACK, request.encode())
    }

    /// `take` takes a packet of the backend server in, and gives what is to be sent.
    pub fn take(&mut self, packet: &FlowPacket, now: Instant) -> FlowStep {
        if packet.has(flags::SYN) {
            return FlowStep::send(self.take_opening_answer(packet, now));
        }
        if !self.is_open() || packet.data.is_empty() {
            return FlowStep::nothing();
        }

        self.token = packet.token;
        if packet.sequence == self.expected {
            self.expected = self.expected.wrapping_add(length_of(&packet.data));
            self.received.extend_from_slice(&packet.data);
        }
        let progress = self.check_answer();
        FlowStep { packets: vec![self.packet(flags::ACK, Vec::new())], progress }
    }

    /// `on_time` gives what is to be sent again.
    pub fn on_time(&mut self, now: Instant) -> FlowStep {
        match self.stage {
            FlowStage::Opening { sent_at, .. } if now >= sent_at + OPEN_WITHIN => {
                FlowStep { packets: Vec::new(), progress: FlowProgress::Unopened }
            }
            FlowStage::Opening { sent_at, copies } => {
                let due = COPIES_AFTER.get(copies as usize).map(|after| sent_at + *after);
                if due.is_none_or(|due| due > now) {
                    return FlowStep::nothing();
                }
                self.stage = FlowStage::Opening { sent_at, copies: copies + 1 };
                FlowStep::send(vec![self.opening_packet(copies + 1)])
            }
            FlowStage::Asking { resend_at, resends } if resend_at <= now => {
                let wait = FIRST_RESEND.saturating_mul(2 << resends.min(8)).min(LONGEST_RESEND);
                self.stage = FlowStage::Asking { resend_at: now + wait, resends: resends + 1 };
                FlowStep::send(vec![self.packet(flags::ACK, self.request.encode())])
            }
            _ => FlowStep::nothing(),
        }
    }

    /// `closing_packet` gives the packet that ends the flow.
    #[must_use]
    pub fn closing_packet(&self) -> FlowPacket {
        self.packet(flags::FIN | flags::ACK, Vec::new())
    }

    /// The first answer decides which backend server has the flow; what another one says is passed
    /// over.
    fn take_opening_answer(&mut self, packet: &FlowPacket, now: Instant) -> Vec<FlowPacket> {
        if self.is_open() {
            return Vec::new();
        }

        self.token = packet.token;
        self.expected = packet.sequence.wrapping_add(1);
        self.sequence = self.sequence.wrapping_add(1);
        vec![self.ask(self.request, now)]
    }

    fn check_answer(&mut self) -> FlowProgress {
        let is_asking = matches!(self.stage, FlowStage::Asking { .. });
        if !is_asking || self.received.len() < self.request.answer_bytes as usize {
            return FlowProgress::None;
        }

        self.stage = FlowStage::Resting;
        self.sequence = self.sequence.wrapping_add(length_of(&self.request.encode()));
        FlowProgress::Answered { whole: self.received == self.request.answer() }
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

/// Packets have 1,200 bytes of data at most.
fn length_of(data: &[u8]) -> u32 {
    u32::try_from(data.len()).unwrap_or(u32::MAX)
}
