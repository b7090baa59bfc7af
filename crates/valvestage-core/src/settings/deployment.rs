//! The deployment file, which lists the services and backend servers of the first configuration.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::configuration::{Backend, BackendState, Configuration, RawConfiguration, Service};
use crate::errors::CoreError;
use crate::ids::{BackendId, ServiceId, ZoneName};

/// A backend server in a deployment file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Name, unique among the backend servers of the deployment.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address of the VM, unique among the backend servers of the deployment.
    pub address: SocketAddr,
}

/// A service in a deployment file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Id, unique in the deployment and never reused.
    pub id: ServiceId,
    /// Name, unique among the services of the deployment.
    pub name: String,
    /// Address at which callers reach the service, unique among the services of the deployment.
    pub address: SocketAddr,
    /// Number of requests that each of its backend servers runs concurrently; at least 1.
    pub slots: u16,
    /// Number of flows that each of its backend servers holds concurrently; at least 1.
    pub connections: u16,
    /// Backend servers of the service, which get their ids in the order of the file.
    pub backends: Vec<BackendSettings>,
}

/// Contents of a deployment file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSettings {
    /// Name of the deployment, for display only.
    pub name: String,
    /// Services of the deployment, each with its backend servers.
    pub services: Vec<ServiceSettings>,
}

impl DeploymentSettings {
    /// Reads a deployment file and checks that it yields a valid configuration.
    pub fn read(file: &Path) -> Result<Self, CoreError> {
        let settings: Self = super::read_raw(file)?;

        Configuration::try_from((1, settings.to_configuration("check")))?;
        Ok(settings)
    }

    /// Builds the first configuration of the deployment.
    #[must_use]
    pub fn to_configuration(&self, change_id: &str) -> RawConfiguration {
        let services = self.services.iter().map(|service| Service {
            id: service.id,
            name: service.name.clone(),
            address: service.address,
        });
        let backends = self
            .services
            .iter()
            .flat_map(|service| service.backends.iter().map(move |backend| (service, backend)));

        RawConfiguration {
            change_id: change_id.to_owned(),
            services: services.collect(),
            backends: (1..).zip(backends).map(|(id, (s, b))| initial_backend(id, s, b)).collect(),
            stopped_zones: std::collections::BTreeSet::new(),
        }
    }
}

fn initial_backend(id: BackendId, service: &ServiceSettings, backend: &BackendSettings) -> Backend {
    Backend {
        id,
        name: backend.name.clone(),
        service: service.id,
        zone: backend.zone.clone(),
        address: backend.address,
        incarnation: 1,
        slots: service.slots,
        connections: service.connections,
        weight: 100,
        state: BackendState::Active,
    }
}
