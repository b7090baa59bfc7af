//! Admission control: accepts a new request, or refuses it at once.

use std::time::{Duration, SystemTime};

use valvestage_core::time::remaining;
use valvestage_core::{Outcome, RefusalReason};

use super::authority::Authority;
use super::claim::ClaimState;
use super::request::{Refusal, Request};
use super::request_action::RequestAction;
use super::service_dispatcher::ServiceDispatcher;

/// Run time assumed before the first answer.
const FIRST_RUN_TIME: Duration = Duration::from_millis(50);

/// Lower and upper bound of the retry delay given to a refused caller.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(5));

impl<P: Clone> ServiceDispatcher<P> {
    pub(super) fn is_covered(&self, request: &Request<P>, authority: Option<Authority>) -> bool {
        if !self.options.window {
            return true;
        }
        // Balancers that cannot reach the owner run repeatable requests as well, so one claim table
        // never covers all runs of such a request.
        if request.repeatable {
            return false;
        }

        let limit = self.options.max_deadline;
        authority.is_some_and(|authority| authority.covers(request.deadline, limit))
    }

    pub(super) fn admission_refusal(
        &self,
        now: SystemTime,
        request: &Request<P>,
        authority: Option<Authority>,
        covered: bool,
    ) -> Option<RefusalReason> {
        let left = remaining(request.deadline, now);

        if self.claims.len() >= self.options.max_claims {
            return Some(RefusalReason::ClaimsFull);
        }
        if left > self.options.max_deadline {
            return Some(RefusalReason::DeadlineTooFar);
        }
        if !request.repeatable && self.options.window {
            if authority.is_none() {
                return Some(RefusalReason::NoLease);
            }
            if !covered {
                return Some(RefusalReason::WindowNotCovered);
            }
        }
        if left < self.options.min_remaining {
            return Some(RefusalReason::DeadlineTooShort);
        }

        self.overload_refusal(now, request, left)
    }

    fn overload_refusal(
        &self,
        now: SystemTime,
        request: &Request<P>,
        left: Duration,
    ) -> Option<RefusalReason> {
        let usable = self.pool.usable_slots(now);
        if usable == 0 {
            return Some(RefusalReason::NoBackend);
        }

        let ahead = self.queue.estimate_ahead_of(request.class);
        if ahead == 0 && self.pool.busy_slots() < usable {
            return None;
        }
        if ahead >= self.options.waiting_per_slot * usable as usize {
            return Some(RefusalReason::QueueFull);
        }

        let wait = self.expected_wait(usable, ahead);
        (wait + self.run_time() > left).then_some(RefusalReason::WaitTooLong)
    }

    pub(super) fn run_time(&self) -> Duration {
        self.pool.mean_run_time().unwrap_or(FIRST_RUN_TIME)
    }

    /// Estimates the time until the slots have worked off the requests ahead.
    fn expected_wait(&self, usable_slots: u32, ahead: usize) -> Duration {
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);

        self.run_time().saturating_mul(turns) / usable_slots.max(1)
    }

    pub(super) fn retry_after(&self, now: SystemTime) -> Duration {
        let wait = self.expected_wait(self.pool.usable_slots(now), self.queue.len());

        wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1)
    }

    pub(super) fn refuse_new(
        &mut self,
        now: SystemTime,
        request: Request<P>,
        reason: RefusalReason,
        covered: bool,
        out: &mut Vec<RequestAction<P>>,
    ) {
        // "Not run" also promises that no retransmission runs later, so it is given only if a claim
        // that refuses retransmissions is kept. A deadline that is too far ahead comes into range
        // later, possibly at another owner.
        let can_keep_claim =
            !matches!(reason, RefusalReason::ClaimsFull | RefusalReason::DeadlineTooFar);
        let outcome = if covered && can_keep_claim { Outcome::NotRun } else { Outcome::InDoubt };
        let refusal = Refusal { outcome, reason, retry_after: self.retry_after(now) };
        let (id, service, caller) = (request.id, self.service, request.caller);

        let is_claim_kept = can_keep_claim && reason != RefusalReason::NoLease;
        if is_claim_kept && request.deadline > now {
            let deadline = request.deadline;
            let claim = self.new_claim(request, ClaimState::Refused(refusal), covered);
            self.claims.insert(claim, deadline);
        }
        out.push(RequestAction::Refuse { id, service, caller, refusal });
    }
}
