//! Admission, queueing and dispatch of the requests of one service.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BackendId, RequestId, ServiceId};
use valvestage_core::{Configuration, Outcome, RefusalReason, RetryReason};

use super::attempt_record::{AttemptRecord, AttemptState};
use super::authority::Authority;
use super::backend_pool::{BackendPool, PoolOptions};
use super::claim::{Claim, ClaimState};
use super::claim_table::ClaimTable;
use super::request::{Refusal, Request};
use super::request_action::RequestAction;
use super::request_options::RequestOptions;
use super::retry_budget::RetryBudget;
use super::wait_queue::{WaitEntry, WaitQueue};

/// Present load of a service at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceLoad {
    /// Number of occupied slots.
    pub busy_slots: u32,
    /// Number of slots that may be used, occupied ones included.
    pub usable_slots: u32,
    /// Number of requests in the wait queue.
    pub waiting: usize,
    /// Number of claims in the claim table.
    pub claims: usize,
}

/// Scheduler of the requests of one service.
///
/// Every request has one of exactly three outcomes: answered, not run (certain) or in doubt. The
/// caller gets the final answer as soon as it is decided.
#[derive(Debug, Clone)]
pub struct ServiceDispatcher<P> {
    pub(super) service: ServiceId,
    pub(super) options: RequestOptions,
    pub(super) pool: BackendPool,
    pub(super) queue: WaitQueue,
    pub(super) claims: ClaimTable<P>,
    pub(super) budget: RetryBudget,
    /// Whether a configuration was installed since the last tick.
    pub(super) pool_changed: bool,
    /// Nothing is dispatched before this time.
    dispatch_not_before: Option<SystemTime>,
    /// Requests received during a handover; `None` when no handover is in progress.
    pub(super) held_requests: Option<Vec<Request<P>>>,
}

impl<P: Clone> ServiceDispatcher<P> {
    /// Creates a dispatcher without backend servers.
    #[must_use]
    pub fn new(service: ServiceId, options: RequestOptions, pool: PoolOptions) -> Self {
        let pool = PoolOptions { choice: options.choice, ..pool };

        Self {
            service,
            options,
            pool: BackendPool::new(pool),
            queue: WaitQueue::new(options.bulk_extra_wait),
            claims: ClaimTable::default(),
            budget: RetryBudget::new(options.retry_ratio, options.retry_burst),
            pool_changed: false,
            dispatch_not_before: None,
            held_requests: None,
        }
    }

    /// Handles a new request, or a retransmission of a known one.
    pub fn accept(
        &mut self,
        now: SystemTime,
        request: Request<P>,
        authority: Option<Authority>,
        out: &mut Vec<RequestAction<P>>,
    ) {
        // A known request gets its final answer again, or nothing while it is in progress.
        if self.options.claims && self.repeat_final_answer(&request, out) {
            return;
        }
        if let Some(requests) = &mut self.held_requests {
            requests.push(request);
            return;
        }

        // A new request is refused at once or gets a claim.
        let authority = authority.filter(|authority| authority.is_valid(now));
        let covered = self.is_covered(&request, authority);
        if let Some(reason) = self.admission_refusal(now, &request, authority, covered) {
            self.refuse_new(now, request, reason, covered, out);
            return;
        }

        let id = request.id;
        let class = request.class;
        let deadline = request.deadline;
        let claim = self.new_claim(request, ClaimState::Waiting, covered);
        self.claims.insert(claim, deadline);
        self.queue.push(class, WaitEntry { id, enqueued_at: now });
        self.budget.on_first_attempt();
        self.dispatch_waiting(now, authority, out);
    }

    /// Repeats the final answer of a known request; returns `false` if the request is not known.
    fn repeat_final_answer(&self, request: &Request<P>, out: &mut Vec<RequestAction<P>>) -> bool {
        let Some(claim) = self.claims.get(request.id) else {
            return false;
        };

        // Only the address that the request was first accepted from gets the answer.
        if claim.request.caller != request.caller {
            return true;
        }

        let (id, service, caller) = (request.id, self.service, request.caller);
        match &claim.state {
            ClaimState::Answered(segments) => {
                out.push(RequestAction::Answer { id, service, caller, segments: segments.clone() });
            }
            ClaimState::Refused(refusal) => {
                out.push(RequestAction::Refuse { id, service, caller, refusal: *refusal });
            }
            ClaimState::Waiting | ClaimState::Running | ClaimState::RunningAtPreviousOwner => {}
        }
        true
    }

    pub(super) fn new_claim(
        &self,
        request: Request<P>,
        state: ClaimState<P>,
        covered: bool,
    ) -> Claim<P> {
        let kept_until = request.deadline + self.options.slot_grace;

        let queued = matches!(state, ClaimState::Waiting);

        Claim { request, state, attempts: Vec::new(), queued, covered, kept_until }
    }

    /// Dispatches waiting requests while there are free slots.
    pub fn dispatch_waiting(
        &mut self,
        now: SystemTime,
        authority: Option<Authority>,
        out: &mut Vec<RequestAction<P>>,
    ) {
        if self.held_requests.is_some() || self.dispatch_not_before.is_some_and(|until| now < until)
        {
            return;
        }

        let mut blocked = Vec::new();
        while let Some(entry) = self.queue.pop() {
            let Some(claim) = self.claims.get(entry.id).filter(|claim| !claim.is_final()) else {
                continue;
            };

            // Backend servers on which an attempt may still be running.
            let excluded: Vec<BackendId> =
                claim.attempts.iter().filter(|t| t.holds_slot()).map(|t| t.backend).collect();
            let needs_lease = !claim.request.repeatable && self.options.window;
            let class = claim.request.class;

            if claim.request.deadline <= now {
                self.finish_refused(now, entry.id, RefusalReason::ExpiredInQueue, out);
            } else if needs_lease && !authority.is_some_and(|held| held.is_valid(now)) {
                self.finish_refused(now, entry.id, RefusalReason::NoLease, out);
            } else if let Some(backend) = self.pool.choose(now, &excluded) {
                self.dispatch(now, entry.id, backend, authority, out);
            } else {
                blocked.push((class, entry));
                if excluded.is_empty() {
                    break;
                }
            }
        }

        for (class, entry) in blocked.into_iter().rev() {
            self.queue.push_to_front(class, entry);
        }
    }

    fn dispatch(
        &mut self,
        now: SystemTime,
        id: RequestId,
        backend: BackendId,
        authority: Option<Authority>,
        out: &mut Vec<RequestAction<P>>,
    ) {
        let Some(incarnation) = self.pool.take_slot(backend) else {
            return;
        };
        let attempt_timeout = self.attempt_timeout();
        let is_fenced = self.options.fence;
        let Some(claim) = self.claims.get_mut(id) else {
            return;
        };

        // The end of the lease bounds the start of work: an owner that is paused between here and
        // the socket cannot start work after it, neither a second run of a non-repeatable request
        // nor work on a backend server that has been drained meanwhile.
        let request = claim.request.clone();
        let deadline = match authority {
            Some(authority) if is_fenced => request.deadline.min(authority.fence),
            _ => request.deadline,
        };
        let retry = claim.attempts.last().map(|last| match last.state {
            AttemptState::Refused => RetryReason::Refused,
            AttemptState::Lost => RetryReason::BackendRemoved,
            AttemptState::Pending | AttemptState::TimedOut | AttemptState::Answered => {
                RetryReason::TryTimeout
            }
        });
        let attempt = claim.next_attempt();

        claim.attempts.push(AttemptRecord::new(attempt, backend, incarnation, now));
        claim.state = ClaimState::Running;
        claim.queued = false;
        if request.repeatable {
            self.claims.check_at(id, now + attempt_timeout);
        }
        out.push(RequestAction::Dispatch {
            backend,
            incarnation,
            attempt,
            deadline,
            retry,
            request,
        });
    }

    pub(super) fn attempt_timeout(&self) -> Duration {
        let usual = self.run_time().mul_f64(self.options.attempt_timeout_factor);

        usual.max(self.options.min_attempt_timeout)
    }

    /// Refuses a request finally and sends the refusal, unless it already has a final answer.
    pub(super) fn finish_refused(
        &mut self,
        now: SystemTime,
        id: RequestId,
        reason: RefusalReason,
        out: &mut Vec<RequestAction<P>>,
    ) {
        let retry_after = self.retry_after(now);
        let service = self.service;
        // During a handover the next owner may already run the waiting requests.
        let is_handover_open = self.held_requests.is_some();
        let Some(claim) = self.claims.get_mut(id).filter(|claim| !claim.is_final()) else {
            return;
        };

        let is_certain = claim.covered && !claim.may_have_run() && !is_handover_open;
        let outcome = if is_certain { Outcome::NotRun } else { Outcome::InDoubt };
        let refusal = Refusal { outcome, reason, retry_after };
        let caller: SocketAddr = claim.request.caller;
        claim.state = ClaimState::Refused(refusal);

        self.cancel_attempts(id, out);
        out.push(RequestAction::Refuse { id, service, caller, refusal });
    }

    /// Sends a cancellation to every backend server that may still run an attempt of a request.
    pub(super) fn cancel_attempts(&self, id: RequestId, out: &mut Vec<RequestAction<P>>) {
        let Some(claim) = self.claims.get(id) else {
            return;
        };

        for record in claim.attempts.iter().filter(|record| record.holds_slot()) {
            out.push(RequestAction::Cancel {
                backend: record.backend,
                incarnation: record.incarnation,
                id,
                service: self.service,
                attempt: record.attempt,
                caller: claim.request.caller,
            });
        }
    }

    /// Holds back all dispatches until this time.
    pub fn hold_dispatch_until(&mut self, until: SystemTime) {
        self.dispatch_not_before = Some(until);
    }

    /// Updates the backend servers of the service from a configuration.
    pub fn install(&mut self, configuration: &Configuration, now: SystemTime) {
        self.pool.install(configuration, self.service, now);
        self.pool_changed = true;
    }

    /// Returns the backend servers of the service.
    #[must_use]
    pub fn pool(&self) -> &BackendPool {
        &self.pool
    }

    /// Returns the backend servers of the service for modification.
    pub fn pool_mut(&mut self) -> &mut BackendPool {
        &mut self.pool
    }

    /// Returns the claim of a request, or `None` if the request is not known.
    #[must_use]
    pub fn claim(&self, id: RequestId) -> Option<&Claim<P>> {
        self.claims.get(id)
    }

    /// Returns the present load of the service.
    #[must_use]
    pub fn load(&self, now: SystemTime) -> ServiceLoad {
        ServiceLoad {
            busy_slots: self.pool.busy_slots(),
            usable_slots: self.pool.usable_slots(now),
            waiting: self.queue.len(),
            claims: self.claims.len(),
        }
    }

    /// Returns the number of requests that this balancer has not answered yet.
    #[must_use]
    pub fn open_work(&self) -> usize {
        let is_open =
            |claim: &&Claim<P>| matches!(claim.state, ClaimState::Waiting | ClaimState::Running);

        self.claims.iter().filter(is_open).count()
    }
}
