//! What is known of one request.

use valvestage_core::ids::Attempt;
use valvestage_core::time::Deadline;

use super::request::{Refusal, Request};
use super::try_record::TryRecord;

/// `ClaimState` is the progress of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState<P> {
    /// It waits for a slot.
    Waiting,
    /// At least one try is out.
    Running,
    /// The former owner has it running and will answer it.
    Elsewhere,
    /// Answered; the segments are kept for retransmissions.
    Answered(Vec<P>),
    /// Given up; every later copy gets the same refusal.
    Refused(Refusal),
}

/// `Claim` is one request with its tries.
///
/// It is kept until the deadline (longer while a try holds a slot), so that no copy that arrives
/// in time is run again or told otherwise.
#[derive(Debug, Clone)]
pub struct Claim<P> {
    /// The request as first accepted.
    pub request: Request<P>,
    /// Its progress; once `Answered` or `Refused` it never changes.
    pub state: ClaimState<P>,
    /// Tries in order.
    pub tries: Vec<TryRecord<P>>,
    /// Whether the queue has it: waiting for its first try, or for another one.
    pub queued: bool,
    /// Whether the claim table covers the whole time in which a copy may have been accepted; only
    /// then "not run" can be said.
    pub covered: bool,
    /// Until when the claim is kept.
    pub kept_until: Deadline,
}

impl<P> Claim<P> {
    /// `is_final` tells whether the caller has its final answer.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(self.state, ClaimState::Answered(_) | ClaimState::Refused(_))
    }

    /// `may_have_run` tells whether any try may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        matches!(self.state, ClaimState::Elsewhere)
            || self.tries.iter().any(TryRecord::may_have_run)
    }

    /// `may_be_run_elsewhere` tells whether it waits and certainly has not run: whoever has the
    /// claim next may run it.
    #[must_use]
    pub fn may_be_run_elsewhere(&self) -> bool {
        self.queued && !self.is_final() && !self.may_have_run()
    }

    /// `holds_slot` tells whether any try holds a slot.
    #[must_use]
    pub fn holds_slot(&self) -> bool {
        self.tries.iter().any(TryRecord::holds_slot)
    }

    /// `next_attempt` numbers the next try.
    #[must_use]
    pub fn next_attempt(&self) -> Attempt {
        self.tries.last().map_or(1, |last| last.attempt.saturating_add(1))
    }

    /// `find_try` gives a try by number.
    pub fn find_try(&mut self, attempt: Attempt) -> Option<&mut TryRecord<P>> {
        self.tries.iter_mut().find(|record| record.attempt == attempt)
    }
}
