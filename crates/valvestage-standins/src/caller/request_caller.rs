//! Caller's view of one request.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Instant, SystemTime};

use valvestage_core::ids::RequestId;
use valvestage_core::{Outcome, PacketKind, RequestClass, Segment};
use valvestage_wire::{Envelope, Header};

/// Caller of one request: sends it, resends it until it has a result, and checks the answer.
#[derive(Debug, Clone)]
pub struct RequestCaller {
    /// Id of the request, the same in all resends.
    pub id: RequestId,
    /// Address of the caller in the envelope.
    pub caller: SocketAddr,
    /// Address of the service.
    pub service: SocketAddr,
    /// Time after which the request must not start to run.
    pub deadline: SystemTime,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Class of the request: bulk if it is repeatable, urgent otherwise.
    pub class: RequestClass,
    /// When it was first sent.
    pub started: Instant,
    /// Indexes of the answer's segments received so far.
    segments: BTreeSet<u16>,
    /// Result of the request; the first one received counts. `None` while it is open.
    pub result: Option<RequestResult>,
    /// Whether the request was both answered and refused as not run.
    pub has_contradiction: bool,
    /// Whether an answer carried the id of another request.
    pub has_foreign_answer: bool,
}

/// Result of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// All segments of the answer had arrived at this time.
    Answered(Instant),
    /// A refusal came with this outcome.
    Refused(Outcome),
}

/// Parameters of a new request.
#[derive(Debug, Clone, Copy)]
pub struct RequestParameters {
    /// Id of the request.
    pub id: RequestId,
    /// Address of the caller in the envelope.
    pub caller: SocketAddr,
    /// Address of the service.
    pub service: SocketAddr,
    /// Time after which the request must not start to run.
    pub deadline: SystemTime,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

impl RequestCaller {
    /// Creates a request that is first sent at `started`.
    #[must_use]
    pub fn new(parameters: RequestParameters, started: Instant) -> Self {
        let class = if parameters.repeatable { RequestClass::Bulk } else { RequestClass::Urgent };

        Self {
            id: parameters.id,
            caller: parameters.caller,
            service: parameters.service,
            deadline: parameters.deadline,
            repeatable: parameters.repeatable,
            class,
            started,
            segments: BTreeSet::new(),
            result: None,
            has_contradiction: false,
            has_foreign_answer: false,
        }
    }

    /// Returns the packet to send; resends are identical.
    #[must_use]
    pub fn packet<'a>(&self, payload: &'a [u8]) -> Envelope<'a> {
        let mut header = Header::new(PacketKind::Request);

        header.request = Some(self.id);
        header.deadline = Some(self.deadline);
        header.repeatable = self.repeatable;
        header.class = self.class;
        Envelope { caller: self.caller, service: self.service, header, payload }
    }

    /// Processes a packet received for this request.
    pub fn on_packet(&mut self, envelope: &Envelope<'_>, now: Instant) {
        let result = match (envelope.header.kind, envelope.header.refusal) {
            (PacketKind::Answer, _) => {
                let position = envelope.header.segment.unwrap_or(Segment::WHOLE);
                self.has_foreign_answer |= envelope.payload != self.id.to_be_bytes();
                self.segments.insert(position.index);
                if self.segments.len() < usize::from(position.count) {
                    return;
                }
                RequestResult::Answered(now)
            }
            (PacketKind::Refusal, Some((outcome, _))) => RequestResult::Refused(outcome),
            _ => return,
        };

        // A request in doubt may have run or not, so that any other result agrees with it. Only an
        // answer and a refusal as not run contradict each other.
        let is_not_run = |e| e == RequestResult::Refused(Outcome::NotRun);
        let is_answered = |e| matches!(e, RequestResult::Answered(_));
        match self.result {
            None => self.result = Some(result),
            Some(first) => {
                self.has_contradiction |= (is_not_run(first) && is_answered(result))
                    || (is_answered(first) && is_not_run(result));
            }
        }
    }
}
