//! Actions of the request policy, to be carried out by the driver.

use std::net::SocketAddr;

use valvestage_core::RetryReason;
use valvestage_core::ids::{Attempt, BackendId, BalancerId, Incarnation, RequestId, ServiceId};
use valvestage_core::time::Deadline;

use super::request::{Refusal, Request};
use crate::flows::RelayHeader;

/// One action; the driver carries actions out in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestAction<P> {
    /// Send the request to a backend server.
    Dispatch {
        /// Target of the attempt.
        backend: BackendId,
        /// Incarnation of the VM behind the backend server's record.
        incarnation: Incarnation,
        /// Number of the attempt, from 1.
        attempt: Attempt,
        /// Latest time to start; may be earlier than the deadline of the request.
        deadline: Deadline,
        /// Cause of the retry; `None` for the first attempt.
        retry: Option<RetryReason>,
        /// The request to send on.
        request: Request<P>,
    },
    /// Relay the request to another balancer.
    Relay {
        /// Balancer that receives the request.
        peer: BalancerId,
        /// Relay header that the relayed request carries.
        hop: RelayHeader,
        /// The request to send on.
        request: Request<P>,
    },
    /// Cancel an attempt whose answer is not needed any more.
    Cancel {
        /// Target of the attempt.
        backend: BackendId,
        /// Incarnation of the VM behind the backend server's record.
        incarnation: Incarnation,
        /// Id of the request.
        id: RequestId,
        /// Service of the request.
        service: ServiceId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Address of the caller.
        caller: SocketAddr,
    },
    /// Send the complete answer to the caller.
    Answer {
        /// Id of the request.
        id: RequestId,
        /// Service of the request.
        service: ServiceId,
        /// Address of the caller.
        caller: SocketAddr,
        /// All segments of the answer in order.
        segments: Vec<P>,
    },
    /// Send the final refusal to the caller.
    Refuse {
        /// Id of the request.
        id: RequestId,
        /// Service of the request.
        service: ServiceId,
        /// Address of the caller.
        caller: SocketAddr,
        /// The refusal to send.
        refusal: Refusal,
    },
}
