//! The deployment configuration: services, backend servers and stopped availability zones.
//!
//! [`RawConfiguration`] is the object as the platform stores it; [`Configuration`] is the validated
//! form, with the indexes that the policy needs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::errors::CoreError;
use crate::ids::{BackendId, Incarnation, ObjectVersion, ServiceId, ZoneName};

/// Administrative state of a backend server: whether it may take new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// Takes new work.
    Active,
    /// Takes no new work; established flows and running requests are allowed to finish.
    Draining,
}

/// A service and the address at which callers reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Id, unique among the services of the configuration.
    pub id: ServiceId,
    /// Name, unique among the services of the configuration.
    pub name: String,
    /// Address at which callers reach it, unique among the services of the configuration.
    pub address: SocketAddr,
}

/// Record of one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Id, unique among the backend servers of the configuration.
    pub id: BackendId,
    /// Name, unique among the backend servers of the configuration.
    pub name: String,
    /// Service of the configuration that it serves; never changes for an id.
    pub service: ServiceId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address of the VM, unique among the backend servers of the configuration.
    pub address: SocketAddr,
    /// Incremented when the VM behind the record is replaced.
    pub incarnation: Incarnation,
    /// Number of requests that it runs concurrently; at least 1.
    pub slots: u16,
    /// Number of flows that it holds concurrently; at least 1.
    pub connections: u16,
    /// Share of new work relative to the other backend servers of the service; 0 assigns none.
    pub weight: u16,
    /// Whether the operator lets it take new work or drains it.
    pub state: BackendState,
}

/// The configuration as the platform stores it, not yet validated.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfiguration {
    /// Id of the change that wrote this version; shows whether a write whose answer was lost took
    /// effect.
    pub change_id: String,
    /// Services of the deployment, in any order.
    pub services: Vec<Service>,
    /// Backend servers of all services, in any order.
    pub backends: Vec<Backend>,
    /// Availability zones whose backend servers take no new work.
    #[serde(default)]
    pub stopped_zones: BTreeSet<ZoneName>,
}

/// A validated configuration with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// Version of the platform object.
    pub version: ObjectVersion,
    /// Id of the change that wrote this version, from [`RawConfiguration::change_id`].
    pub change_id: String,
    services: BTreeMap<ServiceId, Service>,
    backends: BTreeMap<BackendId, Backend>,
    stopped_zones: BTreeSet<ZoneName>,
    service_by_address: BTreeMap<SocketAddr, ServiceId>,
    backend_by_address: BTreeMap<SocketAddr, BackendId>,
    /// Backend servers of each service, in the order of the raw configuration.
    by_service: BTreeMap<ServiceId, Vec<BackendId>>,
    /// Backend servers of each service that may take new work, in the order of the raw
    /// configuration.
    eligible: BTreeMap<ServiceId, Vec<BackendId>>,
    /// Names in use, with the prefix `service ` or `backend `.
    names: BTreeSet<String>,
}

impl Configuration {
    /// Returns the service with the given id.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(&id)
    }

    /// Iterates over the services in the order of their ids.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the id of the service that callers reach at `address`.
    #[must_use]
    pub fn service_at(&self, address: SocketAddr) -> Option<ServiceId> {
        self.service_by_address.get(&address).copied()
    }

    /// Returns the backend server with the given id.
    #[must_use]
    pub fn backend(&self, id: BackendId) -> Option<&Backend> {
        self.backends.get(&id)
    }

    /// Iterates over the backend servers of all services in the order of their ids.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// Iterates over the backend servers of a service, in the order of the raw configuration.
    pub fn backends_of(&self, service: ServiceId) -> impl Iterator<Item = &Backend> {
        let ids = self.by_service.get(&service).map_or(&[][..], Vec::as_slice);

        ids.iter().filter_map(|id| self.backends.get(id))
    }

    /// Returns the backend server with the given address.
    #[must_use]
    pub fn backend_at(&self, address: SocketAddr) -> Option<&Backend> {
        self.backend_by_address.get(&address).and_then(|id| self.backends.get(id))
    }

    /// Returns the ids of the backend servers of a service that may take new work; empty for an
    /// unknown service.
    #[must_use]
    pub fn eligible(&self, service: ServiceId) -> &[BackendId] {
        self.eligible.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Reports whether a backend server may take new work: it is active, has a weight above 0, and
    /// its availability zone is not stopped.
    #[must_use]
    pub fn takes_new_work(&self, backend: &Backend) -> bool {
        backend.state == BackendState::Active
            && backend.weight > 0
            && !self.stopped_zones.contains(&backend.zone)
    }

    /// Returns the availability zones whose backend servers take no new work.
    #[must_use]
    pub fn stopped_zones(&self) -> &BTreeSet<ZoneName> {
        &self.stopped_zones
    }
}

impl TryFrom<(ObjectVersion, RawConfiguration)> for Configuration {
    type Error = CoreError;

    fn try_from((version, raw): (ObjectVersion, RawConfiguration)) -> Result<Self, CoreError> {
        let mut configuration = Self {
            version,
            change_id: raw.change_id,
            services: BTreeMap::new(),
            backends: BTreeMap::new(),
            stopped_zones: raw.stopped_zones,
            service_by_address: BTreeMap::new(),
            backend_by_address: BTreeMap::new(),
            by_service: BTreeMap::new(),
            eligible: BTreeMap::new(),
            names: BTreeSet::new(),
        };

        // Services come first because backend servers refer to them.
        for service in raw.services {
            configuration.add_service(service)?;
        }

        for backend in raw.backends {
            configuration.add_backend(backend)?;
        }

        Ok(configuration)
    }
}

impl Configuration {
    fn add_service(&mut self, service: Service) -> Result<(), CoreError> {
        let refuse = |problem| Err(CoreError::bad_configuration(&service.name, problem));

        if !self.names.insert(format!("service {}", service.name)) {
            return refuse("the service name is used twice");
        }
        if self.service_by_address.insert(service.address, service.id).is_some() {
            return refuse("the service address is used twice");
        }
        if self.services.contains_key(&service.id) {
            return refuse("the service id is used twice");
        }

        self.eligible.insert(service.id, Vec::new());
        self.services.insert(service.id, service);
        Ok(())
    }

    fn add_backend(&mut self, backend: Backend) -> Result<(), CoreError> {
        let refuse = |problem| Err(CoreError::bad_configuration(&backend.name, problem));

        if !self.services.contains_key(&backend.service) {
            return refuse("the backend server names a service that does not exist");
        }
        if !self.names.insert(format!("backend {}", backend.name)) {
            return refuse("the backend server name is used twice");
        }
        if self.backend_by_address.insert(backend.address, backend.id).is_some() {
            return refuse("the backend server address is used twice");
        }
        if self.backends.contains_key(&backend.id) {
            return refuse("the backend server id is used twice");
        }
        if backend.slots == 0 || backend.connections == 0 {
            return refuse("slots and connections must be at least 1");
        }

        self.by_service.entry(backend.service).or_default().push(backend.id);
        if self.takes_new_work(&backend) {
            self.eligible.entry(backend.service).or_default().push(backend.id);
        }
        self.backends.insert(backend.id, backend);
        Ok(())
    }
}
