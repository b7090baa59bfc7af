//! The live balancers as seen by one balancer, and the home balancers that follow from them.

use std::collections::BTreeSet;

use valvestage_core::Configuration;
use valvestage_core::ids::{BalancerId, FlowKey, ServiceId, ZoneName};

use crate::rendezvous::{best, mix, weighted_score};

/// Hash seed that keeps the hashes of zones independent of those of balancers.
const ZONE_SEED: u64 = 0x7a6f_6e65;

/// Hash seed that keeps the hashes of services independent of those of flows.
const SERVICE_SEED: u64 = 0x7365_7276;

#[derive(Debug, Clone, PartialEq)]
struct ZoneMembers {
    zone: ZoneName,
    seed: u64,
    /// Sorted and unique.
    members: Vec<BalancerId>,
    /// The number of members.
    weight: f64,
}

/// Set of live balancers, grouped by availability zone.
///
/// The home of a key is chosen in two steps: first a zone, weighted by its number of live
/// balancers, then a balancer in the zone. So the cost grows with the number of zones and the size
/// of one zone, not with the size of the deployment.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LiveView {
    /// Hash of the members; equal sets of members have equal epochs.
    epoch: u64,
    zones: Vec<ZoneMembers>,
    /// Balancers that are alive but leaving; sorted, and disjoint from the members.
    leaving: Vec<BalancerId>,
}

impl LiveView {
    /// Creates a view from balancers with their zones, in any order and with repetitions allowed.
    pub fn new(members: impl IntoIterator<Item = (BalancerId, ZoneName)>) -> Self {
        let mut sorted: Vec<_> = members.into_iter().map(|(id, zone)| (zone, id)).collect();
        sorted.sort();
        sorted.dedup();

        let mut view = Self::default();
        for (zone, id) in sorted {
            let seed = zone.bytes().fold(ZONE_SEED, |hash, byte| mix(hash, byte.into()));
            view.epoch = mix(view.epoch, mix(seed, id.into()));

            match view.zones.last_mut() {
                Some(last) if last.zone == zone => {
                    last.members.push(id);
                    last.weight += 1.0;
                }
                _ => view.zones.push(ZoneMembers { zone, seed, members: vec![id], weight: 1.0 }),
            }
        }

        view
    }

    /// Adds the leaving balancers, which still answer but are the home of no key.
    #[must_use]
    pub fn with_leaving(mut self, leaving: impl IntoIterator<Item = BalancerId>) -> Self {
        self.leaving = leaving.into_iter().filter(|id| !self.contains(*id)).collect();
        self.leaving.sort_unstable();
        self
    }

    /// Reports whether a balancer is a member or leaving.
    #[must_use]
    pub fn is_reachable(&self, id: BalancerId) -> bool {
        self.contains(id) || self.leaving.contains(&id)
    }

    /// Returns a hash that identifies the set of members.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Reports whether a balancer is a member.
    #[must_use]
    pub fn contains(&self, id: BalancerId) -> bool {
        self.members().any(|member| member == id)
    }

    /// Reports whether any member is in this zone.
    #[must_use]
    pub fn has_zone(&self, name: &str) -> bool {
        self.zones.iter().any(|zone| zone.zone == name)
    }

    /// Returns the availability zones that have backend servers but no member, because of a network
    /// partition or an outage.
    #[must_use]
    pub fn lost_zones(&self, configuration: &Configuration) -> BTreeSet<ZoneName> {
        let zones: BTreeSet<_> = configuration.backends().map(|backend| &backend.zone).collect();

        zones.into_iter().filter(|zone| !self.has_zone(zone)).cloned().collect()
    }

    /// Iterates over the members, sorted by zone and id.
    pub fn members(&self) -> impl Iterator<Item = BalancerId> {
        self.zones.iter().flat_map(|zone| zone.members.iter().copied())
    }

    /// Returns the balancer that keeps the state of a flow.
    #[must_use]
    pub fn home(&self, key: FlowKey) -> Option<BalancerId> {
        self.home_without(key, None)
    }

    /// Returns the balancer that becomes the home of a flow if its present home fails.
    #[must_use]
    pub fn next_home(&self, key: FlowKey) -> Option<BalancerId> {
        self.home_without(key, self.home(key))
    }

    /// Returns the member that is the preferred balancer of a service.
    #[must_use]
    pub fn service_home(&self, service: ServiceId) -> Option<BalancerId> {
        self.home(mix(SERVICE_SEED, service.into()))
    }

    /// Returns the home of a flow as it is once the excluded balancer is gone.
    #[must_use]
    pub fn home_without(&self, key: FlowKey, excluded: Option<BalancerId>) -> Option<BalancerId> {
        // First a zone, weighted by its number of members without the excluded balancer.
        let loses_one =
            |zone: &ZoneMembers| excluded.is_some_and(|excluded| zone.members.contains(&excluded));
        let zone = match self.zones.as_slice() {
            [only] => only,
            zones => best(zones.iter().map(|zone| {
                let weight = if loses_one(zone) { zone.weight - 1.0 } else { zone.weight };

                (zone, weighted_score(key, zone.seed, weight))
            }))?,
        };

        // Then a balancer in the zone, all of equal weight.
        zone.members
            .iter()
            .copied()
            .filter(|id| Some(*id) != excluded)
            .max_by_key(|id| mix(key, u64::from(*id)))
    }
}
