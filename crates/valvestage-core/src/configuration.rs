//! The deployment configuration: services, backend servers and stopped availability zones.
//!
//! [`RawConfiguration`] is the platform object as it is stored; [`Configuration`] is the checked
//! form, with the indexes that the policy needs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::errors::CoreError;
use crate::ids::{BackendId, Incarnation, ObjectVersion, ServiceId, ZoneName};

/// `BackendState` says whether a backend server may take new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// Takes new work.
    Active,
    /// Takes no new work; established flows and running requests finish.
    Draining,
}

/// `Service` is one service and the address at which callers reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique in the configuration.
    pub id: ServiceId,
    /// Unique in the configuration.
    pub name: String,
    /// Unique in the configuration.
    pub address: SocketAddr,
}

/// `Backend` is one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Unique in the configuration.
    pub id: BackendId,
    /// Unique in the configuration.
    pub name: String,
    /// Names a service of the configuration; never changes for an id.
    pub service: ServiceId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Unique in the configuration.
    pub address: SocketAddr,
    /// Grows when the VM behind the record is replaced.
    pub incarnation: Incarnation,
    /// Requests that it runs at once; at least 1.
    pub slots: u16,
    /// Flows that it holds at once; at least 1.
    pub connections: u16,
    /// Share of new work relative to its siblings; 0 gives none.
    pub weight: u16,
    /// Whether it takes new work.
    pub state: BackendState,
}

/// `RawConfiguration` is the configuration as the platform stores it, unchecked.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfiguration {
    /// Id of the change that wrote this version; settles a write whose answer was lost.
    pub change_id: String,
    /// The services.
    pub services: Vec<Service>,
    /// The backend servers.
    pub backends: Vec<Backend>,
    /// Availability zones whose backend servers take no new work.
    #[serde(default)]
    pub stopped_zones: BTreeSet<ZoneName>,
}

/// `Configuration` is a checked configuration under its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// Version of the platform object.
    pub version: ObjectVersion,
    /// Id of the change that wrote this version.
    pub change_id: String,
    services: BTreeMap<ServiceId, Service>,
    backends: BTreeMap<BackendId, Backend>,
    stopped_zones: BTreeSet<ZoneName>,
    service_by_address: BTreeMap<SocketAddr, ServiceId>,
    backend_by_address: BTreeMap<SocketAddr, BackendId>,
    /// For each service its backend servers, by id.
    by_service: BTreeMap<ServiceId, Vec<BackendId>>,
    /// For each service its backend servers that may take new work, by id.
    eligible: BTreeMap<ServiceId, Vec<BackendId>>,
    /// Names in use, of services and of backend servers.
    names: BTreeSet<String>,
}

impl Configuration {
    /// `service` gives a service by id.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(&id)
    }

    /// `services` iterates over the services by id.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// `service_at` gives the service that callers reach at an address.
    #[must_use]
    pub fn service_at(&self, address: SocketAddr) -> Option<ServiceId> {
        self.service_by_address.get(&address).copied()
    }

    /// `backend` gives a backend server by id.
    #[must_use]
    pub fn backend(&self, id: BackendId) -> Option<&Backend> {
        self.backends.get(&id)
    }

    /// `backends` iterates over the backend servers by id.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// `backends_of` iterates over the backend servers of a service by id.
    pub fn backends_of(&self, service: ServiceId) -> impl Iterator<Item = &Backend> {
        let ids = self.by_service.get(&service).map_or(&[][..], Vec::as_slice);

        ids.iter().filter_map(|id| self.backends.get(id))
    }

    /// `backend_at` gives the backend server with an address.
    #[must_use]
    pub fn backend_at(&self, address: SocketAddr) -> Option<&Backend> {
        self.backend_by_address.get(&address).and_then(|id| self.backends.get(id))
    }

    /// `eligible` lists the backend servers of a service that may take new work.
    #[must_use]
    pub fn eligible(&self, service: ServiceId) -> &[BackendId] {
        self.eligible.get(&service).map_or(&[], Vec::as_slice)
    }

    /// `takes_new_work` tells whether a backend server may take new work.
    #[must_use]
    pub fn takes_new_work(&self, backend: &Backend) -> bool {
        backend.state == BackendState::Active
            && backend.weight > 0
            && !self.stopped_zones.contains(&backend.zone)
    }

    /// `stopped_zones` lists the availability zones that take no new work.
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

        // Services first: backend servers refer to them.
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
