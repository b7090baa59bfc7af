//! Packet-level simulation of flows through the flow directors of eight balancers.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use valvestage_core::Configuration;
use valvestage_core::ids::{BackendId, BalancerId, FlowKey};
use valvestage_policy::flows::{
    Binding, ExceptionFinder, FlowDirector, FlowOptions, FlowPacket, FlowToken, FlowVerdict,
    RawTokenKeys, RelayHeader, TokenKeys,
};
use valvestage_policy::membership::LiveView;

use super::change::Change;
use super::flow_strategy::FlowStrategy;
use crate::deployment::{BALANCERS, backend, configuration, start_time, zone_name};
use valvestage_standins::seeded_rng::SeededRng;

const FLOWS: usize = 20_000;
const SERVICE: u16 = 1;
const SEED: u64 = 42;

/// Number of packets of each flow after the start of the change.
const PACKETS_PER_FLOW: usize = 10;

/// Start of the change and end of the packets, in milliseconds from the start of the model.
const CHANGE_START_MS: u64 = 1_000;
const PACKETS_END_MS: u64 = 9_000;

/// Milliseconds within which a change reaches all balancers.
const PROPAGATION_MS: u64 = 2_000;

/// Milliseconds until the first balancer detects a failed one, and the spread of the detection
/// times.
const FAILURE_DETECTION_MS: u64 = 2_000;
const FAILURE_DETECTION_SPREAD_MS: u64 = 500;

/// The balancer that leaves or is killed, and the balancer that joins.
const LEAVING_BALANCER: BalancerId = 3;
const JOINING_BALANCER: BalancerId = 20;

/// Result of a run.
#[derive(Debug, Clone, Copy)]
pub struct FlowOutcome {
    broken: usize,
}

impl FlowOutcome {
    /// Returns the number of broken flows per 10,000 flows.
    pub fn broken_per_10_000(self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let share = self.broken as f64 / FLOWS as f64;

        share * 10_000.0
    }
}

#[derive(Debug, Clone)]
enum Event {
    Open(usize),
    Packet(usize),
    Configuration(usize),
    View(usize),
    Kill,
    /// The process of the balancer that leaves as planned exits.
    Exit,
}

#[derive(Debug, Clone, Default)]
struct Flow {
    key: FlowKey,
    token: Option<FlowToken>,
    backend: Option<BackendId>,
    is_broken: bool,
}

struct Model {
    strategy: FlowStrategy,
    change: Change,
    ids: Vec<BalancerId>,
    directors: Vec<FlowDirector>,
    keys: TokenKeys,
    /// Configuration of each balancer, for the baseline that has no director.
    configurations: Vec<Arc<Configuration>>,
    next_configuration: Arc<Configuration>,
    flows: Vec<Flow>,
    rng: SeededRng,
    dead_index: Option<usize>,
}

/// Simulates all flows through a change, and returns how many of them broke.
pub fn run(strategy: FlowStrategy, change: Change) -> FlowOutcome {
    let mut model = Model::new(strategy, change);

    for (at, event) in model.timeline() {
        let now = start_time() + Duration::from_millis(at);
        model.handle(now, &event);
    }
    FlowOutcome { broken: model.flows.iter().filter(|flow| flow.is_broken).count() }
}

fn balancer_zone(id: BalancerId) -> String {
    zone_name(id as usize % 3)
}

fn view(ids: impl IntoIterator<Item = BalancerId>) -> LiveView {
    LiveView::new(ids.into_iter().map(|id| (id, balancer_zone(id))))
}

impl Model {
    fn new(strategy: FlowStrategy, change: Change) -> Self {
        let records: Vec<_> = (1..=14).map(|id| backend(id, SERVICE, 3, 3)).collect();
        let first = Arc::new(configuration(1, 1, records.clone()));
        let next_configuration = Arc::new(configuration(2, 1, change.apply(&records)));
        let raw = RawTokenKeys { flow_hash: (1, 2), current: 1, keys: vec![(1, 3, 4)] };
        let keys = TokenKeys::new(1, raw);

        let mut ids: Vec<BalancerId> = (1..=BALANCERS).collect();
        if change == Change::BalancerJoins {
            ids.push(JOINING_BALANCER);
        }
        let directors = ids.iter().map(|id| {
            let options = FlowOptions { layers: strategy.layers(), expected_flows: FLOWS / 4 };
            let mut director = FlowDirector::new(*id, options);
            director.install_configuration(first.clone());
            director.install_keys(keys.clone());
            director.install_view(view(1..=BALANCERS));
            director
        });

        Self {
            strategy,
            change,
            directors: directors.collect(),
            configurations: vec![first; ids.len()],
            ids,
            keys,
            next_configuration,
            flows: vec![Flow::default(); FLOWS],
            rng: SeededRng::new(SEED),
            dead_index: None,
        }
    }

    fn timeline(&mut self) -> Vec<(u64, Event)> {
        let mut events = Vec::new();

        for flow in 0..FLOWS {
            events.push((self.rng.next_u64() % CHANGE_START_MS, Event::Open(flow)));
            for _ in 0..PACKETS_PER_FLOW {
                let at = CHANGE_START_MS + self.rng.next_u64() % (PACKETS_END_MS - CHANGE_START_MS);
                events.push((at, Event::Packet(flow)));
            }
        }
        for index in 0..self.ids.len() {
            let learned_at = CHANGE_START_MS + self.rng.next_u64() % PROPAGATION_MS;
            if self.change.changes_backends() {
                events.push((learned_at, Event::Configuration(index)));
            }
            if self.change.has_planned_stop() || self.change == Change::BalancerJoins {
                events.push((
                    CHANGE_START_MS + self.rng.next_u64() % PROPAGATION_MS,
                    Event::View(index),
                ));
            }
            if let Some(kill_delay) = self.change.kill_delay_ms() {
                let detection_delay =
                    FAILURE_DETECTION_MS + self.rng.next_u64() % FAILURE_DETECTION_SPREAD_MS;
                events.push((CHANGE_START_MS + kill_delay + detection_delay, Event::View(index)));
            }
        }
        if let Some(kill_delay) = self.change.kill_delay_ms() {
            events.push((CHANGE_START_MS + kill_delay, Event::Kill));
        }
        if self.change.has_planned_stop() {
            events.push((CHANGE_START_MS + 2 * PROPAGATION_MS, Event::Exit));
        }

        events.sort_by_key(|(at, _)| *at);
        events
    }

    fn handle(&mut self, now: SystemTime, event: &Event) {
        match event {
            Event::Open(flow) => self.open_flow(now, *flow),
            Event::Packet(flow) => self.send_packet(now, *flow),
            Event::Configuration(index) => {
                self.configurations[*index] = self.next_configuration.clone();
                self.directors[*index].install_configuration(self.next_configuration.clone());
                self.copy_exceptions(now, *index);
            }
            Event::View(index) => self.install_view(now, *index),
            Event::Kill | Event::Exit => self.dead_index = self.index_of(LEAVING_BALANCER),
        }
    }

    fn install_view(&mut self, now: SystemTime, index: usize) {
        let members = self.ids.iter().copied();
        let next_view = if self.change == Change::BalancerJoins {
            view(members)
        } else if self.change.has_planned_stop() {
            view(members.filter(|id| *id != LEAVING_BALANCER)).with_leaving([LEAVING_BALANCER])
        } else {
            view(members.filter(|id| *id != LEAVING_BALANCER))
        };

        self.directors[index].install_view(next_view);
        self.copy_exceptions(now, index);
    }

    fn copy_exceptions(&mut self, now: SystemTime, index: usize) {
        if !self.strategy.copies_exceptions() || self.dead_index == Some(index) {
            return;
        }
        let director = &self.directors[index];
        let view = director.view().clone();
        let Some(finder) = ExceptionFinder::new(self.ids[index], director.history(), view) else {
            return;
        };

        for (target, bindings) in finder.copies(&director.bindings()) {
            let target_index =
                self.index_of(target).filter(|target_index| self.dead_index != Some(*target_index));
            for binding in target_index.iter().flat_map(|_| &bindings) {
                self.directors[target_index.unwrap_or(0)].on_binding(now, *binding);
            }
        }
    }

    fn index_of(&self, id: BalancerId) -> Option<usize> {
        self.ids.iter().position(|known| *known == id)
    }

    fn open_flow(&mut self, now: SystemTime, flow: usize) {
        let number = u32::try_from(flow).unwrap_or(0);
        let caller = SocketAddr::new(Ipv4Addr::from(0xc612_0000 + number).into(), 4_000);
        let key = self.keys.hasher().key(caller, SERVICE);
        self.flows[flow].key = key;

        let Some(Some(backend)) = self.route_packet(now, flow, true) else {
            return;
        };
        self.flows[flow].backend = Some(backend);
        let record = self
            .next_configuration
            .backend(backend)
            .or_else(|| self.configurations[0].backend(backend));
        if self.strategy.echoes_token() {
            self.flows[flow].token = record.and_then(|record| self.keys.issue(key, record));
        }
    }

    fn send_packet(&mut self, now: SystemTime, flow: usize) {
        if self.flows[flow].backend.is_none() {
            return;
        }

        // A lost packet does not break the flow: the caller sends the next one.
        if let Some(reached) = self.route_packet(now, flow, false) {
            self.flows[flow].is_broken |= reached != self.flows[flow].backend;
        }
    }

    /// Sends a packet through the balancers. Returns `Some(Some(..))` with the backend server that
    /// it reaches, `Some(None)` if it is refused, and `None` if it is lost.
    fn route_packet(
        &mut self,
        now: SystemTime,
        flow: usize,
        opening: bool,
    ) -> Option<Option<BackendId>> {
        // The fabric no longer sprays packets to a failed balancer.
        let mut index = self.rng.below(BALANCERS as usize);
        if self.dead_index == Some(index) {
            index = (index + 1) % BALANCERS as usize;
        }
        let Flow { key, token, .. } = self.flows[flow];
        if self.strategy == FlowStrategy::Modulo {
            let eligible = self.configurations[index].eligible(SERVICE);
            let position = usize::try_from(key % eligible.len() as u64).unwrap_or(0);
            return Some(Some(eligible[position]));
        }

        let mut hop = RelayHeader::FIRST;
        loop {
            if self.dead_index == Some(index) {
                return None;
            }
            let packet = FlowPacket { key, service: SERVICE, opening, closing: false, token, hop };
            match self.directors[index].decide(now, &packet) {
                FlowVerdict::Forward { backend, reply_with_binding, .. } => {
                    // Backend servers answer immediately in this model.
                    self.directors[index].on_packet_from(backend);
                    let home = self.directors[index].view().home(key);
                    if let Some(home) =
                        home.filter(|_| reply_with_binding).and_then(|id| self.index_of(id))
                    {
                        self.directors[home].on_binding(now, Binding { key, backend });
                    }
                    return Some(Some(backend));
                }
                FlowVerdict::Relay { peer, hop: next_hop } => {
                    index = self.index_of(peer)?;
                    hop = next_hop;
                }
                FlowVerdict::Refuse(_) => return Some(None),
                FlowVerdict::Drop(_) => return None,
            }
        }
    }
}
