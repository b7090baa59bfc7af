//! Settings of `valvestage-entry`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::errors::CoreError;
use crate::ids::{RegionName, ZoneName};

/// Link speed, in megabits per second, where the settings give none: that of the slowest link that
/// entry VMs have.
const DEFAULT_LINK_MBPS: f64 = 10.0;

/// Interval between the heartbeats of a backend server where the settings give none, in
/// milliseconds.
const DEFAULT_HEARTBEAT_MS: u64 = 770;

/// Percentage of the capacity of a service that each priority gets at least where the settings give
/// none, so that callers of no class are refused entirely.
const DEFAULT_FLOOR_PERCENT: f64 = 5.0;

/// Settings file of one entry VM, not yet validated.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntrySettings {
    /// Name of this VM.
    pub name: String,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Region of each availability zone; a zone that is not listed counts as being in the same
    /// region.
    #[serde(default)]
    pub zone_regions: BTreeMap<ZoneName, RegionName>,
    /// Whether operators may evacuate availability zones.
    #[serde(default)]
    pub evacuations: bool,
    /// Limit on the requests per second sent to a cold backend server, as a multiple of its cold
    /// rate. `None` means 1 if `cold_slack` is set, and no limit otherwise.
    pub cold_over: Option<f64>,
    /// Requests per second that a cold backend server may get beyond that multiple. `None` means 0
    /// if `cold_over` is set, and no limit otherwise.
    pub cold_slack: Option<f64>,
    /// Admission control; `None` disables it.
    pub admission: Option<RawAdmissionSettings>,
    /// Whether balancers tell each other how fast backend servers answer.
    #[serde(default)]
    pub pace_sharing: bool,
    /// UDP address at which packets of callers arrive.
    pub data_address: SocketAddrV4,
    /// TCP address at which the routers probe readiness.
    pub ready_address: SocketAddrV4,
    /// TCP address at which metrics are served.
    pub control_address: SocketAddrV4,
    /// UDP port of messages between balancers, the same on every VM.
    pub peer_port: u16,
    /// IP address at which other balancers reach this one; that of `data_address` if `None`.
    pub advertised_ip: Option<Ipv4Addr>,
    /// Bandwidth at which the link of this VM sends, in megabits per second; 10 if `None`.
    pub link_mbps: Option<f64>,
    /// Interval between the heartbeats of a backend server, in milliseconds; 770 if `None`.
    pub heartbeat_ms: Option<u64>,
    /// Whether this is the first start of the whole deployment.
    #[serde(default)]
    pub first_start: bool,
    /// Control addresses of some entry VMs that may be running.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// TCP address of the platform's store.
    pub store_address: SocketAddrV4,
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub stop_within_s: f64,
}

/// Settings of admission control, not yet validated.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAdmissionSettings {
    /// Percentage of the capacity of a service that each priority gets at least; 5 if `None`.
    pub floor_percent: Option<f64>,
}

/// Validated settings of one entry VM.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// Name of this VM; not empty.
    pub name: String,
    /// Availability zone of this VM; not empty.
    pub zone: ZoneName,
    /// Availability zones known to be in other regions than this VM's; never its own zone.
    pub other_region_zones: BTreeSet<ZoneName>,
    /// Region of each availability zone for which one is configured.
    pub zone_regions: BTreeMap<ZoneName, RegionName>,
    /// Whether operators may evacuate availability zones.
    pub has_evacuations: bool,
    /// Limit on the requests sent to cold backend servers; `None` if the settings set no limit.
    pub cold_limit: Option<ColdSettings>,
    /// Admission control; `None` if the settings do not enable it.
    pub admission: Option<AdmissionSettings>,
    /// Whether balancers tell each other how fast backend servers answer.
    pub has_pace_sharing: bool,
    /// UDP address at which packets of callers arrive.
    pub data_address: SocketAddrV4,
    /// TCP address at which the routers probe readiness.
    pub ready_address: SocketAddrV4,
    /// TCP address at which metrics are served.
    pub control_address: SocketAddrV4,
    /// UDP address at which messages from other balancers arrive.
    pub peer_address: SocketAddrV4,
    /// UDP address at which other balancers reach this one; differs from `peer_address` only if a
    /// relay lies between them.
    pub advertised_address: SocketAddrV4,
    /// Bandwidth at which the link of this VM sends, in megabits per second; 1 to 1,000,000.
    pub link_mbps: f64,
    /// Interval between the heartbeats of a backend server; 100 ms to 10 s.
    pub heartbeat: Duration,
    /// Whether this is the first start of the whole deployment.
    pub is_first_start: bool,
    /// Peer addresses of some entry VMs that may be running, without this one.
    pub seeds: Vec<SocketAddrV4>,
    /// TCP address of the platform's store.
    pub store_address: SocketAddrV4,
    /// Time between SIGTERM and SIGKILL; 1 s to 10 minutes.
    pub stop_timeout: Duration,
}

/// Settings of admission control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Percentage of the capacity of a service that each priority gets at least; 0 to 20.
    pub floor_percent: f64,
}

/// Limit on the requests sent to a cold backend server whose service has a configured cold rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSettings {
    /// Factor applied to the cold rate; above 0, at most 1,000.
    pub rate_factor: f64,
    /// Requests per second allowed in addition; 0 to 1,000,000.
    pub extra_rate: f64,
}

impl EntrySettings {
    /// Returns the availability zones named in the settings, including that of this VM.
    #[must_use]
    pub fn zones(&self) -> BTreeSet<ZoneName> {
        let named = self.zone_regions.keys().cloned();

        named.chain([self.zone.clone()]).collect()
    }

    /// Reads and validates a settings file.
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

        let admission = raw.admission.map(|admission| AdmissionSettings {
            floor_percent: admission.floor_percent.unwrap_or(DEFAULT_FLOOR_PERCENT),
        });
        if let Some(AdmissionSettings { floor_percent }) = admission
            && !(0.0..=20.0).contains(&floor_percent)
        {
            return refuse("admission.floor_percent", floor_percent.to_string(), "0 to 20");
        }

        let own_ip = *raw.data_address.ip();
        let advertised_ip = raw.advertised_ip.unwrap_or(own_ip);
        let seeds = raw.seeds.iter().map(|seed| *seed.ip());
        let seeds = seeds.filter(|ip| *ip != own_ip && *ip != advertised_ip);
        Ok(Self {
            name: raw.name,
            other_region_zones: zones_in_other_regions(&raw.zone, &raw.zone_regions),
            zone_regions: raw.zone_regions,
            has_evacuations: raw.evacuations,
            cold_limit: is_limited
                .then_some(ColdSettings { rate_factor: cold_over, extra_rate: cold_slack }),
            admission,
            has_pace_sharing: raw.pace_sharing,
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
            stop_timeout: Duration::from_secs_f64(raw.stop_within_s),
        })
    }
}

/// Returns the zones whose configured region differs from that of `zone`; empty if the region of
/// `zone` is not configured.
fn zones_in_other_regions(
    zone: &ZoneName,
    regions: &BTreeMap<ZoneName, RegionName>,
) -> BTreeSet<ZoneName> {
    let Some(own) = regions.get(zone) else { return BTreeSet::new() };
    let others = regions.iter().filter(|(_, region)| *region != own);

    others.map(|(zone, _)| zone.clone()).collect()
}
