//! The routers' choice of a balancer for each packet.

use valvestage_policy::rendezvous::mix;

use crate::site::SitePlan;

/// The health of all balancers as the platform's routers see it.
pub struct RouterTable {
    is_steady: bool,
    zones: Vec<usize>,
    /// Consecutive failed probes of each balancer, up to 2. A balancer with two gets no packets.
    misses: Vec<u32>,
}

impl RouterTable {
    pub fn new(plan: &SitePlan) -> Self {
        Self {
            is_steady: plan.is_steady,
            zones: (0..plan.balancers).map(|balancer| plan.zone_of(balancer)).collect(),
            misses: vec![2; plan.balancers],
        }
    }

    pub fn on_probe(&mut self, balancer: usize, is_ready: bool) {
        self.misses[balancer] = if is_ready { 0 } else { (self.misses[balancer] + 1).min(2) };
    }

    /// Returns the balancer for a packet from a zone: a healthy one of the zone, or of all zones if
    /// the zone has none. If fewer than half of the zone's balancers are healthy, but at least one,
    /// or if there is no healthy balancer at all, the choice ignores health within the zone.
    pub fn choose(&self, zone: usize, flow_hash: u64) -> usize {
        let is_own = |balancer: &usize| self.zones[*balancer] == zone;
        let is_in = |balancer: &usize| self.misses[*balancer] < 2;
        let own: Vec<_> = (0..self.zones.len()).filter(is_own).collect();
        let own_in: Vec<_> = own.iter().copied().filter(is_in).collect();
        let all_in: Vec<_> = (0..self.zones.len()).filter(is_in).collect();

        let candidates = match own_in.len() {
            0 if !all_in.is_empty() => all_in,
            count if count * 2 < own.len() => own,
            _ => own_in,
        };
        let place = |balancer: &&usize| mix(flow_hash, u64::try_from(**balancer).expect("small"));
        if self.is_steady {
            return *candidates.iter().max_by_key(place).expect("there are balancers");
        }
        let place = flow_hash % u64::try_from(candidates.len()).expect("few");
        candidates[usize::try_from(place).expect("small")]
    }
}
