//! Answers, refusals, cancellation and expiry of the requests of one service.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{Attempt, BackendId, RequestId};
use valvestage_core::time::Deadline;
use valvestage_core::{RefusalReason, Segment};

use super::attempt_record::AttemptState;
use super::authority::Authority;
use super::claim::ClaimState;
use super::request_action::RequestAction;
use super::service_dispatcher::ServiceDispatcher;
use super::wait_queue::WaitEntry;

/// Identifies the attempt that a backend server replies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendReply {
    /// Backend server that sent the datagram.
    pub backend: BackendId,
    /// Id of the request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
}

impl<P: Clone> ServiceDispatcher<P> {
    /// Handles one segment of an answer. The first complete answer of any attempt is sent to the
    /// caller.
    pub fn on_answer(
        &mut self,
        now: SystemTime,
        reply: BackendReply,
        place: Segment,
        payload: P,
        authority: Option<Authority>,
        out: &mut Vec<RequestAction<P>>,
    ) {
        let Some(claim) = self.claims.get_mut(reply.id) else {
            return;
        };
        let is_final = claim.is_final();
        let Some(record) = claim
            .attempt_mut(reply.attempt)
            .filter(|record| record.backend == reply.backend && record.holds_slot())
        else {
            return;
        };
        let Some(segments) = record.add_segment(place, payload) else {
            return;
        };

        // The attempt has ended and its slot is free, even if another attempt answered first.
        record.state = AttemptState::Answered;
        let taken = now.duration_since(record.sent).unwrap_or(Duration::ZERO);
        self.pool.on_answered(record.backend, record.incarnation, taken);

        if !is_final {
            let caller = claim.request.caller;
            claim.state = ClaimState::Answered(segments.clone());
            out.push(RequestAction::Answer {
                id: reply.id,
                service: self.service,
                caller,
                segments,
            });
            self.cancel_attempts(reply.id, out);
        }
        self.dispatch_waiting(now, authority, out);
    }

    /// Handles a reply that says that the backend server did not start an attempt, or stopped it.
    pub fn on_refused(
        &mut self,
        now: SystemTime,
        reply: BackendReply,
        reason: RefusalReason,
        authority: Option<Authority>,
        out: &mut Vec<RequestAction<P>>,
    ) {
        let Some(claim) = self.claims.get_mut(reply.id) else {
            return;
        };
        let Some(record) = claim
            .attempt_mut(reply.attempt)
            .filter(|record| record.backend == reply.backend && record.holds_slot())
        else {
            return;
        };

        // A cancelled attempt had been started.
        record.state = match reason {
            RefusalReason::Cancelled => AttemptState::Lost,
            _ => AttemptState::Refused,
        };
        let (backend, incarnation) = (record.backend, record.incarnation);
        match reason {
            RefusalReason::BackendShedding => self.pool.on_shedding(backend, incarnation, now),
            _ => self.pool.on_ended(backend, incarnation),
        }

        self.retry_or_refuse(now, reply.id, reason, out);
        self.dispatch_waiting(now, authority, out);
    }

    /// Queues a request for a retry if it may be retried, and refuses it otherwise.
    fn retry_or_refuse(
        &mut self,
        now: SystemTime,
        id: RequestId,
        reason: RefusalReason,
        out: &mut Vec<RequestAction<P>>,
    ) {
        let max_attempts = usize::from(self.options.max_attempts);
        let Some(claim) = self.claims.get(id).filter(|claim| !claim.is_final()) else {
            return;
        };

        // Another attempt is still pending: its result decides.
        if claim.holds_slot() {
            return;
        }

        let repeats = claim.request.repeatable || !claim.may_have_run();
        if reason == RefusalReason::BackendDeadline || !repeats {
            self.finish_refused(now, id, reason, out);
        } else if claim.attempts.len() >= max_attempts {
            self.finish_refused(now, id, RefusalReason::TriesExhausted, out);
        } else if !self.budget.take() {
            self.finish_refused(now, id, RefusalReason::RetryBudgetSpent, out);
        } else {
            self.requeue(now, id);
        }
    }

    fn requeue(&mut self, now: SystemTime, id: RequestId) {
        let Some(claim) = self.claims.get_mut(id).filter(|claim| !claim.queued) else {
            return;
        };

        claim.queued = true;
        self.queue.push_to_front(claim.request.class, WaitEntry { id, enqueued_at: now });
    }

    /// Cancels a request on behalf of its caller.
    pub fn on_cancel(
        &mut self,
        now: SystemTime,
        id: RequestId,
        caller: SocketAddr,
        out: &mut Vec<RequestAction<P>>,
    ) {
        let is_from_caller =
            self.claims.get(id).is_some_and(|claim| claim.request.caller == caller);
        if is_from_caller {
            self.queue.remove(id);
            self.finish_refused(now, id, RefusalReason::Cancelled, out);
        }
    }

    /// Runs all due checks of claims, and dispatches waiting requests.
    pub fn tick(
        &mut self,
        now: SystemTime,
        authority: Option<Authority>,
        out: &mut Vec<RequestAction<P>>,
    ) {
        while let Some(id) = self.claims.next_due(now) {
            self.check(now, id, out);
        }

        if std::mem::take(&mut self.pool_changed) {
            self.retry_removed(now, out);
        }
        self.dispatch_waiting(now, authority, out);
    }

    fn check(&mut self, now: SystemTime, id: RequestId, out: &mut Vec<RequestAction<P>>) {
        let Some(claim) = self.claims.get(id) else {
            return;
        };
        let (deadline, kept_until) = (claim.request.deadline, claim.kept_until);

        if now >= kept_until {
            self.remove_claim(now, id);
        } else if now >= deadline {
            self.expire(now, id, out);
            self.claims.check_at(id, kept_until);
        } else {
            self.check_attempt_timeout(now, id, deadline);
        }
    }

    /// Handles the passing of the deadline: a request without a final answer is refused.
    fn expire(&mut self, now: SystemTime, id: RequestId, out: &mut Vec<RequestAction<P>>) {
        let Some(claim) = self.claims.get(id) else {
            return;
        };

        match claim.state {
            ClaimState::Waiting => {
                self.finish_refused(now, id, RefusalReason::ExpiredInQueue, out);
            }
            ClaimState::Running => {
                self.record_timeouts(now, id);
                self.finish_refused(now, id, RefusalReason::ExpiredRunning, out);
            }
            // The previous owner answers; retransmissions are past the deadline as well.
            ClaimState::RunningAtPreviousOwner
            | ClaimState::Answered(_)
            | ClaimState::Refused(_) => {}
        }
    }

    /// Counts pending attempts older than the attempt timeout as failures of their backend servers.
    /// An attempt that was sent shortly before the deadline is no evidence of a failure.
    fn record_timeouts(&mut self, now: SystemTime, id: RequestId) {
        let timeout = self.attempt_timeout();
        let Some(claim) = self.claims.get(id) else {
            return;
        };
        let pending = claim.attempts.iter().filter(|record| record.state == AttemptState::Pending);
        let timed_out: Vec<_> = pending
            .filter(|record| record.sent + timeout <= now)
            .map(|record| (record.backend, record.incarnation))
            .collect();

        for (backend, incarnation) in timed_out {
            self.pool.on_failure(backend, incarnation, now);
        }
    }

    /// Handles the attempt timeout: counts a failure of the backend server, and retries a
    /// repeatable request on another one.
    fn check_attempt_timeout(&mut self, now: SystemTime, id: RequestId, deadline: Deadline) {
        let timeout = self.attempt_timeout();
        let max_attempts = usize::from(self.options.max_attempts);
        let Some(claim) = self.claims.get_mut(id).filter(|claim| !claim.is_final()) else {
            return;
        };
        let attempt_count = claim.attempts.len();
        let repeatable = claim.request.repeatable;
        let Some(newest) = claim.attempts.last_mut().filter(|t| t.state == AttemptState::Pending)
        else {
            return;
        };

        if newest.sent + timeout > now {
            let at = newest.sent + timeout;
            self.claims.check_at(id, at.min(deadline));
            return;
        }

        newest.state = AttemptState::TimedOut;
        let (backend, incarnation) = (newest.backend, newest.incarnation);
        self.pool.on_failure(backend, incarnation, now);
        if repeatable && attempt_count < max_attempts && self.budget.take() {
            self.requeue(now, id);
        }
    }

    /// Retries the repeatable requests whose backend servers were all removed from the
    /// configuration. Other requests are left alone, because they may still be answered.
    fn retry_removed(&mut self, now: SystemTime, out: &mut Vec<RequestAction<P>>) {
        let pool = &self.pool;
        let is_gone = |backend: BackendId| pool.get(backend).is_none();
        let on_removed_backends: Vec<RequestId> = self
            .claims
            .iter()
            .filter(|claim| matches!(claim.state, ClaimState::Running) && claim.request.repeatable)
            .filter(|claim| claim.holds_slot())
            .filter(|claim| claim.attempts.iter().all(|t| !t.holds_slot() || is_gone(t.backend)))
            .map(|claim| claim.request.id)
            .collect();

        for id in on_removed_backends {
            if let Some(claim) = self.claims.get_mut(id) {
                for record in claim.attempts.iter_mut().filter(|record| record.holds_slot()) {
                    record.state = AttemptState::Lost;
                }
            }
            self.retry_or_refuse(now, id, RefusalReason::BackendGone, out);
        }
    }

    /// Removes a claim, and frees the slots of its attempts that were never answered.
    fn remove_claim(&mut self, now: SystemTime, id: RequestId) {
        self.record_timeouts(now, id);
        let Some(claim) = self.claims.remove(id) else {
            return;
        };

        for record in claim.attempts.iter().filter(|record| record.holds_slot()) {
            self.pool.on_ended(record.backend, record.incarnation);
        }
    }
}
