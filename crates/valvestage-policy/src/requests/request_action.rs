//! What the driver has to do for a request.

use std::net::SocketAddr;

use valvestage_core::RetryReason;
use valvestage_core::ids::{Attempt, BackendId, BalancerId, Incarnation, RequestId, ServiceId};
use valvestage_core::time::Deadline;

use super::request::{Refusal, Request};
use crate::flows::HopMark;

/// `RequestAction` is one thing to do, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestAction<P> {
    /// Send the request to a backend server.
    Dispatch {
        /// The backend server.
        backend: BackendId,
        /// The VM behind its record.
        incarnation: Incarnation,
        /// Which try this is, from 1.
        attempt: Attempt,
        /// The backend server must not start after it; may be earlier than the request's.
        deadline: Deadline,
        /// Why it is tried again; none for the first try.
        retry: Option<RetryReason>,
        /// The request.
        request: Request<P>,
    },
    /// Hand the request to another balancer.
    Relay {
        /// The balancer.
        peer: BalancerId,
        /// The mark to carry.
        hop: HopMark,
        /// The request.
        request: Request<P>,
    },
    /// Tell a backend server that a try is not needed any more.
    Cancel {
        /// The backend server.
        backend: BackendId,
        /// The VM behind its record.
        incarnation: Incarnation,
        /// Names the request.
        id: RequestId,
        /// Its service.
        service: ServiceId,
        /// Names the try.
        attempt: Attempt,
        /// The caller of the request.
        caller: SocketAddr,
    },
    /// Send the whole answer to the caller.
    Answer {
        /// Names the request.
        id: RequestId,
        /// Its service.
        service: ServiceId,
        /// The caller of the request.
        caller: SocketAddr,
        /// All segments in order.
        segments: Vec<P>,
    },
    /// Send the final refusal to the caller.
    Refuse {
        /// Names the request.
        id: RequestId,
        /// Its service.
        service: ServiceId,
        /// The caller of the request.
        caller: SocketAddr,
        /// What to tell.
        refusal: Refusal,
    },
}
