//! What is known of another balancer.

use std::time::{Duration, SystemTime};

use super::heartbeat_message::BeatDigest;
use super::peer_record::PeerRecord;

/// `PeerEntry` is the latest record of a balancer, and when it was heard.
#[derive(Debug, Clone)]
pub(super) struct PeerEntry {
    pub(super) record: PeerRecord,
    /// When its heartbeats last advanced; never in the future.
    pub(super) heard: SystemTime,
    /// Whether any heartbeat was ever heard; a peer from the settings starts unheard.
    pub(super) is_confirmed: bool,
    /// Messages that still carry the full record, since it changed.
    pub(super) announcements_left: u32,
}

impl PeerEntry {
    /// A peer from the settings.
    pub(super) fn seed(record: PeerRecord, now: SystemTime) -> Self {
        Self { record, heard: now, is_confirmed: false, announcements_left: 0 }
    }

    /// A peer that was heard of.
    pub(super) fn heard(record: PeerRecord, now: SystemTime, announcements: u32) -> Self {
        Self { record, heard: now, is_confirmed: true, announcements_left: announcements }
    }

    pub(super) fn is_alive(&self, now: SystemTime, dead_after: Duration) -> bool {
        let silence = now.duration_since(self.heard).unwrap_or(Duration::ZERO);

        self.is_confirmed && silence < dead_after
    }

    /// Takes a digest in; false if the full record is needed for it.
    pub(super) fn take_digest(&mut self, digest: &BeatDigest, now: SystemTime) -> bool {
        let known = self.record.digest();
        let same_start = self.is_confirmed && known.start_tag == digest.start_tag;

        if same_start && digest.beat > self.record.beat {
            self.record.beat = digest.beat;
            self.heard = now;
        }
        // An older digest than the record says nothing of the record's age.
        same_start && (known.revision_tag == digest.revision_tag || digest.beat < self.record.beat)
    }
}
