//! Start and graceful shutdown of the process.

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
    AdmissionOptions, ColdLimit, EntryOptions, EntryPolicy, EntryTimes, SteeringOptions,
};

use crate::control_thread::ControlThread;
use crate::data_thread::{DataThread, DataThreadContext, UPDATES_WAKER};
use crate::decision_log::DecisionLog;
use crate::entry_metrics::EntryMetrics;
use crate::errors::EntryError;
use crate::updates;

/// Capacity of the queue of store requests. At most one request per kind of objects is in flight.
const STORE_REQUEST_CAPACITY: usize = 8;

/// A balancer whose sockets are bound and whose threads are ready to start.
pub struct EntryProcess {
    data: DataThread,
    /// Sends the control thread the error with which the data thread ended.
    data_error_sender: oneshot::Sender<io::Error>,
    control: ControlThread,
}

impl EntryProcess {
    /// Binds the sockets to the addresses of the settings.
    ///
    /// `settings_file` is read again when it changes. `stop_requested` is set if SIGTERM arrives
    /// before the control thread handles it.
    pub fn bind(
        settings_file: PathBuf,
        settings: EntrySettings,
        log: DecisionLog,
        stop_requested: Arc<AtomicBool>,
    ) -> Result<Self, EntryError> {
        let poll = Poll::new().map_err(setup_error("create poll"))?;
        let waker =
            Waker::new(poll.registry(), UPDATES_WAKER).map_err(setup_error("create waker"))?;
        let (sender, updates) = updates::update_channel(Arc::new(waker));
        let (request_sender, store_requests) = mpsc::channel(STORE_REQUEST_CAPACITY);
        let (data_error_sender, data_thread_error) = oneshot::channel();
        let ready = Arc::new(AtomicBool::new(false));
        let metrics = Arc::new(EntryMetrics::default());

        let data_socket = bind_udp("bind data socket", settings.data_address)?;
        let peer_socket = bind_udp("bind peer socket", settings.peer_address)?;
        let context = DataThreadContext {
            poll,
            data_socket,
            peer_socket,
            updates,
            store_requests: request_sender,
            ready: ready.clone(),
            metrics: metrics.clone(),
        };
        let policy = EntryPolicy::new(entry_options(&settings), Instant::now());
        let data =
            DataThread::new(context, policy, log).map_err(setup_error("register sockets"))?;

        let control = ControlThread {
            ready_listener: listen("listen for readiness", settings.ready_address)?,
            metrics_listener: listen("listen for metrics", settings.control_address)?,
            settings_file,
            settings,
            ready,
            metrics,
            store_requests,
            updates: sender,
            data_thread_error,
            stop_requested,
        };
        Ok(Self { data, data_error_sender, control })
    }

    /// Runs until SIGTERM, or until the data thread fails.
    pub fn run(self) -> Result<(), EntryError> {
        let Self { data, data_error_sender, control } = self;

        let spawned = thread::Builder::new().name("data".into()).spawn(move || {
            if let Err(error) = data.run() {
                log::error!("the data thread failed: {error}");
                // The receiver is gone if the process is already stopping.
                let _ = data_error_sender.send(error);
            }
        });
        spawned.map_err(setup_error("start data thread"))?;
        control.run().map_err(setup_error("run control thread"))
    }
}

fn entry_options(settings: &EntrySettings) -> EntryOptions {
    let steering = SteeringOptions {
        zone: settings.zone.clone(),
        other_region_zones: settings.other_region_zones.clone(),
        zone_regions: settings.zone_regions.clone(),
        cold_limit: settings.cold_limit.map(|limit| ColdLimit {
            rate_factor: limit.rate_factor,
            extra_rate: limit.extra_rate,
        }),
        admission: settings
            .admission
            .map(|admission| AdmissionOptions { floor: admission.floor_percent / 100.0 }),
        shares_pace: settings.has_pace_sharing,
        entry_times: EntryTimes::new(settings.heartbeat),
        ..Default::default()
    };
    // The seed differs between VMs, and between two starts of the same VM.
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
    UdpSocket::bind(SocketAddr::V4(address)).map_err(socket_error(step, address))
}

fn listen(step: &'static str, address: SocketAddrV4) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address).map_err(socket_error(step, address))
}

fn setup_error(step: &'static str) -> impl Fn(io::Error) -> EntryError {
    move |cause| EntryError::Setup { step, cause }
}

fn socket_error(step: &'static str, address: SocketAddrV4) -> impl Fn(io::Error) -> EntryError {
    move |cause| EntryError::Socket { step, address, cause }
}
