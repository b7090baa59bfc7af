//! Heartbeat gossip: determines which balancers are alive.
//!
//! Each balancer counts its own heartbeats. At every interval it exchanges messages with a few
//! peers. A balancer whose count does not advance for too long is considered dead. Counts travel as
//! digests of a few bytes. A full record is sent only on request, and several times after a change;
//! this number grows with the logarithm of the deployment's size. This bounds the size of messages
//! regardless of the size of the deployment.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BalancerId, LeaseEpoch, ObjectVersion};

use super::heartbeat_message::HeartbeatMessage;
use super::heartbeat_options::HeartbeatOptions;
use super::live_view::LiveView;
use super::peer_entry::PeerEntry;
use super::peer_record::{PeerRecord, PeerState};
use crate::rendezvous::mix;

/// Maximum number of records requested in one message.
const MAX_REQUESTED: usize = 8;

/// Number of times that a changed record is sent, per doubling of the deployment's size.
const ANNOUNCEMENTS_PER_DOUBLING: u32 = 3;

/// Table of the latest known record of each balancer.
#[derive(Debug, Clone)]
pub struct HeartbeatTable {
    options: HeartbeatOptions,
    own: PeerRecord,
    /// Other balancers, from the settings or from gossip, that have not expired.
    peers: BTreeMap<BalancerId, PeerEntry>,
    /// Balancers whose full record is missing or outdated, to be requested.
    missing_records: BTreeSet<BalancerId>,
    /// Balancers whose full records peers have requested since the last message sent.
    peer_requests: BTreeSet<BalancerId>,
    platform_contact_ms: u64,
    /// Counts messages and intervals; seeds the rotation of targets and digests.
    round: u64,
}

impl HeartbeatTable {
    /// Creates a table with the balancer's own record and the peers from the settings.
    pub fn new(
        options: HeartbeatOptions,
        own: PeerRecord,
        seeds: impl IntoIterator<Item = PeerRecord>,
        now: SystemTime,
    ) -> Self {
        let peers = seeds
            .into_iter()
            .filter(|seed| seed.id != own.id)
            .map(|record| (record.id, PeerEntry::from_settings(record, now)))
            .collect();

        Self {
            options,
            own,
            peers,
            missing_records: BTreeSet::new(),
            peer_requests: BTreeSet::new(),
            platform_contact_ms: 0,
            round: 0,
        }
    }

    /// Returns the record of this balancer.
    #[must_use]
    pub fn own(&self) -> &PeerRecord {
        &self.own
    }

    /// Sets the announced state of this balancer.
    pub fn set_state(&mut self, state: PeerState) {
        self.change_own(|own| own.state = state);
    }

    /// Sets the announced lease of this balancer; 0 for none.
    pub fn set_lease_epoch(&mut self, epoch: LeaseEpoch) {
        self.change_own(|own| own.lease_epoch = epoch);
    }

    /// Sets the announced object versions of this balancer.
    pub fn set_versions(
        &mut self,
        configuration: ObjectVersion,
        owner_map: ObjectVersion,
        token_keys: ObjectVersion,
    ) {
        self.change_own(|own| {
            own.configuration = configuration;
            own.owner_map = owner_map;
            own.token_keys = token_keys;
        });
    }

    fn change_own(&mut self, change: impl FnOnce(&mut PeerRecord)) {
        let before = self.own.clone();

        change(&mut self.own);
        if self.own != before {
            self.own.revision += 1;
        }
    }

    /// Records a platform answer to any balancer, at this time in Unix milliseconds.
    pub fn record_platform_contact(&mut self, at_ms: u64) {
        self.platform_contact_ms = self.platform_contact_ms.max(at_ms);
    }

    /// Returns the time of the latest known platform answer to any balancer, in Unix milliseconds;
    /// 0 if there was none.
    #[must_use]
    pub fn platform_contact_ms(&self) -> u64 {
        self.platform_contact_ms
    }

    /// Counts one heartbeat and returns the peers to send it to.
    ///
    /// The targets rotate pseudo-randomly over all peers, dead ones included, so that a repaired
    /// link is detected without intervention. Three of every four values of `round` limit the
    /// targets to live peers, and so does an update.
    pub fn next_targets(&mut self, now: SystemTime, has_update: bool) -> Vec<PeerRecord> {
        const LIVE_ROUNDS: u64 = 3;

        self.own.heartbeat_count += 1;
        self.round += 1;
        self.remove_expired(now);

        let (round, own) = (self.round, u64::from(self.own.id));
        let live_only = has_update || round % (LIVE_ROUNDS + 1) != 0;
        let mut candidates: Vec<_> = self
            .peers
            .values()
            .filter(|peer| !live_only || peer.is_alive(now, self.options.dead_after))
            .collect();
        if candidates.is_empty() {
            candidates.extend(self.peers.values());
        }

        candidates.sort_by_key(|peer| mix(mix(round, own), peer.record.id.into()));
        let fanout = if has_update { self.options.update_fanout } else { self.options.fanout };
        let chosen = candidates.into_iter().take(fanout);
        chosen.map(|peer| peer.record.clone()).collect()
    }

    /// Builds the next message to a peer.
    pub fn message(&mut self, now: SystemTime) -> HeartbeatMessage {
        self.round += 1;

        let records = self.records_to_send();
        let digests = self.digests_to_send(now);
        HeartbeatMessage {
            own: self.own.clone(),
            records,
            digests,
            requested: self.missing_records.iter().copied().take(MAX_REQUESTED).collect(),
            platform_contact_ms: self.platform_contact_ms,
        }
    }

    /// Returns the records that the peer requested, then the changed records that were sent the
    /// fewest times.
    fn records_to_send(&mut self) -> Vec<PeerRecord> {
        let requested_ids = std::mem::take(&mut self.peer_requests);
        let mut records: Vec<PeerRecord> = requested_ids
            .iter()
            .filter_map(|id| self.peers.get(id))
            .filter(|peer| peer.is_confirmed)
            .map(|peer| peer.record.clone())
            .collect();

        let mut changed: Vec<_> =
            self.peers.values_mut().filter(|peer| peer.announcements_left > 0).collect();
        changed.sort_by_key(|peer| std::cmp::Reverse(peer.announcements_left));
        for peer in changed.into_iter().take(self.options.full_records) {
            peer.announcements_left -= 1;
            if !requested_ids.contains(&peer.record.id) {
                records.push(peer.record.clone());
            }
        }
        records
    }

    /// Returns digests of live peers; if there are too many for one message, a different selection
    /// each time.
    fn digests_to_send(&self, now: SystemTime) -> Vec<super::HeartbeatDigest> {
        let dead_after = self.options.dead_after;
        let mut live: Vec<_> =
            self.peers.values().filter(|peer| peer.is_alive(now, dead_after)).collect();

        if live.len() > self.options.digests {
            let round = self.round;
            live.sort_by_cached_key(|peer| mix(round, peer.record.id.into()));
            live.truncate(self.options.digests);
        }
        live.iter().map(|peer| peer.record.digest()).collect()
    }

    /// Merges a peer's message into the table. Records older than the known ones are ignored.
    pub fn merge(&mut self, message: HeartbeatMessage, now: SystemTime) {
        self.record_platform_contact(message.platform_contact_ms);
        self.peer_requests.extend(message.requested);

        for record in message.records.into_iter().chain([message.own]) {
            self.merge_record(record, now);
        }
        for digest in message.digests.iter().filter(|digest| digest.id != self.own.id) {
            let peer = self.peers.get_mut(&digest.id);
            if !peer.is_some_and(|peer| peer.apply_digest(digest, now)) {
                self.missing_records.insert(digest.id);
            }
        }
    }

    fn merge_record(&mut self, record: PeerRecord, now: SystemTime) {
        if record.id == self.own.id {
            return;
        }

        self.missing_records.remove(&record.id);
        let announcements = self.announcements();
        match self.peers.get_mut(&record.id) {
            Some(peer) if peer.is_confirmed && !record.is_newer_than(&peer.record) => {}
            Some(peer) => {
                let is_changed = !peer.is_confirmed
                    || peer.record.revision != record.revision
                    || peer.record.started_ms != record.started_ms;
                let left = if is_changed { announcements } else { peer.announcements_left };
                *peer = PeerEntry::from_record(record, now, left);
            }
            None => {
                self.peers.insert(record.id, PeerEntry::from_record(record, now, announcements));
            }
        }
    }

    fn announcements(&self) -> u32 {
        let doublings = usize::BITS - self.peers.len().leading_zeros();

        ANNOUNCEMENTS_PER_DOUBLING * doublings.max(1)
    }

    /// Returns the live balancers. This balancer is a member while it is in the serving state.
    #[must_use]
    pub fn view(&self, now: SystemTime) -> LiveView {
        let in_state = |state| self.alive(now).filter(move |record| record.state == state);
        let own = (self.own.state == PeerState::Serving).then_some(&self.own);

        let serving = in_state(PeerState::Serving).chain(own);
        LiveView::new(serving.map(|record| (record.id, record.zone.clone())))
            .with_leaving(in_state(PeerState::Leaving).map(|record| record.id))
    }

    /// Iterates over the records of the other live balancers, joining and leaving ones included.
    pub fn alive(&self, now: SystemTime) -> impl Iterator<Item = &PeerRecord> {
        self.known(now).filter(|(_, alive)| *alive).map(|(record, _)| record)
    }

    /// Iterates over the records of all other known balancers, each with whether it is alive.
    pub fn known(&self, now: SystemTime) -> impl Iterator<Item = (&PeerRecord, bool)> {
        let dead_after = self.options.dead_after;

        self.peers.values().map(move |peer| (&peer.record, peer.is_alive(now, dead_after)))
    }

    fn remove_expired(&mut self, now: SystemTime) {
        let expire_after = self.options.expire_after;

        self.peers.retain(|_, peer| {
            now.duration_since(peer.last_heard).unwrap_or(Duration::ZERO) < expire_after
        });
    }
}
