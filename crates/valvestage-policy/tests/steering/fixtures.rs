//! Fixtures shared by the steering tests.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};
use valvestage_core::StorePosition;
use valvestage_policy::steering::health::caller_digest::caller_digest;
use valvestage_policy::steering::peers::peer_message::SuspicionReport;
use valvestage_policy::steering::{
    BackendEntry, BackendName, BackendPhase, CallerPacket, FlowAddresses, Knowledge, RouteMap,
    RouteTarget,
};

/// Availability zone of the balancer under test.
pub const OWN_ZONE: &str = "zone-a";

/// Another availability zone.
pub const OTHER_ZONE: &str = "zone-b";

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a position in the first era of the store.
pub fn at(revision: u64) -> StorePosition {
    StorePosition::new(0, revision)
}

pub fn address(last: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), port)
}

/// Returns the service address with a port, which callers send to.
pub fn service_address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

/// Returns the flow from a port of the caller with the same number. No two of these flows have a
/// caller in common, so what they miss is independent.
pub fn flow(caller_port: u16) -> FlowAddresses {
    let [high, low] = caller_port.to_be_bytes();
    let caller = SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), caller_port);

    FlowAddresses { caller, service: service_address(443) }
}

/// Returns the report of a balancer that suspects a backend server, since some callers miss answers
/// on open flows there.
pub fn suspicion(instance: u64, callers: &[FlowAddresses]) -> SuspicionReport {
    let callers = callers.iter().map(|flow| caller_digest(*flow.caller.ip()));

    SuspicionReport { instance, callers: callers.collect() }
}

pub fn target(service: &str, weight: u32) -> RouteTarget {
    RouteTarget { service: service.to_owned(), weight }
}

pub fn routes(version: u64, targets: &[(u16, &str)]) -> RouteMap {
    let routes =
        targets.iter().map(|(port, service)| (service_address(*port), vec![target(service, 1)]));

    RouteMap { version, routes: routes.collect(), idle_timeout_ms: 15_000, ..Default::default() }
}

/// Returns the name of a backend server whose number equals its incarnation.
pub fn name_of(instance: u64) -> BackendName {
    BackendName { digest: 0, number: instance }
}

pub fn backend(instance: u64, service: &str, zone: &str) -> BackendEntry {
    BackendEntry {
        instance,
        name: name_of(instance),
        born: None,
        position: at(instance),
        service: service.to_owned(),
        address: address(u8::try_from(instance % 250).unwrap(), 8_080),
        zone: zone.to_owned(),
        slots: 2,
        cold_until: None,
        phase: BackendPhase::Ready,
        missing_until: None,
        listed_at: None,
    }
}

/// Returns complete knowledge with the given backend servers, where port 443 is routed to `core`
/// and port 80 to `photos`.
pub fn knowledge(backends: &[BackendEntry]) -> Knowledge {
    let mut knowledge = Knowledge::default();
    knowledge.replace_routes(routes(1, &[(443, "core"), (80, "photos")]));
    knowledge.confirm(Some(start()));

    for entry in backends {
        knowledge.directory.put(entry.clone());
    }
    knowledge.directory.complete(at(1_000));
    knowledge
}

/// Returns the opening packet of a flow after this number of retransmissions.
pub fn opening(flow: FlowAddresses, retransmissions: u32) -> CallerPacket {
    CallerPacket {
        flow,
        opening: true,
        closing: false,
        reset: false,
        token: 0,
        sequence: 1_000,
        acknowledged: retransmissions,
        data_length: 0,
    }
}

/// Returns a later packet of a flow.
pub fn data(flow: FlowAddresses, token: u32, sequence: u32, length: u32, ack: u32) -> CallerPacket {
    CallerPacket {
        opening: false,
        token,
        sequence,
        acknowledged: ack,
        data_length: length,
        ..opening(flow, 0)
    }
}

pub fn start() -> Instant {
    Instant::now()
}

/// Returns a property tester with a fixed seed.
pub fn seeded() -> QuickCheck {
    QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(100, 42))
}
