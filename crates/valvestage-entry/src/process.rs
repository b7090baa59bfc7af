//! Start and planned stop.

use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;

use mio::net::UdpSocket;
use mio::{Poll, Waker};
use valvestage_core::settings::EntrySettings;
use valvestage_policy::steering::{SteeringOptions, SteeringPolicy};

use crate::control_thread::ControlThread;
use crate::data_thread::{DataThread, UPDATES};
use crate::errors::EntryError;
use crate::updates;

/// `EntryProcess` has its sockets bound and is ready to run.
pub struct EntryProcess {
    data: DataThread,
    control: ControlThread,
}

impl EntryProcess {
    /// `bind` takes the addresses of the settings.
    pub fn bind(settings: EntrySettings) -> Result<Self, EntryError> {
        let poll = Poll::new().map_err(setup("make poll"))?;
        let waker = Waker::new(poll.registry(), UPDATES).map_err(setup("make waker"))?;
        let (sender, receiver) = updates::ring(Arc::new(waker));
        let ready = Arc::new(AtomicBool::new(false));

        let address = settings.data_address;
        let socket = UdpSocket::bind(SocketAddr::V4(address));
        let socket = socket.map_err(on_address("bind data socket", address))?;
        let options = SteeringOptions { zone: settings.zone.clone(), ..Default::default() };
        let policy = SteeringPolicy::new(options);
        let data = DataThread::new(poll, socket, policy, receiver, ready.clone());

        let address = settings.ready_address;
        let listener = TcpListener::bind(address);
        let ready_listener = listener.map_err(on_address("listen for readiness", address))?;
        Ok(Self {
            data: data.map_err(setup("register data socket"))?,
            control: ControlThread {
                settings,
                ready_listener,
                ready,
                updates: sender,
            },
        })
    }

    /// `run` serves until the process is told to stop.
    pub fn run(self) -> Result<(), EntryError> {
        let Self { data, control } = self;

        let spawned = thread::Builder::new().name("data".into()).spawn(move || data.run());
        spawned.map_err(setup("start data thread"))?;
        control.run().map_err(setup("run control thread"))
    }
}

fn setup(step: &'static str) -> impl Fn(std::io::Error) -> EntryError {
    move |cause| EntryError::Setup { step, cause }
}

fn on_address(step: &'static str, address: SocketAddrV4) -> impl Fn(std::io::Error) -> EntryError {
    move |cause| EntryError::Socket { step, address, cause }
}
