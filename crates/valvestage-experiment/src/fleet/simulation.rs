//! Event-driven simulation of balancers, datagrams and calls to the store.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use valvestage_policy::steering::{
    CallerPacket, EntryOptions, EntryPolicy, FlowReset, KeeperAction, PacketVerdict, PeerMessage,
    SteeringOptions, StoreCall, StoreKind, StoreReply,
};

use super::store::{FleetStore, StoreAnswer};
use super::usage::NodeUsage;
use crate::event_queue::EventQueue;

/// Delay of a datagram within a zone, and to another zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(200);
const CROSS_ZONE_DELAY: Duration = Duration::from_micros(1_400);

/// Time that the store takes to answer, without the transfer over links.
const STORE_LATENCY: Duration = Duration::from_millis(4);

/// Size in bytes of an entry and of a route, as the store holds them.
const ENTRY_BYTES: usize = 280;
const ROUTE_BYTES: usize = 180;

/// Speed of the store's link in Mbit/s.
const STORE_MBPS: f64 = 1_000.0;

/// Time after which a call to an unreachable store fails, in addition to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval at which the store checks pending calls, among them the waiting watches.
const STORE_SCAN_INTERVAL: Duration = Duration::from_millis(5);

/// Speed in Mbit/s of the links of most VMs, and of one VM in twenty.
const LINK_MBPS: f64 = 20.0;
const WIDE_LINK_MBPS: f64 = 1_000.0;
const WIDE_EVERY: usize = 20;

/// Port of all balancers.
const BALANCER_PORT: u16 = 7_000;

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

/// A call to the store that has no answer yet.
struct PendingCall {
    node: usize,
    incarnation: u32,
    kind: StoreKind,
    call: StoreCall,
    answer_at: Duration,
    wait_ends_at: Duration,
}

/// Simulation of a store and the balancers that use it.
pub struct FleetSimulation {
    base: Instant,
    now: Duration,
    queue: EventQueue<Event>,
    /// The simulated store, to which scenarios write changes.
    pub store: FleetStore,
    /// Steering options of the balancers that are started, apart from their zones.
    pub steering: SteeringOptions,
    /// Seed of the balancers' random draws.
    pub seed: u64,
    /// Policy of each balancer, or `None` while it is not running.
    pub nodes: Vec<Option<EntryPolicy>>,
    /// Number of times that each balancer was killed, which tells its processes apart.
    incarnations: Vec<u32>,
    wake_at: Vec<Duration>,
    nodes_by_address: HashMap<SocketAddrV4, usize>,
    pending_calls: Vec<PendingCall>,
    /// Time at which the store's link has sent all answers so far.
    store_busy_until: Duration,
    /// Whether the store refuses the calls of each balancer.
    pub refused: Vec<bool>,
    /// Zone that is partitioned from the other zones and from the store, or `None` if all zones
    /// reach each other.
    pub partitioned_zone: Option<usize>,
    /// Cumulative resource usage of each balancer, over all of its incarnations.
    pub usage: Vec<NodeUsage>,
    /// Proactive resets since the last call of [`Self::take_resets`].
    resets: Vec<FlowReset>,
}

impl FleetSimulation {
    /// Creates a simulation in which no balancer runs yet.
    pub fn new(balancers: usize, backends: usize) -> Self {
        let zones: Vec<_> = ZONES.iter().map(|zone| (*zone).to_owned()).collect();
        let mut simulation = Self {
            base: Instant::now(),
            now: Duration::ZERO,
            queue: EventQueue::new(),
            store: FleetStore::new(backends, &zones),
            steering: SteeringOptions::default(),
            seed: 77,
            nodes: (0..balancers).map(|_| None).collect(),
            incarnations: vec![0; balancers],
            wake_at: vec![Duration::MAX; balancers],
            nodes_by_address: (0..balancers).map(|node| (node_address(node), node)).collect(),
            pending_calls: Vec::new(),
            store_busy_until: Duration::ZERO,
            refused: vec![false; balancers],
            partitioned_zone: None,
            usage: vec![NodeUsage::default(); balancers],
            resets: Vec::new(),
        };

        simulation.schedule(STORE_SCAN_INTERVAL, Event::Scan);
        simulation
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
                zone: ZONES[zone_index(node)].to_owned(),
                ..self.steering.clone()
            },
            peer_address: node_address(node),
            seeds: seeds.to_vec(),
            link_mbps: link_mbps(node),
            evacuable_zones: None,
            is_first_start,
            seed: self.seed
                + u64::try_from(node).unwrap_or(0)
                + (u64::from(self.incarnations[node]) << 32),
        };

        self.nodes[node] = Some(EntryPolicy::new(options, self.instant()));
        self.wake_at[node] = self.now;
        self.schedule(self.now, Event::Wake(node));
    }

    /// Kills a balancer, with its pending calls to the store.
    pub fn stop(&mut self, node: usize) {
        self.nodes[node] = None;
        self.incarnations[node] += 1;
        self.wake_at[node] = Duration::MAX;
        self.pending_calls.retain(|call| call.node != node);
    }

    /// Simulates a span of time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;

        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns the verdict of a running balancer on a caller's packet; `None` if it is not running.
    pub fn on_packet(&mut self, node: usize, packet: &CallerPacket) -> Option<PacketVerdict> {
        let now = self.instant();

        self.nodes[node].as_mut().map(|policy| policy.on_packet(packet, now))
    }

    /// Removes and returns the proactive resets since the last call.
    pub fn take_resets(&mut self) -> Vec<FlowReset> {
        std::mem::take(&mut self.resets)
    }

    /// Simulates until a number of balancers satisfy a condition, and returns the time that this
    /// took, or `None` if they do not within the limit.
    pub fn run_until(
        &mut self,
        required: usize,
        limit: Duration,
        condition: impl Fn(&EntryPolicy) -> bool,
    ) -> Option<Duration> {
        let begin = self.now;

        while self.nodes.iter().flatten().filter(|node| condition(node)).count() < required {
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

    fn schedule(&mut self, at: Duration, event: Event) {
        self.queue.add(at, event);
    }

    fn handle(&mut self, event: Event) {
        let now = self.instant();

        match event {
            Event::Wake(node) if self.wake_at[node] <= self.now => {
                self.invoke(node, |policy| policy.on_tick(now));
            }
            Event::Wake(_) => {}
            Event::Deliver(from, to, bytes, message) => {
                if self.nodes[to].is_some() && self.can_reach(from, to) {
                    self.usage[to].received_bytes += bytes;
                    self.invoke(to, |policy| policy.on_message(node_address(from), message, now));
                }
            }
            Event::Answer(node, incarnation, answer) => {
                if incarnation == self.incarnations[node] {
                    self.deliver_answer(node, answer);
                }
            }
            Event::Scan => self.answer_pending_calls(),
        }
    }

    /// Calls a balancer's policy, records the processor time of the call, schedules the next tick
    /// and performs the actions that the policy returns.
    fn invoke(&mut self, node: usize, act: impl FnOnce(&mut EntryPolicy) -> Vec<KeeperAction>) {
        let Some(policy) = &mut self.nodes[node] else { return };
        let begun_at = Instant::now();
        let actions = act(policy);
        drop(policy.take_decisions());
        drop(policy.take_answers());
        self.resets.extend(policy.take_resets());
        self.usage[node].busy_time += begun_at.elapsed();

        let due = policy.next_due().saturating_duration_since(self.base);
        let due = due.max(self.now + Duration::from_micros(100));
        if due < self.wake_at[node] || self.wake_at[node] <= self.now {
            self.wake_at[node] = due;
            self.schedule(due, Event::Wake(node));
        }
        for action in actions {
            self.perform_action(node, action);
        }
    }

    fn perform_action(&mut self, node: usize, action: KeeperAction) {
        match action {
            KeeperAction::Send(peer, message) => {
                let Some(to) = self.nodes_by_address.get(&peer).copied() else { return };
                let bytes = postcard::experimental::serialized_size(&message).unwrap_or_default();
                let bytes = u64::try_from(bytes).unwrap_or_default() + 1;
                let is_same_zone = zone_index(node) == zone_index(to);
                let usage = &mut self.usage[node];
                usage.sent_datagrams += 1;
                usage.sent_bytes += bytes;
                usage.cross_zone_bytes += if is_same_zone { 0 } else { bytes };
                let delay = if is_same_zone { SAME_ZONE_DELAY } else { CROSS_ZONE_DELAY };
                self.schedule(self.now + delay, Event::Deliver(node, to, bytes, message));
            }
            KeeperAction::Call(kind, call) => {
                self.usage[node].store_calls += 1;
                let wait = match &call {
                    StoreCall::List { .. } => Duration::ZERO,
                    StoreCall::Watch { wait, .. } => *wait,
                };
                self.pending_calls.push(PendingCall {
                    node,
                    incarnation: self.incarnations[node],
                    kind,
                    call,
                    answer_at: self.now + STORE_LATENCY,
                    wait_ends_at: self.now + wait,
                });
            }
        }
    }

    /// Reports whether two balancers can reach each other.
    fn can_reach(&self, one: usize, other: usize) -> bool {
        let is_cut = |node| Some(zone_index(node)) == self.partitioned_zone;

        is_cut(one) == is_cut(other)
    }

    /// Answers the pending calls that are due, and schedules the next check.
    fn answer_pending_calls(&mut self) {
        self.schedule(self.now + STORE_SCAN_INTERVAL, Event::Scan);

        for call in std::mem::take(&mut self.pending_calls) {
            if call.incarnation != self.incarnations[call.node] {
                continue;
            }
            let is_cut = Some(zone_index(call.node)) == self.partitioned_zone;
            let has_timed_out = is_cut && call.wait_ends_at + CALL_TIMEOUT <= self.now;
            if call.answer_at > self.now || is_cut && !has_timed_out {
                self.pending_calls.push(call);
                continue;
            }
            let is_refused = has_timed_out || self.refused[call.node];
            let answer = if is_refused {
                Some(failed_answer(call.kind))
            } else {
                self.store.answer(call.kind, &call.call, call.wait_ends_at <= self.now)
            };
            match answer {
                Some(answer) => self.send_answer(&call, answer),
                None => self.pending_calls.push(call),
            }
        }
    }

    /// Sends an answer over the store's link, which transfers one answer at a time, and then over
    /// the balancer's link.
    fn send_answer(&mut self, call: &PendingCall, answer: StoreAnswer) {
        let bytes = answer.object_bytes(ROUTE_BYTES, ENTRY_BYTES);
        let begins_at = self.store_busy_until.max(self.now);

        self.store_busy_until = begins_at + transfer_time(bytes, STORE_MBPS);
        let at = self.store_busy_until + transfer_time(bytes, link_mbps(call.node));
        self.schedule(at, Event::Answer(call.node, call.incarnation, answer));
    }

    fn deliver_answer(&mut self, node: usize, answer: StoreAnswer) {
        let now = self.instant();

        self.invoke(node, |policy| match answer {
            StoreAnswer::Routes(reply) => policy.on_routes_reply(reply, now),
            StoreAnswer::Backends(reply) => policy.on_backends_reply(reply, now),
        });
    }
}

fn failed_answer(kind: StoreKind) -> StoreAnswer {
    match kind {
        StoreKind::Configuration => StoreAnswer::Routes(StoreReply::Failed),
        _ => StoreAnswer::Backends(StoreReply::Failed),
    }
}

/// Returns the time to transfer a number of bytes over a link.
fn transfer_time(bytes: usize, mbps: f64) -> Duration {
    const BITS: f64 = 8.0;

    Duration::from_secs_f64(bytes as f64 * BITS / (mbps * 1e6))
}

fn link_mbps(node: usize) -> f64 {
    if node.is_multiple_of(WIDE_EVERY) { WIDE_LINK_MBPS } else { LINK_MBPS }
}

/// Returns the index of a balancer's zone.
pub fn zone_index(node: usize) -> usize {
    node % ZONES.len()
}

fn node_address(node: usize) -> SocketAddrV4 {
    let [.., high, low] = node.to_be_bytes();

    SocketAddrV4::new(Ipv4Addr::new(10, zone_octet(node), high, low), BALANCER_PORT)
}

fn zone_octet(node: usize) -> u8 {
    u8::try_from(zone_index(node) + 1).unwrap_or(u8::MAX)
}
