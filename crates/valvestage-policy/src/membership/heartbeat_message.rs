//! The messages that balancers exchange as heartbeats.

use serde::{Deserialize, Serialize};
use valvestage_core::ids::BalancerId;

use super::peer_record::PeerRecord;

/// Digest of a peer record: the part that changes with every heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatDigest {
    /// Balancer that the digest is about.
    pub id: BalancerId,
    /// Identifies the start of its process: the low bits of `started_ms`.
    pub start_tag: u8,
    /// Identifies the revision of its record: the low bits of `revision`.
    pub revision_tag: u8,
    /// Number of heartbeats that it has sent since its start.
    pub heartbeat_count: u64,
}

/// Message of one direction of a gossip exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// Record of the sender.
    pub own: PeerRecord,
    /// Records that changed recently or that the receiver asked for.
    pub records: Vec<PeerRecord>,
    /// Digests of other live balancers.
    pub digests: Vec<HeartbeatDigest>,
    /// Balancers of which the sender has no record or an outdated one.
    pub requested: Vec<BalancerId>,
    /// Time of the latest platform answer to any balancer that the sender knows of, in Unix
    /// milliseconds; 0 for none.
    pub platform_contact_ms: u64,
}
