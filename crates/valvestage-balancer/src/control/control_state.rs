//! State shared by the tasks of the control thread.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use crossbeam_channel::Sender;
use tokio::sync::{Notify, oneshot};
use valvestage_core::ids::{BalancerId, ObjectVersion};
use valvestage_core::settings::BalancerSettings;
use valvestage_core::time::to_unix_millis;
use valvestage_policy::control::{
    ControlAction, ControlOptions, ControlPolicy, Installation, LeaseOptions, ObjectKey,
    ObjectValue,
};
use valvestage_policy::membership::{HeartbeatOptions, PeerRecord, PeerState};

use crate::commands::{Command, DataSnapshot};
use crate::metrics::BalancerMetrics;

/// State shared by all control tasks and the thread of the admin server.
pub struct ControlState {
    /// The settings with which the process was started.
    pub settings: BalancerSettings,
    /// The metrics, shared with the data path.
    pub metrics: Arc<BalancerMetrics>,
    /// Wakes the step task before its interval ends.
    pub step_now: Notify,
    /// Notified when the configuration or the set of live balancers has changed.
    pub placement_changed: Notify,
    commands: Sender<Command>,
    /// The lock is never held across an await point.
    policy: Mutex<ControlPolicy>,
}

impl ControlState {
    /// Creates the state, with the peers of the settings as the first known balancers.
    #[must_use]
    pub fn new(
        settings: BalancerSettings,
        metrics: Arc<BalancerMetrics>,
        commands: Sender<Command>,
        now: SystemTime,
    ) -> Self {
        let own = own_record(&settings, now);
        let seeds = settings.peers.iter().map(|peer| PeerRecord {
            id: peer.id,
            zone: peer.zone.clone(),
            data_address: peer.data_address,
            peer_address: peer.peer_address,
            started_ms: 0,
            ..own.clone()
        });
        let policy = ControlPolicy::new(control_options(&settings), own.clone(), seeds, now);

        Self {
            settings,
            metrics,
            step_now: Notify::new(),
            placement_changed: Notify::new(),
            commands,
            policy: Mutex::new(policy),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ControlPolicy> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls a closure with the locked control policy and returns its result.
    pub fn read<T>(&self, inspect: impl FnOnce(&ControlPolicy) -> T) -> T {
        inspect(&self.lock())
    }

    /// Runs the actions of the control policy that are due, and returns those that the step task
    /// has to execute.
    pub fn step(&self, now: SystemTime) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        let mut policy = self.lock();

        policy.step(now, &mut actions);
        self.install_all(actions)
    }

    /// Applies an update to the control policy and installs what follows from it.
    pub fn update<T>(
        &self,
        apply: impl FnOnce(&mut ControlPolicy, &mut Vec<ControlAction>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let mut policy = self.lock();
        let result = apply(&mut policy, &mut actions);

        // Only a step returns actions other than installations.
        let others = self.install_all(actions);
        debug_assert!(others.is_empty());
        result
    }

    /// Sends the installations to the decide thread and returns the other actions. The caller
    /// holds the lock, so that the decide thread receives the installations in order.
    fn install_all(&self, actions: Vec<ControlAction>) -> Vec<ControlAction> {
        let mut others = Vec::new();

        for action in actions {
            match action {
                ControlAction::Install(installation) => self.install(installation),
                other => others.push(other),
            }
        }
        others
    }

    fn install(&self, installation: Installation) {
        match installation {
            Installation::Configuration(configuration) => {
                let version = configuration.version;
                log::info!(version; "configuration installed");
                self.metrics.configuration_version.set(version);
                self.send_command(Command::InstallConfiguration(configuration));
                self.placement_changed.notify_one();
            }
            Installation::OwnerMap(map) => {
                log::info!(version = map.version; "owner map installed");
                self.send_command(Command::InstallOwnerMap(map));
            }
            Installation::Keys(keys) => {
                log::info!(version = keys.version; "token keys installed");
                self.send_command(Command::InstallKeys(keys));
            }
            Installation::View { view, addresses } => {
                let live = view.members().count() as u64;
                log::info!(live; "set of live balancers changed");
                self.metrics.live_balancers.set(live);
                self.send_command(Command::InstallView { view, addresses });
                self.placement_changed.notify_one();
            }
            Installation::Grant(grant) => self.send_command(Command::InstallGrant(grant)),
        }
        self.step_now.notify_one();
    }

    /// Hands an object from the platform or a peer to the control policy. An object that cannot be
    /// used is logged and ignored.
    pub fn on_object(&self, key: ObjectKey, version: ObjectVersion, value: ObjectValue) {
        self.update(|policy, out| {
            if let Err(error) = policy.on_object(key, version, value, out) {
                log::error!(object = key.path().as_str(), version; "object not installed: {error}");
            }
        });
    }

    /// Sends a command to the decide thread. Blocks while the command queue is full; the decide
    /// thread itself never waits for control.
    pub fn send_command(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::debug!(step = "command"; "command not sent: the decide thread has ended");
        }
    }

    /// Sends a query to the decide thread and waits for the answer; `None` if the thread has ended.
    pub async fn query_data_path<T>(
        &self,
        to_command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();

        self.send_command(to_command(reply));
        answer.await.ok()
    }

    /// Returns a snapshot of the data path; an empty one if the decide thread has ended.
    pub async fn snapshot(&self) -> DataSnapshot {
        self.query_data_path(Command::TakeSnapshot).await.unwrap_or_default()
    }

    /// Begins the planned stop: from now on this balancer takes no new work.
    pub fn leave(&self) {
        self.lock().leave();

        self.step_now.notify_one();
    }

    /// Reports whether this balancer takes work: it has joined and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.lock().is_serving()
    }

    /// Returns the other known balancers and whether each of them is alive.
    pub fn known_peers(&self) -> Vec<(PeerRecord, bool)> {
        let now = SystemTime::now();

        self.read(|policy| {
            policy.known_peers(now).map(|(record, alive)| (record.clone(), alive)).collect()
        })
    }

    /// Returns the record of another balancer; `None` if it is not known.
    pub fn find_peer(&self, id: BalancerId) -> Option<PeerRecord> {
        self.known_peers().into_iter().map(|(record, _)| record).find(|record| record.id == id)
    }
}

fn control_options(settings: &BalancerSettings) -> ControlOptions {
    ControlOptions {
        heartbeat: HeartbeatOptions {
            dead_after: settings.dead_after,
            ..HeartbeatOptions::default()
        },
        heartbeat_interval: settings.heartbeat_interval,
        lease: LeaseOptions { length: settings.lease_length, clock_bound: settings.clock_bound },
        ..ControlOptions::default()
    }
}

fn own_record(settings: &BalancerSettings, now: SystemTime) -> PeerRecord {
    PeerRecord {
        id: settings.id,
        zone: settings.zone.clone(),
        data_address: settings.data_address,
        peer_address: settings.peer_address,
        started_ms: to_unix_millis(now),
        revision: 0,
        heartbeat_count: 0,
        state: PeerState::Joining,
        lease_epoch: 0,
        configuration: 0,
        owner_map: 0,
        token_keys: 0,
    }
}
