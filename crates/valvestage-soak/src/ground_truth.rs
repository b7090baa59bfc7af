//! Ground truth of the site, independent of what balancers know.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::ops::Range;
use std::time::Instant;

use valvestage_core::ids::{ConfigurationVersion, InstanceId};

use crate::promise::DISTURBANCE_MARGIN;
use crate::site_plan::Routes;

/// Configuration as it should be in force from a time on.
#[derive(Debug, Clone)]
pub struct ConfigurationRecord {
    /// Version that the configuration was written with.
    pub version: ConfigurationVersion,
    /// When the store accepted the configuration.
    pub accepted_at: Instant,
    /// Service that each service address is routed to.
    pub routes: Routes,
}

/// Evacuation of a zone.
#[derive(Debug, Clone, Copy)]
pub struct EvacuationRecord {
    /// Number of the evacuated zone.
    pub zone: usize,
    /// When the store accepted the evacuation.
    pub requested_at: Instant,
    /// When the evacuation was lifted; `None` while it lasts.
    pub lifted_at: Option<Instant>,
}

/// Instance of a backend server, from its start on.
#[derive(Debug, Clone)]
pub struct BackendRecord {
    /// Name of the service that the instance runs.
    pub service: &'static str,
    /// Number of the instance's zone.
    pub zone: usize,
    /// When the store accepted that the instance drains; `None` if it does not drain.
    pub draining_at: Option<Instant>,
    /// When the instance stopped; `None` while it runs.
    pub ended_at: Option<Instant>,
    /// When the instance's entry was first written to the store.
    pub registered_at: Instant,
    /// Time until which the instance or its links count as disturbed.
    pub disturbed_until: Instant,
}

/// Disturbances and restarts of a balancer.
#[derive(Debug, Clone, Copy)]
pub struct BalancerRecord {
    /// Time until which promises with a time bound do not apply, because of faults or planned work.
    pub disturbed_until: Instant,
    /// Time until which promises about flows do not apply, because of faults. Planned work does not
    /// extend it.
    pub faulted_until: Instant,
    /// Number of restarts so far.
    pub restarts: u32,
}

/// Record of everything that the run has done to the site.
#[derive(Debug)]
pub struct GroundTruth {
    /// All configurations in ascending order of version; the first is written before balancers
    /// start.
    pub configurations: Vec<ConfigurationRecord>,
    /// All backend server instances of the run, also those that have stopped.
    pub backends: HashMap<InstanceId, BackendRecord>,
    /// All evacuations in chronological order; at most one is in force at a time.
    pub evacuations: Vec<EvacuationRecord>,
    /// Times at which the first service is overloaded.
    pub overloads: Vec<Range<Instant>>,
    /// Disturbances and restarts of each balancer, indexed by its number.
    pub balancers: Vec<BalancerRecord>,
    /// Time until which the store counts as disturbed.
    pub store_disturbed_until: Instant,
    /// Time until which no violation counts, because a thread of the soak test itself stalled.
    pub stalled_until: Instant,
}

impl GroundTruth {
    /// Creates the record of a site without backend servers, whose balancers all start at `now`.
    #[must_use]
    pub fn new(balancers: usize, now: Instant) -> Self {
        let until = now + DISTURBANCE_MARGIN;
        let record = BalancerRecord { disturbed_until: until, faulted_until: until, restarts: 0 };

        Self {
            configurations: Vec::new(),
            backends: HashMap::new(),
            evacuations: Vec::new(),
            overloads: Vec::new(),
            balancers: vec![record; balancers],
            store_disturbed_until: now,
            stalled_until: now,
        }
    }

    /// Records that a fault or planned work affects a balancer until a time. The balancer counts as
    /// disturbed for [`DISTURBANCE_MARGIN`] longer.
    pub fn disturb_balancer(&mut self, number: usize, until: Instant, planned: bool) {
        let record = &mut self.balancers[number];
        let until = until + DISTURBANCE_MARGIN;

        record.disturbed_until = record.disturbed_until.max(until);
        if !planned {
            record.faulted_until = record.faulted_until.max(until);
        }
    }

    /// Records that a fault affects all balancers until a time.
    pub fn disturb_balancers(&mut self, until: Instant) {
        for number in 0..self.balancers.len() {
            self.disturb_balancer(number, until, false);
        }
    }

    /// Records that a fault affects a backend server or its links until a time.
    pub fn disturb_backend(&mut self, instance: InstanceId, until: Instant) {
        if let Some(record) = self.backends.get_mut(&instance) {
            record.disturbed_until = record.disturbed_until.max(until + DISTURBANCE_MARGIN);
        }
    }

    /// Records that a fault affects the store until a time.
    pub fn disturb_store(&mut self, until: Instant) {
        self.store_disturbed_until = self.store_disturbed_until.max(until + DISTURBANCE_MARGIN);
    }

    /// Records that a thread of the soak test stalled until a time.
    pub fn record_stall(&mut self, until: Instant) {
        self.stalled_until = self.stalled_until.max(until + DISTURBANCE_MARGIN);
    }

    /// Reports whether promises with a time bound apply to a balancer: neither it nor the store is
    /// disturbed, and the soak test itself has not stalled.
    #[must_use]
    pub fn is_undisturbed(&self, balancer: usize, at: Instant) -> bool {
        let record = &self.balancers[balancer];

        at > record.disturbed_until && at > self.store_disturbed_until && at > self.stalled_until
    }

    /// Reports whether promises about flows apply to a balancer: no fault affects it, and the soak
    /// test itself has not stalled. Planned work does not count.
    #[must_use]
    pub fn is_fault_free(&self, balancer: usize, at: Instant) -> bool {
        at > self.balancers[balancer].faulted_until && at > self.stalled_until
    }

    /// Reports whether a zone was evacuated without interruption from `from` to `until`.
    #[must_use]
    pub fn was_evacuated(&self, zone: usize, from: Instant, until: Instant) -> bool {
        self.evacuations.iter().any(|record| {
            let lasted = record.lifted_at.is_none_or(|at| at > until);
            record.zone == zone && record.requested_at < from && lasted
        })
    }

    /// Reports whether the first service is overloaded at a time.
    #[must_use]
    pub fn is_overloaded(&self, at: Instant) -> bool {
        self.overloads.iter().any(|overload| overload.contains(&at))
    }

    /// Reports whether a backend server runs at a time and is not disturbed.
    #[must_use]
    pub fn is_backend_up(&self, instance: InstanceId, at: Instant) -> bool {
        self.backends
            .get(&instance)
            .is_some_and(|record| record.ended_at.is_none() && at > record.disturbed_until)
    }

    /// Returns the service of an address under each configuration in force at some time from `from`
    /// to `until`; `None` for a configuration without a route of the address.
    #[must_use]
    pub fn services_routed(
        &self,
        address: SocketAddrV4,
        from: Instant,
        until: Instant,
    ) -> Vec<Option<&'static str>> {
        let in_force = self.in_force_between(Some(from), until);

        in_force.map(|record| record.routes.get(&address).copied()).collect()
    }

    /// Returns, in ascending order, the versions in force at some time from `from` to `until` that
    /// route an address to a service. Without `from`, all versions up to `until` count.
    #[must_use]
    pub fn versions_routing(
        &self,
        address: SocketAddrV4,
        service: &str,
        from: Option<Instant>,
        until: Instant,
    ) -> Vec<ConfigurationVersion> {
        let in_force = self.in_force_between(from, until);
        let routing = in_force.filter(|record| record.routes.get(&address) == Some(&service));

        routing.map(|record| record.version).collect()
    }

    fn in_force_between(
        &self,
        from: Option<Instant>,
        until: Instant,
    ) -> impl Iterator<Item = &ConfigurationRecord> {
        let is_before =
            |record: &ConfigurationRecord| from.is_some_and(|from| record.accepted_at <= from);
        let first = self.configurations.iter().rposition(is_before).unwrap_or(0);

        self.configurations[first..].iter().filter(move |record| record.accepted_at <= until)
    }

    /// Reports whether any configuration so far has routed an address to a service.
    #[must_use]
    pub fn was_ever_routed(&self, address: SocketAddrV4, service: &str) -> bool {
        self.configurations.iter().any(|record| record.routes.get(&address) == Some(&service))
    }
}
