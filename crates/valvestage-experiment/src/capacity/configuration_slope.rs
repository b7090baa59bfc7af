//! Size and installation time of configuration and owner map, by backend servers and services.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use valvestage_core::{Configuration, RawConfiguration};
use valvestage_policy::BalancerPolicy;
use valvestage_policy::balancer::BalancerOptions;
use valvestage_policy::control::{OwnerEntry, OwnerMap, RawOwnerMap};
use valvestage_policy::flows::place;
use valvestage_policy::rendezvous::mix;

use crate::deployment::{backend, service, zone_name};
use crate::table::Table;

/// Numbers of backend servers and services: the present size, two intermediate sizes, and the size
/// that the design is for.
const SIZES: [(u32, u16); 4] = [(18, 2), (270, 130), (1_350, 650), (2_700, 1_300)];

const PLACEMENTS: u64 = 200_000;

/// Prints the tables of the configuration and of the owner map.
pub fn print_tables() {
    let mut table = Table::new(&[
        "backend servers",
        "services",
        "bytes as stored",
        "bytes between peers",
        "ms to check and install",
        "ns a placement",
    ]);
    for (backends, services) in SIZES {
        let raw = raw_configuration(backends, services);
        table.add_row(&[
            backends.to_string(),
            services.to_string(),
            serde_json::to_vec(&raw).map_or(0, |json| json.len()).to_string(),
            postcard::to_stdvec(&raw).map_or(0, |encoded| encoded.len()).to_string(),
            format!("{:.2}", install_millis(&raw)),
            format!("{:.0}", placement_nanoseconds(&raw)),
        ]);
    }
    table.print("Configuration");

    let mut table =
        Table::new(&["services", "bytes as stored", "bytes between peers", "ms to install"]);
    for (_, services) in SIZES {
        let map = owner_map(services);
        table.add_row(&[
            services.to_string(),
            serde_json::to_vec(&map).map_or(0, |json| json.len()).to_string(),
            postcard::to_stdvec(&map).map_or(0, |encoded| encoded.len()).to_string(),
            format!("{:.2}", owner_map_millis(map)),
        ]);
    }
    table.print("Owner map");
}

fn raw_configuration(backends: u32, services: u16) -> RawConfiguration {
    let record = |id: u32| {
        let service = u16::try_from(id % u32::from(services)).unwrap_or(0) + 1;
        backend(id, service, 3, 7)
    };

    RawConfiguration {
        change_id: "change".to_owned(),
        services: (1..=services).map(service).collect(),
        backends: (1..=backends).map(record).collect(),
        stopped_zones: std::collections::BTreeSet::new(),
    }
}

fn install_millis(raw: &RawConfiguration) -> f64 {
    let mut policy: BalancerPolicy<Vec<u8>> =
        BalancerPolicy::new(BalancerOptions::new(1, zone_name(0)));
    let now = SystemTime::now();
    let mut millis = 0.0;

    // Only the second installation counts: it replaces a configuration, as happens 430 times a day.
    for version in [1, 2] {
        let began = Instant::now();
        let checked = Configuration::try_from((version, raw.clone()))
            .expect("generated records must form a valid configuration");
        policy.install_configuration(now, &Arc::new(checked));
        millis = began.elapsed().as_secs_f64() * 1_000.0;
    }
    millis
}

fn placement_nanoseconds(raw: &RawConfiguration) -> f64 {
    let checked = Configuration::try_from((1, raw.clone()))
        .expect("generated records must form a valid configuration");

    let began = Instant::now();
    for number in 0..PLACEMENTS {
        black_box(place(&checked, 1, mix(number, 1), |_| true));
    }
    #[allow(clippy::cast_precision_loss)]
    let nanoseconds = began.elapsed().as_nanos() as f64 / PLACEMENTS as f64;
    nanoseconds
}

fn owner_map(services: u16) -> RawOwnerMap {
    let entry = |service: u16| OwnerEntry {
        owner: u32::from(service) % 56,
        lease: 1_800_000_000_000 + u64::from(service),
        covers_from_ms: 1_800_000_000_000,
        handover: None,
    };
    let entries: BTreeMap<u16, OwnerEntry> =
        (1..=services).map(|service| (service, entry(service))).collect();

    RawOwnerMap { change_id: "owners-1-1800000000000-1".to_owned(), entries }
}

fn owner_map_millis(raw: RawOwnerMap) -> f64 {
    let mut policy: BalancerPolicy<Vec<u8>> =
        BalancerPolicy::new(BalancerOptions::new(1, zone_name(0)));
    let map = OwnerMap { version: 1, raw };

    let began = Instant::now();
    policy.install_owner_map(SystemTime::now(), &map, &mut Vec::new());
    began.elapsed().as_secs_f64() * 1_000.0
}
