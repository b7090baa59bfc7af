//! The simulation of one seed: its state, and the loop that handles one event after the other.

mod caller_links;
mod checks;
mod faults;
mod flow_mutations;
mod flow_rules;
mod flows;
mod knowledge;
mod membership;
mod stalls;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use caller_links::LinkLoss;
use valvestage_core::ids::InstanceId;
use valvestage_policy::steering::seeded_draw::SeededDraw;
use valvestage_policy::steering::{FlowAddresses, RouteMap, RouteTarget};

use crate::backends::{Backend, backend_address};
use crate::balancers::Balancer;
use crate::callers::CallerFlow;
use crate::events::{BalancerNumber, Event, EventQueue, FlowNumber, Millis};
use crate::fault::{Fault, FaultPlan, FaultSeries};
use crate::links::{LinkLimits, LinkTable, SLOW_LINK};
use crate::mutation::Mutation;
use crate::oracles::Violation;
use crate::router::RouterTable;
use crate::site::{SEED_COUNT, SERVICES, SitePlan, balancer_address, service_address};
use crate::store::FakeStore;
use crate::trace::TraceOptions;

/// When callers start.
const CALLERS_AT: Millis = 3_500;

/// Start of the final phase, which has no faults, and end of the simulation.
const FINAL_PHASE_AT: Millis = 24_000;
const END_AT: Millis = 29_000;

/// Latency of each packet to a balancer or a backend server, and of each packet to a caller.
const HOP_MS: Millis = 1;
const TO_CALLER_MS: Millis = 2;

/// Intervals of the store's scan, of the oracles' checks, and of the routers' health probes.
const STORE_SCAN_INTERVAL: Millis = 5;
const PROBE_INTERVAL: Millis = 100;
const ROUTER_PROBE_INTERVAL: Millis = 500;

/// Number of addresses with traffic.
const ADDRESS_COUNT: usize = 4;

/// The simulated deployment of one seed.
pub struct World {
    plan: SitePlan,
    draw: SeededDraw,
    seed: u64,
    base: Instant,
    now: Millis,
    queue: EventQueue,
    store: FakeStore,
    /// End of the last fault that affected the store.
    store_disturbed_at: Millis,
    /// Whether entries lapse although the store is unavailable.
    entries_lapse_while_away: bool,
    balancers: Vec<Balancer>,
    /// Addresses of other balancers that the settings name.
    peer_seeds: Vec<SocketAddrV4>,
    links: Option<LinkTable>,
    router: RouterTable,
    cut_zones: Vec<bool>,
    /// End of the last cut of each zone; 0 without one.
    zone_cut_until: Vec<Millis>,
    /// Present or last loss on the links of callers.
    link_losses: BTreeMap<usize, LinkLoss>,
    /// When the present evacuation of each zone was stored; None without one.
    evacuated_since: Vec<Option<Millis>>,
    backends: BTreeMap<InstanceId, Backend>,
    flows: Vec<CallerFlow>,
    flow_numbers: HashMap<FlowAddresses, FlowNumber>,
    faults: Vec<Fault>,
    /// The service of each address in the operator's desired configuration.
    wanted_routes: BTreeMap<SocketAddrV4, usize>,
    /// When each address was last removed from the configuration.
    dropped_at: BTreeMap<SocketAddrV4, Millis>,
    /// Every pair of address and service that any configuration has allowed.
    ever_allowed: BTreeSet<(SocketAddrV4, usize)>,
    /// The addresses that configurations have added one by one, the newest last.
    added_addresses: Vec<SocketAddrV4>,
    /// Configuration versions, and when the store acknowledged them.
    acknowledged: Vec<(u64, Millis)>,
    /// The newest configuration that the operator has written, even if a restore has lost it.
    newest_routes: RouteMap,
    /// Which zones the operator wants to be evacuated.
    wanted_evacuations: Vec<bool>,
    mutation: Option<Mutation>,
    violations: Vec<Violation>,
    final_calls: usize,
    trace: TraceOptions,
}

impl World {
    pub fn new(seed: u64, faults: FaultPlan, mutation: Option<Mutation>) -> Self {
        let mut draw = SeededDraw::new(seed);
        let mut plan = SitePlan::draw(&mut draw);
        match FaultSeries::of(seed) {
            FaultSeries::ZoneFaults | FaultSeries::Restores => plan.add_cold_limits(&mut draw),
            FaultSeries::RestingFlows => plan.add_resting_flows(&mut draw),
            FaultSeries::CallerLosses => plan.add_busy_caller(&mut draw),
            FaultSeries::NewRoutes | FaultSeries::Joins | FaultSeries::StaleSeeds => {
                plan.add_spares(&mut draw);
            }
            FaultSeries::UplinkLosses => plan.gather_callers(&mut draw),
            FaultSeries::BrokenEntries | FaultSeries::LateProcessors => {
                plan.add_resting_flows(&mut draw);
            }
            FaultSeries::FewFlows => plan.make_trickle(&mut draw),
            FaultSeries::Ordinary
            | FaultSeries::BackendRestarts
            | FaultSeries::Cuts
            | FaultSeries::Growths => {}
        }
        let slow = Some(SLOW_LINK).filter(|_| plan.has_slow_links);
        let links = slow.map(|limits: LinkLimits| LinkTable::new(plan.balancers, limits));
        let faults = faults::expand(&faults.faults, &plan);
        let mut world = Self {
            draw,
            seed,
            base: Instant::now(),
            now: 0,
            queue: EventQueue::default(),
            store: FakeStore::default(),
            store_disturbed_at: 0,
            entries_lapse_while_away: false,
            balancers: (0..plan.balancers)
                .map(|number| Balancer::new(plan.is_founder(number)))
                .collect(),
            peer_seeds: (0..plan.balancers.min(SEED_COUNT)).map(balancer_address).collect(),
            links,
            router: RouterTable::new(&plan),
            cut_zones: vec![false; plan.zones],
            zone_cut_until: vec![0; plan.zones],
            link_losses: BTreeMap::new(),
            evacuated_since: vec![None; plan.zones],
            backends: BTreeMap::new(),
            flows: Vec::new(),
            flow_numbers: HashMap::new(),
            faults,
            wanted_routes: (0..ADDRESS_COUNT).map(|n| (service_address(n), n % 2)).collect(),
            dropped_at: BTreeMap::new(),
            ever_allowed: BTreeSet::new(),
            added_addresses: Vec::new(),
            acknowledged: Vec::new(),
            newest_routes: RouteMap::default(),
            wanted_evacuations: vec![false; plan.zones],
            mutation,
            violations: Vec::new(),
            final_calls: 0,
            trace: TraceOptions::from_environment(),
            plan,
        };

        world.set_up();
        world
    }

    fn set_up(&mut self) {
        self.store.hides_drains = self.mutation == Some(Mutation::HideDrains);
        self.store.hides_evacuations = self.mutation == Some(Mutation::HideEvacuations);
        self.store.hides_cold = self.mutation == Some(Mutation::HideCold);
        self.store.hides_incarnations = self.mutation == Some(Mutation::HideBirths);
        self.write_configuration();
        for service in 0..SERVICES.len() {
            for zone in 0..self.plan.zones {
                for _ in 0..self.plan.backends_each {
                    self.add_backend(service, zone, None);
                }
            }
        }
        for balancer in 0..self.plan.balancers - self.plan.spares {
            self.start_balancer(balancer);
        }
        self.queue.add(1, Event::StoreScan);
        self.queue.add(2, Event::Probe);
        for caller in 0..self.plan.callers_each * self.plan.zones {
            for _ in 0..self.plan.traffic.profile(caller).flows {
                let later = u64::try_from(self.draw.below(1_000)).expect("the number fits");
                self.queue.add(CALLERS_AT + later, Event::CallerStart(caller));
            }
        }
        for (number, fault) in self.faults.iter().enumerate() {
            self.queue.add(fault.at, Event::FaultBegins(number));
            self.queue.add(fault.at + fault.for_ms, Event::FaultEnds(number));
        }
    }

    /// Describes the seed's deployment for a trace.
    pub fn describe(&self) -> String {
        let backends = self.backends.values();
        let backends: Vec<_> =
            backends.map(|b| format!("{:x} in zone {}", b.instance, b.zone)).collect();

        format!("{:?}; {}", self.plan, backends.join(", "))
    }

    /// Runs the simulation to its end; returns the violations.
    pub fn run(mut self) -> Vec<Violation> {
        while let Some((at, event)) = self.queue.next() {
            if at > END_AT {
                break;
            }
            self.now = at;
            self.handle(event);
        }

        self.check_end();
        self.violations
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(balancer) => self.wake(balancer),
            Event::Message(from, to, message) => self.deliver_message(from, to, message),
            Event::Packet(balancer, flow, packet) => self.on_packet(balancer, flow, packet),
            Event::Forwarded { .. } => self.on_forwarded(event),
            Event::RequestDone(instance, flow) => self.on_request_done(instance, flow),
            Event::Answer(flow, answer) => self.on_answer(flow, answer),
            Event::CallerTimer(flow) => self.on_caller_timer(flow),
            Event::CallerStart(caller) => self.open_flow(caller),
            Event::StoreScan => self.scan_store(),
            Event::Probe => self.probe(),
            Event::OperatorRewrites => self.rewrite_lost_state(),
            Event::FaultBegins(number) => self.begin_fault(number),
            Event::FaultEnds(number) => self.end_fault(number),
        }
    }

    /// Returns the present simulated time as the instant that is passed to the policy.
    fn instant(&self) -> Instant {
        self.base + Duration::from_millis(self.now)
    }

    fn millis_of(&self, instant: Instant) -> Millis {
        let since = instant.saturating_duration_since(self.base);

        Millis::try_from(since.as_micros().div_ceil(1_000)).unwrap_or(Millis::MAX)
    }

    /// Writes the operator's desired configuration to the store, as a new version.
    fn write_configuration(&mut self) {
        let version = self.newest_routes.version + 1 + self.draw.next_number() % 3;
        let routes = self.wanted_routes.iter().map(|(address, service)| {
            let service = SERVICES[*service].to_owned();
            (*address, vec![RouteTarget { service, weight: 1 }])
        });

        let map = RouteMap {
            version,
            routes: routes.collect(),
            idle_timeout_ms: 15_000,
            cold_rates: self.plan.places.map_or_else(HashMap::new, |places| {
                SERVICES.map(|service| (service.to_owned(), places.rate)).into()
            }),
            ..Default::default()
        };
        self.newest_routes = map.clone();
        self.store.put_routes(map);
        self.acknowledged.push((version, self.now));
        self.ever_allowed
            .extend(self.wanted_routes.iter().map(|(address, service)| (*address, *service)));
    }

    /// Starts a backend server at the given address, or else at a new one.
    fn add_backend(&mut self, service: usize, zone: usize, address: Option<SocketAddrV4>) {
        let number = u64::try_from(self.backends.len()).expect("the count fits") + 1;
        let instance = 0xab_0000_0000 + number * 0x1_0001;
        let address = address.unwrap_or_else(|| backend_address(number));

        let mut backend = Backend::new(instance, service, zone, address);
        backend.last_written_at = self.now;
        backend.cold_until = self.cold_until();
        // While the store is not reachable, the periodic writes store the entry later.
        if self.can_reach_store(zone) {
            self.store.put_entry(backend.entry(self.base), self.now);
        }
        self.backends.insert(instance, backend);
    }

    /// Returns the end of the cold phase of a backend server that starts now. Returns None before
    /// there is traffic, and in deployments without cold starts.
    fn cold_until(&self) -> Option<Millis> {
        let places = self.plan.places.filter(|_| self.now >= CALLERS_AT)?;

        Some(self.now + places.cold_ms)
    }

    fn start_balancer(&mut self, balancer: BalancerNumber) {
        let now = self.instant();
        let seeds = self.peer_seeds.clone();
        self.balancers[balancer].start(balancer, &self.plan, seeds, self.seed, now);

        self.balancers[balancer].wakes_at = self.now;
        self.queue.add(self.now, Event::Wake(balancer));
    }

    /// Reports whether packets pass between two zones.
    fn is_connected(&self, one: usize, other: usize) -> bool {
        one == other || !self.cut_zones[one] && !self.cut_zones[other]
    }

    fn can_reach_store(&self, zone: usize) -> bool {
        !self.cut_zones[zone] && self.store.mode == crate::store::StoreMode::Answers
    }
}
