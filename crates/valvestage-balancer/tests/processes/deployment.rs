//! A small deployment for tests: the stand-ins run as threads, the balancers as processes.

use std::collections::BTreeMap;
use std::fs;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use valvestage_core::settings::DeploymentSettings;
use valvestage_core::time::to_unix_millis;
use valvestage_policy::control::{LeaseRecord, RawOwnerMap};
use valvestage_policy::flows::RawTokenKeys;
use valvestage_standins::backend::{BackendOptions, BackendServer, RunLog};
use valvestage_standins::caller::{self, CallerOptions, CallerSummary, ServiceLoad};
use valvestage_standins::fabric::{self, FabricOptions, SprayFaults};
use valvestage_standins::layout::{DeploymentPlan, Layout, ServicePlan, write_layout};
use valvestage_standins::platform::{self, PlatformStandin};

/// Four balancers in two availability zones, and two services.
const PLAN: DeploymentPlan = DeploymentPlan {
    name: "test",
    zones: &["zone-a", "zone-b"],
    balancers: 4,
    services: &[
        ServicePlan { name: "core", backends: 4, slots: 3, connections: 100 },
        ServicePlan { name: "photos", backends: 2, slots: 3, connections: 100 },
    ],
};

/// Short times for heartbeats, leases and deadlines, which keep the tests short.
const EXTRA_SETTINGS: &str =
    "heartbeat_ms = 100\ndead_after_ms = 1500\nlease_ms = 2000\nmax_deadline_ms = 6000\n";

/// Interval at which an awaited condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for an awaited event. It is far longer than any event takes, so that a test fails
/// only if the event does not occur.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

const LOAD_DURATION: Duration = Duration::from_secs(8);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Locks out forks, and the selection of free ports, of tests that run in parallel.
///
/// From its fork until its exec, a child process holds copies of all sockets of this process. If
/// another test selects free ports at this time, the copy of a listening socket keeps the selected
/// port in use. Forks and the selection of ports therefore hold the same lock.
pub fn lock_forks() -> MutexGuard<'static, ()> {
    static FORKS: Mutex<()> = Mutex::new(());

    FORKS.lock().unwrap_or_else(PoisonError::into_inner)
}

pub struct Deployment {
    pub log: Arc<RunLog>,
    pub platform: PlatformStandin,
    pub stop_flag: Arc<AtomicBool>,
    folder: PathBuf,
    layout: Layout,
    settings: DeploymentSettings,
    children: BTreeMap<u32, Child>,
    threads: Vec<JoinHandle<()>>,
}

impl Deployment {
    /// Starts the stand-ins and balancers, and waits until both services have an owner and all
    /// requests of a trial round are answered.
    pub fn start() -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("valvestage-{}-{number}", std::process::id()));
        let layout = {
            let _fork_lock = lock_forks();
            write_layout(&PLAN, &folder, 1, EXTRA_SETTINGS).unwrap()
        };
        let settings = DeploymentSettings::read(&folder.join("deployment.toml")).unwrap();

        let mut deployment = Self {
            log: Arc::new(RunLog::default()),
            platform: PlatformStandin::default(),
            stop_flag: Arc::new(AtomicBool::new(false)),
            folder,
            layout,
            settings,
            children: BTreeMap::new(),
            threads: Vec::new(),
        };
        deployment.start_platform();
        deployment.start_backends();
        deployment.start_fabric();
        deployment.start_balancers();
        deployment.wait_until("owners", |d| d.owner_map().entries.len() == PLAN.services.len());
        deployment.wait_until_served();
        deployment
    }

    fn start_platform(&mut self) {
        let raw = self.settings.to_configuration("first");
        let keys = RawTokenKeys { flow_hash: (1, 2), current: 1, keys: vec![(1, 3, 4)] };
        self.platform.put("token-keys", serde_json::to_value(keys).unwrap());
        self.platform.put("configuration", serde_json::to_value(raw).unwrap());

        let listener = TcpListener::bind(self.layout.platform).unwrap();
        let (standin, stop_flag) = (self.platform.clone(), self.stop_flag.clone());
        self.threads.push(thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                let (_, server) = platform::start(listener, standin).unwrap();
                let handle = server.handle();
                actix_rt::spawn(server);
                while !stop_flag.load(Ordering::Relaxed) {
                    actix_rt::time::sleep(POLL_INTERVAL).await;
                }
                handle.stop(false).await;
            });
        }));
    }

    fn start_backends(&mut self) {
        for record in self.settings.to_configuration("standin").backends {
            let options = BackendOptions {
                seed: record.id.into(),
                record,
                mean_run_time: Duration::from_millis(30),
                answer_segments: 2,
            };
            let server = BackendServer::new(options, self.log.clone()).unwrap();
            let stop_flag = self.stop_flag.clone();
            self.threads.push(thread::spawn(move || server.run(&stop_flag).unwrap()));
        }
    }

    fn start_fabric(&mut self) {
        let options = FabricOptions {
            caller_address: self.layout.fabric_callers,
            balancer_address: self.layout.fabric_balancers,
            balancers: self.layout.balancers.iter().map(|b| (b.data, b.admin)).collect(),
            faults: SprayFaults::default(),
            seed: 1,
        };
        let stop_flag = self.stop_flag.clone();

        self.threads.push(thread::spawn(move || {
            fabric::run(&options, &stop_flag).unwrap();
        }));
    }

    fn start_balancers(&mut self) {
        for balancer in &self.layout.balancers {
            let settings = self.folder.join(format!("balancer-{}.toml", balancer.id));
            let _fork_lock = lock_forks();
            let child = Command::new(env!("CARGO_BIN_EXE_valvestage-balancer"))
                .arg("--settings")
                .arg(settings)
                .env("RUST_LOG", "off")
                .stdin(Stdio::null())
                .spawn()
                .unwrap();
            self.children.insert(balancer.id, child);
        }
    }

    fn caller_options(&self, duration: Duration, flows: usize, seed: u64) -> CallerOptions {
        let load = |service: &valvestage_core::settings::ServiceSettings| ServiceLoad {
            address: service.address,
            flows,
            requests_per_second: 40.0,
        };

        CallerOptions {
            fabric: self.layout.fabric_callers,
            services: self.settings.services.iter().map(load).collect(),
            duration,
            flow_pause: Duration::from_millis(200),
            echoing_share: 0.5,
            non_repeatable_share: 0.5,
            request_timeout: REQUEST_TIMEOUT,
            resend_pause: Duration::from_millis(300),
            seed,
        }
    }

    /// Starts a caller that offers load in the background.
    pub fn start_load(&self) -> JoinHandle<CallerSummary> {
        let options = self.caller_options(LOAD_DURATION, 20, 7);

        thread::spawn(move || caller::run(options).unwrap())
    }

    /// Sends rounds of requests, repeatable and once-only ones, until all requests of a round are
    /// answered.
    pub fn wait_until_served(&self) {
        static ROUND: AtomicU64 = AtomicU64::new(1_000);

        self.wait_until("everything to be answered", |d| {
            let seed = ROUND.fetch_add(1, Ordering::Relaxed);
            let options = d.caller_options(Duration::from_millis(200), 0, seed);
            let summary = caller::run(options).unwrap();
            summary.requests > 0 && summary.answered == summary.requests
        });
    }

    pub fn wait_for_runs(&self, runs: u64) {
        self.wait_until("runs", |d| d.log.summary().runs >= runs);
    }

    pub fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let deadline = SystemTime::now() + WAIT_TIMEOUT;

        while !condition(self) {
            assert!(SystemTime::now() < deadline, "still waiting for {what}");
            thread::sleep(POLL_INTERVAL);
        }
    }

    pub fn wait_for_exit(&mut self, id: u32) -> ExitStatus {
        self.children.remove(&id).unwrap().wait().unwrap()
    }

    pub fn signal(&self, id: u32, signal: Signal) {
        let pid = Pid::from_raw(self.children[&id].id().try_into().unwrap());

        kill(pid, signal).unwrap();
    }

    fn owner_map(&self) -> RawOwnerMap {
        let stored = self.platform.get("owner-map");

        stored.map(|value| serde_json::from_value(value).unwrap()).unwrap_or_default()
    }

    /// Returns the owner of the first service; 0 if it has none.
    pub fn owner(&self) -> u32 {
        self.owner_map().entries.get(&1).map_or(0, |entry| entry.owner)
    }

    /// Returns the owners of all services that have one.
    pub fn owners(&self) -> Vec<u32> {
        self.owner_map().entries.values().map(|entry| entry.owner).collect()
    }

    pub fn balancers_of(&self, zone: &str) -> Vec<u32> {
        let of_zone = self.layout.balancers.iter().filter(|balancer| balancer.zone == zone);

        of_zone.map(|balancer| balancer.id).collect()
    }

    pub fn any_lease_is_valid(&self) -> bool {
        let now = to_unix_millis(SystemTime::now());
        let leases = self.layout.balancers.iter().filter_map(|balancer| {
            let stored = self.platform.get(&format!("lease-{}", balancer.id))?;
            serde_json::from_value::<LeaseRecord>(stored).ok()
        });

        leases.into_iter().any(|lease| lease.expires_ms > now)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stop_flag.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
