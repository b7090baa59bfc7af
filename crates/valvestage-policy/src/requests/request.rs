//! A request and its refusal.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{RequestId, ServiceId};
use valvestage_core::time::Deadline;
use valvestage_core::{Outcome, RefusalReason, RequestClass};

/// `Request` is one request of a caller; the payload is never read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request<P> {
    /// Given by the caller; a retransmission carries the same id and deadline.
    pub id: RequestId,
    /// Where the answer goes.
    pub caller: SocketAddr,
    /// The service asked.
    pub service: ServiceId,
    /// After it the answer has no value, and no work is started.
    pub deadline: Deadline,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its place among requests that wait.
    pub class: RequestClass,
    /// Opaque.
    pub payload: P,
}

/// `Refusal` is the final answer to a request that the system has given up on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether it certainly did not run.
    pub outcome: Outcome,
    /// Why it was given up.
    pub reason: RefusalReason,
    /// When the caller may come back with a new request.
    pub retry_after: Duration,
}
