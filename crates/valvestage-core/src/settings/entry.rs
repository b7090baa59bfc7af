//! Settings of `valvestage-entry`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::errors::CoreError;
use crate::ids::{RegionName, ZoneName};

/// The slowest link that entry VMs have.
const DEFAULT_LINK_MBPS: f64 = 10.0;

/// Time between two heartbeats of a backend server where the settings do not tell it, milliseconds.
const DEFAULT_HEARTBEAT_MS: u64 = 770;

/// `RawEntrySettings` is the settings file as written, unchecked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntrySettings {
    /// Name of this VM.
    pub name: String,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Region of each availability zone; zones that are not named are in no other region.
    #[serde(default)]
    pub zone_regions: BTreeMap<ZoneName, RegionName>,
    /// Whether operators evacuate availability zones.
    #[serde(default)]
    pub evacuations: bool,
    /// Times its rate that a cold backend server may get, requests a second.
    pub cold_over: Option<f64>,
    /// Requests a second that it may get beyond that.
    pub cold_slack: Option<f64>,
    /// UDP address at which callers' packets arrive.
    pub data_address: SocketAddrV4,
    /// TCP address at which the routers ask for readiness.
    pub ready_address: SocketAddrV4,
    /// TCP address of metrics.
    pub control_address: SocketAddrV4,
    /// UDP port of messages between balancers, the same on every VM.
    pub peer_port: u16,
    /// IP address by which other balancers reach this one, where it is not that of `data_address`.
    pub advertised_ip: Option<Ipv4Addr>,
    /// What the link of this VM sends, megabits a second.
    pub link_mbps: Option<f64>,
    /// Time between two heartbeats of a backend server, milliseconds.
    pub heartbeat_ms: Option<u64>,
    /// Whether the whole deployment starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Control addresses of some VMs that may be up.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// TCP address of the platform's store.
    pub store_address: SocketAddrV4,
    /// Time between SIGTERM and SIGKILL, seconds.
    pub stop_within_s: f64,
}

/// `EntrySettings` is the checked settings of one entry VM.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// Name of this VM; not empty.
    pub name: String,
    /// Availability zone of this VM; not empty.
    pub zone: ZoneName,
    /// Availability zones of other regions; never the own one.
    pub other_region_zones: BTreeSet<ZoneName>,
    /// The region of each availability zone, as far as it is known.
    pub zone_regions: BTreeMap<ZoneName, RegionName>,
    /// Whether operators evacuate availability zones.
    pub has_evacuations: bool,
    /// What cold backend servers may get, where that is limited.
    pub cold_limit: Option<ColdSettings>,
    /// UDP address at which callers' packets arrive.
    pub data_address: SocketAddrV4,
    /// TCP address at which the routers ask for readiness.
    pub ready_address: SocketAddrV4,
    /// TCP address of metrics.
    pub control_address: SocketAddrV4,
    /// UDP address at which messages of other balancers arrive.
    pub peer_address: SocketAddrV4,
    /// UDP address by which other balancers know this one; the same unless a relay stands between.
    pub advertised_address: SocketAddrV4,
    /// What the link of this VM sends, megabits a second; 1 to 1,000,000.
    pub link_mbps: f64,
    /// Time between two heartbeats of a backend server; 100 ms to 10 s.
    pub heartbeat: Duration,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Peer addresses of some VMs that may be up, without this one.
    pub seeds: Vec<SocketAddrV4>,
    /// TCP address of the platform's store.
    pub store_address: SocketAddrV4,
    /// Time between SIGTERM and SIGKILL; 1 s to 10 minutes.
    pub stop_within: Duration,
}

/// `ColdSettings` says how much a cold backend server may get whose service has a rate for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSettings {
    /// Times its rate; above 0, at most 1,000.
    pub over: f64,
    /// Requests a second beyond that; 0 to 1,000,000.
    pub slack: f64,
}

impl EntrySettings {
    /// `zones` gives the availability zones that are known, the own one among them.
    #[must_use]
    pub fn zones(&self) -> BTreeSet<ZoneName> {
        let named = self.zone_regions.keys().cloned();

        named.chain([self.zone.clone()]).collect()
    }

    /// `read` reads and checks a settings file.
    pub fn read(file: &Path) -> Result<Self, CoreError> {
        let raw: RawEntrySettings = super::read_raw(file)?;

        Self::try_from((file, raw))
    }
}

impl TryFrom<(&Path, RawEntrySettings)> for EntrySettings {
    type Error = CoreError;

    fn try_from((file, raw): (&Path, RawEntrySettings)) -> Result<Self, CoreError> {
        let refuse = |key, value: String, accepted| {
            Err(CoreError::BadSetting { file: file.display().to_string(), key, value, accepted })
        };

        if raw.name.is_empty() {
            return refuse("name", "\"\"".into(), "the name of this VM");
        }
        if raw.zone.is_empty() {
            return refuse("zone", "\"\"".into(), "the name of an availability zone");
        }
        if raw.peer_port == 0 {
            return refuse("peer_port", "0".into(), "1 to 65535");
        }
        if !(1.0..=600.0).contains(&raw.stop_within_s) {
            return refuse("stop_within_s", raw.stop_within_s.to_string(), "1 to 600");
        }

        let link_mbps = raw.link_mbps.unwrap_or(DEFAULT_LINK_MBPS);
        if !(1.0..=1e6).contains(&link_mbps) {
            return refuse("link_mbps", link_mbps.to_string(), "1 to 1000000");
        }

        let heartbeat_ms = raw.heartbeat_ms.unwrap_or(DEFAULT_HEARTBEAT_MS);
        if !(100..=10_000).contains(&heartbeat_ms) {
            return refuse("heartbeat_ms", heartbeat_ms.to_string(), "100 to 10000");
        }

        let cold_over = raw.cold_over.unwrap_or(1.0);
        if !(cold_over > 0.0 && cold_over <= 1_000.0) {
            return refuse("cold_over", cold_over.to_string(), "above 0, at most 1000");
        }
        let cold_slack = raw.cold_slack.unwrap_or(0.0);
        if !(0.0..=1e6).contains(&cold_slack) {
            return refuse("cold_slack", cold_slack.to_string(), "0 to 1000000");
        }
        let is_limited = raw.cold_over.is_some() || raw.cold_slack.is_some();

        let own_ip = *raw.data_address.ip();
        let advertised_ip = raw.advertised_ip.unwrap_or(own_ip);
        let seeds = raw.seeds.iter().map(|seed| *seed.ip());
        let seeds = seeds.filter(|ip| *ip != own_ip && *ip != advertised_ip);
        Ok(Self {
            name: raw.name,
            other_region_zones: other_region_zones(&raw.zone, &raw.zone_regions),
            zone_regions: raw.zone_regions,
            has_evacuations: raw.evacuations,
            cold_limit: is_limited.then_some(ColdSettings { over: cold_over, slack: cold_slack }),
            zone: raw.zone,
            data_address: raw.data_address,
            ready_address: raw.ready_address,
            control_address: raw.control_address,
            peer_address: SocketAddrV4::new(own_ip, raw.peer_port),
            advertised_address: SocketAddrV4::new(advertised_ip, raw.peer_port),
            link_mbps,
            heartbeat: Duration::from_millis(heartbeat_ms),
            is_first_start: raw.first_start,
            seeds: seeds.map(|ip| SocketAddrV4::new(ip, raw.peer_port)).collect(),
            store_address: raw.store_address,
            stop_within: Duration::from_secs_f64(raw.stop_within_s),
        })
    }
}

/// The zones whose region is known to be another one than that of a zone.
fn other_region_zones(
    zone: &ZoneName,
    regions: &BTreeMap<ZoneName, RegionName>,
) -> BTreeSet<ZoneName> {
    let Some(own) = regions.get(zone) else { return BTreeSet::new() };
    let far = regions.iter().filter(|(_, region)| *region != own);

    far.map(|(zone, _)| zone.clone()).collect()
}
