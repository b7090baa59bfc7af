//! Simulated deployment of several balancers and one store, in simulated time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::StorePosition;
use valvestage_policy::steering::{
    AdmissionOptions, BackendEntry, BackendUpdate, EntryChange, EntryOptions, EntryPolicy,
    EvacuationUpdate, KeeperAction, PeerMessage, RouteMap, SteeringOptions, StoreCall, StoreKind,
    StoreReply,
};

use crate::fixtures::{address, millis, name_of};
use crate::links::{LinkLimits, LinkTable};

/// Latency of a datagram, and of an answer of the store.
const DELAY: Duration = Duration::from_millis(2);

/// Configured bandwidth of a link that carries everything that is sent.
const UNLIMITED_LINK_MBPS: f64 = 1_000.0;

/// Time that balancers wait for an answer of the store, in addition to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Names of the availability zones.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Simulated store with the operations that these tests need.
#[derive(Default)]
pub struct FakeStore {
    /// Number of restores from a backup.
    era: u64,
    pub revision: u64,
    pub routes: Option<RouteMap>,
    pub backends: BTreeMap<u64, BackendEntry>,
    history: Vec<(u64, StoreKind, Option<RouteMap>, Option<BackendUpdate>)>,
    /// Zones that the operator has evacuated.
    pub evacuated: BTreeSet<String>,
    evacuations: Vec<EvacuationUpdate>,
    /// Changes up to this revision are compacted.
    pub forgotten: u64,
    pub calls: usize,
    evacuation_calls: usize,
    /// Watches report nothing after this revision; lists do.
    pub watched_until: Option<u64>,
}

impl FakeStore {
    pub fn put_routes(&mut self, routes: RouteMap) {
        self.revision += 1;
        self.routes = Some(routes.clone());
        self.history.push((self.revision, StoreKind::Configuration, Some(routes), None));
    }

    pub fn put_backend(&mut self, mut entry: BackendEntry) {
        self.revision += 1;
        entry.position = self.position(self.revision);
        let (name, revision, position) = (entry.name, self.revision, self.position(self.revision));
        self.backends.insert(entry.instance, entry.clone());
        let update = BackendUpdate { name, position, change: EntryChange::Written(entry) };
        self.history.push((revision, StoreKind::Backends, None, Some(update)));
    }

    pub fn delete_backend(&mut self, instance: u64) {
        self.revision += 1;
        self.backends.remove(&instance);
        let (name, position) = (name_of(instance), self.position(self.revision));
        let update = BackendUpdate { name, position, change: EntryChange::Deleted };
        self.history.push((self.revision, StoreKind::Backends, None, Some(update)));
    }

    /// Restores the state from before the last `lost_changes` changes, in the next era.
    pub fn restore(&mut self, lost_changes: u64) {
        self.era += 1;
        self.revision -= lost_changes;
        self.history.retain(|(at, ..)| *at <= self.revision);
        self.evacuations.retain(|update| update.position.revision <= self.revision);
        self.enter_era();

        self.routes = self.history.iter().rev().find_map(|(_, _, routes, _)| routes.clone());
        self.backends.clear();
        for update in self.history.iter().filter_map(|(_, _, _, update)| update.as_ref()) {
            self.backends.retain(|_, entry| entry.name != update.name);
            if let EntryChange::Written(entry) = &update.change {
                self.backends.insert(entry.instance, entry.clone());
            }
        }
        self.evacuated.clear();
        for update in &self.evacuations {
            if update.is_requested {
                self.evacuated.insert(update.zone.clone());
            } else {
                self.evacuated.remove(&update.zone);
            }
        }
    }

    /// Moves all changes to the present era: after a restore the store reports them in that era,
    /// even if they were written in a former one.
    fn enter_era(&mut self) {
        let era = self.era;

        for update in self.history.iter_mut().filter_map(|(_, _, _, update)| update.as_mut()) {
            update.position.era = era;
            if let EntryChange::Written(entry) = &mut update.change {
                entry.position.era = era;
            }
        }
        for update in &mut self.evacuations {
            update.position.era = era;
        }
    }

    /// Returns the position of a revision in the present era.
    fn position(&self, revision: u64) -> StorePosition {
        StorePosition::new(self.era, revision)
    }

    /// Reports whether the changes after a revision are unavailable.
    fn lacks(&self, after: u64) -> bool {
        after < self.forgotten || after > self.revision
    }

    /// Evacuates a zone for the operator, or revokes its evacuation.
    pub fn evacuate(&mut self, zone: &str, is_requested: bool) {
        self.revision += 1;
        if is_requested {
            self.evacuated.insert(zone.to_owned());
        } else {
            self.evacuated.remove(zone);
        }
        let (zone, position) = (zone.to_owned(), self.position(self.revision));
        self.evacuations.push(EvacuationUpdate { zone, position, is_requested });
    }

    /// Returns the number of calls for a kind of objects; only calls for evacuations are counted
    /// separately.
    pub fn calls_for(&self, kind: StoreKind) -> usize {
        match kind {
            StoreKind::Evacuations => self.evacuation_calls,
            _ => self.calls - self.evacuation_calls,
        }
    }

    fn answer_evacuations(&self, call: &StoreCall) -> Option<StoreReply<EvacuationUpdate>> {
        let revision = self.revision;
        Some(match call {
            StoreCall::List { .. } => {
                let zones = self.evacuated.iter().cloned();
                let position = self.position(revision);
                let objects =
                    zones.map(|zone| EvacuationUpdate { zone, position, is_requested: true });
                StoreReply::Page {
                    objects: objects.collect(),
                    next_after: None,
                    position: self.position(revision),
                }
            }
            StoreCall::Watch { revision, .. } if self.lacks(*revision) => StoreReply::HistoryGone,
            StoreCall::Watch { revision: after, .. } => {
                let update =
                    self.evacuations.iter().filter(|update| update.position.revision > *after);
                let objects: Vec<_> = update.cloned().collect();
                if objects.is_empty() {
                    return None;
                }
                StoreReply::Changes { objects, position: self.position(revision) }
            }
        })
    }

    fn answer_routes(&self, call: &StoreCall) -> Option<StoreReply<RouteMap>> {
        Some(match call {
            StoreCall::List { .. } => StoreReply::Page {
                objects: self.routes.iter().cloned().collect(),
                next_after: None,
                position: self.position(self.revision),
            },
            StoreCall::Watch { revision, .. } if self.lacks(*revision) => StoreReply::HistoryGone,
            StoreCall::Watch { revision, .. } => {
                let update = self.changes_after(*revision, StoreKind::Configuration);
                let objects: Vec<_> =
                    update.filter_map(|(_, _, routes, _)| routes.clone()).collect();
                if objects.is_empty() {
                    return None;
                }
                let until = self.watched_until.unwrap_or(u64::MAX);
                StoreReply::Changes { objects, position: self.position(self.revision.min(until)) }
            }
        })
    }

    fn answer_backends(&self, call: &StoreCall) -> Option<StoreReply<BackendUpdate>> {
        Some(match call {
            StoreCall::List { .. } => {
                let objects = self.backends.values().map(|entry| BackendUpdate {
                    name: entry.name,
                    position: entry.position,
                    change: EntryChange::Written(entry.clone()),
                });
                StoreReply::Page {
                    objects: objects.collect(),
                    next_after: None,
                    position: self.position(self.revision),
                }
            }
            StoreCall::Watch { revision, .. } if self.lacks(*revision) => StoreReply::HistoryGone,
            StoreCall::Watch { revision, .. } => {
                let update = self.changes_after(*revision, StoreKind::Backends);
                let objects: Vec<_> =
                    update.filter_map(|(_, _, _, update)| update.clone()).collect();
                if objects.is_empty() {
                    return None;
                }
                let until = self.watched_until.unwrap_or(u64::MAX);
                StoreReply::Changes { objects, position: self.position(self.revision.min(until)) }
            }
        })
    }

    fn changes_after(
        &self,
        after: u64,
        kind: StoreKind,
    ) -> impl Iterator<Item = &(u64, StoreKind, Option<RouteMap>, Option<BackendUpdate>)> {
        let until = self.watched_until.unwrap_or(u64::MAX);

        self.history
            .iter()
            .filter(move |(at, other, _, _)| *at > after && *at <= until && *other == kind)
    }
}

/// Call to the store that is not answered yet.
struct OpenCall {
    node: usize,
    kind: StoreKind,
    call: StoreCall,
    answer_at: Instant,
    /// Time when a watch without changes is answered.
    ends_at: Instant,
    /// Time when the call times out at the balancer.
    times_out_at: Instant,
    /// Whether the connection of the call delivers nothing any more.
    is_silent: bool,
}

/// Simulated balancers with one store.
pub struct Deployment {
    pub now: Instant,
    pub store: FakeStore,
    pub nodes: Vec<Option<EntryPolicy>>,
    /// Whether operators evacuate zones; applies to balancers that start from now on.
    pub has_evacuations: bool,
    /// Admission control of balancers that start from now on.
    pub admission: Option<AdmissionOptions>,
    /// Number of availability zones; the balancers are distributed evenly, by address.
    zones: usize,
    /// Balancers whose calls to the store are never answered.
    pub disconnected_from_store: Vec<usize>,
    /// Balancers that neither receive nor deliver messages of peers.
    pub disconnected_from_peers: Vec<usize>,
    /// Balancers that receive no messages of peers; their own messages are delivered.
    pub disconnected_inbound: Vec<usize>,
    /// Balancers whose link loses what they send; what others send to them is delivered.
    pub disconnected_outbound: Vec<usize>,
    /// Balancers that are paused: they do not tick, and lose the datagrams that arrive meanwhile.
    pub paused: Vec<usize>,
    /// Whether the store fails every call.
    pub store_down: bool,
    /// Additional time of a list or watch that returns the configuration, which models a large
    /// configuration on a slow link.
    pub configuration_time: Duration,
    /// Links of the balancers with their limits; if `None`, every message arrives.
    pub links: Option<LinkTable>,
    datagrams: VecDeque<(Instant, usize, usize, PeerMessage)>,
    calls: Vec<OpenCall>,
    /// Number of messages sent between balancers.
    pub messages: usize,
}

pub fn node_address(node: usize) -> SocketAddrV4 {
    address(u8::try_from(node + 1).unwrap(), 7_000)
}

impl Deployment {
    pub fn new(count: usize) -> Self {
        Self::across_zones(count, 1)
    }

    pub fn across_zones(count: usize, zones: usize) -> Self {
        Self::over_links(count, zones, None)
    }

    pub fn over_links(count: usize, zones: usize, limits: Option<LinkLimits>) -> Self {
        let mut deployment = Self {
            has_evacuations: false,
            admission: None,
            zones,
            now: Instant::now(),
            store: FakeStore::default(),
            nodes: (0..count).map(|_| None).collect(),
            disconnected_from_store: Vec::new(),
            disconnected_from_peers: Vec::new(),
            disconnected_inbound: Vec::new(),
            disconnected_outbound: Vec::new(),
            paused: Vec::new(),
            store_down: false,
            configuration_time: Duration::ZERO,
            links: limits.map(|limits| LinkTable::new(count, limits)),
            datagrams: VecDeque::new(),
            calls: Vec::new(),
            messages: 0,
        };

        for node in 0..count {
            deployment.start(node);
        }
        deployment
    }

    /// Starts a balancer without any knowledge.
    pub fn start(&mut self, node: usize) {
        self.stop(node);
        let options = EntryOptions {
            steering: SteeringOptions {
                zone: self.zone_of(node),
                admission: self.admission,
                ..Default::default()
            },
            peer_address: node_address(node),
            seeds: vec![node_address(0), node_address(1), node_address(2)],
            link_mbps: self.links.as_ref().map_or(UNLIMITED_LINK_MBPS, LinkTable::mbps),
            evacuable_zones: self.has_evacuations.then(|| ZONES.map(str::to_owned).into()),
            is_first_start: false,
            seed: u64::try_from(node).unwrap(),
        };

        self.nodes[node] = Some(EntryPolicy::new(options, self.now));
    }

    fn zone_of(&self, node: usize) -> String {
        ZONES[node * self.zones / self.nodes.len()].to_owned()
    }

    /// Kills a balancer, with its calls.
    pub fn stop(&mut self, node: usize) {
        self.nodes[node] = None;
        self.calls.retain(|call| call.node != node);
    }

    pub fn node(&self, node: usize) -> &EntryPolicy {
        self.nodes[node].as_ref().expect("balancer is not running")
    }

    /// Makes all open connections to the store silent for good; new connections work.
    pub fn silence_connections(&mut self) {
        self.calls.iter_mut().for_each(|call| call.is_silent = true);
    }

    pub fn versions(&self) -> Vec<u64> {
        self.nodes.iter().flatten().map(|node| node.knowledge().routes.version).collect()
    }

    pub fn watchers(&self) -> usize {
        self.nodes.iter().flatten().filter(|node| node.keeper().is_watching()).count()
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;

        while self.now < end {
            self.now += millis(1);
            self.deliver();
            self.answer();
            self.tick();
        }
    }

    /// Runs until a condition holds, and returns how long that took.
    pub fn run_until(&mut self, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;

        while !holds(self) {
            assert!(self.now - start < millis(30_000), "condition not met within 30 s");
            self.run(millis(1));
        }
        self.now - start
    }

    fn tick(&mut self) {
        for node in 0..self.nodes.len() {
            if self.paused.contains(&node) {
                continue;
            }
            let Some(policy) = &mut self.nodes[node] else { continue };
            let actions = policy.on_tick(self.now);
            self.perform(node, actions);
        }
    }

    fn deliver(&mut self) {
        while self.datagrams.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, from, to, message)) = self.datagrams.pop_front() else { return };
            let is_cut = self.disconnected_from_peers.contains(&from)
                || self.disconnected_from_peers.contains(&to);
            if is_cut || self.disconnected_inbound.contains(&to) || self.paused.contains(&to) {
                continue;
            }
            if let Some(policy) = &mut self.nodes[to] {
                let actions = policy.on_message(node_address(from), message, self.now);
                self.perform(to, actions);
            }
        }
    }

    fn answer(&mut self) {
        for call in std::mem::take(&mut self.calls) {
            if call.answer_at > self.now || self.paused.contains(&call.node) {
                self.calls.push(call);
                continue;
            }
            let is_cut = call.is_silent
                || self.disconnected_from_store.contains(&call.node)
                || self.disconnected_outbound.contains(&call.node);
            let is_over = call.ends_at <= self.now;
            if self.store_down || is_cut && call.times_out_at <= self.now {
                self.reply(&call, None);
            } else if is_cut || !self.answer_call(&call, is_over) {
                self.calls.push(call);
            }
        }
    }

    /// Answers a call if there are changes or its wait is over. Returns whether it was answered.
    fn answer_call(&mut self, call: &OpenCall, is_over: bool) -> bool {
        let revision = self.store.revision.min(self.store.watched_until.unwrap_or(u64::MAX));
        let has_answer = match call.kind {
            StoreKind::Configuration => self.store.answer_routes(&call.call).is_some(),
            StoreKind::Backends => self.store.answer_backends(&call.call).is_some(),
            StoreKind::Evacuations => self.store.answer_evacuations(&call.call).is_some(),
        };

        if has_answer || is_over {
            self.reply(call, Some(self.store.position(revision)));
        }
        has_answer || is_over
    }

    fn reply(&mut self, call: &OpenCall, position: Option<StorePosition>) {
        let Some(policy) = &mut self.nodes[call.node] else { return };

        let actions = match (call.kind, position) {
            (StoreKind::Configuration, None) => {
                policy.on_routes_reply(StoreReply::Failed, self.now)
            }
            (StoreKind::Backends, None) => policy.on_backends_reply(StoreReply::Failed, self.now),
            (StoreKind::Evacuations, None) => {
                policy.on_evacuations_reply(StoreReply::Failed, self.now)
            }
            (StoreKind::Evacuations, Some(position)) => {
                let reply = self.store.answer_evacuations(&call.call);
                let nothing = StoreReply::Changes { objects: Vec::new(), position };
                policy.on_evacuations_reply(reply.unwrap_or(nothing), self.now)
            }
            (StoreKind::Configuration, Some(position)) => {
                let reply = self.store.answer_routes(&call.call);
                let nothing = StoreReply::Changes { objects: Vec::new(), position };
                policy.on_routes_reply(reply.unwrap_or(nothing), self.now)
            }
            (StoreKind::Backends, Some(position)) => {
                let reply = self.store.answer_backends(&call.call);
                let nothing = StoreReply::Changes { objects: Vec::new(), position };
                policy.on_backends_reply(reply.unwrap_or(nothing), self.now)
            }
        };
        self.perform(call.node, actions);
    }

    fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        if self.disconnected_outbound.contains(&from) {
            return;
        }
        let sent_at = match &mut self.links {
            Some(links) => links.send(from, &message, self.now),
            None => Some(self.now),
        };
        let Some(sent_at) = sent_at else { return };

        // Messages on one link stay in order; messages on different links arrive in the order sent.
        let arrives_at = sent_at + DELAY;
        let place = self.datagrams.partition_point(|(at, ..)| *at <= arrives_at);
        self.datagrams.insert(place, (arrives_at, from, to, message));
    }

    fn perform(&mut self, node: usize, actions: Vec<KeeperAction>) {
        for action in actions {
            match action {
                KeeperAction::Send(peer, message) => {
                    let to = (0..self.nodes.len()).find(|other| node_address(*other) == peer);
                    self.messages += 1;
                    if let Some(to) = to {
                        self.send(node, to, message);
                    }
                }
                KeeperAction::Call(kind, call) => {
                    let wait = match &call {
                        StoreCall::List { .. } => millis(0),
                        StoreCall::Watch { wait, .. } => *wait,
                    };
                    let is_large = kind == StoreKind::Configuration;
                    let transfer = if is_large { self.configuration_time } else { Duration::ZERO };
                    let (answer_at, ends_at) = (self.now + DELAY + transfer, self.now + wait);
                    let times_out_at = ends_at + transfer + CALL_TIMEOUT;
                    self.store.calls += 1;
                    self.store.evacuation_calls += usize::from(kind == StoreKind::Evacuations);
                    self.calls.push(OpenCall {
                        node,
                        kind,
                        call,
                        answer_at,
                        ends_at,
                        times_out_at,
                        is_silent: false,
                    });
                }
            }
        }
    }
}
