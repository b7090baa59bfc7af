//! Demand of the callers for each service, over the whole deployment.
//!
//! Each balancer knows how many of its own flows wait for an answer, and reports it to the others
//! in its heartbeats. With hundreds of balancers, each hears from some of every zone within a few
//! seconds, and takes these as a sample of their zone.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::{ServiceName, ZoneName};

use super::cold_shares::ColdShares;
use super::slow_slots::{SlotPressure, SlowSlots, slow_slots};
use super::steering_options::SteeringOptions;
use super::zone_shares::{ZoneLoad, ZoneShares};
use crate::steering::decision::Decision;
use crate::steering::health::backend_health::BackendHealth;
use crate::steering::health::backend_observer::BackendObserver;
use crate::steering::health::fleet_pace::FleetPace;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_entry::{BackendEntry, BackendPhase};
use crate::steering::knowledge::ready_backends::ZoneBackends;
use crate::steering::packets::flow_tracker::FlowTracker;
use crate::steering::peers::peer_message::{ServiceDemand, ServiceDigest};
use crate::steering::text_digest::text_digest;

/// Time constant of the average of flows that wait for an answer. Requests take some tens of
/// milliseconds, so that a balancer sees several within it. With twice the time, 6,359 instead of
/// 5,446 of 180,000 attempts were refused on 295 balancers with 86% of the slots busy, and 647
/// instead of 475 with two zones short of slots.
const SMOOTHING: Duration = Duration::from_millis(500);

/// Age at which the weight of a report has fallen to 1/e. Recent reports matter more than many: of
/// 295 balancers in five zones, each hears from two of every zone per second, whose mean is off by
/// a third, but the errors of all balancers even out. With equal weights for 6 s there were 18,892
/// refusals instead of 5,291 (86% of the slots busy, demand that varies by 15% every 11 s).
const REPORT_DECAY: Duration = Duration::from_millis(500);

/// A zone none of whose balancers was heard from for this time may be cut off, so no flows are sent
/// there because of its spare slots.
pub(in crate::steering) const MAX_ZONE_SILENCE: Duration = Duration::from_secs(3);

/// Interval between two computations of the shares. The demand is averaged over a longer time, and
/// changes little within the interval.
const RENEW_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of services reported in a heartbeat, the busiest first. Each takes seven bytes,
/// ten times per second.
const MAX_REPORTED_SERVICES: usize = 8;

/// Returns the number that identifies a service in messages between balancers. If two services had
/// the same number, only their load reports would be mixed up.
#[must_use]
pub fn service_digest(service: &str) -> ServiceDigest {
    text_digest(service)
}

/// The latest report of another balancer.
#[derive(Debug)]
struct PeerDemand {
    zone: ZoneName,
    at: Instant,
    demands: Vec<ServiceDemand>,
}

/// Sum of the reports of the balancers of one zone.
#[derive(Debug, Default)]
struct ZoneReports {
    /// Number of balancers whose reports are still remembered.
    heard: u32,
    /// Sum of the weights of the reports.
    weight: f64,
    /// Weighted sum of the requests under way, by service.
    demands: HashMap<ServiceDigest, f64>,
    /// Time of the latest report.
    last_heard: Option<Instant>,
}

impl ZoneReports {
    /// Reports whether a balancer of the zone was heard from recently.
    fn is_reachable(&self, now: Instant) -> bool {
        self.last_heard.is_some_and(|at| now.saturating_duration_since(at) < MAX_ZONE_SILENCE)
    }

    /// Returns the number of requests that the given number of balancers of the zone have under way
    /// for a service, if each has the weighted mean of the reports.
    fn demand(&self, service: ServiceDigest, balancers: f64) -> f64 {
        let reported = self.demands.get(&service).copied().unwrap_or_default();

        reported / self.weight.max(f64::MIN_POSITIVE) * balancers
    }

    fn add(
        &mut self,
        demands: impl Iterator<Item = (ServiceDigest, f64)>,
        at: Instant,
        now: Instant,
    ) {
        let age = now.saturating_duration_since(at);
        let weight = (-age.as_secs_f64() / REPORT_DECAY.as_secs_f64()).exp();

        self.heard += 1;
        self.weight += weight;
        self.last_heard = self.last_heard.max(Some(at));
        for (service, busy) in demands {
            *self.demands.entry(service).or_default() += busy * weight;
        }
    }
}

/// Tracks the demand for each service in each availability zone, and draws the zones of new flows
/// from it.
#[derive(Debug, Default)]
pub struct FleetDemand {
    /// Moving average of the requests under way at this balancer.
    own: HashMap<ServiceDigest, f64>,
    sampled_at: Option<Instant>,
    /// Latest report of each other balancer, ordered by address so that sums are reproducible.
    peers: BTreeMap<SocketAddrV4, PeerDemand>,
    /// Services of which some new flows go to other zones.
    shares: HashMap<ServiceName, ZoneShares>,
    /// Services with more demand than the backend servers of this region have room for.
    short: HashSet<ServiceName>,
    /// Demand for each service as a share of the slots of the zones that are reached; 0 without
    /// slots.
    used: HashMap<ServiceName, f64>,
    /// Requests in flight per slot; empty unless balancers share the pace.
    pressures: HashMap<ServiceName, SlotPressure>,
    renew_at: Option<Instant>,
    /// Decisions since the last call of [`Self::take_decisions`].
    decisions: Vec<Decision>,
}

impl FleetDemand {
    /// Records the demand that another balancer reports.
    pub fn on_peer_report(
        &mut self,
        peer: SocketAddrV4,
        zone: &ZoneName,
        demands: &[ServiceDemand],
        now: Instant,
    ) {
        let report = PeerDemand { zone: zone.clone(), at: now, demands: demands.to_vec() };

        self.peers.insert(peer, report);
    }

    /// Returns the demand to report to other balancers, the busiest services first.
    #[must_use]
    pub fn reports(&self) -> Vec<ServiceDemand> {
        let own = self.own.iter();
        let mut reports: Vec<_> =
            own.map(|(service, busy)| ServiceDemand::new(*service, *busy)).collect();

        reports.retain(|report| report.busy_hundredths > 0);
        reports.sort_unstable_by_key(|report| {
            (std::cmp::Reverse(report.busy_hundredths), report.service)
        });
        reports.truncate(MAX_REPORTED_SERVICES);
        reports
    }

    /// Returns the other availability zone that a draw from `[0, 1)` selects for a new flow of a
    /// service; `None` if the flow stays in this zone.
    #[must_use]
    pub fn drawn_zone(&self, service: &str, draw: f64) -> Option<&ZoneName> {
        self.shares.get(service).and_then(|shares| shares.draw(draw))
    }

    /// Reports whether the demand for a service exceeds the room of its backend servers in this
    /// region.
    #[must_use]
    pub fn is_short(&self, service: &str) -> bool {
        self.short.contains(service)
    }

    /// Returns the demand for a service as a share of its slots; 0 if it has none.
    #[must_use]
    pub fn used_share(&self, service: &str) -> f64 {
        self.used.get(service).copied().unwrap_or_default()
    }

    /// Iterates over the services with slots, each with the demand as a share of these.
    pub fn used_shares(&self) -> impl Iterator<Item = (&ServiceName, f64)> {
        self.used.iter().map(|(service, used)| (service, *used))
    }

    /// Returns the requests in flight per slot of a service; 0 unless balancers share the pace.
    #[must_use]
    pub fn pressure(&self, service: &str) -> SlotPressure {
        self.pressures.get(service).copied().unwrap_or_default()
    }

    /// Returns the shares of a service's new flows by zone; `None` if all of them stay in this
    /// zone.
    #[must_use]
    pub fn shares(&self, service: &str) -> Option<&ZoneShares> {
        self.shares.get(service)
    }

    /// Samples the flows under way, and recomputes the shares if it is time. `peer_count` is the
    /// number of other balancers known, including those not heard from yet.
    pub(in crate::steering) fn on_tick(
        &mut self,
        options: &SteeringOptions,
        knowledge: &Knowledge,
        flows: &FlowTracker,
        backends: &BackendObserver,
        peer_count: usize,
        now: Instant,
    ) {
        self.sample(knowledge, flows, backends.fleet_pace(), now);
        if self.renew_at.is_some_and(|at| at > now) {
            return;
        }

        self.renew_at = Some(now + RENEW_INTERVAL);
        let slow = slow_slots(knowledge, backends, now);
        let slots = slots_by_service(options, knowledge, backends, &slow, now);
        if backends.fleet_pace().is_some() {
            self.pressures = self.compute_pressures(options, &slots, &slow, peer_count, now);
        }
        let all = self.compute_shares(options, &slots, peer_count, now);
        let used = all.iter().map(|(service, shares)| (service.clone(), shares.used()));
        self.used = used.collect();
        let short = all.iter().filter(|(_, shares)| shares.is_short());
        self.short = short.map(|(service, _)| service.clone()).collect();
        let shares = all.into_iter().filter(|(_, shares)| !shares.stays_home()).collect();
        self.note_changes(&shares);
        self.shares = shares;
    }

    /// Records a decision for each service that begins or ceases to send flows to other zones.
    fn note_changes(&mut self, shares: &HashMap<ServiceName, ZoneShares>) {
        let begin = shares.iter().filter(|(service, _)| !self.shares.contains_key(*service));
        let end = self.shares.keys().filter(|service| !shares.contains_key(*service));

        let began = begin.map(|(service, shares)| Decision::SpillBegan {
            service: service.clone(),
            share: shares.away(),
        });
        let ended = end.map(|service| Decision::SpillEnded { service: service.clone() });
        let decisions: Vec<_> = began.chain(ended).collect();
        self.decisions.extend(decisions);
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Removes the reports of balancers that were last heard from before the given time.
    pub fn forget(&mut self, before: Instant) {
        self.peers.retain(|_, report| report.at >= before);
    }

    /// Updates the moving average of the flows that wait for an answer.
    fn sample(
        &mut self,
        knowledge: &Knowledge,
        flows: &FlowTracker,
        pace: Option<&FleetPace>,
        now: Instant,
    ) {
        let mut busy: HashMap<ServiceDigest, f64> = HashMap::new();
        for (instance, load) in flows.loads() {
            // Flows that wait for a backend server that is gone do not indicate demand.
            let entry = knowledge.directory.get(instance).filter(|entry| !entry.is_gone());
            if let Some(entry) = entry {
                // A request at a slow backend server counts with the time that it would usually
                // take, as the slots of that one count less, too.
                let work = pace.map_or(1.0, |pace| pace.work_share(&entry.service, instance));
                *busy.entry(service_digest(&entry.service)).or_default() +=
                    f64::from(load.busy) * work;
            }
        }

        let since = self.sampled_at.map_or(SMOOTHING, |at| now.saturating_duration_since(at));
        let weight = 1.0 - (-since.as_secs_f64() / SMOOTHING.as_secs_f64()).exp();
        self.sampled_at = Some(now);
        for service in busy.keys() {
            self.own.entry(*service).or_default();
        }
        for (service, average) in &mut self.own {
            let sample = busy.get(service).copied().unwrap_or_default();
            *average += (sample - *average) * weight;
        }
    }

    /// Computes the shares of all services.
    fn compute_shares(
        &self,
        options: &SteeringOptions,
        slots: &BTreeMap<&ServiceName, BTreeMap<&ZoneName, f64>>,
        peer_count: usize,
        now: Instant,
    ) -> HashMap<ServiceName, ZoneShares> {
        let zones = self.reports_by_zone(&options.zone, now);
        let balancers_per_heard = balancers_per_heard(&zones, peer_count);

        let shares_of = |(service, slots): (&&ServiceName, &BTreeMap<&ZoneName, f64>)| {
            let digest = service_digest(service);
            let reached = zones.iter().filter(|(_, reports)| reports.is_reachable(now));
            let loads = reached.map(|(zone, reports)| ZoneLoad {
                zone: (*zone).clone(),
                is_far: options.other_region_zones.contains(*zone),
                demand: reports.demand(digest, f64::from(reports.heard) * balancers_per_heard),
                slots: slots.get(zone).copied().unwrap_or_default(),
            });
            let shares = ZoneShares::new(&options.zone, &loads.collect::<Vec<_>>());
            ((*service).clone(), shares)
        };
        slots.iter().map(shares_of).collect()
    }

    /// Computes the requests in flight per slot of all services.
    fn compute_pressures(
        &self,
        options: &SteeringOptions,
        slots: &BTreeMap<&ServiceName, BTreeMap<&ZoneName, f64>>,
        slow: &BTreeMap<(&ServiceName, &ZoneName), SlowSlots>,
        peer_count: usize,
        now: Instant,
    ) -> HashMap<ServiceName, SlotPressure> {
        let zones = self.reports_by_zone(&options.zone, now);
        let scale = balancers_per_heard(&zones, peer_count);

        let pressure_of = |service: &ServiceName, slots: &BTreeMap<&ZoneName, f64>| {
            let digest = service_digest(service);
            let demands =
                zones.values().map(|zone| zone.demand(digest, f64::from(zone.heard) * scale));
            let demand: f64 = demands.sum();
            let slow = slots.keys().filter_map(|zone| slow.get(&(service, *zone)));
            let (all_slow, lost) =
                slow.fold((0.0, 0.0), |(all, lost), slow| (all + slow.all, lost + slow.lost));
            let usable = slots.values().sum::<f64>() + lost;
            SlotPressure {
                per_slot: demand / usable.max(1.0),
                per_fast_slot: demand / (usable - all_slow).max(1.0),
            }
        };
        slots
            .iter()
            .map(|(service, slots)| ((*service).clone(), pressure_of(service, slots)))
            .collect()
    }

    /// Sums the reports by zone. The zone of this balancer includes its own demand.
    fn reports_by_zone<'a>(
        &'a self,
        own: &'a ZoneName,
        now: Instant,
    ) -> BTreeMap<&'a ZoneName, ZoneReports> {
        let mut zones: BTreeMap<&ZoneName, ZoneReports> = BTreeMap::new();
        for report in self.peers.values() {
            let demands = report.demands.iter().map(|demand| (demand.service, demand.busy()));
            zones.entry(&report.zone).or_default().add(demands, report.at, now);
        }

        let here = self.own.iter().map(|(service, busy)| (*service, *busy));
        zones.entry(own).or_default().add(here, now, now);
        zones
    }
}

/// Returns the number of known balancers for each one heard from. Balancers that were not heard
/// from yet are assumed to be spread over the zones like the others.
fn balancers_per_heard(zones: &BTreeMap<&ZoneName, ZoneReports>, peer_count: usize) -> f64 {
    let heard: u32 = zones.values().map(|reports| reports.heard).sum();
    let others = u32::try_from(peer_count).unwrap_or(u32::MAX);

    f64::from(others.saturating_add(1).max(heard)) / f64::from(heard)
}

/// Backend servers of a service in one zone that can be used.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::steering) struct UsableBackends {
    /// Number of the backend servers.
    pub(in crate::steering) backends: u32,
    /// Number of requests that they can process concurrently. A backend server that is slow, also
    /// after its start, counts less; one whose cold rate is limited does not count.
    pub(in crate::steering) slots: f64,
}

/// Returns the usable backend servers by service and availability zone. In evacuated zones there
/// are none.
pub(in crate::steering) fn usable_by_service<'a>(
    options: &SteeringOptions,
    knowledge: &'a Knowledge,
    backends: &BackendObserver,
    slow: &BTreeMap<(&ServiceName, &ZoneName), SlowSlots>,
    now: Instant,
) -> BTreeMap<&'a ServiceName, BTreeMap<&'a ZoneName, UsableBackends>> {
    let health = backends.health();
    let unusable = unusable_backends(knowledge, health, now);
    let mut usable: BTreeMap<&ServiceName, BTreeMap<&ZoneName, _>> = BTreeMap::new();

    for (service, zone, ready) in knowledge.directory.ready().all() {
        let excluded = unusable.get(&(service, zone)).copied().unwrap_or_default();
        if excluded.backends >= ready.len() {
            continue;
        }
        let counted = if knowledge.evacuated.blocks_new_flows(zone) {
            UsableBackends::default()
        } else {
            // The slots of one service are far below 2^53, so the conversion is exact.
            #[allow(clippy::cast_precision_loss)]
            let all = (ready.slots() - excluded.slots) as f64;
            let lost = slots_lost_to_cold_starts(options, knowledge, ready, health, now)
                + slow.get(&(service, zone)).copied().unwrap_or_default().lost;
            let left = ready.len() - excluded.backends;
            UsableBackends {
                backends: u32::try_from(left).unwrap_or(u32::MAX),
                slots: (all - lost).max(0.0),
            }
        };
        usable.entry(service).or_default().insert(zone, counted);
    }
    usable
}

/// Returns the slots of the usable backend servers by service and availability zone.
fn slots_by_service<'a>(
    options: &SteeringOptions,
    knowledge: &'a Knowledge,
    backends: &BackendObserver,
    slow: &BTreeMap<(&ServiceName, &ZoneName), SlowSlots>,
    now: Instant,
) -> BTreeMap<&'a ServiceName, BTreeMap<&'a ZoneName, f64>> {
    let slots_of = |zones: BTreeMap<&'a ZoneName, UsableBackends>| {
        zones.into_iter().map(|(zone, usable)| (zone, usable.slots)).collect()
    };

    usable_by_service(options, knowledge, backends, slow, now)
        .into_iter()
        .map(|(service, zones)| (service, slots_of(zones)))
        .collect()
}

/// Number of some backend servers of a service in a zone, and their slots.
#[derive(Debug, Clone, Copy, Default)]
struct BackendCount {
    backends: usize,
    slots: u64,
}

/// Counts the backend servers that are ready by their entries, but whose entry is missing or that
/// are suspected to be dead.
fn unusable_backends<'a>(
    knowledge: &'a Knowledge,
    health: &BackendHealth,
    now: Instant,
) -> HashMap<(&'a ServiceName, &'a ZoneName), BackendCount> {
    let directory = &knowledge.directory;
    let suspects = health.all_suspects(now).filter_map(|suspect| directory.get(suspect));
    let suspects = suspects.filter(|entry| entry.missing_until.is_none());
    let ready = |entry: &&BackendEntry| entry.phase == BackendPhase::Ready;

    let mut counts: HashMap<_, BackendCount> = HashMap::new();
    for entry in directory.missing().chain(suspects).filter(ready) {
        let count = counts.entry((&entry.service, &entry.zone)).or_default();
        count.backends += 1;
        count.slots += u64::from(entry.slots);
    }
    counts
}

/// Returns the slots that do not count because their backend servers have just started.
fn slots_lost_to_cold_starts(
    options: &SteeringOptions,
    knowledge: &Knowledge,
    backends: &ZoneBackends,
    health: &BackendHealth,
    now: Instant,
) -> f64 {
    let started =
        backends.with_slow_start().filter_map(|instance| knowledge.directory.get(instance));
    let is_cold = |entry: &&BackendEntry| {
        entry.cold_until.is_some_and(|until| until > now)
            && entry.missing_until.is_none()
            && !health.is_suspect(entry.instance, now)
    };

    let lost = started.filter(is_cold).map(|entry| {
        let slots = f64::from(entry.slots);
        match ColdShares::allowed_rate(options.cold_limit, knowledge, entry, now) {
            Some(_) => slots,
            None => slots - slots / options.cold_factor,
        }
    });
    lost.sum()
}
