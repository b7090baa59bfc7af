//! The status that a balancer reports to operators, as JSON on its admin address.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{BalancerId, ObjectVersion, ZoneName};

/// Status of one service, as seen by one balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service, as configured.
    pub name: String,
    /// Balancer that owns the service; `None` if no owner is known.
    pub owner: Option<BalancerId>,
    /// Number of slots in use, as counted by the balancer that reports; only the owner's count
    /// covers all requests of the service.
    pub busy_slots: u32,
    /// Number of slots that may be used, as counted by the balancer that reports.
    pub usable_slots: u32,
    /// Number of requests that wait for a slot at the balancer that reports.
    pub waiting: u32,
    /// Number of claims in the claim table of the balancer that reports.
    pub claims: u32,
}

/// Status of one balancer, as seen by another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Number of the balancer that is seen.
    pub id: BalancerId,
    /// Availability zone of its VM.
    pub zone: ZoneName,
    /// Whether its heartbeats arrive.
    pub alive: bool,
    /// Whether it is shutting down as planned.
    pub leaving: bool,
    /// Configuration version in force on it, as of its last heartbeat.
    pub configuration: ObjectVersion,
}

/// Status of one balancer, as reported by itself.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BalancerStatus {
    /// Number of the balancer.
    pub id: BalancerId,
    /// Availability zone of its VM.
    pub zone: ZoneName,
    /// Whether it accepts new work.
    pub ready: bool,
    /// Whether it holds a lease.
    pub has_lease: bool,
    /// Configuration version in force.
    pub configuration: ObjectVersion,
    /// Time since the latest platform answer to any balancer that this one knows of, in
    /// milliseconds; since the Unix epoch if there was none.
    pub configuration_age_ms: u64,
    /// Number of flows in its flow table.
    pub flows: u64,
    /// Number of flows in its flow table for each backend server, by the server's name.
    pub flows_by_backend: BTreeMap<String, u64>,
    /// Status of each service.
    pub services: Vec<ServiceStatus>,
    /// Status of each other balancer.
    pub peers: Vec<PeerStatus>,
}
