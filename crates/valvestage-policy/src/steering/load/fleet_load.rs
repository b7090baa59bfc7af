//! The load that all balancers' callers cause together.
//!
//! Each balancer hears from some balancers of each zone within a second, and takes these as a
//! sample of the zone, as [`FleetDemand`] does. A balancer that does not report a service is left
//! out of the sample, since reports are only sent while a service is busy.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::{ServiceName, ZoneName};

use super::load_meter::{LoadMeter, MeasuredLoad};
use super::load_sum::LoadSum;
use super::service_load::ServiceLoad;
use super::usable_slots::UsableByService;
use crate::steering::knowledge::Knowledge;
use crate::steering::peers::peer_message::{ServiceDigest, ServiceLoadReport};
use crate::steering::placement::fleet_demand::{
    FleetDemand, MAX_ZONE_SILENCE, UsableBackends, service_digest,
};

/// A balancer counts towards a usable estimate for this time after it was last heard.
pub(super) const RECENT: Duration = Duration::from_secs(2);

/// Number of other balancers heard recently that makes an estimate usable in every deployment.
const MAX_REQUIRED_PEERS: usize = 8;

/// In a smaller deployment, one of this many known balancers has to be heard.
const KNOWN_PER_REQUIRED: usize = 10;

/// Number of other balancers whose load makes up a usable estimate. When a service gets busy, eight
/// reports take a second longer to arrive than three, and a burst is over by then.
const MAX_REQUIRED_REPORTS: usize = 3;

/// Share of its slots in use from which on the load of a service is reported.
const REPORTED_FROM: f64 = 0.5;

/// Maximum number of services reported in a heartbeat.
const MAX_REPORTED_SERVICES: usize = 8;

/// Maximum size of all load reports of a heartbeat in the codec's encoding, in bytes: enough for
/// four services with two classes each and usual numbers. Heartbeats have no room for more while
/// many backend servers fail.
pub const MAX_LOAD_BYTES: usize = 96;

/// The latest report of another balancer.
#[derive(Debug)]
struct PeerLoad {
    zone: ZoneName,
    at: Instant,
    loads: Vec<(ServiceDigest, MeasuredLoad)>,
}

/// What an estimate is computed from, apart from the reports of other balancers.
pub(in crate::steering) struct LoadInputs<'a> {
    /// Availability zone of this balancer.
    pub(in crate::steering) own_zone: &'a ZoneName,
    /// What is known of routes.
    pub(in crate::steering) knowledge: &'a Knowledge,
    /// Load of this balancer.
    pub(in crate::steering) meter: &'a LoadMeter,
    /// Backend servers that can be used, by service and zone.
    pub(in crate::steering) usable: UsableByService<'a>,
    /// Number of other balancers known, including those not heard from yet.
    pub(in crate::steering) peer_count: usize,
}

/// The balancers of one zone.
#[derive(Debug, Default)]
struct ZoneHeard {
    /// Number of balancers that are remembered.
    heard: u32,
    last_heard: Option<Instant>,
    /// Number of balancers, including this one, that were heard within [`RECENT`].
    recent: usize,
}

impl ZoneHeard {
    fn is_reached(&self, now: Instant) -> bool {
        self.last_heard.is_some_and(|at| now.saturating_duration_since(at) < MAX_ZONE_SILENCE)
    }
}

/// Estimates the load of each service from the reports of all balancers.
#[derive(Debug, Default)]
pub struct FleetLoad {
    /// Latest report of each other balancer, ordered by address so that sums are reproducible.
    peers: BTreeMap<SocketAddrV4, PeerLoad>,
    services: HashMap<ServiceName, ServiceLoad>,
}

impl FleetLoad {
    /// Returns the estimated load of a service; `None` if nothing is known of it, or admission
    /// control is disabled.
    #[must_use]
    pub fn service(&self, service: &str) -> Option<&ServiceLoad> {
        self.services.get(service)
    }

    /// Iterates over all services that have an estimate.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceLoad)> {
        self.services.iter()
    }

    /// Records the load that another balancer reports. A report without any load still shows that
    /// the balancer can be reached.
    pub fn on_peer_report(
        &mut self,
        peer: SocketAddrV4,
        zone: &ZoneName,
        reports: &[ServiceLoadReport],
        now: Instant,
    ) {
        let loads = reports.iter().map(|report| (report.service, MeasuredLoad::reported(report)));

        let load = PeerLoad { zone: zone.clone(), at: now, loads: loads.collect() };
        self.peers.insert(peer, load);
    }

    /// Returns the load to report to other balancers. The services are chosen by their use in the
    /// whole deployment, so that all balancers report the same ones.
    #[must_use]
    pub fn reports(
        meter: &LoadMeter,
        demand: &FleetDemand,
        now: Instant,
    ) -> Vec<ServiceLoadReport> {
        let busy = demand.used_shares().filter(|(_, used)| *used >= REPORTED_FROM);
        let rejecting = meter.services().filter(|service| meter.was_rejected(service, now));
        let rejecting = rejecting.map(|service| (service, demand.used_share(service)));
        let mut chosen: Vec<_> = busy.chain(rejecting).collect();
        chosen.sort_by(|(one, used), (other, other_used)| {
            other_used.total_cmp(used).then_with(|| one.cmp(other))
        });
        chosen.dedup_by(|(one, _), (other, _)| one == other);

        let mut bytes_left = MAX_LOAD_BYTES;
        let mut reports = Vec::new();
        for (service, _) in chosen.into_iter().take(MAX_REPORTED_SERVICES) {
            let report = meter.load(service, now).report(service);
            if report.bytes() <= bytes_left {
                bytes_left -= report.bytes();
                reports.push(report);
            }
        }
        reports
    }

    /// Computes the estimates of all services that some balancer reports or this one measures.
    pub(in crate::steering) fn update(&mut self, inputs: &LoadInputs, now: Instant) {
        let zones = self.zones(inputs.own_zone, now);
        let reached = |zone: &ZoneName| zones.get(zone).is_some_and(|zone| zone.is_reached(now));
        let mut sums = self.peer_sums(now);
        let mut services = HashMap::new();

        let names: BTreeSet<_> =
            inputs.usable.keys().copied().chain(inputs.meter.services()).collect();
        for service in names {
            let mut by_zone = sums.remove(&service_digest(service)).unwrap_or_default();
            let own = inputs.meter.load(service, now);
            if by_zone.is_empty() && own == MeasuredLoad::default() {
                continue;
            }
            by_zone.entry(inputs.own_zone).or_default().add(&own, Duration::ZERO);
            by_zone.retain(|zone, _| reached(zone));
            let load = estimate(&by_zone, &zones, inputs.peer_count, now);
            let usable = inputs.usable.get(service).into_iter().flatten();
            let usable = usable.filter(|(zone, _)| reached(zone)).map(|(_, usable)| *usable);
            let limit = inputs.knowledge.routes.connection_limits.get(service).copied();
            let load = ServiceLoad {
                service_time: inputs.meter.service_time(service),
                // Reads all routes, so only where it is used.
                target_latency: load
                    .is_usable
                    .then(|| inputs.knowledge.routes.target_latency(service))
                    .flatten(),
                ..load
            };
            services.insert(service.clone(), with_capacity(load, usable.collect(), limit));
        }
        self.services = services;
    }

    /// Removes the reports of balancers that were last heard from before the given time.
    pub fn forget(&mut self, before: Instant) {
        self.peers.retain(|_, report| report.at >= before);
    }

    /// Drops all reports and estimates: after a pause of the process they are outdated.
    pub fn on_pause(&mut self) {
        *self = Self::default();
    }

    fn zones<'a>(&'a self, own: &'a ZoneName, now: Instant) -> BTreeMap<&'a ZoneName, ZoneHeard> {
        let mut zones: BTreeMap<&ZoneName, ZoneHeard> = BTreeMap::new();
        let peers = self.peers.values().map(|peer| (&peer.zone, peer.at));

        for (zone, at) in peers.chain([(own, now)]) {
            let zone = zones.entry(zone).or_default();
            zone.heard += 1;
            zone.last_heard = zone.last_heard.max(Some(at));
            zone.recent += usize::from(now.saturating_duration_since(at) < RECENT);
        }
        zones
    }

    /// Sums the reports of the other balancers by service and zone.
    fn peer_sums(&self, now: Instant) -> HashMap<ServiceDigest, BTreeMap<&ZoneName, LoadSum>> {
        let mut sums: HashMap<_, BTreeMap<_, LoadSum>> = HashMap::new();

        for peer in self.peers.values() {
            let age = now.saturating_duration_since(peer.at);
            for (service, load) in &peer.loads {
                sums.entry(*service).or_default().entry(&peer.zone).or_default().add(load, age);
            }
        }
        sums
    }
}

/// Scales the sums by zone to the balancers known in the reached zones. A zone of which no report
/// has come yet is assumed to have the mean load of the others.
fn estimate(
    by_zone: &BTreeMap<&ZoneName, LoadSum>,
    zones: &BTreeMap<&ZoneName, ZoneHeard>,
    peer_count: usize,
    now: Instant,
) -> ServiceLoad {
    let heard: u32 = zones.values().map(|zone| zone.heard).sum();
    let known = u32::try_from(peer_count).unwrap_or(u32::MAX).saturating_add(1).max(heard);
    // Balancers that were not heard from yet are assumed to be spread over the zones like the
    // others.
    let known_per_heard = f64::from(known) / f64::from(heard.max(1));
    let reached = zones.values().filter(|zone| zone.is_reached(now));
    let reached: u32 = reached.map(|zone| zone.heard).sum();
    let reporting = by_zone.keys().filter_map(|zone| zones.get(zone));
    let reporting: u32 = reporting.map(|zone| zone.heard).sum();
    let scale = known_per_heard * f64::from(reached) / f64::from(reporting.max(1));
    let mut load = ServiceLoad::default();
    let (mut age, mut weight, mut recent) = (0.0, 0.0, 0);

    for (zone, sum) in by_zone {
        let heard = zones.get(zone).map_or(0, |zone| zone.heard);
        sum.add_to(&mut load, f64::from(heard) * scale);
        age += sum.weighted_age();
        weight += sum.weight();
        recent += sum.recent();
    }
    load.age = Duration::from_secs_f64(age / weight.max(f64::MIN_POSITIVE));
    load.reporters = recent;
    let heard: usize = zones.values().map(|zone| zone.recent).sum();
    let required = required_peers(peer_count);
    // This balancer does not count.
    load.is_usable = heard > required && recent > required.min(MAX_REQUIRED_REPORTS);
    load
}

/// Returns the number of other balancers that have to be heard for a usable estimate.
fn required_peers(peer_count: usize) -> usize {
    let tenth = (peer_count + 1).div_ceil(KNOWN_PER_REQUIRED);

    tenth.clamp(1, MAX_REQUIRED_PEERS).min(peer_count)
}

/// Adds what the usable backend servers can take to an estimate. Without any of them, it is no
/// basis for refusals.
fn with_capacity(
    load: ServiceLoad,
    usable: Vec<UsableBackends>,
    connection_limit: Option<u32>,
) -> ServiceLoad {
    let slots = usable.iter().map(|zone| zone.slots).sum();
    let backends: f64 = usable.iter().map(|zone| f64::from(zone.backends)).sum();

    ServiceLoad {
        slots,
        backends,
        connections: connection_limit.map(|limit| f64::from(limit) * backends),
        is_usable: load.is_usable && slots > 0.0,
        ..load
    }
}
