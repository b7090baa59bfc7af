//! What a route says about the requests that callers send to its address.

use serde::{Deserialize, Serialize};

/// Urgency of a route's requests; 0 is the most urgent.
pub type RoutePriority = u8;

/// Whether a request may run more than once, and in which direction it carries much data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestKind {
    /// Small requests that may run more than once.
    Idempotent,
    /// Requests that may run at most once.
    NonIdempotent,
    /// Large requests that may run at most once.
    Upload,
    /// Requests with large answers that may run more than once.
    Download,
}

/// Requirements of the requests to one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestClass {
    /// Urgency compared with other routes to the same service.
    pub priority: RoutePriority,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Time within which callers expect the answer, in milliseconds; above 0.
    pub target_latency_ms: u32,
    /// Time after which the answer is of no use, in milliseconds; above 0.
    pub timeout_ms: u32,
}

impl RequestClass {
    /// Returns the class as bytes, which are the same at every balancer and differ between classes.
    #[must_use]
    pub fn to_bytes(self) -> [u8; 10] {
        let kind = match self.kind {
            RequestKind::Idempotent => 0,
            RequestKind::NonIdempotent => 1,
            RequestKind::Upload => 2,
            RequestKind::Download => 3,
        };
        let [a, b, c, d] = self.target_latency_ms.to_le_bytes();
        let [e, f, g, h] = self.timeout_ms.to_le_bytes();

        [self.priority, kind, a, b, c, d, e, f, g, h]
    }
}
