//! Packets of callers, in and out.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};
use valvestage_platform::packet;
use valvestage_policy::steering::{CallerPacket, DropReason, PacketVerdict, SteeringPolicy};

use crate::updates::SteeringUpdate;

/// Marks events of the data socket.
pub const DATA_SOCKET: Token = Token(0);

/// Marks updates of the control thread.
pub const UPDATES: Token = Token(1);

/// Time between two ticks of the policy.
const TICK: Duration = Duration::from_secs(1);

/// Packets kept while nothing is known yet; callers send each again after 200 ms.
const MAX_EARLY_PACKETS: usize = 256;

/// `DataThread` forwards packets as the policy says.
pub struct DataThread {
    poll: Poll,
    socket: UdpSocket,
    policy: SteeringPolicy,
    updates: Receiver<SteeringUpdate>,
    ready: Arc<AtomicBool>,
    /// Whether the process was told to stop; it is never ready again.
    stopping: bool,
    early: Vec<Vec<u8>>,
    next_tick: Instant,
    /// Room for the datagram being sent.
    outgoing: Vec<u8>,
}

impl DataThread {
    /// `new` prepares the thread; the socket is registered with the poll.
    pub fn new(
        poll: Poll,
        mut socket: UdpSocket,
        policy: SteeringPolicy,
        updates: Receiver<SteeringUpdate>,
        ready: Arc<AtomicBool>,
    ) -> io::Result<Self> {
        poll.registry().register(&mut socket, DATA_SOCKET, Interest::READABLE)?;

        Ok(Self {
            poll,
            socket,
            policy,
            updates,
            ready,
            stopping: false,
            early: Vec::new(),
            next_tick: Instant::now() + TICK,
            outgoing: Vec::with_capacity(packet::PREFIX_BYTES + packet::MAX_PACKET_BYTES),
        })
    }

    /// `run` forwards packets as long as the process lives.
    pub fn run(mut self) -> io::Result<()> {
        /// Events taken from one poll; there are two sources.
        const MAX_EVENTS: usize = 8;
        let mut events = Events::with_capacity(MAX_EVENTS);

        loop {
            let wait = self.next_tick.saturating_duration_since(Instant::now());
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
                _ => {}
            }

            self.take_updates();
            self.receive();
            self.tick();
        }
    }

    fn take_updates(&mut self) {
        let now = Instant::now();
        while let Ok(update) = self.updates.try_recv() {
            self.take_update(update, now);
        }

        if self.policy.is_ready() && !self.stopping && !self.ready.swap(true, Ordering::Relaxed) {
            for datagram in std::mem::take(&mut self.early) {
                self.handle(&datagram);
            }
        }
    }

    fn take_update(&mut self, update: SteeringUpdate, now: Instant) {
        match update {
            SteeringUpdate::Routes(routes) => {
                self.policy.on_routes(routes);
            }
            SteeringUpdate::Backend(entry) => self.policy.on_backend(entry),
            SteeringUpdate::BackendGone(instance) => self.policy.on_backend_gone(instance, now),
            SteeringUpdate::DirectoryComplete => self.policy.on_directory_complete(),
            SteeringUpdate::Stop => self.stopping = true,
        }
    }

    fn receive(&mut self) {
        let mut datagram = [0; packet::MAX_PACKET_BYTES + 1];

        loop {
            match self.socket.recv(&mut datagram) {
                Ok(length) => self.handle(&datagram[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::warn!("receive packet: {error}");
                    return;
                }
            }
        }
    }

    fn handle(&mut self, datagram: &[u8]) {
        let Some(packet) = packet::decode(datagram) else {
            return;
        };

        match self.policy.on_packet(&packet, Instant::now()) {
            PacketVerdict::Forward { instance, address, token } => {
                packet::encode_forward(datagram, instance, token, &mut self.outgoing);
                let sent = self.socket.send_to(&self.outgoing, SocketAddr::V4(address));
                log_unsent(sent, SocketAddr::V4(address));
            }
            PacketVerdict::Reset(_) => self.send_reset(&packet),
            PacketVerdict::Drop(DropReason::NotReady) => self.keep_early(datagram),
            PacketVerdict::Drop(_) => {}
        }
    }

    fn keep_early(&mut self, datagram: &[u8]) {
        if self.early.len() < MAX_EARLY_PACKETS {
            self.early.push(datagram.to_vec());
        }
    }

    fn send_reset(&self, packet: &CallerPacket) {
        // Callers are reached on the port that data addresses have.
        let port = self.socket.local_addr().map_or(0, |address| address.port());
        let caller = SocketAddr::new((*packet.flow.caller.ip()).into(), port);

        log_unsent(self.socket.send_to(&packet::encode_reset(packet), caller), caller);
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if now < self.next_tick {
            return;
        }

        self.policy.on_tick(now);
        self.next_tick = now + TICK;
    }
}

/// A packet that cannot be sent is like one that is lost: its sender sends it again.
fn log_unsent(sent: io::Result<usize>, peer: SocketAddr) {
    if let Err(error) = sent {
        log::debug!("send packet to {peer}: {error}");
    }
}
