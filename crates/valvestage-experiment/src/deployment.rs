//! Service sizes and generated records that the experiments share.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use valvestage_core::ids::{BackendId, ServiceId};
use valvestage_core::{Backend, BackendState, Configuration, RawConfiguration, Service};

/// Size of one service, with the network delays of its region.
#[derive(Debug, Clone, Copy)]
pub struct ServiceSize {
    /// Name in the headings of tables.
    pub name: &'static str,
    /// Number of backend servers.
    pub backends: u32,
    /// Slots of each backend server.
    pub slots: u16,
    /// Number of availability zones.
    pub zones: usize,
    /// One-way delay between availability zones.
    pub inter_zone_delay: Duration,
    /// One-way delay between a caller and a balancer.
    pub caller_delay: Duration,
}

/// The services of both deployments: two in a region with three zones, two in one with four.
pub const SIZES: [ServiceSize; 4] = [
    ServiceSize {
        name: "rencontre-core",
        backends: 14,
        slots: 3,
        zones: 3,
        inter_zone_delay: Duration::from_millis(1),
        caller_delay: Duration::from_millis(3),
    },
    ServiceSize {
        name: "photo-store",
        backends: 4,
        slots: 3,
        zones: 3,
        inter_zone_delay: Duration::from_millis(1),
        caller_delay: Duration::from_millis(3),
    },
    ServiceSize {
        name: "escuta",
        backends: 14,
        slots: 2,
        zones: 4,
        inter_zone_delay: Duration::from_micros(500),
        caller_delay: Duration::from_millis(1),
    },
    ServiceSize {
        name: "ondas",
        backends: 4,
        slots: 2,
        zones: 4,
        inter_zone_delay: Duration::from_micros(500),
        caller_delay: Duration::from_millis(1),
    },
];

/// Number of balancers of a deployment of the present size.
pub const BALANCERS: u32 = 8;

/// Returns the fixed point in time at which all models start.
pub fn start_time() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

/// Returns the name of an availability zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// Creates a backend server record. Ids are assigned to the zones in rotation.
pub fn backend(id: BackendId, service: ServiceId, slots: u16, zones: usize) -> Backend {
    let [_, high, middle, low] = id.to_be_bytes();

    Backend {
        id,
        name: format!("backend-{id}"),
        service,
        zone: zone_name(id as usize % zones),
        address: SocketAddr::from(([10, high, middle, low], 7_000)),
        incarnation: 1,
        slots,
        connections: 2_000,
        weight: 100,
        state: BackendState::Active,
    }
}

/// Creates a service record.
pub fn service(id: ServiceId) -> Service {
    let [high, low] = id.to_be_bytes();

    Service {
        id,
        name: format!("service-{id}"),
        address: SocketAddr::from(([203, 0, high, low], 80)),
    }
}

/// Creates a configuration of generated services and the given backend servers.
pub fn configuration(version: u64, services: u16, backends: Vec<Backend>) -> Configuration {
    let raw = RawConfiguration {
        change_id: format!("change-{version}"),
        services: (1..=services).map(service).collect(),
        backends,
        stopped_zones: BTreeSet::new(),
    };

    Configuration::try_from((version, raw))
        .expect("generated records must form a valid configuration")
}
