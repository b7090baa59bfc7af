//! A site on one VM: real balancers, and threads that simulate everything around them.

use std::fs;
use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};

use crate::backend_servers::{BackendCommand, BackendServers};
use crate::balancer_process::BalancerProcess;
use crate::caller_load::{CallerLoad, USUAL_LOAD_PERCENT};
use crate::errors::{SoakError, failed_to};
use crate::link_table::LinkTable;
use crate::observation::{Observation, StallDetector};
use crate::peer_relay::{PeerRelay, SentBytes};
use crate::router_table::{PROBE_INTERVAL, RouterTable};
use crate::site_plan::{SitePlan, ZONES, bind_listener};
use crate::site_store::SiteStore;
use crate::soak_options::SoakOptions;
use crate::store_relay::StoreRelay;

/// Number of other balancers that each balancer's settings name as seeds.
const SEED_COUNT: usize = 3;

/// Longest wait for all balancers to become ready after their first start.
const READY_WITHIN: Duration = Duration::from_secs(60);

/// Number of lines of each balancer's log that an error shows.
const LOG_LINES_SHOWN: usize = 40;

/// Polling interval while balancers become ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Processes, threads and shared tables that the run acts on. Dropping it stops them.
pub struct SoakSite {
    /// Addresses and ports of the site.
    pub plan: SitePlan,
    /// Store that all balancers use.
    pub store: SiteStore,
    /// Relay between each balancer and the store, indexed by the balancer's number.
    pub relays: Vec<StoreRelay>,
    /// Active faults on datagram links.
    pub links: LinkTable,
    /// Health of balancers as the routers see it.
    pub router: RouterTable,
    /// Balancer processes, indexed by number.
    pub balancers: Vec<BalancerProcess>,
    /// Sends commands to the backend servers' thread.
    pub commands: Sender<BackendCommand>,
    /// Receives the observations of callers, backend servers and stall detectors.
    pub observations: Receiver<Observation>,
    /// Rate of new flows as a percentage of the usual one.
    pub load_percent: Arc<AtomicU32>,
    /// Bytes that each balancer has sent to other balancers.
    pub sent_bytes: SentBytes,
    observation_sender: Sender<Observation>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// Runtime of the store's relays; kept so that they run until the site is dropped.
    _runtime: tokio::runtime::Runtime,
}

impl SoakSite {
    /// Starts the store, the relays and the backend servers, and writes the balancers' settings.
    pub fn start(options: &SoakOptions) -> Result<Self, SoakError> {
        fs::create_dir_all(&options.folder).map_err(failed_to("create the folder"))?;
        let plan =
            SitePlan::new(options.balancers, options.backends).map_err(failed_to("find ports"))?;
        let store = SiteStore::default();
        let (listener, store_address) =
            bind_listener().map_err(failed_to("listen for the store"))?;
        store.serve(listener).map_err(failed_to("start the store"))?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .map_err(failed_to("start the relays"))?;

        let (commands, command_receiver) = unbounded();
        let (observation_sender, observations) = unbounded();
        let mut site = Self {
            router: RouterTable::new(&plan),
            relays: vec![],
            links: LinkTable::default(),
            balancers: vec![],
            commands,
            observations,
            load_percent: Arc::new(AtomicU32::new(USUAL_LOAD_PERCENT)),
            sent_bytes: Arc::new((0..plan.balancers).map(|_| AtomicU64::new(0)).collect()),
            observation_sender: observation_sender.clone(),
            stop: Arc::new(AtomicBool::new(false)),
            threads: vec![],
            _runtime: runtime,
            store,
            plan: plan.clone(),
        };
        for number in 0..plan.balancers {
            site.add_balancer(options, number, store_address)
                .map_err(failed_to("set up a balancer"))?;
        }
        let links = || site.links.clone();
        let relay = PeerRelay::bind(plan.clone(), links(), site.sent_bytes.clone(), options.seed);
        let relay = relay.map_err(failed_to("bind relays"))?;
        let backends =
            BackendServers::bind(plan, links(), command_receiver, observation_sender, options)
                .map_err(failed_to("bind backend servers"))?;
        site.spawn_thread("relay", |stop| relay.run(&stop))?;
        site.spawn_thread("backends", |stop| backends.run(&stop))?;
        Ok(site)
    }

    /// Returns a detector for stalls of the calling thread, starting now.
    #[must_use]
    pub fn stall_detector(&self) -> StallDetector {
        StallDetector::new(self.observation_sender.clone())
    }

    /// Starts all balancers and their routers' probes, and waits until the routers see all of them
    /// ready.
    pub fn start_balancers(&mut self) -> Result<(), SoakError> {
        for balancer in &mut self.balancers {
            balancer.start().map_err(failed_to("start a balancer"))?;
        }
        for number in 0..self.plan.balancers {
            let (router, plan) = (self.router.clone(), self.plan.clone());
            let address = SocketAddrV4::new(plan.balancer(number), plan.ready_port);
            self.spawn_thread("router", move |stop| {
                while !stop.load(Ordering::Relaxed) {
                    router.probe(number, address);
                    thread::sleep(PROBE_INTERVAL);
                }
                Ok(())
            })?;
        }

        let give_up = Instant::now() + READY_WITHIN;
        while self.router.healthy_count() < self.plan.balancers {
            if Instant::now() >= give_up {
                let (ready, balancers) = (self.router.healthy_count(), self.plan.balancers);
                let logs =
                    self.balancers.iter().map(|one| one.last_lines(LOG_LINES_SHOWN)).collect();
                return Err(SoakError::NotReady { ready, balancers, logs });
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Starts the thread that generates the callers' load.
    pub fn start_callers(&mut self, options: &SoakOptions) -> Result<(), SoakError> {
        let callers = CallerLoad::bind(
            self.plan.clone(),
            self.router.clone(),
            self.observation_sender.clone(),
            self.load_percent.clone(),
            options,
        )
        .map_err(failed_to("bind callers"))?;

        self.spawn_thread("callers", |stop| callers.run(&stop))
    }

    /// Returns the text of a balancer's settings. `seed_shift` varies which other balancers are
    /// named as seeds.
    #[must_use]
    pub fn settings(&self, number: usize, seed_shift: usize, store: SocketAddrV4) -> String {
        let plan = &self.plan;
        let others =
            (1..=SEED_COUNT).map(|step| plan.relay((number + seed_shift + step) % plan.balancers));
        let seeds: Vec<String> = others.map(|ip| format!("\"{ip}:1\"")).collect();
        let (ip, zone) = (plan.balancer(number), SitePlan::zone_name(SitePlan::zone_of(number)));

        let zones = (0..ZONES).map(SitePlan::zone_name);
        let zones: String = zones.map(|zone| format!("\"{zone}\" = \"here\"\n")).collect();
        let zones = format!("[zone_regions]\n{zones}");
        format!(
            "name = \"balancer-{number}\"\nzone = \"{zone}\"\ndata_address = \"{ip}:{}\"\n\
             ready_address = \"{ip}:{}\"\ncontrol_address = \"{ip}:{}\"\npeer_port = {}\n\
             advertised_ip = \"{}\"\nseeds = [{}]\nstore_address = \"{store}\"\n\
             stop_within_s = 6\nevacuations = true\n{zones}[admission]\n",
            plan.data_port,
            plan.ready_port,
            plan.control_port,
            plan.peer_port,
            plan.relay(number),
            seeds.join(", "),
        )
    }

    fn add_balancer(
        &mut self,
        options: &SoakOptions,
        number: usize,
        store: SocketAddrV4,
    ) -> io::Result<()> {
        let (listener, address): (TcpListener, _) = bind_listener()?;
        let relay = StoreRelay::new(address);
        self._runtime.spawn(relay.clone().serve(listener, store));
        self.relays.push(relay);

        let settings = self.settings(number, 0, address);
        let balancer = BalancerProcess::new(&options.program, &options.folder, number, &settings)?;
        self.balancers.push(balancer);
        Ok(())
    }

    fn spawn_thread(
        &mut self,
        name: &'static str,
        work: impl FnOnce(Arc<AtomicBool>) -> io::Result<()> + Send + 'static,
    ) -> Result<(), SoakError> {
        let stop = self.stop.clone();
        let work = move || {
            if let Err(error) = work(stop) {
                log::error!("thread {name} failed: {error}");
            }
        };

        let thread = thread::Builder::new().name(name.into()).spawn(work);
        self.threads.push(thread.map_err(failed_to("start a thread"))?);
        Ok(())
    }
}

impl Drop for SoakSite {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);

        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!("a thread of the soak test panicked");
            }
        }
    }
}
