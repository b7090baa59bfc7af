//! Events of the request model.

use valvestage_core::RefusalReason;
use valvestage_core::ids::{Attempt, BackendId, RequestId};
use valvestage_policy::requests::BackendReply;

/// Event that the model handles at its scheduled time.
#[derive(Debug)]
pub(super) enum Event {
    Arrival(usize),
    Resend(RequestId),
    ReachDispatcher(usize, RequestId),
    ReachBackend { dispatcher: usize, backend: BackendId, id: RequestId, attempt: Attempt },
    CancelRun { dispatcher: usize, backend: BackendId, id: RequestId, attempt: Attempt },
    CompleteRun { dispatcher: usize, backend: BackendId, id: RequestId, attempt: Attempt },
    Answer { dispatcher: usize, reply: BackendReply },
    Refusal { dispatcher: usize, reply: BackendReply, reason: RefusalReason },
    ReachCaller(RequestId, Option<RefusalReason>),
    Tick(usize),
    Sample,
    Fault,
    Failover,
}
