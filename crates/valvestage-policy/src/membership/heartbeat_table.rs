//! Gossip of heartbeats: which balancers are alive.
//!
//! Each balancer counts its own heartbeats. At every interval it sends its freshest records to a
//! few targets and merges what comes back; a balancer whose count stands still for too long is
//! taken as dead. Bytes sent are bounded by `fanout * records_per_message`, whatever the size of
//! the deployment.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use valvestage_core::ids::{BalancerId, LeaseEpoch, ObjectVersion};

use super::live_view::LiveView;
use super::peer_record::{PeerRecord, PeerState};
use crate::rendezvous::mix;

/// `HeartbeatOptions` bounds the traffic and the time to detect a loss.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatOptions {
    /// Targets of one heartbeat.
    pub fanout: usize,
    /// Records in one message, the own one included.
    pub records_per_message: usize,
    /// Silence after which a balancer is taken as dead.
    pub dead_after: Duration,
    /// Silence after which a dead balancer is forgotten.
    pub forget_after: Duration,
}

impl Default for HeartbeatOptions {
    fn default() -> Self {
        Self {
            fanout: 2,
            records_per_message: 8,
            dead_after: Duration::from_secs(2),
            forget_after: Duration::from_secs(3_600),
        }
    }
}

#[derive(Debug, Clone)]
struct PeerEntry {
    record: PeerRecord,
    /// When the record was last superseded by a newer one; never in the future.
    heard: SystemTime,
    /// Whether any heartbeat was ever heard; a peer from the settings starts unheard.
    confirmed: bool,
}

/// `HeartbeatTable` holds the latest record of each balancer.
#[derive(Debug, Clone)]
pub struct HeartbeatTable {
    options: HeartbeatOptions,
    own: PeerRecord,
    /// Every other balancer ever heard of and not yet forgotten.
    peers: BTreeMap<BalancerId, PeerEntry>,
    round: u64,
}

impl HeartbeatTable {
    /// `new` starts a table with the own record and the peers known from the settings.
    pub fn new(
        options: HeartbeatOptions,
        own: PeerRecord,
        seeds: impl IntoIterator<Item = PeerRecord>,
        now: SystemTime,
    ) -> Self {
        let peers = seeds
            .into_iter()
            .filter(|seed| seed.id != own.id)
            .map(|record| {
                (
                    record.id,
                    PeerEntry {
                        record,
                        heard: now,
                        confirmed: false,
                    },
                )
            })
            .collect();

        Self {
            options,
            own,
            peers,
            round: 0,
        }
    }

    /// `own` gives the own record.
    #[must_use]
    pub fn own(&self) -> &PeerRecord {
        &self.own
    }

    /// `set_state` announces whether this balancer is staying.
    pub fn set_state(&mut self, state: PeerState) {
        self.own.state = state;
    }

    /// `set_lease_epoch` announces the lease that this balancer holds; 0 for none.
    pub fn set_lease_epoch(&mut self, epoch: LeaseEpoch) {
        self.own.lease_epoch = epoch;
    }

    /// `set_platform_heard` announces when the platform was last heard.
    pub fn set_platform_heard(&mut self, at_ms: u64) {
        self.own.platform_heard_ms = at_ms;
    }

    /// `set_versions` announces the object versions that this balancer has.
    pub fn set_versions(
        &mut self,
        configuration: ObjectVersion,
        owner_map: ObjectVersion,
        token_keys: ObjectVersion,
    ) {
        self.own.configuration = configuration;
        self.own.owner_map = owner_map;
        self.own.token_keys = token_keys;
    }

    /// `beat` counts one heartbeat and gives the targets of this interval.
    ///
    /// The targets rotate over all peers, so that each is met in turn, dead ones too: a healed
    /// link is found again without help. One target a round lies in another availability zone.
    pub fn beat(&mut self, now: SystemTime) -> Vec<PeerRecord> {
        self.own.beat += 1;
        self.round += 1;
        self.forget(now);

        let round = self.round;
        let order = |id: BalancerId| mix(round, mix(self.own.id.into(), id.into()));
        let mut near: Vec<_> = self
            .peers
            .values()
            .filter(|peer| peer.record.zone == self.own.zone)
            .collect();
        let mut far: Vec<_> = self
            .peers
            .values()
            .filter(|peer| peer.record.zone != self.own.zone)
            .collect();
        near.sort_by_key(|peer| order(peer.record.id));
        far.sort_by_key(|peer| order(peer.record.id));

        let near_count = self
            .options
            .fanout
            .saturating_sub(usize::from(!far.is_empty()));
        let mut targets: Vec<_> = near
            .iter()
            .take(near_count)
            .map(|p| p.record.clone())
            .collect();
        let missing = self.options.fanout - targets.len();
        targets.extend(far.iter().take(missing).map(|peer| peer.record.clone()));
        targets
    }

    /// `message` gives the records to send: the own one, then the freshest others in rotation.
    #[must_use]
    pub fn message(&self, now: SystemTime) -> Vec<PeerRecord> {
        let mut records = vec![self.own.clone()];

        // Half the room for the most recently heard, the rest in rotation over all that live.
        let mut fresh: Vec<_> = self
            .peers
            .values()
            .filter(|peer| self.is_alive(peer, now))
            .collect();
        fresh.sort_by_key(|peer| std::cmp::Reverse(peer.heard));
        let room = self.options.records_per_message.saturating_sub(1);
        let recent = room.div_ceil(2).min(fresh.len());
        records.extend(fresh[..recent].iter().map(|peer| peer.record.clone()));

        let mut rest: Vec<_> = fresh[recent..].to_vec();
        rest.sort_by_key(|peer| mix(self.round, peer.record.id.into()));
        records.extend(
            rest.iter()
                .take(room - recent)
                .map(|peer| peer.record.clone()),
        );
        records
    }

    /// `merge` takes records in; older ones than those known are ignored.
    pub fn merge(&mut self, records: impl IntoIterator<Item = PeerRecord>, now: SystemTime) {
        for record in records {
            if record.id == self.own.id {
                continue;
            }

            match self.peers.get_mut(&record.id) {
                Some(entry) if entry.confirmed && !record.is_newer_than(&entry.record) => {}
                Some(entry) => {
                    *entry = PeerEntry {
                        record,
                        heard: now,
                        confirmed: true,
                    }
                }
                None => {
                    let entry = PeerEntry {
                        record,
                        heard: now,
                        confirmed: true,
                    };
                    self.peers.insert(entry.record.id, entry);
                }
            }
        }
    }

    /// `view` gives the balancers taken as alive and staying, this one included while it stays.
    #[must_use]
    pub fn view(&self, now: SystemTime) -> LiveView {
        let peers = self
            .peers
            .values()
            .filter(|peer| self.is_alive(peer, now) && peer.record.state == PeerState::Serving);
        let own = (self.own.state == PeerState::Serving).then_some(&self.own);
        let leaving = self
            .peers
            .values()
            .filter(|peer| self.is_alive(peer, now) && peer.record.state == PeerState::Leaving);

        LiveView::new(
            peers
                .map(|peer| &peer.record)
                .chain(own)
                .map(|record| (record.id, record.zone.clone())),
        )
        .with_leaving(leaving.map(|peer| peer.record.id))
    }

    /// `alive` lists the records of the other balancers taken as alive, leaving ones included.
    pub fn alive(&self, now: SystemTime) -> impl Iterator<Item = &PeerRecord> {
        self.peers
            .values()
            .filter(move |peer| self.is_alive(peer, now))
            .map(|peer| &peer.record)
    }

    /// `known` lists the records of all other balancers, with whether each is taken as alive.
    pub fn known(&self, now: SystemTime) -> impl Iterator<Item = (&PeerRecord, bool)> {
        self.peers
            .values()
            .map(move |peer| (&peer.record, self.is_alive(peer, now)))
    }

    fn is_alive(&self, peer: &PeerEntry, now: SystemTime) -> bool {
        let silence = now.duration_since(peer.heard).unwrap_or(Duration::ZERO);

        peer.confirmed && silence < self.options.dead_after
    }

    fn forget(&mut self, now: SystemTime) {
        let forget_after = self.options.forget_after;
        self.peers.retain(|_, peer| {
            now.duration_since(peer.heard).unwrap_or(Duration::ZERO) < forget_after
        });
    }
}
