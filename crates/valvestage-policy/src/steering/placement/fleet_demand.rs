//! What callers ask of each service, over the whole deployment.
//!
//! Each balancer knows how many of its own flows wait for an answer, and tells the others with its heartbeats. At hundreds of
//! balancers one hears some of each zone within a few seconds, and takes them for the rest of their zone.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use valvestage_core::ids::{ServiceName, ZoneName};

use super::cold_shares::ColdShares;
use super::steering_options::SteeringOptions;
use super::zone_shares::{ZoneLoad, ZoneShares};
use crate::steering::decision::Decision;
use crate::steering::health::backend_health::BackendHealth;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_entry::{BackendEntry, BackendPhase};
use crate::steering::knowledge::ready_backends::ZoneBackends;
use crate::steering::packets::flow_tracker::FlowTracker;
use crate::steering::peers::peer_message::{ServiceDemand, ServiceDigest};
use crate::steering::text_digest::text_digest;

/// Time over which the flows that wait for an answer are averaged. Requests take some tens of milliseconds, so that a
/// balancer sees several in it. With twice the time 6,359 in place of 5,446 of 180,000 tries were refused on 295 balancers with
/// 86% of the slots busy, and 647 in place of 475 with two zones short of slots.
const SMOOTHING: Duration = Duration::from_millis(500);

/// Age at which a balancer's word counts for a third of a fresh one. News matters more than number: of 295 balancers in
/// five zones one hears two of each zone a second, whose mean is off by a third, but what all of them do evens that out. Words that
/// count alike for 6 s left 18,892 refusals where 5,291 are left now (86% of the slots busy, demand that swings by 15% in 11 s).
const TOLD_FOR: Duration = Duration::from_millis(500);

/// A zone of which no balancer was heard for so long may be cut off: nothing is sent there for being idle.
const REACHED_WITHIN: Duration = Duration::from_secs(3);

/// Time between two looks at the shares. What is averaged over a second changes little within it.
const RENEW_INTERVAL: Duration = Duration::from_millis(300);

/// Services told in one heartbeat at most, the busiest: seven bytes each, ten times a second.
const MAX_SERVICES: usize = 8;

/// `service_digest` gives the number by which balancers name a service to each other. Two services with one number would
/// share what is known of their load, and nothing else.
#[must_use]
pub fn service_digest(service: &str) -> ServiceDigest {
    text_digest(service)
}

/// What another balancer told last.
#[derive(Debug)]
struct PeerDemand {
    zone: ZoneName,
    at: Instant,
    demands: Vec<ServiceDemand>,
}

/// What was told by the balancers of one zone.
#[derive(Debug, Default)]
struct ZoneReports {
    /// Balancers that were heard in the time for which they are remembered.
    heard: u32,
    /// Weights of their words together.
    weight: f64,
    /// What they have under way together by their words, by service.
    demands: HashMap<ServiceDigest, f64>,
    /// When one was heard last.
    last_heard: Option<Instant>,
}

impl ZoneReports {
    /// Whether it was heard lately.
    fn is_reached(&self, now: Instant) -> bool {
        self.last_heard.is_some_and(|at| now.saturating_duration_since(at) < REACHED_WITHIN)
    }

    /// What the balancers of the zone have under way at a service, if each has as much as those that were heard.
    fn demand(&self, service: ServiceDigest, balancers: f64) -> f64 {
        let told = self.demands.get(&service).copied().unwrap_or_default();

        told / self.weight.max(f64::MIN_POSITIVE) * balancers
    }

    fn add(
        &mut self,
        demands: impl Iterator<Item = (ServiceDigest, f64)>,
        at: Instant,
        now: Instant,
    ) {
        let age = now.saturating_duration_since(at);
        let weight = (-age.as_secs_f64() / TOLD_FOR.as_secs_f64()).exp();

        self.heard += 1;
        self.weight += weight;
        self.last_heard = self.last_heard.max(Some(at));
        for (service, busy) in demands {
            *self.demands.entry(service).or_default() += busy * weight;
        }
    }
}

/// `FleetDemand` knows what callers ask of each service in each availability zone, and draws the zones of new flows by it.
#[derive(Debug, Default)]
pub struct FleetDemand {
    /// Requests under way here, averaged.
    own: HashMap<ServiceDigest, f64>,
    sampled_at: Option<Instant>,
    /// In the order of their addresses, so that sums are the same on every run.
    told: BTreeMap<SocketAddrV4, PeerDemand>,
    /// Services of which some flows go to other zones.
    shares: HashMap<ServiceName, ZoneShares>,
    /// Services that are asked for more than the backend servers of this region have room for.
    short: HashSet<ServiceName>,
    renew_at: Option<Instant>,
    /// What was decided since it was last taken.
    decisions: Vec<Decision>,
}

impl FleetDemand {
    /// `on_told` takes in what another balancer has under way.
    pub fn on_told(
        &mut self,
        peer: SocketAddrV4,
        zone: &ZoneName,
        demands: &[ServiceDemand],
        now: Instant,
    ) {
        let told = PeerDemand { zone: zone.clone(), at: now, demands: demands.to_vec() };

        self.told.insert(peer, told);
    }

    /// `reports` gives what others are to know: the busiest services first.
    #[must_use]
    pub fn reports(&self) -> Vec<ServiceDemand> {
        let own = self.own.iter();
        let mut reports: Vec<_> =
            own.map(|(service, busy)| ServiceDemand::new(*service, *busy)).collect();

        reports.retain(|report| report.busy_hundredths > 0);
        reports.sort_unstable_by_key(|report| {
            (std::cmp::Reverse(report.busy_hundredths), report.service)
        });
        reports.truncate(MAX_SERVICES);
        reports
    }

    /// `drawn_zone` gives another availability zone for a new flow of a service; none: it stays in this one. The draw is
    /// from 0 up to 1.
    #[must_use]
    pub fn drawn_zone(&self, service: &str, draw: f64) -> Option<&ZoneName> {
        self.shares.get(service).and_then(|shares| shares.draw(draw))
    }

    /// `is_short` tells whether a service is asked for more than its backend servers in this region have room for.
    #[must_use]
    pub fn is_short(&self, service: &str) -> bool {
        self.short.contains(service)
    }

    /// `shares` gives where the flows of a service go; none: all stay in this zone.
    #[must_use]
    pub fn shares(&self, service: &str) -> Option<&ZoneShares> {
        self.shares.get(service)
    }

    /// `on_tick` looks at the flows that are under way, and works out the shares anew where it is time. So many other
    /// balancers are known, heard or not.
    pub(in crate::steering) fn on_tick(
        &mut self,
        options: &SteeringOptions,
        knowledge: &Knowledge,
        flows: &FlowTracker,
        health: &BackendHealth,
        peer_count: usize,
        now: Instant,
    ) {
        self.sample(knowledge, flows, now);
        if self.renew_at.is_some_and(|at| at > now) {
            return;
        }

        self.renew_at = Some(now + RENEW_INTERVAL);
        let slots = slots_by_service(options, knowledge, health, now);
        let all = self.renewed(options, &slots, peer_count, now);
        let short = all.iter().filter(|(_, shares)| shares.is_short());
        self.short = short.map(|(service, _)| service.clone()).collect();
        let shares = all.into_iter().filter(|(_, shares)| !shares.stays_home()).collect();
        self.note_changes(&shares);
        self.shares = shares;
    }

    /// Notes which services begin or cease to give flows away.
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

    /// `take_decisions` gives what was decided since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// `forget` drops what balancers told that were not heard for as long as they are remembered.
    pub fn forget(&mut self, before: Instant) {
        self.told.retain(|_, told| told.at >= before);
    }

    /// Averages the flows that wait for an answer.
    fn sample(&mut self, knowledge: &Knowledge, flows: &FlowTracker, now: Instant) {
        let mut busy: HashMap<ServiceDigest, f64> = HashMap::new();
        for (instance, load) in flows.loads() {
            // What waits for one that is gone says nothing of what is asked.
            let entry = knowledge.directory.get(instance).filter(|entry| !entry.is_gone());
            if let Some(entry) = entry {
                *busy.entry(service_digest(&entry.service)).or_default() += f64::from(load.busy);
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

    /// Works out the shares of all services.
    fn renewed(
        &self,
        options: &SteeringOptions,
        slots: &BTreeMap<&ServiceName, BTreeMap<&ZoneName, f64>>,
        peer_count: usize,
        now: Instant,
    ) -> HashMap<ServiceName, ZoneShares> {
        let zones = self.reports_by_zone(&options.zone, now);
        let heard: u32 = zones.values().map(|reports| reports.heard).sum();
        let others = u32::try_from(peer_count).unwrap_or(u32::MAX);
        // Those that were not heard yet are spread over the zones like those that were.
        let balancers_for_heard = f64::from(others.saturating_add(1).max(heard)) / f64::from(heard);

        let shares_of = |(service, slots): (&&ServiceName, &BTreeMap<&ZoneName, f64>)| {
            let digest = service_digest(service);
            let reached = zones.iter().filter(|(_, reports)| reports.is_reached(now));
            let loads = reached.map(|(zone, reports)| ZoneLoad {
                zone: (*zone).clone(),
                is_far: options.far_zones.contains(*zone),
                demand: reports.demand(digest, f64::from(reports.heard) * balancers_for_heard),
                slots: slots.get(zone).copied().unwrap_or_default(),
            });
            let shares = ZoneShares::new(&options.zone, &loads.collect::<Vec<_>>());
            ((*service).clone(), shares)
        };
        slots.iter().map(shares_of).collect()
    }

    /// What is known of each zone, the own one among them.
    fn reports_by_zone<'a>(
        &'a self,
        own: &'a ZoneName,
        now: Instant,
    ) -> BTreeMap<&'a ZoneName, ZoneReports> {
        let mut zones: BTreeMap<&ZoneName, ZoneReports> = BTreeMap::new();
        for told in self.told.values() {
            let demands = told.demands.iter().map(|demand| (demand.service, demand.busy()));
            zones.entry(&told.zone).or_default().add(demands, told.at, now);
        }

        let here = self.own.iter().map(|(service, busy)| (*service, *busy));
        zones.entry(own).or_default().add(here, now, now);
        zones
    }
}

/// What usable backend servers work on at once, by service and availability zone. One that is slow from its start counts
/// for less; one that is to get few requests meanwhile, or none since its zone is evacuated, counts for nothing.
fn slots_by_service<'a>(
    options: &SteeringOptions,
    knowledge: &'a Knowledge,
    health: &BackendHealth,
    now: Instant,
) -> BTreeMap<&'a ServiceName, BTreeMap<&'a ZoneName, f64>> {
    let unusable = unusable_backends(knowledge, health, now);
    let mut slots: BTreeMap<&ServiceName, BTreeMap<&ZoneName, f64>> = BTreeMap::new();

    for (service, zone, backends) in knowledge.directory.ready().all() {
        let apart = unusable.get(&(service, zone)).copied().unwrap_or_default();
        if apart.backends >= backends.len() {
            continue;
        }
        let counted = if knowledge.evacuated.holds(zone) {
            0.0
        } else {
            // Slots of one service are far fewer than a number has digits.
            #[allow(clippy::cast_precision_loss)]
            let all = (backends.slots() - apart.slots) as f64;
            all - slots_lost_to_starts(options, knowledge, backends, health, now)
        };
        slots.entry(service).or_default().insert(zone, counted.max(0.0));
    }
    slots
}

/// Some backend servers of a service in a zone.
#[derive(Debug, Clone, Copy, Default)]
struct BackendCount {
    backends: usize,
    slots: u64,
}

/// Those that take new flows by their entries, and are missing or seem dead.
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

/// What is to be left out of the slots of usable backend servers since they have just started.
fn slots_lost_to_starts(
    options: &SteeringOptions,
    knowledge: &Knowledge,
    backends: &ZoneBackends,
    health: &BackendHealth,
    now: Instant,
) -> f64 {
    let started = backends.started().filter_map(|instance| knowledge.directory.get(instance));
    let is_cold = |entry: &&BackendEntry| {
        entry.cold_until.is_some_and(|until| until > now)
            && entry.missing_until.is_none()
            && !health.is_suspect(entry.instance, now)
    };

    let lost = started.filter(is_cold).map(|entry| {
        let slots = f64::from(entry.slots);
        match ColdShares::rate_of(options.cold_limit, knowledge, entry, now) {
            Some(_) => slots,
            None => slots - slots / options.cold_factor,
        }
    });
    lost.sum()
}
