//! What an operator wants.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::ZoneName;

/// `NewBackend` describes a backend server to add.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewBackend {
    /// Name, unique in the deployment.
    pub name: String,
    /// Name of its service.
    pub service: String,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address of the VM.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Flows that it holds at once.
    pub connections: u16,
    /// Share of new work relative to its siblings.
    pub weight: u16,
}

/// `Intent` is a change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Add a backend server.
    AddBackend(NewBackend),
    /// Give a backend server no new work.
    DrainBackend {
        /// Its name.
        name: String,
    },
    /// Give a draining backend server new work again.
    ResumeBackend {
        /// Its name.
        name: String,
    },
    /// Take a drained backend server out of the configuration.
    RemoveBackend {
        /// Its name.
        name: String,
    },
    /// Change a backend server's share of new work.
    SetWeight {
        /// Its name.
        name: String,
        /// The new share.
        weight: u16,
    },
    /// Give the backend servers of an availability zone no new work.
    StopZone {
        /// Its name.
        zone: ZoneName,
    },
    /// Give the backend servers of an availability zone new work again.
    ResumeZone {
        /// Its name.
        zone: ZoneName,
    },
}
