//! Counters, gauges and histograms of one entry VM.
//!
//! The number of label values is bounded: reasons and events have fixed names, and the number of
//! distinct services and availability zones is limited.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use valvestage_policy::steering::{
    AdmissionPolicy, AnswerTime, Decision, DroppedPacket, EntryPolicy, FlowRefusal, Knowledge,
    RoutePriority, ServiceLoad, StoreKind,
};

use crate::decision_log::event_name;

/// Prefix of all metric names.
const PREFIX: &str = "valvestage_entry";

/// Half of the largest number of distinct names in labels; the limit applies to the names of
/// services and availability zones together. Further names are reported as `other`.
const MAX_LABEL_NAMES: usize = 64;

/// Largest age in milliseconds, about 49 days, which is also reported if the store never confirmed
/// the balancer's state. The exposition format cannot represent the largest 64-bit numbers.
const MAX_AGE_MS: u64 = u32::MAX as u64;

/// Upper bounds of the histogram buckets in seconds. They are placed around the deployments'
/// response time targets of 0.1 to 2 s and around the callers' timeouts of 0.2, 0.6 and 1.4 s.
const ANSWER_BOUNDS: [f64; 12] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 1.4, 3.0];

/// Label set with the event name of a decision.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EventLabel {
    /// Event name as in the log.
    pub event: &'static str,
}

/// Label set with the reason for a reset or a drop.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Name of the reason as in the log.
    pub reason: &'static str,
}

/// Label set with a service and an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceZoneLabel {
    /// Name of the service, or `other`.
    pub service: String,
    /// Availability zone of the backend server, or `other`.
    pub zone: String,
}

/// Label set with the kind and the outcome of a store request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabel {
    /// Kind of the requested objects.
    pub kind: &'static str,
    /// `answered` or `failed`.
    pub outcome: &'static str,
}

/// Label set with a service and the priority of a route to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServicePriorityLabel {
    /// Name of the service, or `other`.
    pub service: String,
    /// Priority, 0 to 15.
    pub priority: u32,
}

/// Metrics of admission control.
#[derive(Default)]
struct AdmissionMetrics {
    shares: Family<ServicePriorityLabel, Gauge<f64, AtomicU64>>,
    refusals: Family<ServicePriorityLabel, Counter>,
    short_services: Gauge<u64, AtomicU64>,
    /// Labels of `shares` that have a value.
    shown: Mutex<HashSet<ServicePriorityLabel>>,
}

impl AdmissionMetrics {
    fn register(&self, registry: &mut Registry) {
        let short = self.short_services.clone();

        registry.register("admitted_share", "New flows admitted, 0 to 1", self.shares.clone());
        registry.register("refusals", "New flows refused in a shortage", self.refusals.clone());
        registry.register("short_services", "Services short of slots", short);
    }

    /// Replaces all shares. Those of services that no longer have several priorities are removed.
    fn replace_shares(&self, shares: HashMap<ServicePriorityLabel, f64>) {
        let mut shown = self.shown.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        for label in shown.iter().filter(|label| !shares.contains_key(label)) {
            self.shares.remove(label);
        }

        *shown = shares.keys().cloned().collect();
        for (label, share) in shares {
            self.shares.get_or_create(&label).set(share);
        }
    }
}

/// Label set with a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Name of the service, or `other`.
    pub service: String,
}

/// Estimated load of services over all balancers. Services without an estimate are left out.
#[derive(Debug, Default)]
struct LoadGauges {
    in_flight: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    slots: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    answers: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    age_ms: Family<ServiceLabel, Gauge<u64, AtomicU64>>,
    /// Labels that have a value.
    shown: Mutex<BTreeSet<String>>,
}

impl LoadGauges {
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "fleet_requests_in_flight",
            "Requests at backend servers, estimated over all balancers",
            self.in_flight.clone(),
        );
        registry.register(
            "fleet_slots",
            "Requests that the usable backend servers process at once",
            self.slots.clone(),
        );
        registry.register(
            "fleet_answers_per_second",
            "Ordinary answers, estimated over all balancers",
            self.answers.clone(),
        );
        registry.register(
            "fleet_load_age_milliseconds",
            "Mean age of the reports that the estimates are from",
            self.age_ms.clone(),
        );
    }

    /// Replaces all values. Only gauges of services without a value are removed, so that a reader
    /// sees the others at any time.
    fn replace(&self, loads: BTreeMap<String, LoadValues>) {
        let mut shown = self.shown.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        for service in shown.iter().filter(|service| !loads.contains_key(*service)) {
            let label = ServiceLabel { service: service.clone() };
            self.in_flight.remove(&label);
            self.slots.remove(&label);
            self.answers.remove(&label);
            self.age_ms.remove(&label);
        }

        *shown = loads.keys().cloned().collect();
        for (service, values) in loads {
            let label = ServiceLabel { service };
            self.in_flight.get_or_create(&label).set(values.in_flight);
            self.slots.get_or_create(&label).set(values.slots);
            self.answers.get_or_create(&label).set(values.answers);
            self.age_ms.get_or_create(&label).set(values.age_ms);
        }
    }
}

/// Values of the gauges of one service, or the sums over several services with one label.
#[derive(Debug, Default)]
struct LoadValues {
    in_flight: f64,
    slots: f64,
    answers: f64,
    /// The largest age.
    age_ms: u64,
}

impl LoadValues {
    fn add(&mut self, load: &ServiceLoad) {
        self.in_flight += load.in_flight;
        self.slots += load.slots;
        self.answers += load.completed;
        self.age_ms = self.age_ms.max(millis(load.age));
    }
}

/// Metrics of the balancer, shared by its threads.
pub struct EntryMetrics {
    registry: Registry,
    events: Family<EventLabel, Counter>,
    resets: Family<ReasonLabel, Counter>,
    drops: Family<ReasonLabel, Counter>,
    placements: Family<ServiceZoneLabel, Counter>,
    handshakes: Family<ServiceZoneLabel, Histogram>,
    answers: Family<ServiceZoneLabel, Histogram>,
    store_calls: Family<StoreCallLabel, Counter>,
    unreadable: Counter,
    unsent: Counter,
    log_lines_left_out: Gauge<u64, AtomicU64>,
    flows: Gauge<u64, AtomicU64>,
    peers: Gauge<u64, AtomicU64>,
    follows_store: Gauge<u64, AtomicU64>,
    version: Gauge<u64, AtomicU64>,
    knowledge_age_ms: Gauge<u64, AtomicU64>,
    backends: Gauge<u64, AtomicU64>,
    suspects: Gauge<u64, AtomicU64>,
    avoided: Gauge<u64, AtomicU64>,
    slow: Gauge<u64, AtomicU64>,
    evacuated_zones: Gauge<u64, AtomicU64>,
    admission: AdmissionMetrics,
    load: LoadGauges,
    names: Mutex<BTreeSet<String>>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let histogram = || Histogram::new(ANSWER_BOUNDS);
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            events: Family::default(),
            resets: Family::default(),
            drops: Family::default(),
            placements: Family::default(),
            handshakes: Family::new_with_constructor(histogram),
            answers: Family::new_with_constructor(histogram),
            store_calls: Family::default(),
            unreadable: Counter::default(),
            unsent: Counter::default(),
            log_lines_left_out: Gauge::default(),
            flows: Gauge::default(),
            peers: Gauge::default(),
            follows_store: Gauge::default(),
            version: Gauge::default(),
            knowledge_age_ms: Gauge::default(),
            backends: Gauge::default(),
            suspects: Gauge::default(),
            avoided: Gauge::default(),
            slow: Gauge::default(),
            evacuated_zones: Gauge::default(),
            admission: AdmissionMetrics::default(),
            load: LoadGauges::default(),
            names: Mutex::default(),
        };

        metrics.register();
        metrics
    }
}

impl EntryMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;

        registry.register("events", "Decisions by event of the log", self.events.clone());
        registry.register("resets", "Flows ended, by reason", self.resets.clone());
        registry.register("drops", "Packets dropped, by reason", self.drops.clone());
        registry.register("placements", "New flows placed", self.placements.clone());
        registry.register(
            "handshake_seconds",
            "From an opening packet to the caller's next one",
            self.handshakes.clone(),
        );
        registry.register(
            "answer_seconds",
            "From a request to the acknowledgement of its first answer",
            self.answers.clone(),
        );
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        registry.register("unreadable_packets", "Datagrams not read", self.unreadable.clone());
        registry.register("unsent_packets", "Datagrams not sent", self.unsent.clone());
        registry.register(
            "log_lines_left_out",
            "Log lines left out since the last line that reported it",
            self.log_lines_left_out.clone(),
        );
        registry.register("flows", "Flows remembered", self.flows.clone());
        registry.register("peers", "Other balancers heard of", self.peers.clone());
        registry.register("follows_store", "1 if it follows the store", self.follows_store.clone());
        registry.register("configuration_version", "Version in force", self.version.clone());
        registry.register(
            "knowledge_age_milliseconds",
            "Since the store confirmed what is known, here or at a peer",
            self.knowledge_age_ms.clone(),
        );
        registry.register("backends", "Backend servers that take flows", self.backends.clone());
        registry.register("suspects", "Backend servers that seem dead", self.suspects.clone());
        registry.register(
            "avoided",
            "Backend servers that fail more requests than others",
            self.avoided.clone(),
        );
        registry.register(
            "slow",
            "Backend servers known to be slow if balancers share the pace",
            self.slow.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Availability zones that get no new flows",
            self.evacuated_zones.clone(),
        );
        self.admission.register(registry);
        self.load.register(registry);
    }

    /// Encodes all metrics in the exposition format.
    #[must_use]
    pub fn encode_text(&self) -> String {
        let mut text = String::new();

        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# failed to encode the metrics: {error}\n"),
        }
    }

    /// Counts a decision by its event, and by its reason or placement.
    pub fn on_decision(&self, decision: &Decision) {
        let event = event_name(decision);
        self.events.get_or_create(&EventLabel { event }).inc();

        match decision {
            Decision::Placed(placement) => {
                let label = self.service_zone_label(&placement.service, &placement.zone);
                self.placements.get_or_create(&label).inc();
            }
            Decision::Reset { reason, .. } => {
                self.resets.get_or_create(&ReasonLabel { reason: reason.name() }).inc();
            }
            Decision::Dropped(DroppedPacket { reason, .. }) => {
                self.drops.get_or_create(&ReasonLabel { reason: reason.name() }).inc();
            }
            Decision::Refused(FlowRefusal { service, priority, .. }) => {
                let label = self.service_priority_label(service, *priority);
                self.admission.refusals.get_or_create(&label).inc();
            }
            _ => {}
        }
    }

    /// Records the response time of a backend server. An unknown backend server is ignored.
    pub fn on_answer(&self, knowledge: &Knowledge, answer: AnswerTime) {
        let Some(entry) = knowledge.directory.get(answer.instance) else { return };

        let label = self.service_zone_label(&entry.service, &entry.zone);
        let family = if answer.opening { &self.handshakes } else { &self.answers };
        family.get_or_create(&label).observe(answer.time.as_secs_f64());
    }

    /// Counts a store request by its kind and outcome.
    pub fn on_store_call(&self, kind: StoreKind, is_answered: bool) {
        let kind = match kind {
            StoreKind::Configuration => "configuration",
            StoreKind::Backends => "backends",
            StoreKind::Evacuations => "evacuations",
        };
        let outcome = if is_answered { "answered" } else { "failed" };

        self.store_calls.get_or_create(&StoreCallLabel { kind, outcome }).inc();
    }

    /// Counts a received datagram that is neither a valid packet nor a valid message.
    pub fn on_unreadable(&self) {
        self.unreadable.inc();
    }

    /// Counts a datagram that the operating system did not accept for sending.
    pub fn on_unsent(&self) {
        self.unsent.inc();
    }

    /// Sets the gauges from the state of the policy and the number of unreported dropped log lines.
    pub fn set_gauges(&self, policy: &EntryPolicy, lines_left_out: u64, now: Instant) {
        let knowledge = policy.knowledge();
        let age = knowledge.confirmed_at().map(|at| now.saturating_duration_since(at));

        set_gauge(&self.flows, policy.steering().flow_count());
        set_gauge(&self.peers, policy.keeper().peer_count());
        set_gauge(&self.follows_store, usize::from(policy.keeper().is_watching()));
        set_gauge(&self.backends, knowledge.directory.ready().len());
        set_gauge(&self.suspects, policy.steering().suspects(now).len());
        set_gauge(&self.avoided, policy.steering().avoided_count(now));
        set_gauge(&self.slow, policy.steering().slow_count());
        set_gauge(&self.evacuated_zones, knowledge.evacuated.zones().len());
        if let Some(admission) = policy.steering().admission() {
            self.set_admission_gauges(admission);
        }
        self.version.set(knowledge.routes.version);
        self.knowledge_age_ms.set(age.map_or(MAX_AGE_MS, millis));
        self.log_lines_left_out.set(lines_left_out);
        self.set_load_gauges(policy);
    }

    fn set_load_gauges(&self, policy: &EntryPolicy) {
        let mut loads: BTreeMap<String, LoadValues> = BTreeMap::new();

        for (service, load) in policy.steering().load().services() {
            loads.entry(self.bounded_label(service)).or_default().add(load);
        }
        self.load.replace(loads);
    }

    fn set_admission_gauges(&self, admission: &AdmissionPolicy) {
        set_gauge(&self.admission.short_services, admission.short_count());
        let shares = admission.shares().map(|(service, priority, share)| {
            (self.service_priority_label(service, priority), share)
        });
        self.admission.replace_shares(shares.collect());
    }

    fn service_priority_label(
        &self,
        service: &str,
        priority: RoutePriority,
    ) -> ServicePriorityLabel {
        let service = self.bounded_label(service);

        ServicePriorityLabel { service, priority: u32::from(priority) }
    }

    fn service_zone_label(&self, service: &str, zone: &str) -> ServiceZoneLabel {
        ServiceZoneLabel { service: self.bounded_label(service), zone: self.bounded_label(zone) }
    }

    fn bounded_label(&self, name: &str) -> String {
        let mut names = self.names.lock().unwrap_or_else(std::sync::PoisonError::into_inner);

        if names.contains(name)
            || names.len() < 2 * MAX_LABEL_NAMES && names.insert(name.to_owned())
        {
            name.to_owned()
        } else {
            "other".to_owned()
        }
    }
}

fn set_gauge(gauge: &Gauge<u64, AtomicU64>, value: usize) {
    gauge.set(u64::try_from(value).unwrap_or(u64::MAX));
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(MAX_AGE_MS).min(MAX_AGE_MS)
}
