//! Availability zones that the operator wants to be left alone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use valvestage_core::StorePosition;
use valvestage_core::ids::ZoneName;

/// Longest time for which a zone that was taken back still gets nothing, while it is not known what its backend servers are by
/// now. What is read of them is at most one watch of 1.5 s and its relay behind.
const LONGEST_RETURN: Duration = Duration::from_millis(2_500);

/// For how long a zone still gets nothing whose evacuation a restored store has lost: the operator writes it again.
const LOST_EVACUATION_HOLD: Duration = Duration::from_secs(5);

/// `EvacuationReport` is all evacuated zones as of a revision of the store. The one of the highest revision is right.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Every change up to this revision is known.
    pub as_of: StorePosition,
    /// The zones; each once, in the order of their names.
    pub zones: Vec<ZoneName>,
}

/// `ZoneReturn` is how a zone comes back that was taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ZoneReturn {
    /// Up to which position its backend servers have to be known; none: it waits for its time.
    known_until: Option<StorePosition>,
    /// When it comes back whatever is known of them.
    until: Instant,
}

/// `EvacuatedZones` is which zones get no new flows, as far as is known.
#[derive(Debug, Clone, Default)]
pub struct EvacuatedZones {
    /// The start: nothing was read yet.
    as_of: StorePosition,
    zones: BTreeSet<ZoneName>,
    /// Zones that were taken back, and get nothing yet. None of them is in `zones`.
    returning: BTreeMap<ZoneName, ZoneReturn>,
}

impl EvacuatedZones {
    /// Returns whether they were read once.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.as_of.is_start()
    }

    /// Returns the position up to which every change is known; the start: nothing was read yet.
    #[must_use]
    pub fn as_of(&self) -> StorePosition {
        self.as_of
    }

    /// Returns the zones that the operator has not taken back.
    #[must_use]
    pub fn zones(&self) -> &BTreeSet<ZoneName> {
        &self.zones
    }

    /// Returns whether a zone gets no new flows.
    #[must_use]
    pub fn holds(&self, zone: &str) -> bool {
        self.zones.contains(zone) || self.returning.contains_key(zone)
    }

    /// Returns whether there is no such zone.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty() && self.returning.is_empty()
    }

    /// Returns what others are to know; none where nothing was read yet.
    #[must_use]
    pub fn report(&self) -> Option<EvacuationReport> {
        let zones = self.zones.iter().cloned().collect();

        self.is_known().then_some(EvacuationReport { as_of: self.as_of, zones })
    }

    /// Applies what was the case at a position; true if it is newer and other zones are evacuated now. Those that
    /// were taken back get nothing before [`Self::end_returns`] says so.
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
        let arrival = if is_restored {
            ZoneReturn { known_until: None, until: now + LOST_EVACUATION_HOLD }
        } else {
            ZoneReturn { known_until: Some(report.as_of), until: now + LONGEST_RETURN }
        };
        let returning = self.zones.difference(&zones).map(|zone| (zone.clone(), arrival));
        self.returning.extend(returning);
        self.returning.retain(|zone, _| !zones.contains(zone));
        self.zones = zones;
        true
    }

    /// Releases zones of whose backend servers every change up to a position is known; none: whatever is
    /// known of them. Gives these zones.
    pub fn end_returns(
        &mut self,
        known_until: Option<StorePosition>,
        now: Instant,
    ) -> Vec<ZoneName> {
        let is_over = |arrival: &ZoneReturn| {
            let is_known = |needed| known_until.is_none_or(|known| known >= needed);
            arrival.until <= now || arrival.known_until.is_some_and(is_known)
        };
        let back = self.returning.iter().filter(|(_, arrival)| is_over(arrival));
        let back: Vec<_> = back.map(|(zone, _)| zone.clone()).collect();

        self.returning.retain(|_, arrival| !is_over(arrival));
        back
    }
}
