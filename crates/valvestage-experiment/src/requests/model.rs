//! Queueing model around the dispatcher of the policy: arrivals, network delays and slots.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BackendId, RequestId};
use valvestage_core::{Backend, RefusalReason, RequestClass, Segment};
use valvestage_policy::requests::{
    Authority, PoolOptions, Request, RequestAction, RequestOptions, ServiceDispatcher,
};

use super::dispatch_strategy::DispatchStrategy;
use super::event_queue::EventQueue;
use super::ideal::{capacity, ideal, mean_round_trip};
use super::measures::{AnswerSample, Measures};
use super::model_event::Event;
use super::model_occupancy::SAMPLE_INTERVAL;
use super::model_server::SimulatedServer;
use super::scenario::Scenario;
use crate::deployment::{BALANCERS, ServiceSize, backend, configuration, start_time, zone_name};
use valvestage_standins::seeded_rng::SeededRng;

/// Mean of the exponentially distributed run times.
pub const MEAN_RUN_TIME: Duration = Duration::from_millis(50);

/// Interval between two ticks of a dispatcher.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which a caller resends a request that has neither an answer nor a refusal.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Time until the failure of a balancer is detected.
pub(super) const FAILURE_DETECTION_DELAY: Duration = Duration::from_secs(2);

/// One-way delay within an availability zone.
pub const INTRA_ZONE_DELAY: Duration = Duration::from_micros(100);

const SERVICE: u16 = 1;

/// Requests that callers send in a run.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Arrival rate as a share of the capacity of all slots.
    pub share: f64,
    /// Total number of requests.
    pub requests: usize,
    /// Time from the sending of a request to its deadline.
    pub time_to_deadline: Duration,
    /// Share of requests of the bulk class.
    pub bulk_share: f64,
    /// Seed of the random draws.
    pub seed: u64,
}

pub(super) struct PendingRequest {
    sent: SystemTime,
    deadline: SystemTime,
    is_bulk: bool,
    has_outcome: bool,
    /// Drawn with the arrival, so that it is the same under every strategy.
    pub(super) run_time: Duration,
}

pub(super) struct Model<'a> {
    pub(super) size: &'a ServiceSize,
    pub(super) strategy: DispatchStrategy,
    pub(super) scenario: Scenario,
    pub(super) load: Load,
    pub(super) now: SystemTime,
    pub(super) queue: EventQueue<Event>,
    pub(super) arrivals: SeededRng,
    pub(super) routes: SeededRng,
    pub(super) dispatchers: Vec<ServiceDispatcher<()>>,
    pub(super) servers: BTreeMap<BackendId, SimulatedServer>,
    pub(super) pending: HashMap<RequestId, PendingRequest>,
    pub(super) measures: Measures,
    pub(super) samples: u32,
    /// Whether the owner of the service has failed and has no successor yet.
    pub(super) is_owner_lost: bool,
    pub(super) fault_at: SystemTime,
}

/// Simulates a load under one strategy and scenario.
pub fn run(
    size: &ServiceSize,
    strategy: DispatchStrategy,
    scenario: Scenario,
    load: Load,
) -> Measures {
    match strategy {
        DispatchStrategy::Ideal => return ideal(size, load, Duration::ZERO),
        DispatchStrategy::IdealWithDelay => return ideal(size, load, mean_round_trip(size)),
        _ => {}
    }

    let mut model = Model::new(size, strategy, scenario, load);
    model.schedule_initial_events();
    model.run();
    model.finish()
}

impl<'a> Model<'a> {
    fn new(
        size: &'a ServiceSize,
        strategy: DispatchStrategy,
        scenario: Scenario,
        load: Load,
    ) -> Self {
        let records: Vec<Backend> =
            (1..=size.backends).map(|id| backend(id, SERVICE, size.slots, size.zones)).collect();
        let servers = records.iter().map(|record| {
            let server = SimulatedServer {
                record: record.clone(),
                running: BTreeMap::new(),
                slow_factor: 1,
                is_shedding: false,
                is_cut: false,
                busy_sum: 0,
            };
            (record.id, server)
        });
        let total = load.requests as u32;
        let length = Duration::from_secs(1).div_f64(capacity(size) * load.share) * total;

        Self {
            size,
            strategy,
            scenario,
            load,
            now: start_time(),
            queue: EventQueue::new(),
            arrivals: SeededRng::new(load.seed),
            routes: SeededRng::new(load.seed + 1),
            dispatchers: Vec::new(),
            servers: servers.collect(),
            pending: HashMap::new(),
            measures: Measures { capacity: capacity(size), ..Measures::default() },
            samples: 0,
            is_owner_lost: false,
            fault_at: start_time() + length / 3,
        }
    }

    fn schedule_initial_events(&mut self) {
        let count = if self.strategy.has_owner() { 1 } else { BALANCERS };
        for index in 0..count {
            let dispatcher = self.make_dispatcher(index, self.dispatcher_records(index, count));
            self.dispatchers.push(dispatcher);
            self.schedule(TICK_INTERVAL, Event::Tick(index as usize));
        }

        self.schedule_arrival(0);
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
        if self.scenario != Scenario::Steady {
            let after = self.fault_at.duration_since(self.now).unwrap_or_default();
            self.schedule(after, Event::Fault);
        }
    }

    /// Returns the backend servers that a dispatcher may use: all with all their slots, or, under
    /// fixed credits, those with slots in the dispatcher's share.
    pub(super) fn dispatcher_records(&self, index: u32, count: u32) -> Vec<Backend> {
        let all = self.servers.values().map(|server| server.record.clone());
        if self.strategy != DispatchStrategy::Credits {
            return all.collect();
        }

        // Slots are assigned to the dispatchers in rotation.
        let mut assigned = 0;
        let mut share = Vec::new();
        for mut record in all {
            let slots =
                (0..record.slots).filter(|slot| (assigned + u32::from(*slot)) % count == index);
            let own = slots.count();
            assigned += u32::from(record.slots);
            record.slots = u16::try_from(own).unwrap_or(0);
            if record.slots > 0 {
                share.push(record);
            }
        }
        share
    }

    pub(super) fn make_dispatcher(
        &self,
        index: u32,
        records: Vec<Backend>,
    ) -> ServiceDispatcher<()> {
        let options =
            RequestOptions { choice: self.strategy.choice(), ..RequestOptions::default() };
        let pool = PoolOptions {
            own_zone: zone_name(index as usize % self.size.zones),
            seed: self.load.seed + u64::from(index),
            ..PoolOptions::default()
        };

        let mut dispatcher = ServiceDispatcher::new(SERVICE, options, pool);
        dispatcher.install(&configuration(1, 1, records), self.now);
        dispatcher
    }

    pub(super) fn schedule(&mut self, after: Duration, event: Event) {
        self.queue.push(self.now + after, event);
    }

    fn run(&mut self) {
        // The periodic events never end. By twice the time to the deadline after the last arrival,
        // all requests have ended.
        let mut last_arrival = self.now;

        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            if matches!(event, Event::Arrival(_)) {
                last_arrival = self.now;
            }
            if self.now > last_arrival + self.load.time_to_deadline * 2 {
                break;
            }
            self.handle(event);
        }
        let length = last_arrival.duration_since(start_time()).unwrap_or_default();
        self.measures.seconds = length.as_secs_f64();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(number) => self.handle_arrival(number),
            Event::Resend(id) => self.send_request(id),
            Event::ReachDispatcher(index, id) => self.deliver_to_dispatcher(index, id),
            Event::ReachBackend { dispatcher, backend, id, attempt } => {
                self.deliver_to_backend(dispatcher, backend, id, attempt);
            }
            Event::CancelRun { dispatcher, backend, id, attempt } => {
                self.cancel_run(dispatcher, backend, id, attempt);
            }
            Event::CompleteRun { dispatcher, backend, id, attempt } => {
                self.complete_run(dispatcher, backend, id, attempt);
            }
            Event::Answer { dispatcher, reply } => {
                let mut out = Vec::new();
                let authority = Some(self.authority());
                self.dispatchers[dispatcher].on_answer(
                    self.now,
                    reply,
                    Segment::WHOLE,
                    (),
                    authority,
                    &mut out,
                );
                self.perform_actions(dispatcher, out);
            }
            Event::Refusal { dispatcher, reply, reason } => {
                let mut out = Vec::new();
                let authority = Some(self.authority());
                self.dispatchers[dispatcher]
                    .on_refused(self.now, reply, reason, authority, &mut out);
                self.perform_actions(dispatcher, out);
            }
            Event::ReachCaller(id, refusal) => self.deliver_to_caller(id, refusal),
            Event::Tick(index) => self.tick(index),
            Event::Sample => self.sample_occupancy(),
            Event::Fault => self.inject_fault(),
            Event::Failover => self.fail_over_owner(),
        }
    }

    /// Returns an authority that is always valid. The model does not simulate leases, which the
    /// fault matrix covers.
    fn authority(&self) -> Authority {
        Authority { covers_from: SystemTime::UNIX_EPOCH, fence: self.now + Duration::from_secs(60) }
    }

    fn schedule_arrival(&mut self, number: usize) {
        let rate = capacity(self.size) * self.load.share;
        let pause = self.arrivals.exponential(Duration::from_secs(1).div_f64(rate));

        self.schedule(pause, Event::Arrival(number));
    }

    fn handle_arrival(&mut self, number: usize) {
        let id = number as RequestId;
        let run_time = self.arrivals.exponential(MEAN_RUN_TIME);
        let is_bulk = self.arrivals.next_f64() < self.load.bulk_share;
        let pending = PendingRequest {
            sent: self.now,
            deadline: self.now + self.load.time_to_deadline,
            is_bulk,
            has_outcome: false,
            run_time,
        };

        self.measures.sent[usize::from(is_bulk)] += 1;
        self.pending.insert(id, pending);
        self.send_request(id);
        if number + 1 < self.load.requests {
            self.schedule_arrival(number + 1);
        }
    }

    /// Sends a request from its caller through the fabric to a balancer, and from there to the
    /// owner if the strategy has one.
    fn send_request(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get(&id).filter(|pending| !pending.has_outcome) else {
            return;
        };
        if pending.deadline <= self.now {
            return;
        }

        let is_skewed = self.scenario == Scenario::SkewedCallers && id.is_multiple_of(2);
        let entry = if is_skewed { 0 } else { self.routes.below(BALANCERS as usize) };
        let index = if self.strategy.has_owner() { 0 } else { entry };
        let relay_delay = if self.strategy.has_owner() && entry != 0 {
            self.zone_delay(entry % self.size.zones, 0)
        } else {
            Duration::ZERO
        };
        self.schedule(self.size.caller_delay + relay_delay, Event::ReachDispatcher(index, id));
        self.schedule(RESEND_INTERVAL, Event::Resend(id));
    }

    fn zone_delay(&self, left: usize, right: usize) -> Duration {
        if left == right { INTRA_ZONE_DELAY } else { self.size.inter_zone_delay }
    }

    /// Returns the one-way delay between a dispatcher's balancer and a backend server.
    pub(super) fn backend_delay(&self, dispatcher: usize, backend: BackendId) -> Duration {
        self.zone_delay(dispatcher % self.size.zones, backend as usize % self.size.zones)
    }

    fn deliver_to_dispatcher(&mut self, index: usize, id: RequestId) {
        if self.is_owner_lost && index == 0 {
            return;
        }
        let pending = &self.pending[&id];
        let request = Request {
            id,
            caller: SocketAddr::from(([198, 18, 0, 1], 1)),
            service: SERVICE,
            deadline: pending.deadline,
            repeatable: id.is_multiple_of(2),
            class: if pending.is_bulk { RequestClass::Bulk } else { RequestClass::Urgent },
            payload: (),
        };

        let mut out = Vec::new();
        let authority = Some(self.authority());
        self.dispatchers[index].accept(self.now, request, authority, &mut out);
        self.perform_actions(index, out);
    }

    fn perform_actions(&mut self, dispatcher: usize, actions: Vec<RequestAction<()>>) {
        for action in actions {
            match action {
                RequestAction::Dispatch { backend, attempt, request, retry, .. } => {
                    self.measures.retries += u64::from(retry.is_some());
                    let after = self.backend_delay(dispatcher, backend);
                    let id = request.id;
                    self.schedule(after, Event::ReachBackend { dispatcher, backend, id, attempt });
                }
                RequestAction::Cancel { backend, id, attempt, .. } => {
                    let after = self.backend_delay(dispatcher, backend);
                    self.schedule(after, Event::CancelRun { dispatcher, backend, id, attempt });
                }
                RequestAction::Answer { id, .. } => {
                    self.schedule(self.size.caller_delay, Event::ReachCaller(id, None));
                }
                RequestAction::Refuse { id, refusal, .. } => {
                    let event = Event::ReachCaller(id, Some(refusal.reason));
                    self.schedule(self.size.caller_delay, event);
                }
                RequestAction::Relay { .. } => unreachable!("dispatchers do not relay requests"),
            }
        }
    }

    fn deliver_to_caller(&mut self, id: RequestId, refusal: Option<RefusalReason>) {
        let now = self.now;
        let Some(pending) = self.pending.get_mut(&id).filter(|pending| !pending.has_outcome) else {
            return;
        };

        pending.has_outcome = true;
        match refusal {
            None => {
                let elapsed = now.duration_since(pending.sent).unwrap_or_default();
                let millis = elapsed.as_secs_f64() * 1_000.0;
                self.measures.samples.push(AnswerSample { millis, is_bulk: pending.is_bulk });
            }
            Some(reason) => *self.measures.refused.entry(reason.label()).or_insert(0) += 1,
        }
    }

    fn tick(&mut self, index: usize) {
        let mut out = Vec::new();
        let authority = Some(self.authority());

        if !(self.is_owner_lost && index == 0) {
            self.dispatchers[index].tick(self.now, authority, &mut out);
        }
        self.perform_actions(index, out);
        self.schedule(TICK_INTERVAL, Event::Tick(index));
    }

    fn finish(mut self) -> Measures {
        self.measures.unresolved = self.pending.values().filter(|p| !p.has_outcome).count() as u64;
        self.measures
    }
}
