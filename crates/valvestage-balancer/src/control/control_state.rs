//! What the tasks of the control thread share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use crossbeam_channel::Sender;
use tokio::sync::{Notify, oneshot};
use valvestage_core::Configuration;
use valvestage_core::ids::{BalancerId, ObjectVersion, ServiceId, ZoneName};
use valvestage_core::settings::BalancerSettings;
use valvestage_core::time::{from_unix_millis, to_unix_millis};
use valvestage_policy::control::{LeaseGrant, ObjectCache, ObjectKey, ObjectValue, OwnerMap};
use valvestage_policy::flows::TokenKeys;
use valvestage_policy::membership::{
    HeartbeatMessage, HeartbeatOptions, HeartbeatTable, LiveView, PeerRecord, PeerState,
};

use crate::commands::{Command, DataSnapshot};
use crate::metrics::BalancerMetrics;

/// `ControlOptions` is what the control state starts with.
pub struct ControlOptions {
    /// The settings.
    pub settings: BalancerSettings,
    /// Shared with the data path.
    pub metrics: Arc<BalancerMetrics>,
    /// To the decide thread.
    pub commands: Sender<Command>,
}

/// What changes; behind one lock that is never held across an await.
struct Changing {
    table: HeartbeatTable,
    objects: ObjectCache,
    configuration: Option<Arc<Configuration>>,
    owner_map: Arc<OwnerMap>,
    view: LiveView,
    grant: Option<LeaseGrant>,
    is_ready: bool,
}

/// `ControlState` is shared by all control tasks, and by the admin server's threads.
pub struct ControlState {
    /// The settings.
    pub settings: BalancerSettings,
    /// Shared with the data path.
    pub metrics: Arc<BalancerMetrics>,
    /// Asks for a heartbeat now.
    pub beat_now: Notify,
    /// Tells that the configuration or the view changed.
    pub placement_changed: Notify,
    commands: Sender<Command>,
    changing: Mutex<Changing>,
}

impl ControlState {
    /// `new` starts with the peers from the settings.
    #[must_use]
    pub fn new(options: ControlOptions, now: SystemTime) -> Self {
        let settings = options.settings;
        let heartbeat_options = HeartbeatOptions {
            dead_after: settings.dead_after,
            ..HeartbeatOptions::default()
        };
        let own = own_record(&settings, now);
        let seeds = settings.peers.iter().map(|peer| PeerRecord {
            id: peer.id,
            zone: peer.zone.clone(),
            data_address: peer.data_address,
            peer_address: peer.peer_address,
            started_ms: 0,
            ..own.clone()
        });
        let table = HeartbeatTable::new(heartbeat_options, own.clone(), seeds, now);

        let changing = Changing {
            view: table.view(now),
            table,
            objects: ObjectCache::default(),
            configuration: None,
            owner_map: Arc::new(OwnerMap::default()),
            grant: None,
            is_ready: false,
        };
        Self {
            settings,
            metrics: options.metrics,
            beat_now: Notify::new(),
            placement_changed: Notify::new(),
            commands: options.commands,
            changing: Mutex::new(changing),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Changing> {
        self.changing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `tell` sends a command to the decide thread, which never waits for control.
    pub fn tell(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::debug!(step = "command"; "the decide thread has ended");
        }
    }

    /// `ask` sends a question to the decide thread and waits for the answer; none if it has ended.
    pub async fn ask<T>(&self, question: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();

        self.tell(question(reply));
        answer.await.ok()
    }

    /// `snapshot` asks the decide thread for its state.
    pub async fn snapshot(&self) -> DataSnapshot {
        self.ask(Command::TakeSnapshot).await.unwrap_or_default()
    }

    /// `beat` counts a heartbeat; gives the targets and the message.
    pub fn beat(&self, now: SystemTime) -> (Vec<PeerRecord>, HeartbeatMessage) {
        let mut changing = self.lock();
        let targets = changing.table.beat(now);

        (targets, changing.table.message(now))
    }

    /// `message` gives the answer to a heartbeat.
    pub fn message(&self, now: SystemTime) -> HeartbeatMessage {
        self.lock().table.message(now)
    }

    /// `merge` takes a heartbeat in.
    pub fn merge(&self, message: HeartbeatMessage, now: SystemTime) {
        self.lock().table.merge(message, now);
    }

    /// `refresh_view` tells the decide thread of a changed set of live balancers.
    pub fn refresh_view(&self, now: SystemTime) {
        let mut changing = self.lock();
        let view = changing.table.view(now);
        self.metrics
            .live_balancers
            .set(view.members().count() as u64);
        if view == changing.view {
            return;
        }

        log::info!(live = view.members().count(); "the set of live balancers changed");
        let addresses = changing
            .table
            .known(now)
            .map(|(record, _)| (record.id, record.data_address))
            .collect();
        changing.view = view.clone();
        drop(changing);

        self.tell(Command::InstallView { view, addresses });
        self.placement_changed.notify_one();
    }

    /// `offer` takes an object in; a newer one is put in force and announced.
    pub fn offer(&self, key: ObjectKey, version: ObjectVersion, value: ObjectValue) {
        let mut changing = self.lock();
        if version <= changing.objects.version(key) {
            return;
        }

        let command = match value.clone() {
            ObjectValue::Configuration(raw) => match Configuration::try_from((version, raw)) {
                Ok(checked) => {
                    let checked = Arc::new(checked);
                    changing.configuration = Some(checked.clone());
                    self.metrics.configuration_version.set(version);
                    Command::InstallConfiguration(checked)
                }
                Err(error) => {
                    log::error!(version; "a configuration is not put in force: {error}");
                    return;
                }
            },
            ObjectValue::OwnerMap(raw) => {
                let map = Arc::new(OwnerMap { version, raw });
                changing.owner_map = map.clone();
                Command::InstallOwnerMap(map)
            }
            ObjectValue::TokenKeys(raw) => Command::InstallKeys(TokenKeys::new(version, raw)),
            ObjectValue::Lease(_) => return,
        };

        log::info!(object = key.path().as_str(), version; "a newer object is in force");
        changing.objects.offer(key, version, value);
        let versions = [
            ObjectKey::Configuration,
            ObjectKey::OwnerMap,
            ObjectKey::TokenKeys,
        ]
        .map(|key| changing.objects.version(key));
        changing
            .table
            .set_versions(versions[0], versions[1], versions[2]);
        drop(changing);

        self.tell(command);
        self.beat_now.notify_one();
        self.placement_changed.notify_one();
    }

    /// `object` gives the latest known version of an object.
    pub fn object(&self, key: ObjectKey) -> Option<(ObjectVersion, ObjectValue)> {
        self.lock().objects.get(key).cloned()
    }

    /// `newer_at` lists the objects of which a live peer has a newer version, with its address.
    pub fn newer_at(&self, now: SystemTime) -> Vec<(PeerRecord, ObjectKey)> {
        let changing = self.lock();
        let mut newer = Vec::new();

        for (key, version_of) in VERSIONED {
            let best = changing
                .table
                .alive(now)
                .max_by_key(|record| version_of(record));
            if let Some(record) = best
                && version_of(record) > changing.objects.version(key)
            {
                newer.push((record.clone(), key));
            }
        }
        newer
    }

    /// `on_platform_heard` notes an answer of the platform.
    pub fn on_platform_heard(&self, now: SystemTime) {
        self.lock().table.on_platform_heard(to_unix_millis(now));
    }

    /// `platform_heard` gives when any balancer heard of last heard the platform.
    pub fn platform_heard(&self) -> Option<SystemTime> {
        let heard = self.lock().table.platform_heard_ms();

        (heard > 0).then(|| from_unix_millis(heard))
    }

    /// `install_grant` takes the present lease, or that there is none.
    pub fn install_grant(&self, grant: Option<LeaseGrant>) {
        let mut changing = self.lock();
        if changing.grant == grant {
            return;
        }

        if changing.grant.map(|grant| grant.epoch) != grant.map(|grant| grant.epoch) {
            log::info!(epoch = grant.map_or(0, |grant| grant.epoch); "the lease changed");
        }
        changing.grant = grant;
        changing
            .table
            .set_lease_epoch(grant.map_or(0, |grant| grant.epoch));
        drop(changing);
        self.tell(Command::InstallGrant(grant));
    }

    /// `grant` gives the present lease.
    pub fn grant(&self) -> Option<LeaseGrant> {
        self.lock().grant
    }

    /// `set_ready` says whether this balancer takes work.
    pub fn set_ready(&self, is_ready: bool) {
        self.lock().is_ready = is_ready;
    }

    /// `is_ready` tells whether this balancer takes work: it has a configuration and keys, and is
    /// not stopping.
    pub fn is_ready(&self) -> bool {
        let changing = self.lock();

        changing.is_ready
            && changing.configuration.is_some()
            && changing.objects.version(ObjectKey::TokenKeys) > 0
    }

    /// `set_leaving` announces that this balancer leaves.
    pub fn set_leaving(&self) {
        self.lock().table.set_state(PeerState::Leaving);
        self.beat_now.notify_one();
    }

    /// `configuration` gives the configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.lock().configuration.clone()
    }

    /// `owner_map` gives the owners of services.
    pub fn owner_map(&self) -> Arc<OwnerMap> {
        self.lock().owner_map.clone()
    }

    /// `owned_services` lists the services that this balancer owns under its present lease.
    pub fn owned_services(&self) -> Vec<ServiceId> {
        let changing = self.lock();
        let lease = changing.grant.map(|grant| grant.epoch);
        let entries = changing.owner_map.raw.entries.iter();

        entries
            .filter(|(_, entry)| entry.owner == self.settings.id && Some(entry.lease) == lease)
            .map(|(service, _)| *service)
            .collect()
    }

    /// `view` gives the live balancers.
    pub fn view(&self) -> LiveView {
        self.lock().view.clone()
    }

    /// `known_peers` lists the other balancers, with whether each is alive.
    pub fn known_peers(&self, now: SystemTime) -> Vec<(PeerRecord, bool)> {
        let changing = self.lock();

        changing
            .table
            .known(now)
            .map(|(record, alive)| (record.clone(), alive))
            .collect()
    }

    /// `zone_mates` lists the live, staying balancers of this zone, this one included.
    pub fn zone_mates(&self, now: SystemTime) -> Vec<BalancerId> {
        let changing = self.lock();
        let zone: &ZoneName = &self.settings.zone;
        let peers = changing.table.alive(now);
        let mates = peers
            .filter(|record| record.zone == *zone && record.state == PeerState::Serving)
            .map(|record| record.id);

        mates.chain([self.settings.id]).collect()
    }

    /// `own_record` gives the own heartbeat record.
    pub fn own_record(&self) -> PeerRecord {
        self.lock().table.own().clone()
    }
}

type VersionOf = fn(&PeerRecord) -> ObjectVersion;

/// The objects that balancers fetch from each other, and where a record tells their versions.
const VERSIONED: [(ObjectKey, VersionOf); 3] = [
    (ObjectKey::Configuration, |record| record.configuration),
    (ObjectKey::OwnerMap, |record| record.owner_map),
    (ObjectKey::TokenKeys, |record| record.token_keys),
];

fn own_record(settings: &BalancerSettings, now: SystemTime) -> PeerRecord {
    PeerRecord {
        id: settings.id,
        zone: settings.zone.clone(),
        data_address: settings.data_address,
        peer_address: settings.peer_address,
        started_ms: to_unix_millis(now),
        beat: 0,
        state: PeerState::Serving,
        lease_epoch: 0,
        revision: 0,
        configuration: 0,
        owner_map: 0,
        token_keys: 0,
    }
}
