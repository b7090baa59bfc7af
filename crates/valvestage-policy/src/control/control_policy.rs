//! Control decisions of one balancer: gossip, shared objects, lease and service ownership.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use valvestage_core::Configuration;
use valvestage_core::ids::ObjectVersion;
use valvestage_core::time::{from_unix_millis, to_unix_millis};

use super::control_action::{ControlAction, Installation, StateMachine};
use super::control_options::ControlOptions;
use super::first_read::FirstRead;
use super::lease_manager::{LeaseGrant, LeaseManager};
use super::object_cache::ObjectCache;
use super::object_key::{ObjectKey, ObjectValue};
use super::owner_coordinator::OwnerCoordinator;
use super::owner_map::OwnerMap;
use super::platform_call::PlatformReply;
use crate::errors::PolicyError;
use crate::flows::TokenKeys;
use crate::membership::{HeartbeatMessage, HeartbeatTable, LiveView, PeerRecord, PeerState};

/// Time after which a fetch without an answer is retried.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

type VersionField = fn(&PeerRecord) -> ObjectVersion;

/// Objects that balancers fetch from each other, and the field of a peer record with their version.
const SHARED_OBJECTS: [(ObjectKey, VersionField); 3] = [
    (ObjectKey::Configuration, |record| record.configuration),
    (ObjectKey::OwnerMap, |record| record.owner_map),
    (ObjectKey::TokenKeys, |record| record.token_keys),
];

/// Control plane of one balancer: decides what to send to peers and to the platform, and which
/// state to put in force. It takes no part in decisions for single packets.
#[derive(Debug)]
pub struct ControlPolicy {
    pub(super) options: ControlOptions,
    pub(super) table: HeartbeatTable,
    objects: ObjectCache,
    pub(super) configuration: Option<Arc<Configuration>>,
    pub(super) owner_map: Arc<OwnerMap>,
    pub(super) view: LiveView,
    pub(super) lease_manager: LeaseManager,
    pub(super) grant: Option<LeaseGrant>,
    pub(super) coordinator: OwnerCoordinator,
    first_read: FirstRead,
    next_heartbeat: SystemTime,
    /// Whether a change is to be announced to peers without waiting for the next interval.
    has_update: bool,
    /// Pending fetches, with the time at which each times out.
    fetches: BTreeMap<ObjectKey, SystemTime>,
}

impl ControlPolicy {
    /// Creates the policy of a balancer with its own record and the peers from the settings.
    pub fn new(
        options: ControlOptions,
        own: PeerRecord,
        seeds: impl IntoIterator<Item = PeerRecord>,
        now: SystemTime,
    ) -> Self {
        let id = own.id;

        Self {
            table: HeartbeatTable::new(options.heartbeat, own, seeds, now),
            objects: ObjectCache::new(options.newest_only),
            configuration: None,
            owner_map: Arc::default(),
            view: LiveView::default(),
            lease_manager: LeaseManager::new(id, options.lease, now),
            grant: None,
            coordinator: OwnerCoordinator::new(id, options.lease.clock_bound, now),
            first_read: FirstRead::new(now + options.join_without_platform_after),
            next_heartbeat: now,
            has_update: false,
            fetches: BTreeMap::new(),
            options,
        }
    }

    /// Emits all actions that are due. A call is cheap and may be made often.
    pub fn step(&mut self, now: SystemTime, out: &mut Vec<ControlAction>) {
        self.step_first_read(now, out);
        self.send_due_heartbeats(now, out);
        self.refresh_view(now, out);
        self.fetch_newer(now, out);
        self.step_lease(now, out);
        self.step_owners(now, out);
    }

    /// Moves a joining balancer to the serving state once it has its objects and the first read is
    /// done.
    ///
    /// A balancer that starts has no configuration, and a watch may lag. It takes work only once it
    /// knows that its configuration is the newest, or that the platform cannot be reached.
    fn step_first_read(&mut self, now: SystemTime, out: &mut Vec<ControlAction>) {
        if self.own().state != PeerState::Joining {
            return;
        }

        if let Some(call) = self.first_read.next_call(now) {
            out.push(ControlAction::Call { machine: StateMachine::FirstRead, call });
        }
        let has_objects =
            self.configuration.is_some() && self.objects.version(ObjectKey::TokenKeys) > 0;
        if has_objects && self.first_read.is_done(now) {
            self.table.set_state(PeerState::Serving);
            self.has_update = true;
        }
    }

    fn send_due_heartbeats(&mut self, now: SystemTime, out: &mut Vec<ControlAction>) {
        if now < self.next_heartbeat && !self.has_update {
            return;
        }

        self.next_heartbeat = now + self.options.heartbeat_interval;
        let has_update = std::mem::take(&mut self.has_update);
        for to in self.table.next_targets(now, has_update) {
            let message = self.table.message(now);
            out.push(ControlAction::Heartbeat { to, message });
        }
    }

    fn refresh_view(&mut self, now: SystemTime, out: &mut Vec<ControlAction>) {
        let view = self.table.view(now);
        if view == self.view {
            return;
        }

        self.view = view.clone();
        let known = self.table.known(now);
        let addresses = known.map(|(record, _)| (record.id, record.data_address)).collect();
        out.push(ControlAction::Install(Installation::View { view, addresses }));
    }

    /// Fetches every object of which a live peer has announced a newer version.
    fn fetch_newer(&mut self, now: SystemTime, out: &mut Vec<ControlAction>) {
        self.fetches.retain(|_, deadline| now < *deadline);

        for (key, version_of) in SHARED_OBJECTS {
            let best = self.table.alive(now).max_by_key(|record| version_of(record));
            let known = self.objects.version(key);
            if let Some(from) = best.filter(|record| version_of(record) > known)
                && !self.fetches.contains_key(&key)
            {
                let from = from.clone();
                self.fetches.insert(key, now + FETCH_TIMEOUT);
                out.push(ControlAction::Fetch { from, key });
            }
        }
    }

    /// Handles the reply to a platform call. Reports whether it put a newer configuration in force;
    /// an owner map that was put in force is not reported.
    pub fn on_reply(
        &mut self,
        now: SystemTime,
        machine: StateMachine,
        reply: PlatformReply,
        out: &mut Vec<ControlAction>,
    ) -> Result<bool, PolicyError> {
        if reply != PlatformReply::Unknown {
            self.record_platform_contact(now);
        }

        match machine {
            StateMachine::FirstRead => {
                if let Some((version, value)) = self.first_read.on_reply(now, reply) {
                    return self.on_object(ObjectKey::Configuration, version, value, out);
                }
            }
            StateMachine::Lease => self.lease_manager.on_reply(now, &reply),
            StateMachine::Owners => {
                if let Some(map) = self.coordinator.on_reply(now, reply) {
                    self.on_owner_map(map, out);
                }
            }
        }
        Ok(false)
    }

    /// Handles a peer's heartbeat and returns the answer.
    pub fn on_heartbeat(&mut self, now: SystemTime, message: HeartbeatMessage) -> HeartbeatMessage {
        self.table.merge(message, now);

        self.table.message(now)
    }

    /// Handles the answer to a heartbeat.
    pub fn on_heartbeat_answer(&mut self, now: SystemTime, message: HeartbeatMessage) {
        self.table.merge(message, now);
    }

    /// Handles an owner map that this balancer wrote to or read from the platform.
    pub fn on_owner_map(&mut self, map: OwnerMap, out: &mut Vec<ControlAction>) {
        // Only a configuration can be rejected as invalid.
        let value = ObjectValue::OwnerMap(map.raw);

        let _ = self.on_object(ObjectKey::OwnerMap, map.version, value, out);
    }

    /// Handles an object from the platform or a peer. A newer one is put in force and announced to
    /// peers at once. Reports whether it was newer.
    pub fn on_object(
        &mut self,
        key: ObjectKey,
        version: ObjectVersion,
        value: ObjectValue,
        out: &mut Vec<ControlAction>,
    ) -> Result<bool, PolicyError> {
        self.fetches.remove(&key);
        if !self.objects.should_install(key, version) {
            return Ok(false);
        }

        let installation = match value.clone() {
            ObjectValue::Configuration(raw) => {
                let checked = Arc::new(Configuration::try_from((version, raw))?);
                self.configuration = Some(checked.clone());
                Installation::Configuration(checked)
            }
            ObjectValue::OwnerMap(raw) => {
                self.owner_map = Arc::new(OwnerMap { version, raw });
                Installation::OwnerMap(self.owner_map.clone())
            }
            ObjectValue::TokenKeys(raw) => Installation::Keys(TokenKeys::new(version, raw)),
            ObjectValue::Lease(_) => return Ok(false),
        };

        self.objects.put(key, version, value);
        self.table.set_versions(
            self.objects.version(ObjectKey::Configuration),
            self.objects.version(ObjectKey::OwnerMap),
            self.objects.version(ObjectKey::TokenKeys),
        );
        self.has_update = true;
        out.push(ControlAction::Install(installation));
        Ok(true)
    }

    /// Records an answer of the platform to this balancer.
    pub fn record_platform_contact(&mut self, now: SystemTime) {
        self.table.record_platform_contact(to_unix_millis(now));
    }

    /// Returns the time of the latest platform answer that this balancer got or learned of from
    /// peers.
    #[must_use]
    pub fn last_platform_contact(&self) -> Option<SystemTime> {
        let heard = self.table.platform_contact_ms();

        (heard > 0).then(|| from_unix_millis(heard))
    }

    /// Reports whether this balancer has joined and is not leaving.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.own().state == PeerState::Serving
    }

    /// Marks this balancer as leaving and announces it to peers.
    pub fn leave(&mut self) {
        self.table.set_state(PeerState::Leaving);
        self.has_update = true;
    }

    /// Releases the lease. To be called once all services have been handed over.
    pub fn release_lease(&mut self) {
        self.lease_manager.release();
    }

    /// Reports whether the lease is being released and this balancer no longer relies on it. The
    /// write that closes it may still be pending.
    #[must_use]
    pub fn is_lease_released(&self) -> bool {
        self.lease_manager.is_released()
    }

    /// Returns the latest known version and value of an object.
    #[must_use]
    pub fn object(&self, key: ObjectKey) -> Option<&(ObjectVersion, ObjectValue)> {
        self.objects.get(key)
    }

    /// Returns the configuration in force, or `None` before the first.
    #[must_use]
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the owner map in force.
    #[must_use]
    pub fn owner_map(&self) -> &Arc<OwnerMap> {
        &self.owner_map
    }

    /// Returns the live balancers as of the last step.
    #[must_use]
    pub fn view(&self) -> &LiveView {
        &self.view
    }

    /// Returns the lease that this balancer holds as of the last step.
    #[must_use]
    pub fn grant(&self) -> Option<LeaseGrant> {
        self.grant
    }

    /// Iterates over the records of the other known balancers, each with whether it is alive.
    pub fn known_peers(&self, now: SystemTime) -> impl Iterator<Item = (&PeerRecord, bool)> {
        self.table.known(now)
    }

    /// Returns the record that this balancer announces in heartbeats.
    #[must_use]
    pub fn own(&self) -> &PeerRecord {
        self.table.own()
    }
}
