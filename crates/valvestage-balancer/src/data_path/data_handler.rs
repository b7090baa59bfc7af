//! The entry point of the data path for datagrams, commands and timer ticks.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use valvestage_core::RefusalReason;
use valvestage_core::ids::BalancerId;
use valvestage_policy::BalancerPolicy;
use valvestage_policy::balancer::BalancerOptions;
use valvestage_policy::requests::RequestAction;
use valvestage_wire::envelope::{MAX_DATAGRAM, decode, encode};
use valvestage_wire::{Envelope, Target, WireError};

use super::datagrams::Outbound;
use super::origin::Origin;
use crate::commands::{Command, DataSnapshot, FlowBindings, Payload};
use crate::metrics::BalancerMetrics;

/// Time without a packet after which a flow is removed from the flow table. It exceeds one hour,
/// the lifetime of a feed (a long-lived flow).
const FLOW_IDLE_TIMEOUT: Duration = Duration::from_secs(2 * 3_600);

/// Interval at which the flow table is searched for idle flows.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Options of the data path.
#[derive(Debug, Clone)]
pub struct DataOptions {
    /// Identity of this balancer, and options of its policy.
    pub policy: BalancerOptions,
    /// Addresses of the fabric, from which caller packets are accepted; not empty.
    pub fabric_addresses: Vec<SocketAddr>,
}

/// Handler that turns each received datagram into the datagrams that follow from it.
#[derive(Debug)]
pub struct DataHandler {
    pub(super) policy: BalancerPolicy<Payload>,
    pub(super) metrics: Arc<BalancerMetrics>,
    pub(super) fabric_addresses: Vec<SocketAddr>,
    /// Data addresses of all other known balancers, dead ones included.
    pub(super) peer_addresses: BTreeMap<BalancerId, SocketAddr>,
    /// The same addresses as a set, for the check of a datagram's source.
    peer_sources: HashSet<SocketAddr>,
    next_idle_check: SystemTime,
    /// Buffer that is reused to avoid allocations; empty between calls.
    actions: Vec<RequestAction<Payload>>,
}

impl DataHandler {
    /// Creates a handler without a configuration.
    #[must_use]
    pub fn new(options: DataOptions, metrics: Arc<BalancerMetrics>, now: SystemTime) -> Self {
        Self {
            policy: BalancerPolicy::new(options.policy),
            metrics,
            fabric_addresses: options.fabric_addresses,
            peer_addresses: BTreeMap::new(),
            peer_sources: HashSet::new(),
            next_idle_check: now + IDLE_CHECK_INTERVAL,
            actions: Vec::new(),
        }
    }

    /// Handles one datagram. An invalid one is counted by reason and dropped.
    pub fn on_datagram(
        &mut self,
        now: SystemTime,
        source: SocketAddr,
        datagram: &[u8],
        out: &mut Vec<Outbound>,
    ) {
        if let Err(reason) = self.handle_datagram(now, source, datagram, out) {
            self.metrics.count_refusal(reason);
        }
    }

    fn handle_datagram(
        &mut self,
        now: SystemTime,
        source: SocketAddr,
        datagram: &[u8],
        out: &mut Vec<Outbound>,
    ) -> Result<(), RefusalReason> {
        // The source determines what a packet may contain, so it is checked first.
        let origin = self.classify_source(source).ok_or(RefusalReason::UnauthorisedSource)?;
        if datagram.len() > MAX_DATAGRAM {
            return Err(RefusalReason::Oversized);
        }
        let envelope = decode(datagram).map_err(|error| match error {
            WireError::Oversized(_) => RefusalReason::Oversized,
            _ => RefusalReason::Malformed,
        })?;

        match origin {
            Origin::Fabric => self.on_caller_packet(now, &envelope, out),
            Origin::Peer => self.on_peer_packet(now, &envelope, out),
            Origin::Backend(target) => self.on_backend_packet(now, target, &envelope, out),
        }
    }

    fn classify_source(&self, source: SocketAddr) -> Option<Origin> {
        if self.fabric_addresses.contains(&source) {
            return Some(Origin::Fabric);
        }

        let configuration = self.policy.director().history().current();
        if let Some(backend) = configuration.and_then(|known| known.backend_at(source)) {
            return Some(Origin::Backend(Target {
                service: backend.service,
                backend: backend.id,
                incarnation: backend.incarnation,
            }));
        }

        self.peer_sources.contains(&source).then_some(Origin::Peer)
    }

    /// Handles expired deadlines, and from time to time removes idle flows.
    pub fn tick(&mut self, now: SystemTime, out: &mut Vec<Outbound>) {
        self.decide(out, |policy, actions| policy.tick(now, actions));

        if now >= self.next_idle_check {
            self.next_idle_check = now + IDLE_CHECK_INTERVAL;
            if let Some(idle_since) = now.checked_sub(FLOW_IDLE_TIMEOUT) {
                self.policy.director_mut().drop_idle(idle_since);
            }
        }
    }

    /// Executes a command of the control thread.
    pub fn on_command(&mut self, now: SystemTime, command: Command, out: &mut Vec<Outbound>) {
        match command {
            Command::InstallConfiguration(configuration) => {
                self.policy.install_configuration(now, &configuration);
            }
            Command::InstallOwnerMap(map) => {
                self.decide(out, |policy, actions| policy.install_owner_map(now, &map, actions));
            }
            Command::InstallKeys(keys) => {
                self.policy.install_keys(keys);
            }
            Command::InstallView { view, addresses } => {
                self.policy.install_view(view);
                self.peer_sources = addresses.values().copied().collect();
                self.peer_addresses = addresses;
            }
            Command::InstallGrant(grant) => self.policy.install_grant(grant),
            Command::AddBindings(bindings) => {
                for binding in bindings {
                    self.policy.director_mut().on_binding(now, binding);
                }
            }
            Command::SettleHandover { service, moved } => {
                self.decide(out, |policy, actions| {
                    policy.settle_handover(now, service, moved, actions);
                });
            }
            Command::OfferHandover { service, handover, claims } => {
                self.policy.offer_handover(now, service, handover, claims);
            }
            query => self.answer_query(now, query),
        }
    }

    /// Answers a query of the control thread. The answer is dropped if the asking task no longer
    /// waits for it.
    fn answer_query(&mut self, now: SystemTime, query: Command) {
        match query {
            Command::StartHandover { service, reply } => {
                let _ = reply.send(self.policy.start_handover(service));
            }
            Command::ListBindings(reply) => {
                let director = self.policy.director();
                let _ = reply.send(FlowBindings {
                    bindings: director.bindings(),
                    history: director.history().clone(),
                    view: director.view().clone(),
                });
            }
            Command::TakeSnapshot(reply) => {
                let _ = reply.send(self.snapshot(now));
            }
            Command::ListDecisions { subject, reply } => {
                let _ = reply.send(self.policy.decisions_about(subject));
            }
            _ => {}
        }
    }

    /// Calls the policy and executes the actions that it returns.
    pub(super) fn decide<T>(
        &mut self,
        out: &mut Vec<Outbound>,
        call: impl FnOnce(&mut BalancerPolicy<Payload>, &mut Vec<RequestAction<Payload>>) -> T,
    ) -> T {
        let mut actions = std::mem::take(&mut self.actions);

        let result = call(&mut self.policy, &mut actions);
        self.perform_actions(&mut actions, out);
        self.actions = actions;
        result
    }

    fn snapshot(&self, now: SystemTime) -> DataSnapshot {
        let director = self.policy.director();
        let mut flows_by_backend = BTreeMap::new();
        for (_, entry) in director.table().iter() {
            *flows_by_backend.entry(entry.backend).or_insert(0) += 1;
        }

        DataSnapshot {
            configuration: director.version_in_force(),
            flows: director.table().len() as u64,
            flow_table_bytes: director.table().allocated_bytes() as u64,
            flows_by_backend,
            loads: self.policy.loads(now).collect(),
            open_work: self.policy.open_work(),
        }
    }

    /// Returns the policy, for tests and benchmarks.
    #[must_use]
    pub fn policy(&self) -> &BalancerPolicy<Payload> {
        &self.policy
    }

    /// Adds a datagram to the output. A datagram that cannot be encoded is counted and dropped.
    pub(super) fn push(&self, to: SocketAddr, envelope: &Envelope<'_>, out: &mut Vec<Outbound>) {
        match encode(envelope) {
            Ok(bytes) => out.push(Outbound { to, bytes }),
            Err(_) => self.metrics.count_refusal(RefusalReason::Oversized),
        }
    }

    /// Adds a datagram for a caller to the output. All datagrams of a caller go to the same address
    /// of the fabric.
    pub(super) fn push_to_caller(&self, envelope: &Envelope<'_>, out: &mut Vec<Outbound>) {
        let index = usize::from(envelope.caller.port()) % self.fabric_addresses.len();

        self.push(self.fabric_addresses[index], envelope, out);
    }
}
