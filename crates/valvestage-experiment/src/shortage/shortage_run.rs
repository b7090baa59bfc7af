//! A run: events in order of time, faults and balancers.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use valvestage_policy::rendezvous::mix;
use valvestage_policy::steering::{
    AdmissionOptions, EntryPolicy, EntryTimes, FlowAddresses, PacketVerdict, SteeringOptions,
};
use valvestage_standins::seeded_rng::SeededRng;

use super::ShortageOptions;
use super::backend_server::{BackendServer, CONNECTION_LIMIT};
use super::caller_flow::{CallerFlow, CallerRequest, FlowId, FlowState};
use super::run_tally::RunTally;
use super::shortage_event::{Event, FaultStep, Notice, SentPacket};
use super::shortage_scenario::{FAULT_AT, ShortageScenario};
use super::traffic_class::{CLASSES, RATED_SERVERS};
use crate::event_queue::EventQueue;
use crate::fleet::simulation::FleetSimulation;
use crate::fleet::store::{FleetStore, service_address};

/// One-way delays between a caller and a balancer or backend server, and from a balancer to a
/// backend server.
pub const CALLER_DELAY: Duration = Duration::from_millis(3);
const SERVER_DELAY: Duration = Duration::from_micros(1_400);

/// Interval between two heartbeats of a backend server.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Traffic before the measured span.
const WARM_UP: Duration = Duration::from_secs(5);

/// Maximum time that the balancers get to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Share of a service's capacity that each priority gets at least: the default of the settings.
const ADMISSION_FLOOR: f64 = 0.05;

/// Backend servers of both services in the simulation of a number of balancers. The service of the
/// callers has four fifths of them. The large fleets have fewer than ten for each balancer, so that
/// a run takes less than two minutes.
fn server_count(balancers: usize) -> usize {
    match balancers {
        ..30 => 50,
        30..200 => 150,
        200..600 => 375,
        _ => 600,
    }
}

/// State of a run.
pub struct ShortageRun {
    pub(super) scenario: ShortageScenario,
    pub(super) rng: SeededRng,
    pub(super) queue: EventQueue<Event>,
    pub(super) flows: Vec<CallerFlow>,
    pub(super) requests: Vec<CallerRequest>,
    /// Long flows without a request, the one whose last request is longest ago first. Some may be
    /// closed already.
    pub(super) idle_flows: VecDeque<FlowId>,
    /// Backend servers, by the index of their entries.
    pub(super) servers: Vec<BackendServer>,
    pub(super) tally: RunTally,
    /// Requests per second of all classes at usual load, as a multiple of the rated ones.
    pub(super) scale: f64,
    /// Start of the measured span.
    pub(super) origin: Duration,
    flow_ids: HashMap<FlowAddresses, FlowId>,
    fleet: FleetSimulation,
}

impl ShortageRun {
    /// Starts the balancers and waits until they are ready.
    pub fn new(balancers: usize, scenario: ShortageScenario, options: &ShortageOptions) -> Self {
        let servers = server_count(balancers);
        let mut fleet = FleetSimulation::new(balancers, servers);
        fleet.seed = options.seed;
        fleet.steering = SteeringOptions {
            admission: options.admission.then_some(AdmissionOptions { floor: ADMISSION_FLOOR }),
            shares_pace: options.pace,
            entry_times: EntryTimes::new(HEARTBEAT),
            ..Default::default()
        };
        let classes = CLASSES.map(|class| (service_address(class.address), class.class));
        fleet.store.classify(&classes, CONNECTION_LIMIT);
        (0..balancers).for_each(|node| fleet.start(node, true));
        fleet.run_until(balancers, START_TIMEOUT, EntryPolicy::is_ready);

        let serving = (0..servers).filter(|index| FleetStore::runs_first_service(*index)).count();
        let origin = fleet.now() + WARM_UP;
        Self {
            scenario,
            rng: SeededRng::new(options.seed),
            queue: EventQueue::new(),
            flows: Vec::new(),
            requests: Vec::new(),
            idle_flows: VecDeque::new(),
            servers: (0..servers).map(|_| BackendServer::new()).collect(),
            tally: RunTally::new(scenario, serving),
            scale: serving as f64 / RATED_SERVERS,
            origin,
            flow_ids: HashMap::new(),
            fleet,
        }
    }

    /// Plays the scenario, and returns what was counted.
    pub fn finish(mut self) -> RunTally {
        let origin = self.origin;
        let fault_end = origin + self.scenario.fault_end();
        let end = origin + self.scenario.length();
        let (begin, lapse) = (origin + FAULT_AT, origin + FAULT_AT + HEARTBEAT * 3);
        (0..CLASSES.len()).for_each(|class| self.queue.add(self.now(), Event::Arrive(class)));
        self.queue.add(begin, Event::Fault(FaultStep::Begin));
        self.queue.add(lapse, Event::Fault(FaultStep::Lapse));
        self.queue.add(fault_end, Event::Fault(FaultStep::End));

        self.play_until(origin);
        let before = self.fleet.usage.clone();
        self.play_until(end);
        self.tally.set_usage(&before, &self.fleet.usage);
        // Requests that began in the measured span are played to their end.
        let longest = CLASSES.iter().map(|class| class.timeout()).max().unwrap_or_default();
        self.play_until(end + longest);
        self.tally
    }

    fn play_until(&mut self, end: Duration) {
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.run_fleet(at);
            self.handle(event);
        }
        self.run_fleet(end);
    }

    /// Lets the balancers run up to a time, and sends on the resets that they issue.
    fn run_fleet(&mut self, at: Duration) {
        self.fleet.run(at - self.fleet.now());

        for reset in self.fleet.take_resets() {
            if let Some(flow) = self.flow_ids.get(&reset.flow).copied() {
                self.reset_open_flow(flow);
            }
        }
    }

    /// Returns the simulated time.
    pub(super) fn now(&self) -> Duration {
        self.fleet.now()
    }

    /// Returns the time since the start of the measured span, 0 before.
    pub(super) fn measured_time(&self) -> Duration {
        self.now().saturating_sub(self.origin)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(class) => self.arrive(class),
            Event::Steer(sent) => self.steer(sent),
            Event::Receive { server, token, sent } => self.receive(server, token, sent),
            Event::Finish { server, starts, flow, request } => {
                self.finish_request(server, starts, flow, request);
            }
            Event::Notify(flow, notice) => self.on_notice(flow, notice),
            Event::ResendOpening(flow, copies) => self.resend_opening(flow, copies),
            Event::ResendData(flow, request, delay) => self.resend_data(flow, request, delay),
            Event::Expire(request) => self.expire(request),
            Event::Fault(step) => self.apply_fault(step),
        }
    }

    /// Records the addresses of a new flow, so that resets find it.
    pub(super) fn add_flow(&mut self, flow: CallerFlow) -> FlowId {
        let id = self.flows.len();

        self.flow_ids.insert(flow.addresses, id);
        self.flows.push(flow);
        id
    }

    /// Decides about a packet at the balancer that gets all packets of its flow.
    fn steer(&mut self, sent: SentPacket) {
        let node = node_of(&sent.packet.flow, self.fleet.nodes.len());
        let begun_at = Instant::now();
        let Some(verdict) = self.fleet.on_packet(node, &sent.packet) else { return };
        if sent.packet.opening {
            self.tally.count_decision(begun_at.elapsed());
        }

        match verdict {
            PacketVerdict::Forward { number, token, .. } => {
                let server = FleetStore::index_of(number);
                let event = Event::Receive { server, token, sent };
                self.queue.add(self.now() + SERVER_DELAY, event);
            }
            PacketVerdict::Reset(_) if sent.packet.opening => {
                self.queue
                    .add(self.now() + CALLER_DELAY, Event::Notify(sent.flow, Notice::Refused));
            }
            PacketVerdict::Reset(_) => self.reset_open_flow(sent.flow),
            PacketVerdict::Drop(_) => {}
        }
    }

    /// Sends a balancer's reset to the caller of an open flow, and counts it if the backend server
    /// of the flow lives.
    fn reset_open_flow(&mut self, flow: FlowId) {
        if let FlowState::Open(server) = self.flows[flow].state
            && self.servers[server].holds(flow)
        {
            self.tally.count_wrong_reset();
        }

        self.queue.add(self.now() + CALLER_DELAY, Event::Notify(flow, Notice::Reset));
    }

    fn apply_fault(&mut self, step: FaultStep) {
        let serving: Vec<_> = (0..self.servers.len())
            .filter(|index| FleetStore::runs_first_service(*index))
            .collect();

        for (rank, index) in serving.iter().copied().enumerate() {
            let is_down = is_selected(rank, self.scenario.down_share);
            let is_slow = is_selected(rank, self.scenario.slow_share);
            let server = &mut self.servers[index];
            match step {
                FaultStep::Begin if is_down => server.stop(),
                FaultStep::Begin if is_slow => server.slow_factor = self.scenario.slow_factor,
                FaultStep::Lapse if is_down => self.fleet.store.delete(index),
                FaultStep::End if is_down => {
                    server.is_up = true;
                    self.fleet.store.restart(index);
                }
                FaultStep::End => server.slow_factor = 1.0,
                _ => {}
            }
        }
    }
}

/// Reports whether a fault affects the backend server of a rank, so that a share of them is
/// affected, evenly spread.
fn is_selected(rank: usize, share: f64) -> bool {
    ((rank + 1) as f64 * share).floor() > (rank as f64 * share).floor()
}

/// Returns the balancer that the network chooses for a flow.
fn node_of(flow: &FlowAddresses, nodes: usize) -> usize {
    let ends = (u64::from(u32::from(*flow.caller.ip())) << 16) | u64::from(flow.caller.port());
    let draw = mix(ends, u64::from(flow.service.port())) % (nodes as u64);

    usize::try_from(draw).unwrap_or(0)
}
