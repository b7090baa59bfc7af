//! One attempt of a request at one backend server.

use std::time::SystemTime;

use valvestage_core::Segment;
use valvestage_core::ids::{Attempt, BackendId, Incarnation};

/// State of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Sent, and possibly running. Holds a slot.
    Pending,
    /// Timed out, and possibly still running. Holds a slot.
    TimedOut,
    /// Refused by the backend server before it started: it certainly did not run.
    Refused,
    /// Completely answered.
    Answered,
    /// Cancelled by its backend server, or lost when the backend server left the configuration. It
    /// may have run, and holds no slot.
    Lost,
}

/// One attempt, with the answer segments received so far.
#[derive(Debug, Clone)]
pub struct AttemptRecord<P> {
    /// Number of the attempt, from 1; unique within a claim.
    pub attempt: Attempt,
    /// Backend server that the attempt was sent to.
    pub backend: BackendId,
    /// Incarnation of the VM behind the backend server's record.
    pub incarnation: Incarnation,
    /// Time of the dispatch.
    pub sent: SystemTime,
    /// State of the attempt as far as this balancer knows.
    pub state: AttemptState,
    /// Received segments by index; empty before the first segment.
    segments: Vec<Option<P>>,
    /// Number of missing segments; meaningful once `segments` is not empty.
    missing: usize,
}

impl<P> AttemptRecord<P> {
    /// Creates the record of an attempt that is sent at the given time.
    #[must_use]
    pub fn new(
        attempt: Attempt,
        backend: BackendId,
        incarnation: Incarnation,
        sent: SystemTime,
    ) -> Self {
        Self {
            attempt,
            backend,
            incarnation,
            sent,
            state: AttemptState::Pending,
            segments: Vec::new(),
            missing: 0,
        }
    }

    /// Reports whether the backend server may still be busy with the attempt.
    #[must_use]
    pub fn holds_slot(&self) -> bool {
        matches!(self.state, AttemptState::Pending | AttemptState::TimedOut)
    }

    /// Reports whether the attempt may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.state != AttemptState::Refused
    }

    /// Adds one segment, and returns all segments in order once the answer is complete.
    ///
    /// Segments may arrive in any order and more than once. A segment with another segment count
    /// than the first one is ignored.
    pub fn add_segment(&mut self, place: Segment, payload: P) -> Option<Vec<P>> {
        if self.segments.is_empty() {
            self.segments.resize_with(place.count.into(), || None);
            self.missing = place.count.into();
        }
        if self.segments.len() != usize::from(place.count) {
            return None;
        }

        let slot = self.segments.get_mut(usize::from(place.index))?;
        if slot.is_none() {
            *slot = Some(payload);
            self.missing -= 1;
        }

        (self.missing == 0)
            .then(|| std::mem::take(&mut self.segments).into_iter().flatten().collect())
    }
}
