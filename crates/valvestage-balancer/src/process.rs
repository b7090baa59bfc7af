//! The life cycle of the balancer process: starting, serving, stopped.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, SystemTime};

use crossbeam_channel::{Sender, bounded};
use nix::sys::socket::{setsockopt, sockopt};
use valvestage_core::settings::BalancerSettings;
use valvestage_policy::balancer::BalancerOptions;
use valvestage_process::secrets::read_token;
use valvestage_wire::peers::PeerKey;

use crate::commands::Command;
use crate::control::{self, ControlInputs, ControlState};
use crate::data_path::{DataHandler, DataOptions};
use crate::errors::BalancerError;
use crate::metrics::BalancerMetrics;
use crate::threads::{batch_ring, decide_loop, receive_loop, send_loop};

/// Capacity of the queue of commands to the decide thread.
const COMMAND_CAPACITY: usize = 1_024;

/// Longest time that the receive thread blocks before it checks the stop flag.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Requested size of the socket's send and receive buffers; the operating system may grant less.
const SOCKET_BUFFER_BYTES: usize = 8 << 20;

/// Stage of a [`BalancerProcess`] whose secrets are read and whose socket is open, but which runs
/// no thread yet.
pub struct Starting {
    settings: BalancerSettings,
    peer_key: PeerKey,
    platform_token: Option<String>,
    admin_token: String,
    socket: UdpSocket,
}

/// Stage of a [`BalancerProcess`] whose data path threads run.
pub struct Serving {
    control: ControlInputs,
    receive: JoinHandle<()>,
    decide: JoinHandle<()>,
    send: JoinHandle<()>,
    receive_stop_flag: Arc<AtomicBool>,
    commands: Sender<Command>,
}

/// Balancer process in one stage of its life cycle: [`Starting`], then [`Serving`].
pub struct BalancerProcess<Stage> {
    stage: Stage,
}

impl BalancerProcess<Starting> {
    /// Reads the secrets and opens the socket of the data path.
    pub fn new(settings: BalancerSettings) -> Result<Self, BalancerError> {
        let peer_key = PeerKey::read(&settings.peer_key_file)?;
        let admin_token = read_token(&settings.admin_token_file)?;
        let platform_token = settings.platform_token_file.as_deref().map(read_token).transpose()?;

        let address = settings.data_address;
        let socket = UdpSocket::bind(address)
            .map_err(BalancerError::socket("bind the data socket to", address))?;
        configure_socket(&socket)
            .map_err(BalancerError::socket("set up the data socket on", address))?;

        Ok(Self { stage: Starting { settings, peer_key, platform_token, admin_token, socket } })
    }

    /// Starts the threads of the data path.
    pub fn serve(self) -> Result<BalancerProcess<Serving>, BalancerError> {
        let Starting { settings, peer_key, platform_token, admin_token, socket } = self.stage;
        let metrics = Arc::new(BalancerMetrics::default());
        let (command_sender, commands) = bounded(COMMAND_CAPACITY);
        let (inbound_sender, inbound) = batch_ring(metrics.clone());
        let (outbound_sender, outbound) = batch_ring(metrics.clone());

        // The receive thread.
        let receive_stop_flag = Arc::new(AtomicBool::new(false));
        let receive_socket = clone_socket(&socket, &settings)?;
        let receive = {
            let (metrics, stop_flag) = (metrics.clone(), receive_stop_flag.clone());
            spawn_thread("receive", move || {
                receive_loop(&receive_socket, &inbound_sender, &metrics, &stop_flag);
            })?
        };

        // The decide thread.
        let handler = new_data_handler(&settings, metrics.clone());
        let decide = spawn_thread("decide", move || {
            decide_loop(handler, &inbound, &commands, &outbound_sender);
        })?;

        // The send thread.
        let send = {
            let metrics = metrics.clone();
            spawn_thread("send", move || send_loop(&socket, &outbound, &metrics))?
        };

        let state = ControlState::new(settings, metrics, command_sender.clone(), SystemTime::now());
        let control = ControlInputs {
            state: Arc::new(state),
            peer_key,
            platform_token,
            admin_token,
            stop_requested: Arc::new(AtomicBool::new(false)),
        };
        let stage =
            Serving { control, receive, decide, send, receive_stop_flag, commands: command_sender };
        Ok(BalancerProcess { stage })
    }
}

impl BalancerProcess<Serving> {
    /// Returns the flag that requests the planned stop when it is set.
    #[must_use]
    pub fn stop_flag(&self) -> Arc<AtomicBool> {
        self.stage.control.stop_requested.clone()
    }

    /// Runs control on the calling thread until the planned stop has ended, then stops the threads
    /// of the data path.
    pub fn run(self) -> Result<(), BalancerError> {
        let Serving { control, receive, decide, send, receive_stop_flag, commands } = self.stage;
        let result = control::run(control);

        // The decide thread ends first. That closes the ring to the send thread, which still sends
        // what is left in the ring before it ends.
        receive_stop_flag.store(true, Ordering::Relaxed);
        if commands.send(Command::Stop).is_err() {
            log::error!("the decide thread had already ended before the stop");
        }
        for thread in [receive, decide, send] {
            if thread.join().is_err() {
                log::error!("a thread of the data path panicked");
            }
        }
        result
    }
}

fn configure_socket(socket: &UdpSocket) -> io::Result<()> {
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
    setsockopt(socket, sockopt::RcvBuf, &SOCKET_BUFFER_BYTES)?;
    setsockopt(socket, sockopt::SndBuf, &SOCKET_BUFFER_BYTES)?;
    Ok(())
}

fn clone_socket(
    socket: &UdpSocket,
    settings: &BalancerSettings,
) -> Result<UdpSocket, BalancerError> {
    let address = settings.data_address;

    socket.try_clone().map_err(BalancerError::socket("clone the data socket on", address))
}

fn spawn_thread(
    name: &'static str,
    work: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, BalancerError> {
    let spawned = Builder::new().name(name.to_owned()).spawn(work);

    spawned.map_err(|cause| BalancerError::Thread { name, cause })
}

fn new_data_handler(settings: &BalancerSettings, metrics: Arc<BalancerMetrics>) -> DataHandler {
    let mut policy = BalancerOptions::new(settings.id, settings.zone.clone());
    policy.requests.max_deadline = settings.max_deadline;
    let options = DataOptions { policy, fabric_addresses: settings.fabric_addresses.clone() };

    DataHandler::new(options, metrics, SystemTime::now())
}
