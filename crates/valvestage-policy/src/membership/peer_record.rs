//! What a balancer tells of itself in heartbeats.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{BalancerId, LeaseEpoch, ObjectVersion, ZoneName};

use super::heartbeat_message::BeatDigest;

/// `PeerState` says whether a balancer is staying.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerState {
    /// Does not know yet whether its configuration is the newest, and is home of nothing.
    Joining,
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
    /// Counts the changes of the fields below; grows only at the balancer itself.
    pub revision: u64,
    /// Heartbeats sent since the start; grows only at the balancer itself.
    pub beat: u64,
    /// Whether it is staying.
    pub state: PeerState,
    /// The lease that it holds; 0 for none.
    pub lease_epoch: LeaseEpoch,
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
        (self.started_ms, self.revision, self.beat) > (other.started_ms, other.revision, other.beat)
    }

    /// `digest` gives the part that changes with every heartbeat.
    #[must_use]
    pub fn digest(&self) -> BeatDigest {
        BeatDigest {
            id: self.id,
            start_tag: self.started_ms.to_le_bytes()[0],
            revision_tag: self.revision.to_le_bytes()[0],
            beat: self.beat,
        }
    }
}
