//! What two balancers tell each other in a heartbeat.

use serde::{Deserialize, Serialize};
use valvestage_core::ids::BalancerId;

use super::peer_record::PeerRecord;

/// `BeatDigest` is the part of a record that changes with every heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeatDigest {
    /// The balancer.
    pub id: BalancerId,
    /// Tells the starts of its process apart: the low bits of `started_ms`.
    pub start_tag: u8,
    /// Tells the versions of its record apart: the low bits of `revision`.
    pub revision_tag: u8,
    /// Heartbeats that it has sent since its start.
    pub beat: u64,
}

/// `HeartbeatMessage` is one direction of an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// The sender's record.
    pub own: PeerRecord,
    /// Records that changed lately, or that the receiver asked for.
    pub records: Vec<PeerRecord>,
    /// Heartbeats of others.
    pub digests: Vec<BeatDigest>,
    /// Balancers of which the sender has no record, or an old one.
    pub wanted: Vec<BalancerId>,
    /// When the sender or anyone it heard of last heard the platform, Unix milliseconds.
    pub platform_heard_ms: u64,
}
