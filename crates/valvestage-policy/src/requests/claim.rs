//! The state of one request.

use valvestage_core::ids::Attempt;
use valvestage_core::time::Deadline;

use super::attempt_record::AttemptRecord;
use super::request::{Refusal, Request};

/// Progress of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState<P> {
    /// Waits for a free slot.
    Waiting,
    /// At least one attempt has been sent.
    Running,
    /// Runs on behalf of the previous owner of the service, which will answer it.
    RunningAtPreviousOwner,
    /// Answered; the segments are kept to answer retransmissions.
    Answered(Vec<P>),
    /// Refused; every retransmission gets the same refusal.
    Refused(Refusal),
}

/// One request with its attempts.
///
/// A claim is kept until some time after the deadline, so that a retransmission that arrives in
/// time is neither run again nor given a different answer, and a late answer still frees its slot.
#[derive(Debug, Clone)]
pub struct Claim<P> {
    /// The request as it was first accepted.
    pub request: Request<P>,
    /// Progress; `Answered` and `Refused` are final.
    pub state: ClaimState<P>,
    /// Attempts in the order in which they were sent.
    pub attempts: Vec<AttemptRecord<P>>,
    /// Whether the request is in the wait queue, for its first attempt or for a retry.
    pub queued: bool,
    /// Whether the claim table covers the whole time in which the request may have been accepted.
    /// Only then can the outcome "not run" be given.
    pub covered: bool,
    /// Time at which the claim is removed: `slot_grace` after the deadline.
    pub kept_until: Deadline,
}

impl<P> Claim<P> {
    /// Reports whether the final answer or refusal has been decided.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(self.state, ClaimState::Answered(_) | ClaimState::Refused(_))
    }

    /// Reports whether any attempt may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        matches!(self.state, ClaimState::RunningAtPreviousOwner)
            || self.attempts.iter().any(AttemptRecord::may_have_run)
    }

    /// Reports whether the request waits and has certainly not run, so that the next owner of the
    /// service may run it.
    #[must_use]
    pub fn can_be_run_by_next_owner(&self) -> bool {
        self.queued && !self.is_final() && !self.may_have_run()
    }

    /// Reports whether any attempt holds a slot.
    #[must_use]
    pub fn holds_slot(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::holds_slot)
    }

    /// Returns the number of the next attempt.
    #[must_use]
    pub fn next_attempt(&self) -> Attempt {
        self.attempts.last().map_or(1, |last| last.attempt.saturating_add(1))
    }

    /// Returns the attempt with this number.
    pub fn attempt_mut(&mut self, attempt: Attempt) -> Option<&mut AttemptRecord<P>> {
        self.attempts.iter_mut().find(|record| record.attempt == attempt)
    }
}
