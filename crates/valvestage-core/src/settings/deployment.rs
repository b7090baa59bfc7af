//! The deployment file: services and backend servers from which the first configuration is made.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::configuration::{Backend, BackendState, Configuration, RawConfiguration, Service};
use crate::errors::CoreError;
use crate::ids::{BackendId, ServiceId, ZoneName};

/// `BackendSettings` is one backend server of a deployment file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Unique in the deployment.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Unique in the deployment.
    pub address: SocketAddr,
}

/// `ServiceSettings` is one service of a deployment file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Unique in the deployment, and never reused.
    pub id: ServiceId,
    /// Unique in the deployment.
    pub name: String,
    /// Where callers reach the service; unique in the deployment.
    pub address: SocketAddr,
    /// Requests that each of its backend servers runs at once.
    pub slots: u16,
    /// Flows that each of its backend servers holds at once.
    pub connections: u16,
    /// Its backend servers.
    pub backends: Vec<BackendSettings>,
}

/// `DeploymentSettings` is a deployment file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSettings {
    /// Name of the deployment, for people.
    pub name: String,
    /// Its services.
    pub services: Vec<ServiceSettings>,
}

impl DeploymentSettings {
    /// `read` reads a deployment file and checks that a configuration can be made of it.
    pub fn read(file: &Path) -> Result<Self, CoreError> {
        let settings: Self = super::read_raw(file)?;

        Configuration::try_from((1, settings.to_configuration("check")))?;
        Ok(settings)
    }

    /// `to_configuration` gives the first configuration of the deployment.
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
            backends: (1..).zip(backends).map(|(id, (s, b))| first_record(id, s, b)).collect(),
            stopped_zones: std::collections::BTreeSet::new(),
        }
    }
}

fn first_record(id: BackendId, service: &ServiceSettings, backend: &BackendSettings) -> Backend {
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
