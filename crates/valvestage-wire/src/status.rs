//! What a balancer tells operators of itself, as JSON on its admin address.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{BalancerId, ObjectVersion, ZoneName};

/// `ServiceStatus` is one service as one balancer sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub name: String,
    /// The balancer that owns it, if any is known.
    pub owner: Option<BalancerId>,
    /// Slots in use, counted at the owner.
    pub busy_slots: u32,
    /// Slots that may be used.
    pub usable_slots: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Claims kept.
    pub claims: u32,
}

/// `PeerStatus` is one balancer as another one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its number.
    pub id: BalancerId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether its heartbeats are heard.
    pub alive: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The configuration version in force on it, as last heard.
    pub configuration: ObjectVersion,
}

/// `BalancerStatus` is the state of one balancer.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BalancerStatus {
    /// Its number.
    pub id: BalancerId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes work.
    pub ready: bool,
    /// Whether it holds a lease.
    pub has_lease: bool,
    /// The configuration version in force.
    pub configuration: ObjectVersion,
    /// Milliseconds since it last heard of the platform, directly or by a peer.
    pub configuration_age_ms: u64,
    /// Flows in its table.
    pub flows: u64,
    /// Flows in its table by name of the backend server.
    pub flows_by_backend: BTreeMap<String, u64>,
    /// The services.
    pub services: Vec<ServiceStatus>,
    /// The other balancers.
    pub peers: Vec<PeerStatus>,
}
