//! Event-driven simulation of balancers, datagrams and calls to the store.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use valvestage_policy::steering::{
    EntryOptions, EntryPolicy, KeeperAction, PeerMessage, SteeringOptions, StoreCall, StoreKind,
    StoreReply,
};

use super::store::{FleetStore, StoreAnswer};
use super::usage::NodeUsage;

/// Delay of a datagram within a zone, and to another zone.
const NEAR: Duration = Duration::from_micros(200);
const FAR: Duration = Duration::from_micros(1_400);

/// Time that the store takes to answer, without the transfer over links.
const STORE: Duration = Duration::from_millis(4);

/// Size in bytes of an entry and of a route, as the store holds them.
const ENTRY_BYTES: usize = 280;
const ROUTE_BYTES: usize = 180;

/// Speed of the store's link in Mbit/s.
const STORE_MBPS: f64 = 1_000.0;

/// Time after which a call to an unreachable store fails, in addition to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval at which the store checks pending calls, among them the waiting watches.
const STORE_SCAN: Duration = Duration::from_millis(5);

/// Speed in Mbit/s of the links of most VMs, and of one VM in twenty.
const LINK_MBPS: f64 = 20.0;
const WIDE_LINK_MBPS: f64 = 1_000.0;
const WIDE_EVERY: usize = 20;

/// Port of all balancers.
const PORT: u16 = 7_000;

/// Availability zones over which the balancers are spread.
const ZONES: [&str; 5] = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"];

/// Event of the simulation.
enum Event {
    /// The policy of a balancer is due for a tick. Carries the balancer.
    Wake(usize),
    /// A datagram arrives. Carries sender, receiver, size in bytes and message.
    Deliver(usize, usize, u64, PeerMessage),
    /// An answer of the store arrives. Carries the balancer and the incarnation that made the call.
    Answer(usize, u32, StoreAnswer),
    /// The store checks its pending calls.
    Scan,
}

struct Timed {
    at: Duration,
    /// Order of insertion, by which events of the same time are handled.
    number: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A call to the store that has no answer yet.
struct OpenCall {
    node: usize,
    life: u32,
    kind: StoreKind,
    call: StoreCall,
    answer_at: Duration,
    ends_at: Duration,
}

/// Simulation of a store and the balancers that use it.
pub struct FleetWorld {
    base: Instant,
    now: Duration,
    number: u64,
    queue: BinaryHeap<Reverse<Timed>>,
    pub store: FleetStore,
    pub nodes: Vec<Option<EntryPolicy>>,
    lives: Vec<u32>,
    wakes_at: Vec<Duration>,
    places: HashMap<SocketAddrV4, usize>,
    calls: Vec<OpenCall>,
    /// Time at which the store's link has sent all answers so far.
    store_busy_until: Duration,
    /// Whether the store refuses the calls of each balancer.
    pub refused: Vec<bool>,
    /// Zone that is partitioned from the other zones and from the store, or `None` if all zones
    /// reach each other.
    pub cut_zone: Option<usize>,
    pub usage: Vec<NodeUsage>,
}

impl FleetWorld {
    /// Creates a simulation in which no balancer runs yet.
    pub fn new(balancers: usize, backends: usize) -> Self {
        let zones: Vec<_> = ZONES.iter().map(|zone| (*zone).to_owned()).collect();
        let mut world = Self {
            base: Instant::now(),
            now: Duration::ZERO,
            number: 0,
            queue: BinaryHeap::new(),
            store: FleetStore::new(backends, &zones),
            nodes: (0..balancers).map(|_| None).collect(),
            lives: vec![0; balancers],
            wakes_at: vec![Duration::MAX; balancers],
            places: (0..balancers).map(|node| (node_address(node), node)).collect(),
            calls: Vec::new(),
            store_busy_until: Duration::ZERO,
            refused: vec![false; balancers],
            cut_zone: None,
            usage: vec![NodeUsage::default(); balancers],
        };

        world.add(STORE_SCAN, Event::Scan);
        world
    }

    /// Returns the simulated time since the simulation began.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Starts a balancer with empty state.
    pub fn start(&mut self, node: usize, is_first_start: bool) {
        let seeds = [0, 1, 2].map(|seed| node_address(seed * self.nodes.len() / 3));
        let options = EntryOptions {
            steering: SteeringOptions {
                zone: ZONES[zone_of(node)].to_owned(),
                ..Default::default()
            },
            peer_address: node_address(node),
            seeds: seeds.to_vec(),
            link_mbps: link_mbps(node),
            evacuable_zones: None,
            is_first_start,
            seed: 77 + u64::try_from(node).unwrap_or(0) + (u64::from(self.lives[node]) << 32),
        };

        self.nodes[node] = Some(EntryPolicy::new(options, self.instant()));
        self.wakes_at[node] = self.now;
        self.add(self.now, Event::Wake(node));
    }

    /// Kills a balancer, with its pending calls to the store.
    pub fn stop(&mut self, node: usize) {
        self.nodes[node] = None;
        self.lives[node] += 1;
        self.wakes_at[node] = Duration::MAX;
        self.calls.retain(|call| call.node != node);
    }

    /// Simulates a span of time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;

        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > end {
                self.queue.push(Reverse(next));
                break;
            }
            self.now = next.at;
            self.handle(next.event);
        }
        self.now = end;
    }

    /// Simulates until a number of balancers satisfy a condition, and returns the time that this
    /// took, or `None` if they do not within the limit.
    pub fn run_until(
        &mut self,
        enough: usize,
        limit: Duration,
        holds: impl Fn(&EntryPolicy) -> bool,
    ) -> Option<Duration> {
        let begin = self.now;

        while self.nodes.iter().flatten().filter(|node| holds(node)).count() < enough {
            if self.now - begin >= limit {
                return None;
            }
            self.run(Duration::from_millis(20));
        }
        Some(self.now - begin)
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn add(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.queue.push(Reverse(Timed { at, number: self.number, event }));
    }

    fn handle(&mut self, event: Event) {
        let now = self.instant();

        match event {
            Event::Wake(node) if self.wakes_at[node] <= self.now => {
                self.step(node, |policy| policy.on_tick(now));
            }
            Event::Wake(_) => {}
            Event::Deliver(from, to, bytes, message) => {
                if self.nodes[to].is_some() && self.is_joined(from, to) {
                    self.usage[to].received_bytes += bytes;
                    self.step(to, |policy| policy.on_message(node_address(from), message, now));
                }
            }
            Event::Answer(node, life, answer) => {
                if life == self.lives[node] {
                    self.reply(node, answer);
                }
            }
            Event::Scan => self.scan(),
        }
    }

    /// Calls a balancer's policy, records the processor time of the call, schedules the next tick
    /// and performs the actions that the policy returns.
    fn step(&mut self, node: usize, act: impl FnOnce(&mut EntryPolicy) -> Vec<KeeperAction>) {
        let Some(policy) = &mut self.nodes[node] else { return };
        let begun_at = Instant::now();
        let actions = act(policy);
        drop(policy.take_decisions());
        self.usage[node].busy += begun_at.elapsed();

        let due = policy.next_due().saturating_duration_since(self.base);
        let due = due.max(self.now + Duration::from_micros(100));
        if due < self.wakes_at[node] || self.wakes_at[node] <= self.now {
            self.wakes_at[node] = due;
            self.add(due, Event::Wake(node));
        }
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: KeeperAction) {
        match action {
            KeeperAction::Tell(peer, message) => {
                let Some(to) = self.places.get(&peer).copied() else { return };
                let bytes = postcard::experimental::serialized_size(&message).unwrap_or_default();
                let bytes = u64::try_from(bytes).unwrap_or_default() + 1;
                let is_near = zone_of(node) == zone_of(to);
                let usage = &mut self.usage[node];
                usage.sent += 1;
                usage.sent_bytes += bytes;
                usage.far_bytes += if is_near { 0 } else { bytes };
                let delay = if is_near { NEAR } else { FAR };
                self.add(self.now + delay, Event::Deliver(node, to, bytes, message));
            }
            KeeperAction::Call(kind, call) => {
                self.usage[node].calls += 1;
                let wait = match &call {
                    StoreCall::List { .. } => Duration::ZERO,
                    StoreCall::Watch { wait, .. } => *wait,
                };
                self.calls.push(OpenCall {
                    node,
                    life: self.lives[node],
                    kind,
                    call,
                    answer_at: self.now + STORE,
                    ends_at: self.now + wait,
                });
            }
        }
    }

    /// Reports whether two balancers can reach each other.
    fn is_joined(&self, one: usize, other: usize) -> bool {
        let is_cut = |node| Some(zone_of(node)) == self.cut_zone;

        is_cut(one) == is_cut(other)
    }

    /// Answers the pending calls that are due, and schedules the next check.
    fn scan(&mut self) {
        self.add(self.now + STORE_SCAN, Event::Scan);

        for call in std::mem::take(&mut self.calls) {
            if call.life != self.lives[call.node] {
                continue;
            }
            let is_cut = Some(zone_of(call.node)) == self.cut_zone;
            let is_given_up = is_cut && call.ends_at + CALL_TIMEOUT <= self.now;
            if call.answer_at > self.now || is_cut && !is_given_up {
                self.calls.push(call);
                continue;
            }
            let is_refused = is_given_up || self.refused[call.node];
            let answer = if is_refused {
                Some(failure(call.kind))
            } else {
                self.store.answer(call.kind, &call.call, call.ends_at <= self.now)
            };
            match answer {
                Some(answer) => self.send_answer(&call, answer),
                None => self.calls.push(call),
            }
        }
    }

    /// Sends an answer over the store's link, which transfers one answer at a time, and then over
    /// the balancer's link.
    fn send_answer(&mut self, call: &OpenCall, answer: StoreAnswer) {
        let bytes = answer.objects(ROUTE_BYTES, ENTRY_BYTES);
        let begins_at = self.store_busy_until.max(self.now);

        self.store_busy_until = begins_at + transfer(bytes, STORE_MBPS);
        let at = self.store_busy_until + transfer(bytes, link_mbps(call.node));
        self.add(at, Event::Answer(call.node, call.life, answer));
    }

    fn reply(&mut self, node: usize, answer: StoreAnswer) {
        let now = self.instant();

        self.step(node, |policy| match answer {
            StoreAnswer::Routes(reply) => policy.on_routes_reply(reply, now),
            StoreAnswer::Backends(reply) => policy.on_backends_reply(reply, now),
        });
    }
}

fn failure(kind: StoreKind) -> StoreAnswer {
    match kind {
        StoreKind::Configuration => StoreAnswer::Routes(StoreReply::Failed),
        _ => StoreAnswer::Backends(StoreReply::Failed),
    }
}

/// Returns the time to transfer a number of bytes over a link.
fn transfer(bytes: usize, mbps: f64) -> Duration {
    const BITS: f64 = 8.0;

    Duration::from_secs_f64(bytes as f64 * BITS / (mbps * 1e6))
}

fn link_mbps(node: usize) -> f64 {
    if node.is_multiple_of(WIDE_EVERY) { WIDE_LINK_MBPS } else { LINK_MBPS }
}

/// Returns the index of a balancer's zone.
pub fn zone_of(node: usize) -> usize {
    node % ZONES.len()
}

fn node_address(node: usize) -> SocketAddrV4 {
    let [.., high, low] = node.to_be_bytes();

    SocketAddrV4::new(Ipv4Addr::new(10, zone_octet(node), high, low), PORT)
}

fn zone_octet(node: usize) -> u8 {
    u8::try_from(zone_of(node) + 1).unwrap_or(u8::MAX)
}
