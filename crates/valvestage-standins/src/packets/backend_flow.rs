//! One flow at its backend server.

use std::time::{Duration, Instant};

use super::flow_packet::{FlowPacket, flags};
use super::packet_request::PacketRequest;

/// Data in one packet at most.
const MAX_DATA: usize = 1_200;

/// Wait before the first resend; doubled each time, up to [`LONGEST_RESEND`].
const FIRST_RESEND: Duration = Duration::from_millis(200);

/// Longest wait before a resend.
const LONGEST_RESEND: Duration = Duration::from_millis(1_600);

/// Resends before the flow is given up.
const MAX_RESENDS: u32 = 8;

/// `BackendFlow` is a flow that a backend server holds.
#[derive(Debug)]
pub struct BackendFlow {
    /// Whether the caller has answered the answer to its opening packet.
    pub open: bool,
    /// The balancer that sent the opening packet.
    pub balancer: usize,
    /// When that packet came.
    pub arrived: Instant,
    /// The caller's side, as the source of packets.
    opening: FlowPacket,
    token: u32,
    /// Number after the last byte that was sent and acknowledged.
    acknowledged: u32,
    /// Number of the byte expected next from the caller.
    expected: u32,
    /// Sent and not acknowledged.
    unacknowledged: Vec<u8>,
    resend_at: Option<Instant>,
    resends: u32,
    work: Option<(Instant, PacketRequest)>,
}

impl BackendFlow {
    /// `new` takes an opening packet.
    #[must_use]
    pub fn new(opening: FlowPacket, sequence: u32, balancer: usize, now: Instant) -> Self {
        Self {
            open: false,
            balancer,
            arrived: now,
            token: opening.token,
            acknowledged: sequence.wrapping_add(1),
            expected: opening.sequence.wrapping_add(1),
            opening,
            unacknowledged: Vec::new(),
            resend_at: None,
            resends: 0,
            work: None,
        }
    }

    /// `opening_answer` gives the answer to the opening packet.
    #[must_use]
    pub fn opening_answer(&self) -> FlowPacket {
        let sequence = self.acknowledged.wrapping_sub(1);

        self.packet(flags::SYN | flags::ACK, sequence, Vec::new())
    }

    /// `accepts` tells whether a packet acknowledges this backend server's answer to the opening
    /// packet, and not that of another one.
    #[must_use]
    pub fn accepts(&self, packet: &FlowPacket) -> bool {
        packet.acknowledged == self.acknowledged
    }

    /// `take` takes a packet of the open flow in, and gives a request that is to be worked on.
    pub fn take(&mut self, packet: &FlowPacket) -> Option<PacketRequest> {
        self.token = packet.token;
        self.take_acknowledgement(packet.acknowledged);
        if packet.data.is_empty() || packet.sequence != self.expected {
            return None;
        }

        self.expected = self.expected.wrapping_add(length_of(&packet.data));
        PacketRequest::decode(&packet.data)
    }

    /// `acknowledgement` gives the packet that says how much has come.
    #[must_use]
    pub fn acknowledgement(&self) -> FlowPacket {
        self.packet(flags::ACK, self.acknowledged, Vec::new())
    }

    /// `work_until` starts work on a request.
    pub fn work_until(&mut self, due: Instant, request: PacketRequest) {
        self.work = Some((due, request));
    }

    /// `due_packets` gives what is to be sent now; an answer that is done, or one sent again.
    pub fn due_packets(&mut self, now: Instant) -> Vec<FlowPacket> {
        if let Some((due, request)) = self.work
            && due <= now
        {
            self.work = None;
            self.unacknowledged = request.answer();
            self.resends = 0;
            self.resend_at = Some(now + FIRST_RESEND);
            return self.answer_packets();
        }
        if self.resend_at.is_none_or(|at| at > now) || self.resends >= MAX_RESENDS {
            return Vec::new();
        }

        self.resends += 1;
        let wait = FIRST_RESEND.saturating_mul(1 << self.resends.min(MAX_RESENDS));
        self.resend_at = Some(now + wait.min(LONGEST_RESEND));
        self.answer_packets()
    }

    fn answer_packets(&self) -> Vec<FlowPacket> {
        let mut sequence = self.acknowledged;
        let mut packets = Vec::new();

        for data in self.unacknowledged.chunks(MAX_DATA) {
            packets.push(self.packet(flags::ACK, sequence, data.to_vec()));
            sequence = sequence.wrapping_add(length_of(data));
        }
        packets
    }

    fn take_acknowledgement(&mut self, until: u32) {
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

/// Packets have 1,200 bytes of data at most.
fn length_of(data: &[u8]) -> u32 {
    u32::try_from(data.len()).unwrap_or(u32::MAX)
}
