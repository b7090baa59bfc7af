//! Shares of new flows while some backend servers of a service are slow.
//!
//! Each flow may go to a backend server with a probability, its share, that is 1 for one that has
//! answered fast recently, and small for one that is probably slow. As the shares follow from
//! probabilities, they change gradually, and balancers that know the same spread their flows alike.

use std::collections::BTreeMap;

use valvestage_core::ids::ZoneName;

use super::backend_choice::{ChoiceCandidate, ChoiceDoubt};
use super::slow_slots::SlotPressure;
use crate::rendezvous::mix;
use crate::steering::health::service_pace::ServicePace;
use crate::steering::seeded_draw::unit_of;

/// Share that a slow backend server keeps at least, so that its recovery is seen.
const MIN_SHARE: f64 = 0.02;

/// Exponent of the probability that a backend server is fast. One that is as likely slow as not
/// gets a twelfth of the flows of one that is known to be fast.
const CERTAINTY_EXPONENT: i32 = 8;

/// Requests in flight per fast slot from which on slow backend servers get more than
/// [`MIN_SHARE`]. At one request per fast slot, each backend server gets flows in proportion to the
/// requests that it can serve.
const SPILL_FROM: f64 = 0.5;

/// Ratio between the mean shares of this zone and the others below which flows leave the zone.
/// While half of a zone's backend servers are slow, the others usually have room for all its flows.
const MIN_HOME_RATIO: f64 = 0.5;

/// Weight of a zone of another region, where each packet takes tens of milliseconds longer.
const OTHER_REGION_WEIGHT: f64 = 0.1;

/// Shares of a service's backend servers.
pub(in crate::steering) struct PaceShares<'a> {
    pace: &'a ServicePace,
    /// How far the fast slots are used up, from 0 to 1.
    spill: f64,
}

impl<'a> PaceShares<'a> {
    pub(in crate::steering) fn new(pace: &'a ServicePace, pressure: SlotPressure) -> Self {
        let spill = (pressure.per_fast_slot - SPILL_FROM) / (1.0 - SPILL_FROM);

        Self { pace, spill: spill.clamp(0.0, 1.0) }
    }

    /// Returns the pace of the service.
    pub(in crate::steering) fn pace(&self) -> &'a ServicePace {
        self.pace
    }

    /// Returns the share of each candidate in relation to the largest one.
    fn of_all(&self, candidates: &[ChoiceCandidate<'_>]) -> Vec<f64> {
        let shares: Vec<_> = candidates.iter().map(|candidate| self.share(candidate)).collect();
        let largest = shares.iter().copied().fold(f64::MIN_POSITIVE, f64::max);

        shares.into_iter().map(|share| share / largest).collect()
    }

    fn share(&self, candidate: &ChoiceCandidate<'_>) -> f64 {
        let fast = 1.0 - self.pace.slow_probability(candidate.entry.instance);
        let least = (self.spill / candidate.pace).max(MIN_SHARE);

        least + (1.0 - least) * fast.powi(CERTAINTY_EXPONENT)
    }

    /// Keeps the candidates that a flow may go to, by its draw. Flows leave the zone `home` for
    /// another one if most of its backend servers are slow and those of the others are not. Keeps
    /// all candidates if the draw admits none that is free of doubt.
    pub(in crate::steering) fn narrow<'b>(
        &self,
        candidates: &[ChoiceCandidate<'b>],
        home: &ZoneName,
        is_far: impl Fn(&ZoneName) -> bool,
        draw: u64,
    ) -> Vec<ChoiceCandidate<'b>> {
        let shares = self.of_all(candidates);
        let zone = drawn_zone(candidates, &shares, home, is_far, draw);
        let is_drawn = |candidate: &ChoiceCandidate<'_>, share: f64| {
            candidate.entry.zone == *zone && unit_of(mix(draw, candidate.entry.instance)) < share
        };
        let drawn = candidates.iter().zip(&shares);
        let drawn: Vec<_> = drawn
            .filter(|(candidate, share)| is_drawn(candidate, **share))
            .map(|(candidate, _)| ChoiceCandidate { load: candidate.fast_load, ..*candidate })
            .collect();

        if drawn.iter().any(|candidate| candidate.doubt == ChoiceDoubt::None) {
            drawn
        } else {
            candidates.to_vec()
        }
    }
}

/// Sum of the shares of a zone's backend servers, and their number.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneSum {
    shares: f64,
    backends: f64,
}

impl ZoneSum {
    fn add(&mut self, share: f64) {
        self.shares += share;
        self.backends += 1.0;
    }

    fn mean(&self) -> f64 {
        if self.backends > 0.0 { self.shares / self.backends } else { 0.0 }
    }
}

/// Returns the zone for a flow that is meant for the zone `home`.
fn drawn_zone<'a>(
    candidates: &[ChoiceCandidate<'a>],
    shares: &[f64],
    home: &'a ZoneName,
    is_far: impl Fn(&ZoneName) -> bool,
    draw: u64,
) -> &'a ZoneName {
    let (mut own, mut others) = (ZoneSum::default(), ZoneSum::default());
    let mut weights: BTreeMap<&ZoneName, f64> = BTreeMap::new();
    for (candidate, share) in candidates.iter().zip(shares) {
        let zone = &candidate.entry.zone;
        if zone == home {
            own.add(*share);
            continue;
        }
        others.add(*share);
        let weight = if is_far(zone) { OTHER_REGION_WEIGHT } else { 1.0 };
        *weights.entry(zone).or_default() += share * weight;
    }

    let stays = own.mean() / (MIN_HOME_RATIO * others.mean()).max(f64::MIN_POSITIVE);
    if unit_of(mix(draw, 1)) < stays {
        return home;
    }
    let mut left = unit_of(mix(draw, 2)) * weights.values().sum::<f64>();
    for (zone, weight) in weights {
        if left < weight {
            return zone;
        }
        left -= weight;
    }
    home
}
