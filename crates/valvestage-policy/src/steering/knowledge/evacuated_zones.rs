//! Availability zones that get no new flows at the operator's request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use valvestage_core::StorePosition;
use valvestage_core::ids::ZoneName;

/// Longest time for which a zone gets no new flows after its evacuation has ended, while the state
/// of its backend servers is not known. What is known of them lags behind by at most one watch of
/// 1.5 s and its relay.
const MAX_RETURN_DELAY: Duration = Duration::from_millis(2_500);

/// Time for which a zone gets no new flows after a restored store has lost its evacuation, so that
/// the operator can write it again.
const LOST_EVACUATION_HOLD: Duration = Duration::from_secs(5);

/// All evacuated zones as of a position of the store. The report with the highest position wins.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Every change up to this position is known.
    pub as_of: StorePosition,
    /// The zones, each once, in the order of their names.
    pub zones: Vec<ZoneName>,
}

/// Condition for a zone whose evacuation has ended to get new flows again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReturnCondition {
    /// Position up to which its backend servers have to be known. `None` if only the time counts.
    known_until: Option<StorePosition>,
    /// When the zone gets new flows whatever is known of its backend servers.
    until: Instant,
}

/// The zones that get no new flows, as far as is known.
#[derive(Debug, Clone, Default)]
pub struct EvacuatedZones {
    /// Every change up to this position is known. The start if nothing was read yet.
    as_of: StorePosition,
    zones: BTreeSet<ZoneName>,
    /// Zones whose evacuation has ended but that get no new flows yet. None of them is in `zones`.
    returning: BTreeMap<ZoneName, ReturnCondition>,
}

impl EvacuatedZones {
    /// Reports whether the zones were read at least once.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.as_of.is_start()
    }

    /// Returns the position up to which every change is known. The start if nothing was read yet.
    #[must_use]
    pub fn as_of(&self) -> StorePosition {
        self.as_of
    }

    /// Returns the zones whose evacuation the operator has not ended.
    #[must_use]
    pub fn zones(&self) -> &BTreeSet<ZoneName> {
        &self.zones
    }

    /// Reports whether a zone gets no new flows.
    #[must_use]
    pub fn blocks_new_flows(&self, zone: &str) -> bool {
        self.zones.contains(zone) || self.returning.contains_key(zone)
    }

    /// Reports whether all zones get new flows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty() && self.returning.is_empty()
    }

    /// Returns the report for peers. `None` if nothing was read yet.
    #[must_use]
    pub fn report(&self) -> Option<EvacuationReport> {
        let zones = self.zones.iter().cloned().collect();

        self.is_known().then_some(EvacuationReport { as_of: self.as_of, zones })
    }

    /// Applies a report. Returns true if it is newer and the evacuated zones have changed. Zones
    /// whose evacuation has ended get no new flows before [`Self::release_returning`] releases
    /// them.
    pub fn replace(&mut self, report: EvacuationReport, now: Instant) -> bool {
        if report.as_of <= self.as_of {
            return false;
        }

        let is_restored = report.as_of.era > self.as_of.era;
        self.as_of = report.as_of;
        let zones: BTreeSet<_> = report.zones.into_iter().collect();
        if zones == self.zones {
            return false;
        }
        let condition = if is_restored {
            ReturnCondition { known_until: None, until: now + LOST_EVACUATION_HOLD }
        } else {
            ReturnCondition { known_until: Some(report.as_of), until: now + MAX_RETURN_DELAY }
        };
        let returning = self.zones.difference(&zones).map(|zone| (zone.clone(), condition));
        self.returning.extend(returning);
        self.returning.retain(|zone, _| !zones.contains(zone));
        self.zones = zones;
        true
    }

    /// Releases and returns the zones whose backend servers are known up to the required position,
    /// or whose time is over. `None` for `known_until` stands for any position.
    pub fn release_returning(
        &mut self,
        known_until: Option<StorePosition>,
        now: Instant,
    ) -> Vec<ZoneName> {
        let is_over = |condition: &ReturnCondition| {
            let is_known = |needed| known_until.is_none_or(|known| known >= needed);
            condition.until <= now || condition.known_until.is_some_and(is_known)
        };
        let back = self.returning.iter().filter(|(_, condition)| is_over(condition));
        let back: Vec<_> = back.map(|(zone, _)| zone.clone()).collect();

        self.returning.retain(|_, condition| !is_over(condition));
        back
    }
}
