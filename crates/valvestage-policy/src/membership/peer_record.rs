//! What a balancer tells of itself in heartbeats.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{BalancerId, LeaseEpoch, ObjectVersion, ZoneName};

/// `PeerState` says whether a balancer is staying.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerState {
    /// Takes part in rendezvous hashing.
    Serving,
    /// Finishes its work and still answers relayed packets, but is home of nothing new.
    Leaving,
}

/// `PeerRecord` is the state of one balancer as heartbeats carry it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Number of the balancer.
    pub id: BalancerId,
    /// Availability zone of its VM.
    pub zone: ZoneName,
    /// UDP address of its data path.
    pub data_address: SocketAddr,
    /// TCP address of its peer service.
    pub peer_address: SocketAddr,
    /// Start time of the process in Unix milliseconds; a restarted balancer has a later one.
    pub started_ms: u64,
    /// Heartbeats sent since the start; grows only at the balancer itself.
    pub beat: u64,
    /// Whether it is staying.
    pub state: PeerState,
    /// The lease that it holds; 0 for none.
    pub lease_epoch: LeaseEpoch,
    /// When it last heard from the platform, Unix milliseconds; 0 for never.
    pub platform_heard_ms: u64,
    /// Configuration version in force on it; 0 before the first.
    pub configuration: ObjectVersion,
    /// Version of the service owner map that it knows; 0 before the first.
    pub owner_map: ObjectVersion,
    /// Version of the token keys that it knows; 0 before the first.
    pub token_keys: ObjectVersion,
}

impl PeerRecord {
    /// `is_newer_than` tells whether this record supersedes another of the same balancer.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.started_ms, self.beat) > (other.started_ms, other.beat)
    }
}
