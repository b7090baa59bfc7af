//! Caller's view of one flow.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use valvestage_core::PacketKind;
use valvestage_policy::flows::FlowToken;
use valvestage_wire::{Envelope, Header};

/// Time without an answer after which a flow counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Caller of one flow: opens it, sends on it and detects when it breaks.
#[derive(Debug, Clone)]
pub struct FlowCaller {
    /// Address of the caller in the envelope.
    pub caller: SocketAddr,
    /// Address of the service.
    pub service: SocketAddr,
    /// Whether the caller echoes the token that it received last.
    pub echoes_token: bool,
    /// Number of answer packets received.
    pub answers: u64,
    token: Option<FlowToken>,
    /// Id of the backend server that answered the opening packet.
    backend: Option<[u8; 4]>,
    last_received_at: Instant,
    is_broken: bool,
}

impl FlowCaller {
    /// Creates the caller of a flow that is not open yet.
    #[must_use]
    pub fn new(caller: SocketAddr, service: SocketAddr, echoes_token: bool, now: Instant) -> Self {
        Self {
            caller,
            service,
            echoes_token,
            answers: 0,
            token: None,
            backend: None,
            last_received_at: now,
            is_broken: false,
        }
    }

    /// Returns the next packet: an opening packet until the flow is open, then one with data.
    #[must_use]
    pub fn next_packet<'a>(&self, payload: &'a [u8]) -> Envelope<'a> {
        let kind = if self.backend.is_some() { PacketKind::Data } else { PacketKind::Open };
        let mut header = Header::new(kind);

        if self.echoes_token {
            header.token = self.token;
        }
        Envelope { caller: self.caller, service: self.service, header, payload }
    }

    /// Processes a packet received for this flow.
    pub fn on_packet(&mut self, envelope: &Envelope<'_>, now: Instant) {
        // A refused opening packet is retried; a refusal on the open flow breaks it.
        if envelope.header.kind == PacketKind::Refusal {
            self.is_broken |= self.backend.is_some();
            return;
        }

        let Some(answering_backend) = envelope.payload.first_chunk::<4>() else {
            return;
        };
        match self.backend {
            None => self.backend = Some(*answering_backend),
            Some(backend) => self.is_broken |= backend != *answering_backend,
        }
        if let Some(token) = envelope.header.token {
            self.token = Some(token);
        }
        self.answers += 1;
        self.last_received_at = now;
    }

    /// Reports whether the opening packet was answered.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.backend.is_some()
    }

    /// Reports whether the open flow was refused, moved to another backend server, or stalled.
    #[must_use]
    pub fn is_broken(&self, now: Instant) -> bool {
        self.is_broken || (self.is_open() && now - self.last_received_at > STALL_TIMEOUT)
    }
}
