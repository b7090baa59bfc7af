//! Table entry of another balancer.

use std::time::{Duration, SystemTime};

use super::heartbeat_message::HeartbeatDigest;
use super::peer_record::PeerRecord;

/// Latest known record of a balancer, with the state of its failure detection.
#[derive(Debug, Clone)]
pub(super) struct PeerEntry {
    pub(super) record: PeerRecord,
    /// Local time at which its heartbeat count last advanced; never in the future.
    pub(super) last_heard: SystemTime,
    /// Whether any heartbeat was received; `false` at first for a peer from the settings.
    pub(super) is_confirmed: bool,
    /// Number of further messages that carry the full record because it changed.
    pub(super) announcements_left: u32,
}

impl PeerEntry {
    /// Creates the entry of a peer from the settings.
    pub(super) fn from_settings(record: PeerRecord, now: SystemTime) -> Self {
        Self { record, last_heard: now, is_confirmed: false, announcements_left: 0 }
    }

    /// Creates the entry of a peer whose record was received.
    pub(super) fn from_record(record: PeerRecord, now: SystemTime, announcements: u32) -> Self {
        Self { record, last_heard: now, is_confirmed: true, announcements_left: announcements }
    }

    pub(super) fn is_alive(&self, now: SystemTime, dead_after: Duration) -> bool {
        let silence = now.duration_since(self.last_heard).unwrap_or(Duration::ZERO);

        self.is_confirmed && silence < dead_after
    }

    /// Applies a digest; returns `false` if the full record has to be requested.
    pub(super) fn apply_digest(&mut self, digest: &HeartbeatDigest, now: SystemTime) -> bool {
        let known = self.record.digest();
        let same_start = self.is_confirmed && known.start_tag == digest.start_tag;

        if same_start && digest.heartbeat_count > self.record.heartbeat_count {
            self.record.heartbeat_count = digest.heartbeat_count;
            self.last_heard = now;
        }
        // A digest older than the record does not show whether the record is outdated.
        same_start
            && (known.revision_tag == digest.revision_tag
                || digest.heartbeat_count < self.record.heartbeat_count)
    }
}
