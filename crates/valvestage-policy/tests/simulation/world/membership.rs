//! Planned work: balancers that leave and join, and configurations that add routes.

use std::net::SocketAddrV4;

use super::{ADDRESS_COUNT, World};
use crate::callers::CallerFlow;
use crate::events::BalancerNumber;
use crate::fault::{Fault, FaultKind, Handover};
use crate::flow_faults::LEAVE_INTERVAL;
use crate::site::{SEED_COUNT, SitePlan, balancer_address, service_address};
use crate::store::StoreMode;

/// Number of the first address that a configuration adds.
const FIRST_ADDED_ADDRESS: usize = 500;

/// Returns the leaves and joins of a handover.
pub fn membership_changes(fault: &Fault, handover: Handover, plan: &SitePlan) -> Vec<Fault> {
    let Handover { leaving, join_after_ms, seeds_for_ms } = handover;
    let leaves = (0..leaving).zip(0..).map(|(number, place)| Fault {
        kind: FaultKind::Leave(number),
        at: fault.at + LEAVE_INTERVAL * place,
        for_ms: LEAVE_INTERVAL,
    });
    let spares = plan.balancers - plan.spares..plan.balancers;
    let joins = spares.map(|number| Fault {
        kind: FaultKind::Join(number),
        at: fault.at + join_after_ms,
        for_ms: seeds_for_ms,
    });

    leaves.chain(joins).collect()
}

impl World {
    /// Tells a balancer to stop: routers find it not ready, and it serves until it ends.
    pub(super) fn begin_leave(&mut self, balancer: BalancerNumber) {
        self.balancers[balancer].is_leaving = true;
    }

    /// Takes a balancer away for good.
    pub(super) fn end_leave(&mut self, balancer: BalancerNumber) {
        let node = &mut self.balancers[balancer];
        node.policy = None;
        node.is_member = false;

        self.router.remove(balancer);
    }

    /// Starts an added balancer. The bounds on what it knows count from its start.
    pub(super) fn join(&mut self, balancer: BalancerNumber) {
        let node = &mut self.balancers[balancer];
        if node.is_member {
            return;
        }

        node.is_member = true;
        node.disturbed_at = node.disturbed_at.max(self.now);
        self.router.add(balancer);
        self.start_balancer(balancer);
    }

    /// Writes the addresses of balancers that stay into the settings of all. Some of them may be
    /// down.
    pub(super) fn refresh_seeds(&mut self) {
        let stays = |balancer: &BalancerNumber| {
            let node = &self.balancers[*balancer];
            node.is_member && !node.is_leaving
        };
        let staying = (0..self.plan.balancers).filter(stays);
        self.peer_seeds = staying.take(SEED_COUNT).map(balancer_address).collect();

        for policy in self.balancers.iter_mut().filter_map(|node| node.policy.as_mut()) {
            policy.on_seeds(&self.peer_seeds);
        }
    }

    /// Writes a configuration with one more address.
    pub(super) fn add_address(&mut self) {
        if self.store.mode != StoreMode::Answers {
            return;
        }

        let number = FIRST_ADDED_ADDRESS + self.added_addresses.len();
        let address = service_address(number);
        self.wanted_routes.insert(address, number % 2);
        self.write_configuration();
        self.added_addresses.push(address);
    }

    /// Returns the address of a caller's next flow: three times in four the newest one, if the
    /// balancer that is to get the opening packet knows its route, and else one that always had
    /// traffic.
    pub(super) fn choose_address(&mut self, caller: usize) -> SocketAddrV4 {
        let usual = service_address(self.draw.below(ADDRESS_COUNT));
        let Some(newest) = self.added_addresses.last().copied() else { return usual };
        if self.draw.below(4) == 0 {
            return usual;
        }

        let zone = caller % self.plan.zones;
        let number = self.flows.len();
        let flow = CallerFlow::new(number, caller, zone, newest, 1, self.now);
        let balancer = self.router.choose(zone, flow.hash());
        let policy = self.balancers[balancer].policy.as_ref();
        let is_known =
            policy.is_some_and(|policy| policy.knowledge().routes.routes.contains_key(&newest));
        if is_known { newest } else { usual }
    }
}
