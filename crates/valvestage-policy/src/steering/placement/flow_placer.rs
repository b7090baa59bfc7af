//! Choice of a backend server for a new flow.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use valvestage_core::ids::{InstanceId, ZoneName};

use super::backend_choice::{ChoiceCandidate, ChoiceDoubt, choose};
use super::cold_shares::ColdShares;
use super::exclusion::{ExclusionCounts, ExclusionReason};
use super::fleet_demand::FleetDemand;
use super::pace_shares::PaceShares;
use super::steering_options::SteeringOptions;
use crate::rendezvous::mix;
use crate::steering::decision::FlowPlacement;
use crate::steering::health::backend_observer::BackendObserver;
use crate::steering::knowledge::Knowledge;
use crate::steering::knowledge::backend_entry::BackendEntry;
use crate::steering::packets::caller_packet::{FlowAddresses, ResetReason};
use crate::steering::packets::flow_tracker::FlowTracker;
use crate::steering::seeded_draw::unit_of;

/// The set of availability zones to search for backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ZoneChoice {
    /// Only the zone that the flow is meant for.
    Home,
    /// All zones except that one.
    Others,
}

/// What placement knows of the pace of a service's backend servers.
enum PaceSource<'a> {
    /// Answers seen by this balancer, in relation to the logarithm of the median pace.
    Own { median: Option<f64> },
    /// Answers seen by all balancers; only while some backend servers are slow.
    Fleet(PaceShares<'a>),
}

/// Chooses the backend servers of new flows, by what is known at one moment.
pub(in crate::steering) struct FlowPlacer<'a> {
    pub options: &'a SteeringOptions,
    pub knowledge: &'a Knowledge,
    pub flows: &'a FlowTracker,
    pub backends: &'a BackendObserver,
    pub demand: &'a FleetDemand,
    pub cold: &'a ColdShares,
    pub now: Instant,
}

impl FlowPlacer<'_> {
    /// Chooses a backend server of a service. `instead_of` is the one that did not answer this flow
    /// before, and ranks like one that is suspected to be dead. Returns the reason for a refusal if
    /// no backend server may take the flow.
    pub(in crate::steering) fn place(
        &self,
        flow: FlowAddresses,
        service: &str,
        instead_of: Option<InstanceId>,
        draw: u64,
    ) -> Result<FlowPlacement, ResetReason> {
        let excluded = ExclusionCounts::default();
        let may_take = |entry: &&BackendEntry| !excluded.note(self.exclusion_reason(flow, entry));
        let pace = self.pace_source(service);
        // Uses other bits of the draw than the selection among equally loaded candidates.
        let drawn_zone = self.demand.drawn_zone(service, unit_of(mix(draw, 0)));
        let home = drawn_zone.unwrap_or(&self.options.zone);
        let candidates_in = |zones: ZoneChoice| {
            let entries = self.ready_entries(service, home, zones).filter(may_take);
            let doubt = |entry: &BackendEntry| self.doubt(entry, *flow.caller.ip(), instead_of);
            let candidates = entries.map(|entry| self.candidate(entry, home, doubt(entry), &pace));
            candidates.collect::<Vec<_>>()
        };
        let mut candidates = candidates_in(ZoneChoice::Home);
        let is_short = self.demand.is_short(service);
        let is_uneven = matches!(pace, PaceSource::Fleet(_));
        if is_short || is_uneven || !self.is_best_at_home(&candidates) {
            candidates.extend(candidates_in(ZoneChoice::Others));
        }
        if is_short {
            self.prefer_cold(&mut candidates);
        }
        if let PaceSource::Fleet(shares) = &pace {
            let is_far = |zone: &ZoneName| self.options.other_region_zones.contains(zone);
            candidates = shares.narrow(&candidates, home, is_far, draw);
        }

        let Some(chosen) = choose(&candidates, draw) else { return Err(excluded.reason()) };
        Ok(FlowPlacement {
            flow,
            service: service.to_owned(),
            instance: chosen.entry.instance,
            zone: chosen.entry.zone.clone(),
            drawn_zone: drawn_zone.cloned(),
            load: chosen.load,
            pace: chosen.pace,
            doubt: chosen.doubt,
            candidates: candidates.len(),
            excluded: excluded.total(),
            instead_of,
            version: self.knowledge.routes.version,
            age: self.knowledge.age(self.now),
        })
    }

    /// Returns what placement knows of the pace of a service's backend servers.
    fn pace_source(&self, service: &str) -> PaceSource<'_> {
        let uneven = self.backends.fleet_pace().and_then(|pace| pace.uneven_service(service));

        match uneven {
            Some(pace) => PaceSource::Fleet(PaceShares::new(pace, self.demand.pressure(service))),
            None => PaceSource::Own { median: self.backends.pace().median(service, self.now) },
        }
    }

    /// Returns the backend servers of a service that are ready for new flows and that own their
    /// tokens.
    fn ready_entries(
        &self,
        service: &str,
        home: &ZoneName,
        zones: ZoneChoice,
    ) -> impl Iterator<Item = &BackendEntry> {
        let directory = &self.knowledge.directory;
        let is_searched = move |zone: &ZoneName| (zone == home) == (zones == ZoneChoice::Home);
        let backends = directory.ready().of_service(service);
        let backends = backends.filter(move |(zone, _)| is_searched(zone));

        backends
            .flat_map(|(_, backends)| backends.instances())
            .filter_map(|instance| directory.get(instance))
            .filter(|entry| directory.owns_token(entry))
    }

    /// Reports whether the best of the candidates has at most the load that distance alone adds to
    /// any candidate in another zone, so that none of those can be better.
    fn is_best_at_home(&self, candidates: &[ChoiceCandidate<'_>]) -> bool {
        let nearest = self.options.zone_preference.min(self.options.region_preference);

        candidates
            .iter()
            .any(|candidate| candidate.doubt == ChoiceDoubt::None && candidate.load <= nearest)
    }

    /// Returns why a backend server that is ready for new flows gets none for an address at
    /// present; `None` if it may get them.
    pub(in crate::steering) fn exclusion_reason(
        &self,
        flow: FlowAddresses,
        entry: &BackendEntry,
    ) -> Option<ExclusionReason> {
        let region = self.options.zone_regions.get(&entry.zone);
        if !self.knowledge.routes.allows(flow.service, region) {
            return Some(ExclusionReason::OtherRegion);
        }
        if self.is_evacuated(&entry.zone) {
            return Some(ExclusionReason::Evacuated);
        }

        let is_full = self.is_limited(entry) && !self.cold.has_room(entry.instance, self.now);
        is_full.then_some(ExclusionReason::Cold)
    }

    /// Reports whether a zone gets no new flows. A balancer that is cut off from all other zones
    /// still uses its own zone.
    fn is_evacuated(&self, zone: &ZoneName) -> bool {
        let is_last_resort = self.knowledge.is_isolated() && *zone == self.options.zone;

        self.knowledge.evacuated.blocks_new_flows(zone) && !is_last_resort
    }

    /// Reports whether requests to a backend server are limited because it has just started.
    fn is_limited(&self, entry: &BackendEntry) -> bool {
        ColdShares::allowed_rate(self.options.cold_limit, self.knowledge, entry, self.now).is_some()
    }

    /// Keeps only the cold backend servers if there are any: while the others are short of slots,
    /// cold ones get as much as they can process. One balancer among many sees too few of the
    /// others' requests to notice the shortage by their load.
    fn prefer_cold(&self, candidates: &mut Vec<ChoiceCandidate<'_>>) {
        if candidates.iter().any(|candidate| self.is_limited(candidate.entry)) {
            candidates.retain(|candidate| self.is_limited(candidate.entry));
        }
    }

    fn candidate<'a>(
        &self,
        entry: &'a BackendEntry,
        home: &ZoneName,
        doubt: ChoiceDoubt,
        pace: &PaceSource<'_>,
    ) -> ChoiceCandidate<'a> {
        let requests = self.flows.load(entry.instance).in_requests(self.options.idle_flow_load);
        let is_cold = entry.cold_until.is_some_and(|until| until > self.now);
        let cold_factor = if is_cold { self.options.cold_factor } else { 1.0 };
        // The pace may include the effect of the cold start already, which is to count once.
        let pace = match pace {
            PaceSource::Own { median } => {
                self.backends.pace().factor(entry.instance, *median, self.now)
            }
            PaceSource::Fleet(shares) => shares.pace().factor(entry.instance),
        };
        let is_avoided = self.backends.outliers().is_avoided(entry.instance, self.now);
        let avoidance = if is_avoided { self.options.avoidance_penalty } else { 0.0 };

        let load_at = |factor: f64| {
            (requests + 1.0) * factor / f64::from(entry.slots)
                + self.distance(entry, home)
                + avoidance
        };

        ChoiceCandidate {
            entry,
            load: load_at(pace.max(cold_factor)),
            fast_load: load_at(cold_factor),
            pace,
            doubt,
        }
    }

    /// Returns what the distance to a backend server adds to its load, for a flow that is meant for
    /// the zone `home`.
    fn distance(&self, entry: &BackendEntry, home: &ZoneName) -> f64 {
        if entry.zone == *home {
            0.0
        } else if self.options.other_region_zones.contains(&entry.zone) {
            self.options.region_preference
        } else {
            self.options.zone_preference
        }
    }

    fn doubt(
        &self,
        entry: &BackendEntry,
        caller: Ipv4Addr,
        instead_of: Option<InstanceId>,
    ) -> ChoiceDoubt {
        let health = self.backends.health();
        let is_silent = health.is_suspect(entry.instance, self.now)
            || health.is_silent_to(entry.instance, caller, self.now)
            || instead_of == Some(entry.instance);

        match (entry.missing_until, is_silent) {
            (Some(_), _) => ChoiceDoubt::Missing,
            (None, true) => ChoiceDoubt::Silent,
            (None, false) => ChoiceDoubt::None,
        }
    }
}

/// Time within which a backend server answers an opening packet or acknowledges data. Callers
/// retransmit after 200 ms; a retransmission that arrives earlier says nothing, since two packets
/// may have been read together.
pub(in crate::steering) const MAX_ANSWER_TIME: Duration = Duration::from_millis(150);
