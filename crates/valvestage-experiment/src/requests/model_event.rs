//! Events of the request model.

use valvestage_core::RefusalReason;
use valvestage_core::ids::{Attempt, BackendId, RequestId};
use valvestage_policy::requests::BackendReply;

/// Event that the model handles at its scheduled time.
#[derive(Debug)]
pub(super) enum Event {
    NewRequest(usize),
    Resend(RequestId),
    AtDispatcher(usize, RequestId),
    AtBackend { dispatcher: usize, backend: BackendId, id: RequestId, attempt: Attempt },
    Cancelled { dispatcher: usize, backend: BackendId, id: RequestId, attempt: Attempt },
    Done { dispatcher: usize, backend: BackendId, id: RequestId, attempt: Attempt },
    Answer { dispatcher: usize, reply: BackendReply },
    Refusal { dispatcher: usize, reply: BackendReply, reason: RefusalReason },
    AtCaller(RequestId, Option<RefusalReason>),
    Tick(usize),
    Sample,
    Fault,
    TakeOver,
}
