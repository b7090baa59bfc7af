//! Flows through eight directors, packet by packet.

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
use super::flow_way::FlowWay;
use crate::deployment::{BALANCERS, backend, configuration, start, zone_name};
use valvestage_standins::seeded_rng::SeededRng;

const FLOWS: usize = 20_000;
const SERVICE: u16 = 1;
const SEED: u64 = 42;

/// Packets of each flow after the change has begun.
const PACKETS: usize = 10;

/// When the change begins, and until when packets are sent, milliseconds.
const CHANGE_AT: u64 = 1_000;
const UNTIL: u64 = 9_000;

/// Time in which a change reaches the balancers.
const SPREAD: u64 = 2_000;

/// A loss is noticed after this, and a bit later by some.
const NOTICED_AFTER: u64 = 2_000;
const NOTICED_SPREAD: u64 = 500;

/// The balancer that stops or is killed, and the one that joins.
const GOING: BalancerId = 3;
const COMING: BalancerId = 20;

/// `Outcome` is what became of the flows.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    broken: usize,
}

impl Outcome {
    /// `broken_per_10_000` gives the measure of the brief.
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
    /// The process that stops as planned ends.
    End,
}

#[derive(Debug, Clone, Default)]
struct Flow {
    key: FlowKey,
    token: Option<FlowToken>,
    backend: Option<BackendId>,
    is_broken: bool,
}

struct Model {
    way: FlowWay,
    change: Change,
    ids: Vec<BalancerId>,
    directors: Vec<FlowDirector>,
    keys: TokenKeys,
    /// For the baseline that has no director: the configuration of each balancer.
    versions: Vec<Arc<Configuration>>,
    next: Arc<Configuration>,
    flows: Vec<Flow>,
    draws: SeededRng,
    dead: Option<usize>,
}

/// `run` lets the flows live through a change.
pub fn run(way: FlowWay, change: Change) -> Outcome {
    let mut model = Model::new(way, change);

    for (at, event) in model.timeline() {
        let now = start() + Duration::from_millis(at);
        model.handle(now, &event);
    }
    Outcome { broken: model.flows.iter().filter(|flow| flow.is_broken).count() }
}

fn zone_of(id: BalancerId) -> String {
    zone_name(id as usize % 3)
}

fn view(ids: impl IntoIterator<Item = BalancerId>) -> LiveView {
    LiveView::new(ids.into_iter().map(|id| (id, zone_of(id))))
}

impl Model {
    fn new(way: FlowWay, change: Change) -> Self {
        let records: Vec<_> = (1..=14).map(|id| backend(id, SERVICE, 3, 3)).collect();
        let first = Arc::new(configuration(1, 1, records.clone()));
        let next = Arc::new(configuration(2, 1, change.apply(&records)));
        let raw = RawTokenKeys { flow_hash: (1, 2), current: 1, keys: vec![(1, 3, 4)] };
        let keys = TokenKeys::new(1, raw);

        let mut ids: Vec<BalancerId> = (1..=BALANCERS).collect();
        if change == Change::BalancerJoins {
            ids.push(COMING);
        }
        let directors = ids.iter().map(|id| {
            let options = FlowOptions { layers: way.layers(), expected_flows: FLOWS / 4 };
            let mut director = FlowDirector::new(*id, options);
            director.install_configuration(first.clone());
            director.install_keys(keys.clone());
            director.install_view(view(1..=BALANCERS));
            director
        });

        Self {
            way,
            change,
            directors: directors.collect(),
            versions: vec![first; ids.len()],
            ids,
            keys,
            next,
            flows: vec![Flow::default(); FLOWS],
            draws: SeededRng::new(SEED),
            dead: None,
        }
    }

    fn timeline(&mut self) -> Vec<(u64, Event)> {
        let mut events = Vec::new();

        for flow in 0..FLOWS {
            events.push((self.draws.next_u64() % CHANGE_AT, Event::Open(flow)));
            for _ in 0..PACKETS {
                let at = CHANGE_AT + self.draws.next_u64() % (UNTIL - CHANGE_AT);
                events.push((at, Event::Packet(flow)));
            }
        }
        for index in 0..self.ids.len() {
            let heard = CHANGE_AT + self.draws.next_u64() % SPREAD;
            if self.change.changes_backends() {
                events.push((heard, Event::Configuration(index)));
            }
            if self.change.stops_balancer() || self.change == Change::BalancerJoins {
                events.push((CHANGE_AT + self.draws.next_u64() % SPREAD, Event::View(index)));
            }
            if let Some(killed) = self.change.kills_at() {
                let noticed = NOTICED_AFTER + self.draws.next_u64() % NOTICED_SPREAD;
                events.push((CHANGE_AT + killed + noticed, Event::View(index)));
            }
        }
        if let Some(killed) = self.change.kills_at() {
            events.push((CHANGE_AT + killed, Event::Kill));
        }
        if self.change.stops_balancer() {
            events.push((CHANGE_AT + 2 * SPREAD, Event::End));
        }

        events.sort_by_key(|(at, _)| *at);
        events
    }

    fn handle(&mut self, now: SystemTime, event: &Event) {
        match event {
            Event::Open(flow) => self.open(now, *flow),
            Event::Packet(flow) => self.packet(now, *flow),
            Event::Configuration(index) => {
                self.versions[*index] = self.next.clone();
                self.directors[*index].install_configuration(self.next.clone());
                self.copy_exceptions(now, *index);
            }
            Event::View(index) => self.install_view(now, *index),
            Event::Kill | Event::End => self.dead = self.place_of(GOING),
        }
    }

    fn install_view(&mut self, now: SystemTime, index: usize) {
        let members = self.ids.iter().copied();
        let next = if self.change == Change::BalancerJoins {
            view(members)
        } else if self.change.stops_balancer() {
            view(members.filter(|id| *id != GOING)).with_leaving([GOING])
        } else {
            view(members.filter(|id| *id != GOING))
        };

        self.directors[index].install_view(next);
        self.copy_exceptions(now, index);
    }

    fn copy_exceptions(&mut self, now: SystemTime, index: usize) {
        if !self.way.copies() || self.dead == Some(index) {
            return;
        }
        let director = &self.directors[index];
        let view = director.view().clone();
        let Some(finder) = ExceptionFinder::new(self.ids[index], director.history(), view) else {
            return;
        };

        for (target, bindings) in finder.copies(&director.bindings()) {
            let place = self.place_of(target).filter(|place| self.dead != Some(*place));
            for binding in place.iter().flat_map(|_| &bindings) {
                self.directors[place.unwrap_or(0)].on_binding(now, *binding);
            }
        }
    }

    fn place_of(&self, id: BalancerId) -> Option<usize> {
        self.ids.iter().position(|known| *known == id)
    }

    fn open(&mut self, now: SystemTime, flow: usize) {
        let number = u32::try_from(flow).unwrap_or(0);
        let caller = SocketAddr::new(Ipv4Addr::from(0xc612_0000 + number).into(), 4_000);
        let key = self.keys.hasher().key(caller, SERVICE);
        self.flows[flow].key = key;

        let Some(Some(backend)) = self.send(now, flow, true) else {
            return;
        };
        self.flows[flow].backend = Some(backend);
        let record = self.next.backend(backend).or_else(|| self.versions[0].backend(backend));
        if self.way.echoes() {
            self.flows[flow].token = record.and_then(|record| self.keys.issue(key, record));
        }
    }

    fn packet(&mut self, now: SystemTime, flow: usize) {
        if self.flows[flow].backend.is_none() {
            return;
        }

        // A packet that gets lost breaks nothing: the caller sends the next one.
        if let Some(reached) = self.send(now, flow, false) {
            self.flows[flow].is_broken |= reached != self.flows[flow].backend;
        }
    }

    /// The backend server that a packet reaches; none inside if it is refused, none outside if it
    /// gets lost.
    fn send(&mut self, now: SystemTime, flow: usize, opening: bool) -> Option<Option<BackendId>> {
        // The fabric stops spraying to a balancer that is gone.
        let mut at = self.draws.below(BALANCERS as usize);
        if self.dead == Some(at) {
            at = (at + 1) % BALANCERS as usize;
        }
        let Flow { key, token, .. } = self.flows[flow];
        if self.way == FlowWay::Modulo {
            let eligible = self.versions[at].eligible(SERVICE);
            let place = usize::try_from(key % eligible.len() as u64).unwrap_or(0);
            return Some(Some(eligible[place]));
        }

        let mut hop = RelayHeader::FIRST;
        loop {
            if self.dead == Some(at) {
                return None;
            }
            let packet = FlowPacket { key, service: SERVICE, opening, closing: false, token, hop };
            match self.directors[at].decide(now, &packet) {
                FlowVerdict::Forward { backend, reply_with_binding, .. } => {
                    // Backend servers answer at once here.
                    self.directors[at].on_packet_from(backend);
                    let home = self.directors[at].view().home(key);
                    if let Some(home) =
                        home.filter(|_| reply_with_binding).and_then(|id| self.place_of(id))
                    {
                        self.directors[home].on_binding(now, Binding { key, backend });
                    }
                    return Some(Some(backend));
                }
                FlowVerdict::Relay { peer, hop: next } => {
                    at = self.place_of(peer)?;
                    hop = next;
                }
                FlowVerdict::Refuse(_) => return Some(None),
                FlowVerdict::Drop(_) => return None,
            }
        }
    }
}
