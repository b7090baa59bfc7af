//! All metrics of one balancer.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use valvestage_core::{RefusalReason, RetryReason};
use valvestage_policy::flows::FlowSource;

use super::labels::{DirectionLabel, PlatformLabel, ReasonLabel, RetryLabel, SourceLabel};

/// Prefix of all metric names.
const PREFIX: &str = "valvestage";

/// Counters and gauges of one balancer, shared by all of its threads.
#[derive(Debug, Default)]
pub struct BalancerMetrics {
    /// Datagrams received.
    pub received: Counter,
    /// Datagrams sent.
    pub sent: Counter,
    /// Datagrams that the operating system did not accept for sending.
    pub send_failures: Counter,
    /// Batches dropped because a ring was full.
    pub ring_overflows: Counter,
    /// Refusals and dropped packets, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Retries of requests, by reason.
    pub retries: Family<RetryLabel, Counter>,
    /// Flow packets forwarded to a backend server, by the layer that found the backend server.
    pub flow_packets: Family<SourceLabel, Counter>,
    /// Packets and requests relayed to other balancers.
    pub relayed: Counter,
    /// Answers sent to callers; an answer of several segments counts once.
    pub answers: Counter,
    /// Attempts sent to backend servers, first attempts and retries alike.
    pub dispatches: Counter,
    /// Bytes of control traffic with peers, by direction.
    pub control_bytes: Family<DirectionLabel, Gauge<u64, AtomicU64>>,
    /// Platform calls, by kind of call and result.
    pub platform_calls: Family<PlatformLabel, Counter>,
    /// Flows in the flow table.
    pub flows: Gauge<u64, AtomicU64>,
    /// Memory allocated by the flow table, in bytes.
    pub flow_table_bytes: Gauge<u64, AtomicU64>,
    /// Request slots in use at the backend servers of services that this balancer owns.
    pub busy_slots: Gauge<u64, AtomicU64>,
    /// Requests queued at services that this balancer owns.
    pub waiting: Gauge<u64, AtomicU64>,
    /// Version of the installed configuration.
    pub configuration_version: Gauge<u64, AtomicU64>,
    /// Milliseconds since the platform last answered this balancer or a peer.
    pub configuration_age_ms: Gauge<u64, AtomicU64>,
    /// Live balancers, this one included.
    pub live_balancers: Gauge<u64, AtomicU64>,
    /// Bindings copied to other balancers.
    pub bindings_copied: Counter,
}

impl BalancerMetrics {
    /// Counts a refusal or a dropped packet.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals.get_or_create(&reason.into()).inc();
    }

    /// Counts a retry of a request.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.get_or_create(&reason.into()).inc();
    }

    /// Counts a flow packet forwarded to a backend server.
    pub fn count_flow_packet(&self, source: FlowSource) {
        self.flow_packets.get_or_create(&source.into()).inc();
    }

    /// Returns all metrics in the OpenMetrics text format.
    #[must_use]
    pub fn to_openmetrics(&self) -> String {
        let mut text = String::new();

        match encode(&mut text, &self.registry()) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }

    fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix(PREFIX);
        let r = &mut registry;

        // Metrics of the data path.
        r.register("received", "Datagrams received", self.received.clone());
        r.register("sent", "Datagrams sent", self.sent.clone());
        r.register(
            "send_failures",
            "Datagrams not taken by the system",
            self.send_failures.clone(),
        );
        r.register("ring_overflows", "Batches shed at a full ring", self.ring_overflows.clone());
        r.register("refusals", "Refusals and drops", self.refusals.clone());
        r.register("retries", "Retries", self.retries.clone());
        r.register("flow_packets", "Flow packets steered", self.flow_packets.clone());
        r.register("relayed", "Packets relayed to other balancers", self.relayed.clone());
        r.register("answers", "Requests answered", self.answers.clone());
        r.register("dispatches", "Attempts sent to backend servers", self.dispatches.clone());
        r.register("flows", "Flows in the table", self.flows.clone());
        r.register("flow_table_bytes", "Memory of the table", self.flow_table_bytes.clone());
        r.register("busy_slots", "Slots in use", self.busy_slots.clone());
        r.register("waiting", "Requests that wait", self.waiting.clone());

        // Metrics of the control thread.
        r.register("control_bytes", "Control traffic with peers", self.control_bytes.clone());
        r.register("platform_calls", "Platform calls", self.platform_calls.clone());
        r.register("configuration_version", "In force", self.configuration_version.clone());
        r.register("configuration_age_ms", "Since heard", self.configuration_age_ms.clone());
        r.register("live_balancers", "Live balancers", self.live_balancers.clone());
        r.register("bindings_copied", "Bindings copied", self.bindings_copied.clone());

        registry
    }
}
