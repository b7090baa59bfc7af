//! One try of a request at one backend server.

use std::time::SystemTime;

use valvestage_core::Segment;
use valvestage_core::ids::{Attempt, BackendId, Incarnation};

/// `TryState` is what is known of a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryState {
    /// Sent; it may be running. It holds a slot.
    Pending,
    /// Sent, and tried elsewhere since; it may be running. It holds a slot.
    Overdue,
    /// The backend server refused it before it started: it certainly did not run.
    Refused,
    /// The whole answer came.
    Answered,
    /// Its backend server left the configuration or stopped it: it may have run, and holds no slot.
    Lost,
}

/// `TryRecord` is one try, with the segments of its answer.
#[derive(Debug, Clone)]
pub struct TryRecord<P> {
    /// Counts from 1; unique in a claim.
    pub attempt: Attempt,
    /// Where it was sent.
    pub backend: BackendId,
    /// The VM behind the backend server's record.
    pub incarnation: Incarnation,
    /// When it was sent.
    pub sent: SystemTime,
    /// What is known of it.
    pub state: TryState,
    /// Segments that came, by index; empty before the first.
    segments: Vec<Option<P>>,
    /// Segments still missing; meaningful once `segments` is not empty.
    missing: usize,
}

impl<P> TryRecord<P> {
    /// `new` records a try that is sent now.
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
            state: TryState::Pending,
            segments: Vec::new(),
            missing: 0,
        }
    }

    /// `holds_slot` tells whether the backend server may still be busy with it.
    #[must_use]
    pub fn holds_slot(&self) -> bool {
        matches!(self.state, TryState::Pending | TryState::Overdue)
    }

    /// `may_have_run` tells whether it may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.state != TryState::Refused
    }

    /// `add_segment` takes one segment in and gives the whole answer once it is complete.
    ///
    /// Segments may come in any order and more than once; one that disagrees on the count is
    /// ignored.
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
