//! The backend servers that take new flows, by service and availability zone.

use std::collections::{BTreeMap, BTreeSet};

use valvestage_core::ids::{InstanceId, ServiceName, ZoneName};

use super::backend_entry::BackendEntry;

/// The backend servers of one service in one availability zone.
#[derive(Debug, Default)]
pub struct ZoneBackends {
    instances: BTreeSet<InstanceId>,
    /// The backend servers that were in slow start when their entries were read.
    with_slow_start: BTreeSet<InstanceId>,
    /// Number of requests that all of them process concurrently.
    slots: u64,
}

impl ZoneBackends {
    /// Returns the backend servers in a fixed order.
    pub fn instances(&self) -> impl Iterator<Item = InstanceId> {
        self.instances.iter().copied()
    }

    /// Returns the backend servers that are, or were, in slow start.
    pub fn with_slow_start(&self) -> impl Iterator<Item = InstanceId> {
        self.with_slow_start.iter().copied()
    }

    /// Returns the number of backend servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Reports whether there is no backend server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Returns the number of requests that all of them process concurrently.
    #[must_use]
    pub fn slots(&self) -> u64 {
        self.slots
    }
}

/// All backend servers that take new flows.
#[derive(Debug, Default)]
pub struct ReadyBackends {
    /// No zone and no service in it is empty.
    services: BTreeMap<ServiceName, BTreeMap<ZoneName, ZoneBackends>>,
    count: usize,
}

impl ReadyBackends {
    /// Returns the backend servers of a service by availability zone.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (&ZoneName, &ZoneBackends)> {
        self.services.get(service).into_iter().flatten()
    }

    /// Returns all backend servers by service and availability zone.
    pub fn all(&self) -> impl Iterator<Item = (&ServiceName, &ZoneName, &ZoneBackends)> {
        self.services
            .iter()
            .flat_map(|(service, zones)| zones.iter().map(move |(zone, of)| (service, zone, of)))
    }

    /// Returns the number of backend servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Reports whether there is no backend server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub(super) fn insert(&mut self, entry: &BackendEntry) {
        if !self.services.contains_key(&entry.service) {
            self.services.insert(entry.service.clone(), BTreeMap::new());
        }
        let Some(zones) = self.services.get_mut(&entry.service) else { return };
        if !zones.contains_key(&entry.zone) {
            zones.insert(entry.zone.clone(), ZoneBackends::default());
        }
        let Some(zone) = zones.get_mut(&entry.zone) else { return };

        zone.instances.insert(entry.instance);
        if entry.cold_until.is_some() {
            zone.with_slow_start.insert(entry.instance);
        }
        zone.slots += u64::from(entry.slots);
        self.count += 1;
    }

    pub(super) fn remove(&mut self, entry: &BackendEntry) {
        let Some(zones) = self.services.get_mut(&entry.service) else { return };
        let Some(zone) = zones.get_mut(&entry.zone) else { return };

        zone.instances.remove(&entry.instance);
        zone.with_slow_start.remove(&entry.instance);
        zone.slots -= u64::from(entry.slots);
        self.count -= 1;
        if zone.is_empty() {
            zones.remove(&entry.zone);
        }
        if zones.is_empty() {
            self.services.remove(&entry.service);
        }
    }
}
