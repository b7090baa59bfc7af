//! What happens in the model.

use valvestage_core::RefusalReason;
use valvestage_core::ids::{Attempt, BackendId, RequestId};
use valvestage_policy::requests::BackendReply;

/// `Event` is something that happens at a time.
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
