//! The record of a balancer that heartbeats carry.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use valvestage_core::ids::{BalancerId, LeaseEpoch, ObjectVersion, ZoneName};

use super::heartbeat_message::HeartbeatDigest;

/// Lifecycle state of a balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerState {
    /// Does not know yet whether its configuration is the newest, and is the home of no key.
    Joining,
    /// Takes part in rendezvous hashing.
    Serving,
    /// Finishes its work and still answers relayed packets, but is the home of no key.
    Leaving,
}

/// State of one balancer, as announced in heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Id of the balancer.
    pub id: BalancerId,
    /// Availability zone of its VM.
    pub zone: ZoneName,
    /// UDP address of its data path.
    pub data_address: SocketAddr,
    /// TCP address of its peer service.
    pub peer_address: SocketAddr,
    /// Start time of the process, in Unix milliseconds; later for each restart.
    pub started_ms: u64,
    /// Number of changes of the fields other than the heartbeat count; advanced only by the
    /// balancer itself.
    pub revision: u64,
    /// Number of heartbeats sent since the start; advanced only by the balancer itself.
    pub heartbeat_count: u64,
    /// Lifecycle state of the balancer.
    pub state: PeerState,
    /// Epoch of the lease that it holds; 0 for none.
    pub lease_epoch: LeaseEpoch,
    /// Configuration version in force on the balancer; 0 before the first.
    pub configuration: ObjectVersion,
    /// Version of the owner map that it has; 0 before the first.
    pub owner_map: ObjectVersion,
    /// Version of the token keys that it has; 0 before the first.
    pub token_keys: ObjectVersion,
}

impl PeerRecord {
    /// Reports whether this record supersedes another one of the same balancer.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.started_ms, self.revision, self.heartbeat_count)
            > (other.started_ms, other.revision, other.heartbeat_count)
    }

    /// Returns the digest of the record.
    #[must_use]
    pub fn digest(&self) -> HeartbeatDigest {
        HeartbeatDigest {
            id: self.id,
            start_tag: self.started_ms.to_le_bytes()[0],
            revision_tag: self.revision.to_le_bytes()[0],
            heartbeat_count: self.heartbeat_count,
        }
    }
}
