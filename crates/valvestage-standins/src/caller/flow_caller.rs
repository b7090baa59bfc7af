//! One flow, as its caller sees it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use valvestage_core::PacketKind;
use valvestage_policy::flows::FlowToken;
use valvestage_wire::{Envelope, Header};

/// Without an answer for this long a flow has stalled.
const STALLED_AFTER: Duration = Duration::from_secs(3);

/// `FlowCaller` opens a flow, sends on it, and notices when it breaks.
#[derive(Debug, Clone)]
pub struct FlowCaller {
    /// Its address, as the envelope tells it.
    pub caller: SocketAddr,
    /// The service's address.
    pub service: SocketAddr,
    /// Whether it echoes the token.
    pub echoes: bool,
    /// Packets that came back.
    pub answers: u64,
    token: Option<FlowToken>,
    /// The backend server that answered the opening packet.
    backend: Option<[u8; 4]>,
    last_heard: Instant,
    is_broken: bool,
}

impl FlowCaller {
    /// `new` prepares a flow that is not open yet.
    #[must_use]
    pub fn new(caller: SocketAddr, service: SocketAddr, echoes: bool, now: Instant) -> Self {
        Self {
            caller,
            service,
            echoes,
            answers: 0,
            token: None,
            backend: None,
            last_heard: now,
            is_broken: false,
        }
    }

    /// `next_packet` gives the packet to send now.
    #[must_use]
    pub fn next_packet<'a>(&self, payload: &'a [u8]) -> Envelope<'a> {
        let kind = if self.backend.is_some() { PacketKind::Data } else { PacketKind::Open };
        let mut header = Header::new(kind);

        if self.echoes {
            header.token = self.token;
        }
        Envelope { caller: self.caller, service: self.service, header, payload }
    }

    /// `on_packet` takes a packet for this flow in.
    pub fn on_packet(&mut self, envelope: &Envelope<'_>, now: Instant) {
        // A refused opening is tried again; a refusal later breaks the flow.
        if envelope.header.kind == PacketKind::Refusal {
            self.is_broken |= self.backend.is_some();
            return;
        }

        let Some(answering) = envelope.payload.first_chunk::<4>() else {
            return;
        };
        match self.backend {
            None => self.backend = Some(*answering),
            Some(backend) => self.is_broken |= backend != *answering,
        }
        if let Some(token) = envelope.header.token {
            self.token = Some(token);
        }
        self.answers += 1;
        self.last_heard = now;
    }

    /// `is_open` tells whether the opening packet was answered.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.backend.is_some()
    }

    /// `is_broken` tells whether the flow was refused, moved or stalled.
    #[must_use]
    pub fn is_broken(&self, now: Instant) -> bool {
        self.is_broken || (self.is_open() && now - self.last_heard > STALLED_AFTER)
    }
}
