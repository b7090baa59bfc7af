//! The current or latest request of a flow.

use std::time::Instant;

/// A request whose outcome is not known yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowRequest {
    /// Arrival time of its first byte.
    pub started: Instant,
    /// Sequence number of the first byte of its answer.
    pub answer_from: u32,
    /// Whether its answer has been counted as an ordinary one in the load of the service.
    pub is_counted: bool,
}

impl FlowRequest {
    /// Returns how the request ended. `acknowledged` is the sequence number after the last byte
    /// that the caller has received.
    #[must_use]
    pub fn end(&self, acknowledged: u32) -> EndedRequest {
        let bytes = acknowledged.wrapping_sub(self.answer_from);
        let answer_bytes = if bytes < u32::MAX / 2 { bytes } else { 0 };

        EndedRequest { answer_bytes }
    }
}

/// A request whose outcome is known: the caller has sent another one or ended the flow, or the
/// request was overdue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRequest {
    /// Bytes of the answer that the caller acknowledged; 0 if there was no answer.
    pub answer_bytes: u32,
}
