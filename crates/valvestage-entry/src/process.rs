//! Start and planned stop.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Instant, SystemTime};

use mio::net::UdpSocket;
use mio::{Poll, Waker};
use tokio::sync::{mpsc, oneshot};
use valvestage_core::settings::EntrySettings;
use valvestage_policy::steering::{
    ColdLimit, EntryOptions, EntryPolicy, EntryTimes, SteeringOptions,
};

use crate::control_thread::ControlThread;
use crate::data_thread::{DataLinks, DataThread, UPDATES};
use crate::decision_lines::DecisionLog;
use crate::entry_metrics::EntryMetrics;
use crate::errors::EntryError;
use crate::updates;

/// Calls to the store under way at most: one for each kind of objects.
const ORDERS: usize = 8;

/// `EntryProcess` has its sockets bound and is ready to run.
pub struct EntryProcess {
    data: DataThread,
    /// Tells the control thread why the data thread has ended.
    data_end: oneshot::Sender<io::Error>,
    control: ControlThread,
}

impl EntryProcess {
    /// `bind` takes the addresses of the settings, which are read again when the file changes. The flag
    /// says whether SIGTERM has come already.
    pub fn bind(
        settings_file: PathBuf,
        settings: EntrySettings,
        log: DecisionLog,
        told_to_stop: Arc<AtomicBool>,
    ) -> Result<Self, EntryError> {
        let poll = Poll::new().map_err(setup("make poll"))?;
        let waker = Waker::new(poll.registry(), UPDATES).map_err(setup("make waker"))?;
        let (sender, updates) = updates::ring(Arc::new(waker));
        let (order_sender, orders) = mpsc::channel(ORDERS);
        let (data_end, end_receiver) = oneshot::channel();
        let ready = Arc::new(AtomicBool::new(false));
        let metrics = Arc::new(EntryMetrics::default());

        let data_socket = bind_udp("bind data socket", settings.data_address)?;
        let peer_socket = bind_udp("bind peer socket", settings.peer_address)?;
        let links = DataLinks {
            poll,
            data_socket,
            peer_socket,
            updates,
            orders: order_sender,
            ready: ready.clone(),
            metrics: metrics.clone(),
        };
        let policy = EntryPolicy::new(options(&settings), Instant::now());
        let data = DataThread::new(links, policy, log).map_err(setup("register sockets"))?;

        let control = ControlThread {
            ready_listener: listen("listen for readiness", settings.ready_address)?,
            metrics_listener: listen("listen for metrics", settings.control_address)?,
            settings_file,
            settings,
            ready,
            metrics,
            orders,
            updates: sender,
            data_end: end_receiver,
            told_to_stop,
        };
        Ok(Self { data, data_end, control })
    }

    /// `run` serves until the process is told to stop.
    pub fn run(self) -> Result<(), EntryError> {
        let Self { data, data_end, control } = self;

        let spawned = thread::Builder::new().name("data".into()).spawn(move || {
            if let Err(error) = data.run() {
                log::error!("the data thread ends: {error}");
                // Nobody listens any more when the process is ending anyway.
                let _ = data_end.send(error);
            }
        });
        spawned.map_err(setup("start data thread"))?;
        control.run().map_err(setup("run control thread"))
    }
}

fn options(settings: &EntrySettings) -> EntryOptions {
    let steering = SteeringOptions {
        zone: settings.zone.clone(),
        other_region_zones: settings.other_region_zones.clone(),
        zone_regions: settings.zone_regions.clone(),
        cold_limit: settings
            .cold_limit
            .map(|limit| ColdLimit { over: limit.over, slack: limit.slack }),
        entry_times: EntryTimes::new(settings.heartbeat),
        ..Default::default()
    };
    // Differs between VMs, and between two starts of one.
    let mut hasher = DefaultHasher::new();
    settings.name.hash(&mut hasher);
    SystemTime::now().hash(&mut hasher);

    EntryOptions {
        steering,
        peer_address: settings.advertised_address,
        seeds: settings.seeds.clone(),
        link_mbps: settings.link_mbps,
        evacuable_zones: settings.has_evacuations.then(|| settings.zones()),
        is_first_start: settings.is_first_start,
        seed: hasher.finish(),
    }
}

fn bind_udp(step: &'static str, address: SocketAddrV4) -> Result<UdpSocket, EntryError> {
    UdpSocket::bind(SocketAddr::V4(address)).map_err(on_address(step, address))
}

fn listen(step: &'static str, address: SocketAddrV4) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address).map_err(on_address(step, address))
}

fn setup(step: &'static str) -> impl Fn(io::Error) -> EntryError {
    move |cause| EntryError::Setup { step, cause }
}

fn on_address(step: &'static str, address: SocketAddrV4) -> impl Fn(io::Error) -> EntryError {
    move |cause| EntryError::Socket { step, address, cause }
}
