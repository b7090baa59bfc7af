//! One request, as its caller sees it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Instant, SystemTime};

use valvestage_core::ids::RequestId;
use valvestage_core::{Outcome, PacketKind, RequestClass, Segment};
use valvestage_wire::{Envelope, Header};

/// `RequestCaller` sends a request, and the same one again until it is told how it ended.
#[derive(Debug, Clone)]
pub struct RequestCaller {
    /// Its id.
    pub id: RequestId,
    /// Its address, as the envelope tells it.
    pub caller: SocketAddr,
    /// The service's address.
    pub service: SocketAddr,
    /// Its deadline.
    pub deadline: SystemTime,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Its class.
    pub class: RequestClass,
    /// When it was first sent.
    pub started: Instant,
    /// Segments that came.
    segments: BTreeSet<u16>,
    /// How it ended; the first word counts.
    pub ending: Option<RequestEnding>,
    /// Whether it was told two different things.
    pub is_contradicted: bool,
    /// Whether an answer carried another request's id.
    pub got_foreign: bool,
}

/// `RequestEnding` is the final answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnding {
    /// The whole answer came.
    Answered(Instant),
    /// It was given up.
    Refused(Outcome),
}

/// What is needed to make a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestDraft {
    /// Its id.
    pub id: RequestId,
    /// Its address.
    pub caller: SocketAddr,
    /// The service's address.
    pub service: SocketAddr,
    /// Its deadline.
    pub deadline: SystemTime,
    /// Whether it may be repeated.
    pub repeatable: bool,
}

impl RequestCaller {
    /// `new` prepares a request.
    #[must_use]
    pub fn new(draft: RequestDraft, started: Instant) -> Self {
        let class = if draft.repeatable { RequestClass::Bulk } else { RequestClass::Urgent };

        Self {
            id: draft.id,
            caller: draft.caller,
            service: draft.service,
            deadline: draft.deadline,
            repeatable: draft.repeatable,
            class,
            started,
            segments: BTreeSet::new(),
            ending: None,
            is_contradicted: false,
            got_foreign: false,
        }
    }

    /// `packet` gives the packet to send; copies are the same.
    #[must_use]
    pub fn packet<'a>(&self, payload: &'a [u8]) -> Envelope<'a> {
        let mut header = Header::new(PacketKind::Request);

        header.request = Some(self.id);
        header.deadline = Some(self.deadline);
        header.repeatable = self.repeatable;
        header.class = self.class;
        Envelope { caller: self.caller, service: self.service, header, payload }
    }

    /// `on_packet` takes a packet for this request in.
    pub fn on_packet(&mut self, envelope: &Envelope<'_>, now: Instant) {
        let ending = match (envelope.header.kind, envelope.header.refusal) {
            (PacketKind::Answer, _) => {
                let place = envelope.header.segment.unwrap_or(Segment::WHOLE);
                self.got_foreign |= envelope.payload != self.id.to_be_bytes();
                self.segments.insert(place.index);
                if self.segments.len() < usize::from(place.count) {
                    return;
                }
                RequestEnding::Answered(now)
            }
            (PacketKind::Refusal, Some((outcome, _))) => RequestEnding::Refused(outcome),
            _ => return,
        };

        // "In doubt" leaves both open; "not run" excludes an answer, and the other way round.
        let is_not_run = |e| e == RequestEnding::Refused(Outcome::NotRun);
        let is_answered = |e| matches!(e, RequestEnding::Answered(_));
        match self.ending {
            None => self.ending = Some(ending),
            Some(first) => {
                self.is_contradicted |= (is_not_run(first) && is_answered(ending))
                    || (is_answered(first) && is_not_run(ending));
            }
        }
    }
}
