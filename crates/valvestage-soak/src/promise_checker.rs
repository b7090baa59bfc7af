//! Checks of promises, based on what callers and backend servers observe.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Instant;

use serde::Serialize;
use valvestage_core::ids::{ConfigurationVersion, InstanceId};
use valvestage_policy::steering::FlowAddresses;
use valvestage_standins::packets::RequestId;

use crate::observation::{Observation, SeenEvent};
use crate::promise::{
    CONFIGURATION_WITHIN, CONTACT, DRAIN_WITHIN, EVACUATION_WITHIN, MAX_STRAYS, NO_WAY_BACK_AFTER,
    Promise, STRAY_WINDOW,
};
use crate::site_plan::COMING;
use crate::site_truth::SiteTruth;

/// Number of violations recorded in detail; further ones are only counted.
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

/// Results of the checks of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct CheckResults {
    /// Requests to addresses that every configuration routes.
    pub requests: RequestTally,
    /// Number of checks of each promise.
    pub checked: BTreeMap<Promise, u64>,
    /// First violations in the order of their detection; limited in number.
    pub broken: Vec<BrokenPromise>,
    /// Number of all violations, also those without details.
    pub broken_count: u64,
    /// Number of stalls of the soak test's own threads. Promises do not apply for a while after a
    /// stall.
    pub stalls: u64,
}

/// State of a flow as observed so far.
struct FlowFact {
    begun: Instant,
    instance: Option<InstanceId>,
    strays: Vec<Instant>,
}

/// Configuration version that a balancer is known to have had in force, at least.
struct ShownVersion {
    life: u32,
    version: ConfigurationVersion,
    at: Instant,
}

/// Checker that compares observations of a run with the ground truth.
pub struct PromiseChecker {
    began: Instant,
    timed: bool,
    flows: HashMap<FlowAddresses, FlowFact>,
    ran_once: HashSet<RequestId>,
    shown: HashMap<usize, ShownVersion>,
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
            began: now,
            timed,
            flows: HashMap::new(),
            ran_once: HashSet::new(),
            shown: HashMap::new(),
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
    pub fn count_from(&mut self, from: Instant) {
        self.recent_from = Some(from);
        self.recent = RequestTally::default();
    }

    /// Sets the start of the fault phase, from which times of violations are measured.
    pub fn begin(&mut self, now: Instant) {
        self.began = now;
    }

    /// Returns the number of recent requests that have finished.
    #[must_use]
    pub fn recent_count(&self) -> u64 {
        self.recent.answered + self.recent.failed
    }

    /// Returns the share of finished recent requests that was answered, 0 if none has finished.
    #[must_use]
    pub fn recent_share(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let share = self.recent.answered as f64 / self.recent_count().max(1) as f64;
        share
    }

    /// Returns the counts of recent requests.
    #[must_use]
    pub fn recent(&self) -> RequestTally {
        self.recent
    }

    /// Records the outcome of one check, and the violation if `is_kept` is false. Ignores promises
    /// with a time bound if these are not checked.
    pub fn expect(
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
        if self.results.broken.len() < MAX_DETAILS {
            let at_s = at.saturating_duration_since(self.began).as_secs_f64();
            self.results.broken.push(BrokenPromise { promise, at_s, detail: detail() });
        }
    }

    /// Checks the promises that an observation concerns, and updates the state of its flow.
    pub fn observe(&mut self, truth: &mut SiteTruth, observation: Observation) {
        let Observation { at, seen } = observation;

        match seen {
            SeenEvent::Begun { flow } => {
                let fact = FlowFact { begun: at, instance: None, strays: Vec::new() };
                self.flows.insert(flow, fact);
            }
            SeenEvent::Opened { flow, instance, balancer, arrived } => {
                self.on_opened(truth, flow, instance, balancer, arrived);
            }
            SeenEvent::Reached { flow } => {
                if let Some(fact) = self.flows.get_mut(&flow) {
                    fact.strays.clear();
                }
            }
            SeenEvent::Strayed { flow, instance, balancer } => {
                self.on_strayed(truth, flow, instance, balancer, at);
            }
            SeenEvent::Ran { request, repeatable } => {
                let is_first = repeatable || self.ran_once.insert(request);
                self.expect(Promise::RunsOnce, is_first, at, || format!("request {request}"));
            }
            SeenEvent::Reset { flow, open, balancer } => {
                self.on_reset(truth, flow, open, balancer, at);
            }
            SeenEvent::Closed { flow } => {
                self.flows.remove(&flow);
            }
            SeenEvent::Answered { request, whole, began, address } => {
                self.expect(Promise::WholeAnswer, whole, at, || format!("request {request}"));
                if address != COMING {
                    self.count(began, |tally| tally.answered += 1);
                }
            }
            SeenEvent::Failed { began, address, .. } => {
                if address != COMING {
                    self.count(began, |tally| tally.failed += 1);
                }
            }
            SeenEvent::Forged => {
                self.expect(Promise::PacketUnchanged, false, at, || "packet altered".to_owned());
            }
            SeenEvent::Stalled { time } => {
                log::warn!("a thread of the soak test stalled for {} ms", time.as_millis());
                self.results.stalls += 1;
                truth.on_stall(at);
            }
        }
    }

    fn count(&mut self, began: Instant, add: impl Fn(&mut RequestTally)) {
        add(&mut self.results.requests);

        if self.recent_from.is_some_and(|from| began >= from) {
            add(&mut self.recent);
        }
    }

    fn on_opened(
        &mut self,
        truth: &SiteTruth,
        flow: FlowAddresses,
        instance: InstanceId,
        balancer: usize,
        arrived: Instant,
    ) {
        let Some(fact) = self.flows.get_mut(&flow) else { return };
        fact.instance = Some(instance);
        let begun = fact.begun;
        let Some(backend) = truth.backends.get(&instance) else { return };
        let service = backend.service;
        let place = || format!("{flow:?} at {instance:x} of {service} through balancer {balancer}");

        let has_led = truth.has_led(flow.service, service);
        self.expect(Promise::RightService, has_led, arrived, place);
        if !truth.is_in_touch(balancer, arrived) {
            return;
        }

        let is_late = backend.draining_at.is_some_and(|at| begun > at + DRAIN_WITHIN);
        self.expect(Promise::Drain, !is_late, arrived, place);
        let from = begun.checked_sub(EVACUATION_WITHIN).unwrap_or(begun);
        let is_left_alone = !truth.was_evacuated(backend.zone, from, arrived);
        self.expect(Promise::Evacuation, is_left_alone, arrived, place);
        let from = begun.checked_sub(CONFIGURATION_WITHIN).unwrap_or(begun);
        let allowed = truth.services_between(flow.service, from, arrived);
        let is_allowed = allowed.contains(&Some(service));
        self.expect(Promise::ConfigurationInForce, is_allowed, arrived, place);
        self.check_no_way_back(truth, flow, service, balancer, begun, arrived);
    }

    /// Checks that a balancer does not return to an older configuration: the newest configuration
    /// that explains this opening is at least as new as the oldest one that explains an earlier
    /// opening through the same balancer since its last restart.
    fn check_no_way_back(
        &mut self,
        truth: &SiteTruth,
        flow: FlowAddresses,
        service: &str,
        balancer: usize,
        begun: Instant,
        arrived: Instant,
    ) {
        let from = begun.checked_sub(CONFIGURATION_WITHIN).unwrap_or(begun);
        let address = flow.service;
        let Some(newest) = truth.versions_leading(address, service, None, arrived).last().copied()
        else {
            return;
        };
        let plausible = truth.versions_leading(address, service, Some(from), arrived);
        let needed = plausible.first().copied().unwrap_or(0);

        let life = truth.balancers[balancer].life;
        let shown = self.shown.get(&balancer).filter(|shown| shown.life == life);
        let is_back = shown.is_some_and(|s| begun > s.at + NO_WAY_BACK_AFTER && newest < s.version);
        let shown_version = shown.map_or(0, |shown| shown.version);
        self.expect(Promise::ConfigurationNeverBack, !is_back, arrived, || {
            format!("balancer {balancer} used {shown_version}, then {newest} at most: {flow:?}")
        });
        if needed > shown_version {
            let shown = ShownVersion { life, version: needed, at: arrived };
            self.shown.insert(balancer, shown);
        }
    }

    fn on_strayed(
        &mut self,
        truth: &SiteTruth,
        flow: FlowAddresses,
        instance: InstanceId,
        balancer: usize,
        at: Instant,
    ) {
        let Some(fact) = self.flows.get_mut(&flow) else { return };
        let Some(own) = fact.instance.filter(|own| *own != instance) else { return };
        fact.strays.retain(|stray| at.saturating_duration_since(*stray) <= STRAY_WINDOW);
        fact.strays.push(at);

        let strays = fact.strays.len();
        if truth.is_unharmed(balancer, at) && truth.lives(own, at) {
            self.expect(Promise::FlowNotMoved, strays < MAX_STRAYS, at, || {
                format!("{flow:?} of {own:x} reached {instance:x} through balancer {balancer}")
            });
        }
    }

    fn on_reset(
        &mut self,
        truth: &SiteTruth,
        flow: FlowAddresses,
        open: bool,
        balancer: usize,
        at: Instant,
    ) {
        let Some(fact) = self.flows.get(&flow) else { return };
        let from = fact.begun.checked_sub(CONTACT).unwrap_or(fact.begun);
        let has_route = !truth.services_between(flow.service, from, at).contains(&None);
        if !has_route {
            return;
        }

        let detail = || format!("{flow:?} through balancer {balancer}");
        match fact.instance {
            Some(instance) if open => {
                if truth.is_unharmed(balancer, at) {
                    let lives = truth.lives(instance, at);
                    self.expect(Promise::FlowNotEnded, !lives, at, || {
                        format!("{} of {instance:x}", detail())
                    });
                }
            }
            _ => {
                if truth.is_in_touch(balancer, at) {
                    let is_false = has_ready_backend(truth, flow, from, at);
                    self.expect(Promise::NoFalseRefusal, !is_false, at, detail);
                }
            }
        }
    }
}

/// Reports whether each service that the flow's address was routed to from `from` to `at` had an
/// undisturbed backend server, not draining, during the whole time.
fn has_ready_backend(truth: &SiteTruth, flow: FlowAddresses, from: Instant, at: Instant) -> bool {
    let services = truth.services_between(flow.service, from, at);

    services.into_iter().flatten().all(|service| {
        truth.backends.iter().any(|(instance, fact)| {
            fact.service == service
                && fact.listed_at <= from
                && fact.draining_at.is_none()
                && truth.lives(*instance, at)
        })
    })
}
