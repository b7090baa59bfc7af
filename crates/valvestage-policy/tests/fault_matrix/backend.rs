//! Fake backend server: enforces its slot limit and keeps track of the requests that run.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{Attempt, BackendId, BalancerId, RequestId, ServiceId};
use valvestage_core::{Backend, RefusalReason};
use valvestage_policy::rendezvous::mix;

/// Request that a balancer dispatches to a backend server.
#[derive(Debug, Clone, Copy)]
pub struct DispatchedRequest {
    pub id: RequestId,
    pub attempt: Attempt,
    pub repeatable: bool,
    pub deadline: SystemTime,
    pub from: BalancerId,
    /// Service that the balancer expects the backend server to serve.
    pub service: ServiceId,
    /// Incarnation that the balancer expects the backend server to have.
    pub incarnation: u32,
}

/// Reaction of a backend server to a dispatched request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionResult {
    /// The request was started and finishes at the given time.
    Started(SystemTime),
    Refused(RefusalReason),
    /// The VM is down: nothing is sent back.
    NoAnswer,
}

#[derive(Debug)]
pub struct FakeBackend {
    pub record: Backend,
    pub is_dead: bool,
    pub is_shedding: bool,
    /// Factor on each run time; 1 when the backend server is not slowed down.
    pub slow_factor: u32,
    pub mean_run_time: Duration,
    /// Requests in execution, by id and attempt.
    pub running: BTreeSet<(RequestId, Attempt)>,
    /// Highest number of requests that ran at once.
    pub peak_running: usize,
    /// Addresses of the callers with an open flow.
    pub flows: BTreeSet<SocketAddr>,
    /// When it last accepted a request or a new flow.
    pub last_new_work: Option<SystemTime>,
    /// Random numbers drawn so far.
    draws: u64,
}

impl FakeBackend {
    pub fn new(record: Backend, mean_run_time: Duration) -> Self {
        Self {
            record,
            is_dead: false,
            is_shedding: false,
            slow_factor: 1,
            mean_run_time,
            running: BTreeSet::new(),
            peak_running: 0,
            flows: BTreeSet::new(),
            last_new_work: None,
            draws: 0,
        }
    }

    pub fn id(&self) -> BackendId {
        self.record.id
    }

    /// Starts a request, or refuses it as a real backend server would.
    pub fn admit(&mut self, now: SystemTime, dispatched: &DispatchedRequest) -> AdmissionResult {
        if self.is_dead {
            return AdmissionResult::NoAnswer;
        }
        if dispatched.service != self.record.service
            || dispatched.incarnation != self.record.incarnation
        {
            return AdmissionResult::Refused(RefusalReason::BackendMismatch);
        }
        if dispatched.deadline <= now {
            return AdmissionResult::Refused(RefusalReason::BackendDeadline);
        }
        if self.is_shedding || self.running.len() >= usize::from(self.record.slots) {
            return AdmissionResult::Refused(RefusalReason::BackendShedding);
        }

        self.running.insert((dispatched.id, dispatched.attempt));
        self.peak_running = self.peak_running.max(self.running.len());
        self.last_new_work = Some(now);
        AdmissionResult::Started(now + self.draw_run_time())
    }

    /// Draws a run time from an exponential distribution around `mean_run_time`.
    fn draw_run_time(&mut self) -> Duration {
        self.draws += 1;
        let random_bits = mix(self.record.id.into(), self.draws) >> 11;
        #[allow(clippy::cast_precision_loss)]
        let uniform = (random_bits as f64 + 0.5) / 9_007_199_254_740_992.0;

        self.mean_run_time.mul_f64(-uniform.ln()) * self.slow_factor
    }
}
