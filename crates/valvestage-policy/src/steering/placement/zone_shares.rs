//! Shares of new flows by availability zone, derived from the demand of the whole deployment.
//!
//! Among hundreds of balancers, a single one sees so few requests of a backend server that its own
//! zone never looks busy to it. The zone of a new flow is therefore drawn by shares that follow
//! from the demand of all balancers' callers and the slots of each zone. Demand does not depend on
//! where flows are placed, so balancers that receive the same reports spread their flows alike, and
//! none of them moves all of its flows at once.

use valvestage_core::ids::ZoneName;

/// Share of its slots in use above which a zone, or a region, sends new flows elsewhere if there is
/// room.
///
/// With 295 balancers and one zone whose callers ask for all of its slots, the shares reduce
/// refusals by full backend servers from 31,516 to 55 (of some 210,000 attempts in 60 s). A value
/// of 0.6 gives a quarter fewer refusals than 0.9, but flows in another zone stall while that zone
/// is cut off: with 8 balancers the score of a simulation falls by 0.001 with 0.6, and by 0.0002 to
/// 0.0008 with 0.9.
pub const SPILL_FROM: f64 = 0.9;

/// Demand for one service by the callers of an availability zone, and the slots of the service
/// there.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneLoad {
    /// Name of the availability zone.
    pub zone: ZoneName,
    /// Whether the zone is in another region than this balancer.
    pub is_far: bool,
    /// Requests that the zone's callers have under way concurrently; not negative.
    pub demand: f64,
    /// Requests that the zone's backend servers can process concurrently; not negative.
    pub slots: f64,
}

impl ZoneLoad {
    /// Returns the number of requests that the zone can take from others until this share of its
    /// slots is in use.
    fn spare_slots(&self, level: f64) -> f64 {
        (level * self.slots - self.demand).max(0.0)
    }
}

/// Distribution of the new flows of one availability zone's callers over the zones.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ZoneShares {
    /// Shares of other zones, each above 0. Their sum is at most 1, and the remainder stays in the
    /// zone of the callers.
    away: Vec<(ZoneName, f64)>,
    /// Whether the callers of this region ask for more than [`SPILL_FROM`] of all its slots.
    is_short: bool,
    /// Demand of all zones as a share of their slots; 0 without slots.
    used: f64,
}

impl ZoneShares {
    /// Computes the shares for the zone `home`. Demand that exceeds its room is divided among other
    /// zones in proportion to their spare slots.
    #[must_use]
    pub fn new(home: &ZoneName, zones: &[ZoneLoad]) -> Self {
        let (far, near): (Vec<_>, Vec<_>) = zones.iter().partition(|zone| zone.is_far);
        let Some(own) = near.iter().find(|zone| zone.zone == *home) else {
            return Self { used: used_share(zones), ..Self::default() };
        };

        let demand: f64 = near.iter().map(|zone| zone.demand).sum();
        let slots: f64 = near.iter().map(|zone| zone.slots).sum();
        let room_far: f64 = far.iter().map(|zone| zone.spare_slots(SPILL_FROM)).sum();
        let leaves_region = (demand - SPILL_FROM * slots).clamp(0.0, room_far);
        let far_share = ratio_of(leaves_region, demand);
        let mut away = divide_share(far_share, &far, SPILL_FROM);

        // If every zone of the region is above the spill level, all of them get the same
        // utilization.
        let level = ratio_of(demand - leaves_region, slots).max(SPILL_FROM);
        let excess = own.demand * (1.0 - far_share) - level * own.slots;
        let others: Vec<_> = near.iter().copied().filter(|zone| zone.zone != *home).collect();
        away.extend(divide_share(ratio_of(excess.max(0.0), own.demand), &others, level));
        Self { away, is_short: demand > SPILL_FROM * slots, used: used_share(zones) }
    }

    /// Reports whether the callers of this region ask for more than its zones should take.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.is_short
    }

    /// Returns the demand of all zones as a share of their slots; 0 without slots.
    #[must_use]
    pub fn used(&self) -> f64 {
        self.used
    }

    /// Reports whether all flows stay in the zone of their callers.
    #[must_use]
    pub fn stays_home(&self) -> bool {
        self.away.is_empty()
    }

    /// Returns the share of flows that go to other zones, from 0 to 1.
    #[must_use]
    pub fn away(&self) -> f64 {
        self.away.iter().map(|(_, share)| share).sum()
    }

    /// Returns the other zone that a draw from `[0, 1)` selects; `None` selects the zone of the
    /// caller.
    #[must_use]
    pub fn draw(&self, unit: f64) -> Option<&ZoneName> {
        let mut left = unit;

        for (zone, share) in &self.away {
            if left < *share {
                return Some(zone);
            }
            left -= share;
        }
        None
    }
}

fn used_share(zones: &[ZoneLoad]) -> f64 {
    let demand = zones.iter().map(|zone| zone.demand).sum();
    let slots = zones.iter().map(|zone| zone.slots).sum();

    ratio_of(demand, slots)
}

/// Returns a part as a share of a whole, or 0 if the whole is 0.
fn ratio_of(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// Divides a share among zones in proportion to their spare slots.
fn divide_share(share: f64, zones: &[&ZoneLoad], level: f64) -> Vec<(ZoneName, f64)> {
    let room: f64 = zones.iter().map(|zone| zone.spare_slots(level)).sum();
    if share <= 0.0 || room <= 0.0 {
        return Vec::new();
    }

    let with_room = zones.iter().filter(|zone| zone.spare_slots(level) > 0.0);
    with_room.map(|zone| (zone.zone.clone(), share * zone.spare_slots(level) / room)).collect()
}
