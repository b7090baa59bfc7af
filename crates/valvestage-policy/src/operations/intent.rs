//! Changes that an operator can request.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::ZoneName;

/// Description of a backend server to add.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewBackend {
    /// Name of the backend server, unique in the deployment.
    pub name: String,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address to which packets and requests are sent.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Maximum number of concurrent flows.
    pub connections: u16,
    /// Share of new work relative to the other backend servers of the service.
    pub weight: u16,
}

/// Change that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Add a backend server.
    AddBackend(NewBackend),
    /// Stop sending new work to a backend server.
    DrainBackend {
        /// Its name.
        name: String,
    },
    /// Send new work to a draining backend server again.
    ResumeBackend {
        /// Its name.
        name: String,
    },
    /// Remove a drained backend server from the configuration.
    RemoveBackend {
        /// Its name.
        name: String,
    },
    /// Change a backend server's share of new work.
    SetWeight {
        /// Its name.
        name: String,
        /// New share, relative to the other backend servers of the service.
        weight: u16,
    },
    /// Stop sending new work to the backend servers of an availability zone.
    StopZone {
        /// Its name.
        zone: ZoneName,
    },
    /// Send new work to the backend servers of an availability zone again.
    ResumeZone {
        /// Its name.
        zone: ZoneName,
    },
}
