//! Roles that a balancer takes on for the whole deployment: platform watcher, lease holder and
//! coordinator of service ownership.

use std::time::SystemTime;

use valvestage_core::ids::{BalancerId, ServiceId};

use super::control_action::{ControlAction, Installation, StateMachine};
use super::control_policy::ControlPolicy;
use super::owner_coordinator::{CoordinatorInputs, OwnerCandidate};
use super::planned_stop::PlannedStop;
use crate::membership::PeerState;
use crate::rendezvous::mix;

/// The home balancer of this key is the coordinator. Two balancers that act as coordinator at the
/// same time do no harm, because their writes are conditional.
const COORDINATOR_KEY: u64 = 0x6f77_6e65;

/// Hash seed that makes the selection of watchers independent of that of lease holders.
const WATCHER_SEED: u64 = 0x7761_7463;

/// Hash seed that makes the selection of lease holders independent of that of watchers.
const HOLDER_SEED: u64 = 0x686f_6c64;

impl ControlPolicy {
    pub(super) fn step_lease(&mut self, now: SystemTime, out: &mut Vec<ControlAction>) {
        if self.may_hold_lease(now)
            && let Some(call) = self.lease_manager.next_call(now)
        {
            out.push(ControlAction::Call { machine: StateMachine::Lease, call });
        }

        let grant = self.lease_manager.grant(now);
        if grant != self.grant {
            self.grant = grant;
            self.table.set_lease_epoch(grant.map_or(0, |grant| grant.epoch));
            out.push(ControlAction::Install(Installation::Grant(grant)));
        }
    }

    /// Reports whether this balancer may make lease calls: if it is a selected lease holder of its
    /// zone, owns a service, or is releasing its lease.
    fn may_hold_lease(&self, now: SystemTime) -> bool {
        self.lease_manager.is_releasing()
            || self.is_selected(now, HOLDER_SEED, self.options.owners_per_zone)
            || !self.owned_services().is_empty()
    }

    pub(super) fn step_owners(&mut self, now: SystemTime, out: &mut Vec<ControlAction>) {
        if self.view.home(COORDINATOR_KEY) != Some(self.own().id) {
            return;
        }

        self.coordinator.on_map(&self.owner_map);
        let services = self.configuration.iter().flat_map(|known| known.services());
        let inputs = CoordinatorInputs {
            services: services.map(|service| service.id).collect(),
            candidates: self.candidates(now),
            live: self.view.members().count(),
        };
        if let Some(call) = self.coordinator.next_call(now, &inputs) {
            out.push(ControlAction::Call { machine: StateMachine::Owners, call });
        }
    }

    /// Reports whether this balancer has to watch the platform now.
    #[must_use]
    pub fn should_watch(&self, now: SystemTime) -> bool {
        let is_stale = self.last_platform_contact().is_none_or(|heard| {
            now.duration_since(heard).unwrap_or_default() > self.options.stale_after
        });

        is_stale || self.is_selected(now, WATCHER_SEED, self.options.watchers_per_zone)
    }

    /// Reports whether this balancer ranks among the first `count` serving balancers of its zone,
    /// in an order that is the same on all balancers.
    fn is_selected(&self, now: SystemTime, seed: u64, count: usize) -> bool {
        let own = self.own();
        let zone_peers = self
            .table
            .alive(now)
            .filter(|record| record.zone == own.zone && record.state == PeerState::Serving);
        let rank = |id: BalancerId| mix(u64::from(id), seed);
        let before = zone_peers.filter(|record| rank(record.id) < rank(own.id)).count();

        before < count
    }

    /// Returns the live, serving balancers that hold a lease, including this one.
    #[must_use]
    pub fn candidates(&self, now: SystemTime) -> Vec<OwnerCandidate> {
        let records = self.table.alive(now).chain([self.own()]);

        records
            .filter(|record| record.state == PeerState::Serving && record.lease_epoch > 0)
            .map(|record| OwnerCandidate { id: record.id, lease: record.lease_epoch })
            .collect()
    }

    /// Creates the state machine that hands over all services of this balancer.
    #[must_use]
    pub fn planned_stop(&self, now: SystemTime) -> PlannedStop {
        let lease = self.grant.map_or(0, |grant| grant.epoch);
        let from = OwnerCandidate { id: self.own().id, lease };

        PlannedStop::new(from, self.owned_services(), now)
    }

    /// Returns the services that this balancer owns under its present lease.
    #[must_use]
    pub fn owned_services(&self) -> Vec<ServiceId> {
        let lease = self.grant.map(|grant| grant.epoch);
        let entries = self.owner_map.raw.entries.iter();

        entries
            .filter(|(_, entry)| entry.owner == self.own().id && Some(entry.lease) == lease)
            .map(|(service, _)| *service)
            .collect()
    }
}
