//! Metrics of the load of services.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use valvestage_core::StorePosition;
use valvestage_entry::entry_metrics::EntryMetrics;
use valvestage_policy::steering::{
    AdmissionOptions, BackendEntry, BackendName, BackendPhase, BackendUpdate, CallerPacket,
    EntryChange, EntryOptions, EntryPolicy, FlowAddresses, RequestClass, RequestKind, RouteMap,
    RouteTarget, SteeringOptions, StoreReply,
};

const TICK: Duration = Duration::from_millis(100);

/// Number of services, which is more than metrics tell apart.
const SERVICES: u16 = 200;

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

fn service(number: u16) -> String {
    format!("service-{number}")
}

fn routes() -> RouteMap {
    let class = RequestClass {
        priority: 1,
        kind: RequestKind::Idempotent,
        target_latency_ms: 400,
        timeout_ms: 2_500,
    };
    let target = |number| vec![RouteTarget { service: service(number), weight: 1 }];
    let ports = 1..=SERVICES;

    RouteMap {
        version: 1,
        routes: ports.clone().map(|port| (address(port), target(port))).collect(),
        request_classes: ports.map(|port| (address(port), class)).collect(),
        idle_timeout_ms: 15_000,
        ..RouteMap::default()
    }
}

fn backend(number: u16) -> BackendUpdate {
    let name = BackendName { digest: 0, number: number.into() };
    let position = StorePosition::new(0, 1);
    let entry = BackendEntry {
        instance: number.into(),
        name,
        born: None,
        position,
        service: service(number),
        address: address(8_080),
        zone: "zone-a".to_owned(),
        slots: 2,
        cold_until: None,
        phase: BackendPhase::Ready,
        missing_until: None,
        listed_at: None,
    };

    BackendUpdate { name, position, change: EntryChange::Written(entry) }
}

/// Returns the policy of a lone balancer with a backend server for each service.
fn policy(admission: Option<AdmissionOptions>, now: Instant) -> EntryPolicy {
    let zone = "zone-a".to_owned();
    let options = EntryOptions {
        steering: SteeringOptions { zone, admission, ..SteeringOptions::default() },
        peer_address: address(7_000),
        seeds: Vec::new(),
        link_mbps: 10.0,
        evacuable_zones: None,
        is_first_start: true,
        seed: 1,
    };
    let mut policy = EntryPolicy::new(options, now);
    let position = StorePosition::new(0, 2);

    policy.on_tick(now);
    let page = StoreReply::Page { objects: vec![routes()], next_after: None, position };
    policy.on_routes_reply(page, now);
    let objects = (1..=SERVICES).map(backend).collect();
    policy.on_backends_reply(StoreReply::Page { objects, next_after: None, position }, now);
    policy
}

/// Returns the values of a gauge by service, after a flow was opened to each service.
fn gauge(admission: Option<AdmissionOptions>, name: &str) -> HashMap<String, f64> {
    let now = Instant::now();
    let mut policy = policy(admission, now);
    for port in 1..=SERVICES {
        let flow = FlowAddresses { caller: address(port), service: address(port) };
        let packet = CallerPacket {
            flow,
            opening: true,
            closing: false,
            reset: false,
            token: 0,
            sequence: 1_000,
            acknowledged: 0,
            data_length: 0,
        };
        policy.on_packet(&packet, now);
    }
    policy.on_tick(now + TICK);
    let metrics = EntryMetrics::default();
    metrics.set_gauges(&policy, 0, now + TICK);

    let prefix = format!("valvestage_entry_{name}{{service=\"");
    let text = metrics.encode_text();
    let lines = text.lines().filter_map(|line| line.strip_prefix(prefix.as_str()));
    let values = lines.filter_map(|line| line.split_once("\"} "));
    values.map(|(service, value)| (service.to_owned(), value.parse().unwrap())).collect()
}

/// Guards against a number of time series that grows with the configuration, and against load that
/// is missing from the sum.
#[test]
fn services_beyond_the_limit_are_summed_up() {
    let slots = gauge(Some(AdmissionOptions { floor: 0.05 }), "fleet_slots");

    assert!(slots.len() <= 129 && slots.contains_key("other"), "{}", slots.len());
    let sum: f64 = slots.values().sum();
    assert!((sum - 2.0 * f64::from(SERVICES)).abs() < 1e-6, "{sum}");
}

#[test]
fn without_admission_control_there_is_no_load() {
    assert!(gauge(None, "fleet_slots").is_empty());
}
