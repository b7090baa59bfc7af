//! Checks of promises, based on what callers and backend servers observe.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use serde::Serialize;
use valvestage_core::ids::{ConfigurationVersion, InstanceId};
use valvestage_policy::steering::FlowAddresses;
use valvestage_standins::packets::RequestId;
use valvestage_standins::packets::caller_flow::OPENING_RETRANSMISSION_DELAYS;

use crate::ground_truth::GroundTruth;
use crate::observation::{Observation, ObservedEvent};
use crate::promise::{
    CONFIGURATION_WITHIN, DISTURBANCE_MARGIN, DRAIN_WITHIN, EVACUATION_WITHIN, MIN_COMPARED,
    MISROUTE_LIMIT, MISROUTE_WINDOW, Promise, REFUSAL_WITHIN, ROLLBACK_GRACE, URGENT_MARGIN,
};
use crate::site_plan::{INTERMITTENT, STEADY, URGENT};

/// Number of violations of each promise recorded in detail; further ones are only counted. A limit
/// over all promises would let frequent violations of one hide those of another.
const MAX_DETAILS: usize = 50;

/// Violation of a promise.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BrokenPromise {
    /// Promise that was broken.
    pub promise: Promise,
    /// Seconds since the start of the fault phase.
    pub at_s: f64,
    /// Description of the violation, with the flow, request or balancer concerned.
    pub detail: String,
}

/// Counts of finished requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RequestTally {
    /// Requests with an answer, also if the answer was corrupted.
    pub answered: u64,
    /// Requests without an answer, to an address that always has a route.
    pub failed: u64,
}

impl RequestTally {
    /// Returns the number of requests.
    #[must_use]
    pub fn count(self) -> u64 {
        self.answered + self.failed
    }

    /// Returns the share of the requests that was answered, 0 if there are none.
    #[must_use]
    pub fn answered_share(self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let share = self.answered as f64 / self.count().max(1) as f64;
        share
    }
}

/// Results of the checks of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct CheckResults {
    /// Requests to addresses that every configuration routes.
    pub requests: RequestTally,
    /// Requests that began in overloads, to the urgent address and to the steady one.
    pub overload: [RequestTally; 2],
    /// Number of checks of each promise.
    pub checked: BTreeMap<Promise, u64>,
    /// First violations of each promise in the order of their detection; limited in number.
    pub broken: Vec<BrokenPromise>,
    /// Number of all violations, also those without details.
    pub broken_count: u64,
    /// Number of stalls of the soak test's own threads. Promises do not apply for a while after a
    /// stall.
    pub stalls: u64,
}

/// State of a flow as observed so far.
struct FlowRecord {
    started_at: Instant,
    instance: Option<InstanceId>,
    misrouted: Vec<Instant>,
}

/// Lowest configuration version that a balancer can have had in force at a time.
struct ObservedVersion {
    restarts: u32,
    version: ConfigurationVersion,
    at: Instant,
}

/// Checker that compares observations of a run with the ground truth.
pub struct PromiseChecker {
    faults_began: Instant,
    timed: bool,
    flows: HashMap<FlowAddresses, FlowRecord>,
    ran_once: HashSet<RequestId>,
    observed: HashMap<usize, ObservedVersion>,
    results: CheckResults,
    /// Requests that began at or after this time are also counted in `recent`.
    recent_from: Option<Instant>,
    recent: RequestTally,
}

impl PromiseChecker {
    /// Creates a checker without observations. If `timed` is false, promises with a time bound are
    /// not checked.
    #[must_use]
    pub fn new(timed: bool, now: Instant) -> Self {
        Self {
            faults_began: now,
            timed,
            flows: HashMap::new(),
            ran_once: HashSet::new(),
            observed: HashMap::new(),
            results: CheckResults::default(),
            recent_from: None,
            recent: RequestTally::default(),
        }
    }

    /// Returns the results so far.
    #[must_use]
    pub fn results(&self) -> &CheckResults {
        &self.results
    }

    /// Resets the count of recent requests; from now on it covers requests that begin at or after
    /// `from`.
    pub fn reset_recent(&mut self, from: Instant) {
        self.recent_from = Some(from);
        self.recent = RequestTally::default();
    }

    /// Sets the start of the fault phase, from which times of violations are measured.
    pub fn start_fault_phase(&mut self, now: Instant) {
        self.faults_began = now;
    }

    /// Returns the number of recent requests that have finished.
    #[must_use]
    pub fn recent_count(&self) -> u64 {
        self.recent.count()
    }

    /// Returns the share of finished recent requests that was answered, 0 if none has finished.
    #[must_use]
    pub fn recent_share(&self) -> f64 {
        self.recent.answered_share()
    }

    /// Returns the counts of recent requests.
    #[must_use]
    pub fn recent(&self) -> RequestTally {
        self.recent
    }

    /// Records the outcome of one check, and the violation if `is_kept` is false. Ignores promises
    /// with a time bound if these are not checked.
    pub fn check(
        &mut self,
        promise: Promise,
        is_kept: bool,
        at: Instant,
        detail: impl FnOnce() -> String,
    ) {
        if promise.is_timed() && !self.timed {
            return;
        }
        *self.results.checked.entry(promise).or_default() += 1;
        if is_kept {
            return;
        }

        self.results.broken_count += 1;
        let details = self.results.broken.iter().filter(|broken| broken.promise == promise);
        if details.count() < MAX_DETAILS {
            let at_s = at.saturating_duration_since(self.faults_began).as_secs_f64();
            self.results.broken.push(BrokenPromise { promise, at_s, detail: detail() });
        }
    }

    /// Checks the promises that an observation concerns, and updates the state of its flow.
    pub fn observe(&mut self, truth: &mut GroundTruth, observation: Observation) {
        let Observation { at, event } = observation;

        match event {
            ObservedEvent::Started { flow } => {
                let record = FlowRecord { started_at: at, instance: None, misrouted: Vec::new() };
                self.flows.insert(flow, record);
            }
            ObservedEvent::Opened { flow, instance, balancer, arrived } => {
                self.on_opened(truth, flow, instance, balancer, arrived);
            }
            ObservedEvent::Delivered { flow } => {
                if let Some(record) = self.flows.get_mut(&flow) {
                    record.misrouted.clear();
                }
            }
            ObservedEvent::Misrouted { flow, instance, balancer } => {
                self.on_misrouted(truth, flow, instance, balancer, at);
            }
            ObservedEvent::Executed { request, repeatable } => {
                let is_first = repeatable || self.ran_once.insert(request);
                self.check(Promise::RunsOnce, is_first, at, || format!("request {request}"));
            }
            ObservedEvent::Reset { flow, open, balancer } => {
                self.on_reset(truth, flow, open, balancer, at);
            }
            ObservedEvent::Closed { flow } => {
                self.flows.remove(&flow);
            }
            ObservedEvent::Answered { request, whole, began, address } => {
                self.check(Promise::WholeAnswer, whole, at, || format!("request {request}"));
                self.count(truth, address, began, |tally| tally.answered += 1);
            }
            ObservedEvent::Failed { began, address, .. } => {
                self.count(truth, address, began, |tally| tally.failed += 1);
            }
            ObservedEvent::Altered => {
                self.check(Promise::PacketUnchanged, false, at, || "packet altered".to_owned());
            }
            ObservedEvent::Stalled { time } => {
                log::warn!("a thread of the soak test stalled for {} ms", time.as_millis());
                self.results.stalls += 1;
                truth.record_stall(at);
            }
        }
    }

    /// Checks that urgent requests were answered at least as often as others in all overloads, if
    /// there were enough requests.
    pub fn check_urgent_first(&mut self) {
        let [urgent, steady] = self.results.overload;
        if urgent.count().min(steady.count()) < MIN_COMPARED {
            return;
        }

        let is_kept = urgent.answered_share() >= steady.answered_share() - URGENT_MARGIN;
        self.check(Promise::UrgentFirst, is_kept, Instant::now(), || {
            format!("urgent {urgent:?}, others {steady:?}")
        });
    }

    fn count(
        &mut self,
        truth: &GroundTruth,
        address: SocketAddrV4,
        began: Instant,
        add: impl Fn(&mut RequestTally),
    ) {
        if address == INTERMITTENT {
            return;
        }
        add(&mut self.results.requests);
        match address {
            URGENT if truth.is_overloaded(began) => add(&mut self.results.overload[0]),
            STEADY if truth.is_overloaded(began) => add(&mut self.results.overload[1]),
            _ => {}
        }

        if self.recent_from.is_some_and(|from| began >= from) {
            add(&mut self.recent);
        }
    }

    fn on_opened(
        &mut self,
        truth: &GroundTruth,
        flow: FlowAddresses,
        instance: InstanceId,
        balancer: usize,
        arrived: Instant,
    ) {
        let Some(record) = self.flows.get_mut(&flow) else { return };
        record.instance = Some(instance);
        let started_at = record.started_at;
        let Some(backend) = truth.backends.get(&instance) else { return };
        let service = backend.service;
        let detail =
            || format!("{flow:?} at {instance:x} of {service} through balancer {balancer}");

        let was_ever_routed = truth.was_ever_routed(flow.service, service);
        self.check(Promise::RightService, was_ever_routed, arrived, detail);
        if !truth.is_undisturbed(balancer, arrived) {
            return;
        }

        let is_late = backend.draining_at.is_some_and(|at| started_at > at + DRAIN_WITHIN);
        self.check(Promise::Drain, !is_late, arrived, detail);
        let from = started_at.checked_sub(EVACUATION_WITHIN).unwrap_or(started_at);
        let is_respected = !truth.was_evacuated(backend.zone, from, arrived);
        self.check(Promise::Evacuation, is_respected, arrived, detail);
        let from = started_at.checked_sub(CONFIGURATION_WITHIN).unwrap_or(started_at);
        let allowed = truth.services_routed(flow.service, from, arrived);
        let is_allowed = allowed.contains(&Some(service));
        self.check(Promise::ConfigurationInForce, is_allowed, arrived, detail);
        self.check_no_rollback(truth, flow, service, balancer, started_at, arrived);
    }

    /// Checks that a balancer does not return to an older configuration: the newest configuration
    /// that explains this opening is at least as new as the oldest one that explains an earlier
    /// opening through the same balancer since its last restart.
    fn check_no_rollback(
        &mut self,
        truth: &GroundTruth,
        flow: FlowAddresses,
        service: &str,
        balancer: usize,
        started_at: Instant,
        arrived: Instant,
    ) {
        let from = started_at.checked_sub(CONFIGURATION_WITHIN).unwrap_or(started_at);
        let address = flow.service;
        let Some(newest) = truth.versions_routing(address, service, None, arrived).last().copied()
        else {
            return;
        };
        let plausible = truth.versions_routing(address, service, Some(from), arrived);
        let needed = plausible.first().copied().unwrap_or(0);

        let restarts = truth.balancers[balancer].restarts;
        let observed =
            self.observed.get(&balancer).filter(|observed| observed.restarts == restarts);
        let is_rollback =
            observed.is_some_and(|s| started_at > s.at + ROLLBACK_GRACE && newest < s.version);
        let observed_version = observed.map_or(0, |observed| observed.version);
        self.check(Promise::ConfigurationNeverBack, !is_rollback, arrived, || {
            format!("balancer {balancer} used {observed_version}, then {newest} at most: {flow:?}")
        });
        if needed > observed_version {
            let observed = ObservedVersion { restarts, version: needed, at: arrived };
            self.observed.insert(balancer, observed);
        }
    }

    fn on_misrouted(
        &mut self,
        truth: &GroundTruth,
        flow: FlowAddresses,
        instance: InstanceId,
        balancer: usize,
        at: Instant,
    ) {
        let Some(record) = self.flows.get_mut(&flow) else { return };
        let Some(own) = record.instance.filter(|own| *own != instance) else { return };
        record
            .misrouted
            .retain(|earlier| at.saturating_duration_since(*earlier) <= MISROUTE_WINDOW);
        record.misrouted.push(at);

        let misrouted = record.misrouted.len();
        if truth.is_fault_free(balancer, at) && truth.is_backend_up(own, at) {
            self.check(Promise::FlowNotMoved, misrouted < MISROUTE_LIMIT, at, || {
                format!("{flow:?} of {own:x} reached {instance:x} through balancer {balancer}")
            });
        }
    }

    fn on_reset(
        &mut self,
        truth: &GroundTruth,
        flow: FlowAddresses,
        open: bool,
        balancer: usize,
        at: Instant,
    ) {
        let Some(record) = self.flows.get(&flow) else { return };
        let from = record.started_at.checked_sub(DISTURBANCE_MARGIN).unwrap_or(record.started_at);
        let has_route = !truth.services_routed(flow.service, from, at).contains(&None);
        if !has_route {
            return;
        }

        let detail = || format!("{flow:?} through balancer {balancer}");
        match record.instance {
            Some(instance) if open => {
                if truth.is_fault_free(balancer, at) {
                    let is_up = truth.is_backend_up(instance, at);
                    self.check(Promise::FlowNotEnded, !is_up, at, || {
                        format!("{} of {instance:x}", detail())
                    });
                }
            }
            _ => {
                if truth.is_overloaded(at) && truth.is_fault_free(balancer, at) {
                    let waited = time_since_opening_packet(at - record.started_at);
                    self.check(Promise::RefusedAtOnce, waited <= REFUSAL_WITHIN, at, || {
                        format!("{} after {} ms", detail(), waited.as_millis())
                    });
                }
                if truth.is_undisturbed(balancer, at) {
                    let is_false_refusal = has_ready_backend(truth, flow, from, at);
                    self.check(Promise::NoFalseRefusal, !is_false_refusal, at, detail);
                }
            }
        }
    }
}

/// Returns the time since the last copy of an opening packet, given that since the first one.
fn time_since_opening_packet(since_first: Duration) -> Duration {
    let copies = OPENING_RETRANSMISSION_DELAYS.into_iter().rev();
    let last = copies.into_iter().find(|delay| *delay <= since_first);

    since_first - last.unwrap_or_default()
}

/// Reports whether each service that the flow's address was routed to from `from` to `at` had an
/// undisturbed backend server, not draining, during the whole time.
fn has_ready_backend(truth: &GroundTruth, flow: FlowAddresses, from: Instant, at: Instant) -> bool {
    let services = truth.services_routed(flow.service, from, at);

    services.into_iter().flatten().all(|service| {
        truth.backends.iter().any(|(instance, record)| {
            record.service == service
                && record.registered_at <= from
                && record.draining_at.is_none()
                && truth.is_backend_up(*instance, at)
        })
    })
}
