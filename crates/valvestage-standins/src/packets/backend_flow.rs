//! Backend server's end of a flow.

use std::time::{Duration, Instant};

use super::flow_packet::{FlowPacket, flags};
use super::packet_request::{PacketRequest, REJECTION};

/// Largest amount of data in one packet, bytes.
const MAX_DATA_BYTES: usize = 1_200;

/// Wait before the first retransmission; doubled for each further one, up to [`MAX_RESEND_WAIT`].
const INITIAL_RESEND_WAIT: Duration = Duration::from_millis(200);

/// Longest wait before a retransmission.
const MAX_RESEND_WAIT: Duration = Duration::from_millis(1_600);

/// Largest number of retransmissions of an answer.
const MAX_RESENDS: u32 = 8;

/// Flow that a backend server holds, with the answer that is being sent on it.
#[derive(Debug)]
pub struct BackendFlow {
    /// Whether the caller has acknowledged the answer to its opening packet; set by the owner.
    pub is_open: bool,
    /// Number of the balancer that forwarded the opening packet.
    pub balancer: usize,
    /// When the opening packet arrived.
    pub opening_received_at: Instant,
    /// Opening packet; its source is the caller and its destination the service.
    opening: FlowPacket,
    token: u32,
    /// Sequence number after the last byte that the caller has acknowledged.
    acknowledged: u32,
    /// Sequence number of the byte expected next from the caller.
    expected: u32,
    /// Bytes that were sent and are not acknowledged.
    unacknowledged: Vec<u8>,
    resend_at: Option<Instant>,
    resends: u32,
    /// Answer to the request under way, and when it is ready.
    pending_answer: Option<(Instant, Vec<u8>)>,
}

impl BackendFlow {
    /// Creates the flow of an opening packet that a balancer forwarded. `sequence` is the initial
    /// sequence number of the backend server's side.
    #[must_use]
    pub fn new(opening: FlowPacket, sequence: u32, balancer: usize, now: Instant) -> Self {
        Self {
            is_open: false,
            balancer,
            opening_received_at: now,
            token: opening.token,
            acknowledged: sequence.wrapping_add(1),
            expected: opening.sequence.wrapping_add(1),
            opening,
            unacknowledged: Vec::new(),
            resend_at: None,
            resends: 0,
            pending_answer: None,
        }
    }

    /// Returns the answer to the opening packet, which carries the token.
    #[must_use]
    pub fn opening_answer(&self) -> FlowPacket {
        let sequence = self.acknowledged.wrapping_sub(1);

        self.packet(flags::SYN | flags::ACK, sequence, Vec::new())
    }

    /// Reports whether a packet acknowledges this backend server's answer to the opening packet, as
    /// opposed to the answer of another backend server.
    #[must_use]
    pub fn is_acknowledged_by(&self, packet: &FlowPacket) -> bool {
        packet.acknowledged == self.acknowledged
    }

    /// Processes a packet of the open flow, and returns the request that it carries, if any. Data
    /// out of order is ignored.
    pub fn on_packet(&mut self, packet: &FlowPacket) -> Option<PacketRequest> {
        self.token = packet.token;
        self.apply_acknowledgement(packet.acknowledged);
        if packet.data.is_empty() || packet.sequence != self.expected {
            return None;
        }

        self.expected = self.expected.wrapping_add(data_length(&packet.data));
        PacketRequest::decode(&packet.data)
    }

    /// Returns a packet without data that acknowledges everything received in order.
    #[must_use]
    pub fn acknowledgement(&self) -> FlowPacket {
        self.packet(flags::ACK, self.acknowledged, Vec::new())
    }

    /// Starts to run a request whose answer is ready at `due`.
    pub fn start_request(&mut self, due: Instant, request: PacketRequest) {
        self.pending_answer = Some((due, request.answer()));
    }

    /// Rejects a request without running it. The rejection is sent at `due`.
    pub fn reject_request(&mut self, due: Instant) {
        self.pending_answer = Some((due, REJECTION.to_vec()));
    }

    /// Returns the packets to send now: those of an answer that has become ready, or the
    /// retransmissions of an answer that the caller has not acknowledged in time.
    pub fn due_packets(&mut self, now: Instant) -> Vec<FlowPacket> {
        if let Some((_, answer)) = self.pending_answer.take_if(|(due, _)| *due <= now) {
            self.unacknowledged = answer;
            self.resends = 0;
            self.resend_at = Some(now + INITIAL_RESEND_WAIT);
            return self.answer_packets();
        }
        if self.resend_at.is_none_or(|at| at > now) || self.resends >= MAX_RESENDS {
            return Vec::new();
        }

        self.resends += 1;
        let wait = INITIAL_RESEND_WAIT.saturating_mul(1 << self.resends.min(MAX_RESENDS));
        self.resend_at = Some(now + wait.min(MAX_RESEND_WAIT));
        self.answer_packets()
    }

    fn answer_packets(&self) -> Vec<FlowPacket> {
        let mut sequence = self.acknowledged;
        let mut packets = Vec::new();

        for data in self.unacknowledged.chunks(MAX_DATA_BYTES) {
            packets.push(self.packet(flags::ACK, sequence, data.to_vec()));
            sequence = sequence.wrapping_add(data_length(data));
        }
        packets
    }

    fn apply_acknowledgement(&mut self, until: u32) {
        let bytes = until.wrapping_sub(self.acknowledged) as usize;
        if bytes == 0 || bytes > self.unacknowledged.len() {
            return;
        }

        self.unacknowledged.drain(..bytes);
        self.acknowledged = until;
        if self.unacknowledged.is_empty() {
            self.resend_at = None;
        }
    }

    fn packet(&self, flags: u8, sequence: u32, data: Vec<u8>) -> FlowPacket {
        FlowPacket {
            flags,
            token: self.token,
            sequence,
            acknowledged: self.expected,
            source: self.opening.destination,
            destination: self.opening.source,
            data,
        }
    }
}

/// Returns the length of a packet's data, which is at most 1,200 bytes.
fn data_length(data: &[u8]) -> u32 {
    u32::try_from(data.len()).unwrap_or(u32::MAX)
}
