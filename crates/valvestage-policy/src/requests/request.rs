//! Requests and refusals.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{RequestId, ServiceId};
use valvestage_core::time::Deadline;
use valvestage_core::{Outcome, RefusalReason, RequestClass};

/// One request of a caller. The payload is opaque.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request<P> {
    /// Id chosen by the caller; retransmissions carry the same id and deadline.
    pub id: RequestId,
    /// Address to which the answer is sent.
    pub caller: SocketAddr,
    /// Service that the request is addressed to.
    pub service: ServiceId,
    /// Time after which the answer is useless to the caller and no work is started.
    pub deadline: Deadline,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Scheduling class in the wait queue.
    pub class: RequestClass,
    /// Application data, forwarded unread.
    pub payload: P,
}

/// Final refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request certainly did not run.
    pub outcome: Outcome,
    /// Cause of the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller may send a new request.
    pub retry_after: Duration,
}
