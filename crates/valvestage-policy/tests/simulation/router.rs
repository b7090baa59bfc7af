//! The routers' choice of a balancer for each packet.

use valvestage_policy::rendezvous::mix;

use crate::site::SitePlan;

/// The health of all balancers as the platform's routers see it.
pub struct RouterTable {
    is_steady: bool,
    zones: Vec<usize>,
    /// Consecutive failed probes of each balancer, up to 2. A balancer with two gets no packets.
    failed_probes: Vec<u32>,
    /// Which balancers are part of the deployment.
    is_member: Vec<bool>,
}

impl RouterTable {
    pub fn new(plan: &SitePlan) -> Self {
        Self {
            is_steady: plan.is_steady,
            zones: (0..plan.balancers).map(|balancer| plan.zone_of(balancer)).collect(),
            failed_probes: vec![2; plan.balancers],
            is_member: (0..plan.balancers).map(|balancer| plan.is_founder(balancer)).collect(),
        }
    }

    /// Adds a balancer, which gets packets once it is ready.
    pub fn add(&mut self, balancer: usize) {
        self.is_member[balancer] = true;
    }

    pub fn remove(&mut self, balancer: usize) {
        self.is_member[balancer] = false;
        self.failed_probes[balancer] = 2;
    }

    pub fn on_probe(&mut self, balancer: usize, is_ready: bool) {
        self.failed_probes[balancer] =
            if is_ready { 0 } else { (self.failed_probes[balancer] + 1).min(2) };
    }

    fn members(&self) -> impl Iterator<Item = usize> {
        (0..self.zones.len()).filter(|balancer| self.is_member[*balancer])
    }

    /// Returns the balancer for a packet from a zone: a healthy one of the zone, or of all zones if
    /// the zone has none. If fewer than half of the zone's balancers are healthy, but at least one,
    /// or if there is no healthy balancer at all, the choice ignores health within the zone. A zone whose
    /// balancers have all left uses those of all zones.
    pub fn choose(&self, zone: usize, flow_hash: u64) -> usize {
        let is_in_zone =
            |balancer: &usize| self.zones[*balancer] == zone && self.is_member[*balancer];
        let is_healthy = |balancer: &usize| self.failed_probes[*balancer] < 2;
        let in_zone: Vec<_> = (0..self.zones.len()).filter(is_in_zone).collect();
        let healthy_in_zone: Vec<_> = in_zone.iter().copied().filter(is_healthy).collect();
        let healthy: Vec<_> = (0..self.zones.len()).filter(is_healthy).collect();

        let candidates = match healthy_in_zone.len() {
            0 if !healthy.is_empty() => healthy,
            0 if in_zone.is_empty() => self.members().collect(),
            count if count * 2 < in_zone.len() => in_zone,
            _ => healthy_in_zone,
        };
        let score =
            |balancer: &&usize| mix(flow_hash, u64::try_from(**balancer).expect("the number fits"));
        if self.is_steady {
            return *candidates.iter().max_by_key(score).expect("there are balancers");
        }
        let index = flow_hash % u64::try_from(candidates.len()).expect("the count fits");
        candidates[usize::try_from(index).expect("the number fits")]
    }
}
