//! A queueing model around the decision code: arrivals, delays, slots.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BackendId, RequestId};
use valvestage_core::{Backend, RefusalReason, RequestClass, Segment};
use valvestage_policy::requests::{
    Authority, PoolOptions, Request, RequestAction, RequestOptions, ServiceDispatcher,
};

use super::event_queue::EventQueue;
use super::ideal::{capacity, ideal, mean_way};
use super::measures::{Measures, Sample};
use super::model_event::Event;
use super::model_occupancy::SAMPLE;
use super::model_server::Server;
use super::scenario::Scenario;
use super::way::Way;
use crate::deployment::{BALANCERS, Size, backend, configuration, start, zone_name};
use valvestage_standins::seeded_rng::SeededRng;

/// Mean of the exponential run times.
pub const RUN_TIME: Duration = Duration::from_millis(50);

/// Pause between two ticks of a dispatcher.
const TICK: Duration = Duration::from_millis(5);

/// A caller that was told nothing sends its request again.
const RESEND: Duration = Duration::from_millis(500);

/// Time until a lost balancer is noticed.
pub(super) const NOTICED_AFTER: Duration = Duration::from_secs(2);

/// One way within an availability zone.
pub const WITHIN_ZONE: Duration = Duration::from_micros(100);

const SERVICE: u16 = 1;

/// `Load` is what callers do.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Share of the slots' capacity.
    pub share: f64,
    /// Requests in all.
    pub requests: usize,
    /// Time from a request to its deadline.
    pub patience: Duration,
    /// Share of bulk requests.
    pub bulk_share: f64,
    /// Of the draws.
    pub seed: u64,
}

pub(super) struct Pending {
    sent: SystemTime,
    deadline: SystemTime,
    is_bulk: bool,
    is_told: bool,
    /// The same under every way.
    pub(super) run_time: Duration,
}

pub(super) struct Model<'a> {
    pub(super) size: &'a Size,
    pub(super) way: Way,
    pub(super) scenario: Scenario,
    pub(super) load: Load,
    pub(super) now: SystemTime,
    pub(super) queue: EventQueue<Event>,
    pub(super) arrivals: SeededRng,
    pub(super) routes: SeededRng,
    pub(super) dispatchers: Vec<ServiceDispatcher<()>>,
    pub(super) servers: BTreeMap<BackendId, Server>,
    pub(super) pending: HashMap<RequestId, Pending>,
    pub(super) measures: Measures,
    pub(super) samples: u32,
    /// The admitting balancer is gone and not replaced yet.
    pub(super) owner_is_lost: bool,
    pub(super) strikes_at: SystemTime,
}

/// `run` runs a load under one way and scenario.
pub fn run(size: &Size, way: Way, scenario: Scenario, load: Load) -> Measures {
    match way {
        Way::Ideal => return ideal(size, load, Duration::ZERO),
        Way::IdealWithDelay => return ideal(size, load, mean_way(size)),
        _ => {}
    }

    let mut model = Model::new(size, way, scenario, load);
    model.prepare();
    model.run();
    model.finish()
}

impl<'a> Model<'a> {
    fn new(size: &'a Size, way: Way, scenario: Scenario, load: Load) -> Self {
        let records: Vec<Backend> =
            (1..=size.backends).map(|id| backend(id, SERVICE, size.slots, size.zones)).collect();
        let servers = records.iter().map(|record| {
            let server = Server {
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
            way,
            scenario,
            load,
            now: start(),
            queue: EventQueue::new(),
            arrivals: SeededRng::new(load.seed),
            routes: SeededRng::new(load.seed + 1),
            dispatchers: Vec::new(),
            servers: servers.collect(),
            pending: HashMap::new(),
            measures: Measures { capacity: capacity(size), ..Measures::default() },
            samples: 0,
            owner_is_lost: false,
            strikes_at: start() + length / 3,
        }
    }

    fn prepare(&mut self) {
        let count = if self.way.has_owner() { 1 } else { BALANCERS };
        for index in 0..count {
            let dispatcher = self.make_dispatcher(index, self.records_for(index, count));
            self.dispatchers.push(dispatcher);
            self.schedule(TICK, Event::Tick(index as usize));
        }

        self.schedule_new_request(0);
        self.schedule(SAMPLE, Event::Sample);
        if self.scenario != Scenario::Steady {
            let after = self.strikes_at.duration_since(self.now).unwrap_or_default();
            self.schedule(after, Event::Fault);
        }
    }

    /// All backend servers with all slots, or a fixed share of the slots.
    pub(super) fn records_for(&self, index: u32, count: u32) -> Vec<Backend> {
        let all = self.servers.values().map(|server| server.record.clone());
        if self.way != Way::Credits {
            return all.collect();
        }

        // Slots are dealt one by one.
        let mut dealt = 0;
        let mut share = Vec::new();
        for mut record in all {
            let slots =
                (0..record.slots).filter(|slot| (dealt + u32::from(*slot)) % count == index);
            let own = slots.count();
            dealt += u32::from(record.slots);
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
        let options = RequestOptions { choice: self.way.choice(), ..RequestOptions::default() };
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
        // Long after the last arrival everything has ended.
        let mut last_arrival = self.now;

        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            if matches!(event, Event::NewRequest(_)) {
                last_arrival = self.now;
            }
            if self.now > last_arrival + self.load.patience * 2 {
                break;
            }
            self.handle(event);
        }
        let length = last_arrival.duration_since(start()).unwrap_or_default();
        self.measures.seconds = length.as_secs_f64();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NewRequest(number) => self.new_request(number),
            Event::Resend(id) => self.send(id),
            Event::AtDispatcher(index, id) => self.at_dispatcher(index, id),
            Event::AtBackend { dispatcher, backend, id, attempt } => {
                self.at_backend(dispatcher, backend, id, attempt);
            }
            Event::Cancelled { dispatcher, backend, id, attempt } => {
                self.cancelled(dispatcher, backend, id, attempt);
            }
            Event::Done { dispatcher, backend, id, attempt } => {
                self.done(dispatcher, backend, id, attempt);
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
                self.perform(dispatcher, out);
            }
            Event::Refusal { dispatcher, reply, reason } => {
                let mut out = Vec::new();
                let authority = Some(self.authority());
                self.dispatchers[dispatcher]
                    .on_refused(self.now, reply, reason, authority, &mut out);
                self.perform(dispatcher, out);
            }
            Event::AtCaller(id, refusal) => self.at_caller(id, refusal),
            Event::Tick(index) => self.tick(index),
            Event::Sample => self.sample(),
            Event::Fault => self.strike(),
            Event::TakeOver => self.take_over(),
        }
    }

    /// Everything is under a lease here: leases are the fault matrix's matter.
    fn authority(&self) -> Authority {
        Authority { covers_from: SystemTime::UNIX_EPOCH, fence: self.now + Duration::from_secs(60) }
    }

    fn schedule_new_request(&mut self, number: usize) {
        let rate = capacity(self.size) * self.load.share;
        let pause = self.arrivals.exponential(Duration::from_secs(1).div_f64(rate));

        self.schedule(pause, Event::NewRequest(number));
    }

    fn new_request(&mut self, number: usize) {
        let id = number as RequestId;
        let run_time = self.arrivals.exponential(RUN_TIME);
        let is_bulk = self.arrivals.next_f64() < self.load.bulk_share;
        let pending = Pending {
            sent: self.now,
            deadline: self.now + self.load.patience,
            is_bulk,
            is_told: false,
            run_time,
        };

        self.measures.sent[usize::from(is_bulk)] += 1;
        self.pending.insert(id, pending);
        self.send(id);
        if number + 1 < self.load.requests {
            self.schedule_new_request(number + 1);
        }
    }

    /// From the caller by the fabric to any balancer, and from there to the one that admits.
    fn send(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get(&id).filter(|pending| !pending.is_told) else {
            return;
        };
        if pending.deadline <= self.now {
            return;
        }

        let skewed = self.scenario == Scenario::SkewedCallers && id.is_multiple_of(2);
        let entry = if skewed { 0 } else { self.routes.below(BALANCERS as usize) };
        let index = if self.way.has_owner() { 0 } else { entry };
        let hop = if self.way.has_owner() && entry != 0 {
            self.between(entry % self.size.zones, 0)
        } else {
            Duration::ZERO
        };
        self.schedule(self.size.to_callers + hop, Event::AtDispatcher(index, id));
        self.schedule(RESEND, Event::Resend(id));
    }

    fn between(&self, left: usize, right: usize) -> Duration {
        if left == right { WITHIN_ZONE } else { self.size.between_zones }
    }

    /// Between a dispatcher's balancer and a backend server.
    pub(super) fn to_backend(&self, dispatcher: usize, backend: BackendId) -> Duration {
        self.between(dispatcher % self.size.zones, backend as usize % self.size.zones)
    }

    fn at_dispatcher(&mut self, index: usize, id: RequestId) {
        if self.owner_is_lost && index == 0 {
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
        self.perform(index, out);
    }

    fn perform(&mut self, dispatcher: usize, actions: Vec<RequestAction<()>>) {
        for action in actions {
            match action {
                RequestAction::Dispatch { backend, attempt, request, retry, .. } => {
                    self.measures.retries += u64::from(retry.is_some());
                    let after = self.to_backend(dispatcher, backend);
                    let id = request.id;
                    self.schedule(after, Event::AtBackend { dispatcher, backend, id, attempt });
                }
                RequestAction::Cancel { backend, id, attempt, .. } => {
                    let after = self.to_backend(dispatcher, backend);
                    self.schedule(after, Event::Cancelled { dispatcher, backend, id, attempt });
                }
                RequestAction::Answer { id, .. } => {
                    self.schedule(self.size.to_callers, Event::AtCaller(id, None));
                }
                RequestAction::Refuse { id, refusal, .. } => {
                    let event = Event::AtCaller(id, Some(refusal.reason));
                    self.schedule(self.size.to_callers, event);
                }
                RequestAction::Relay { .. } => unreachable!("dispatchers do not relay"),
            }
        }
    }

    fn at_caller(&mut self, id: RequestId, refusal: Option<RefusalReason>) {
        let now = self.now;
        let Some(pending) = self.pending.get_mut(&id).filter(|pending| !pending.is_told) else {
            return;
        };

        pending.is_told = true;
        match refusal {
            None => {
                let taken = now.duration_since(pending.sent).unwrap_or_default();
                let millis = taken.as_secs_f64() * 1_000.0;
                self.measures.samples.push(Sample { millis, is_bulk: pending.is_bulk });
            }
            Some(reason) => *self.measures.refused.entry(reason.label()).or_insert(0) += 1,
        }
    }

    fn tick(&mut self, index: usize) {
        let mut out = Vec::new();
        let authority = Some(self.authority());

        if !(self.owner_is_lost && index == 0) {
            self.dispatchers[index].tick(self.now, authority, &mut out);
        }
        self.perform(index, out);
        self.schedule(TICK, Event::Tick(index));
    }

    fn finish(mut self) -> Measures {
        self.measures.untold = self.pending.values().filter(|p| !p.is_told).count() as u64;
        self.measures
    }
}
