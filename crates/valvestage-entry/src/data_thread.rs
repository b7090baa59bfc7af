//! Packets of callers and messages of other balancers, in and out.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};
use tokio::sync::mpsc;
use valvestage_platform::packet;
use valvestage_policy::steering::{
    EntryPolicy, FlowReset, HeldPackets, KeeperAction, PacketVerdict,
};

use crate::decision_lines::{DecisionLog, UnsentDatagrams};
use crate::entry_metrics::EntryMetrics;
use crate::peer_codec;
use crate::store_tasks::StoreOrder;
use crate::updates::ControlUpdate;

/// Marks events of the data socket.
const DATA_SOCKET: Token = Token(0);

/// Marks events of the peer socket.
const PEER_SOCKET: Token = Token(1);

/// Marks updates of the control thread.
pub const UPDATES: Token = Token(2);

/// Time between two readings of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Datagrams read from one socket before the other one has its turn.
const BATCH: usize = 64;

/// Batches of each socket in one turn: some 1,000 packets take about 5 ms on a fast core and 90 ms on
/// one of 0.055, less than a tick.
const BATCHES: usize = 16;

/// `DataLinks` is what joins the data thread to the world.
pub struct DataLinks {
    /// Waits for all of them.
    pub poll: Poll,
    /// Packets of callers.
    pub data_socket: UdpSocket,
    /// Messages of other balancers.
    pub peer_socket: UdpSocket,
    /// News of the control thread.
    pub updates: Receiver<ControlUpdate>,
    /// Calls to the store.
    pub orders: mpsc::Sender<StoreOrder>,
    /// Whether this VM takes packets.
    pub ready: Arc<AtomicBool>,
    /// What is counted.
    pub metrics: Arc<EntryMetrics>,
}

/// `DataThread` forwards packets as the policy says.
pub struct DataThread {
    links: DataLinks,
    policy: EntryPolicy,
    /// Whether the process was told to stop; it is never ready again.
    stopping: bool,
    /// Datagrams about which nothing can be decided yet.
    held: HeldPackets<Vec<u8>>,
    /// Room for the datagram being sent.
    outgoing: Vec<u8>,
    log: DecisionLog,
    /// Datagrams that could not be sent in this turn.
    unsent: Option<UnsentDatagrams>,
    next_gauges: Instant,
}

impl DataThread {
    /// `new` prepares the thread.
    pub fn new(mut links: DataLinks, policy: EntryPolicy, log: DecisionLog) -> io::Result<Self> {
        let registry = links.poll.registry();
        registry.register(&mut links.data_socket, DATA_SOCKET, Interest::READABLE)?;
        registry.register(&mut links.peer_socket, PEER_SOCKET, Interest::READABLE)?;

        Ok(Self {
            links,
            policy,
            stopping: false,
            held: HeldPackets::default(),
            outgoing: Vec::with_capacity(packet::PREFIX_BYTES + packet::MAX_PACKET_BYTES),
            log,
            unsent: None,
            next_gauges: Instant::now(),
        })
    }

    /// `run` forwards packets as long as the process lives.
    pub fn run(mut self) -> io::Result<()> {
        /// Events taken from one poll; there are three sources.
        const MAX_EVENTS: usize = 8;
        let mut events = Events::with_capacity(MAX_EVENTS);
        let mut has_more = false;

        loop {
            let now = Instant::now();
            let actions = self.policy.on_tick(now);
            self.act(actions);
            self.drop_expired(now);
            self.send_resets();

            let wait = self.policy.next_due().saturating_duration_since(Instant::now());
            let wait = if has_more { Duration::ZERO } else { wait };
            match self.links.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
                _ => {}
            }
            self.take_updates();
            has_more = self.receive();
            self.log_decisions();
        }
    }

    /// Reads datagrams until there are none, or for so long that updates and ticks have to have their
    /// turn; true if there may be more. An event comes only once for what is not read.
    fn receive(&mut self) -> bool {
        for _ in 0..BATCHES {
            let has_packets = self.receive_packets();
            let has_messages = self.receive_messages();
            if !has_packets && !has_messages {
                return false;
            }
        }
        true
    }

    fn log_decisions(&mut self) {
        let now = Instant::now();

        for decision in self.policy.take_decisions() {
            self.links.metrics.on_decision(&decision);
            self.log.write(&decision, now);
        }
        if let Some(unsent) = self.unsent.take() {
            self.log.write_unsent(unsent, now);
        }
        for answer in self.policy.take_answers() {
            self.links.metrics.on_answer(self.policy.knowledge(), answer);
        }
        if self.next_gauges <= now {
            self.next_gauges = now + GAUGE_INTERVAL;
            self.links.metrics.observe(&self.policy, self.log.left_out(), now);
        }
    }

    fn take_updates(&mut self) {
        while let Ok(update) = self.links.updates.try_recv() {
            let now = Instant::now();
            let actions = match update {
                ControlUpdate::Routes(reply) => self.policy.on_routes_reply(reply, now),
                ControlUpdate::Backends(reply) => self.policy.on_backends_reply(reply, now),
                ControlUpdate::Evacuations(reply) => self.policy.on_evacuations_reply(reply, now),
                ControlUpdate::Seeds(seeds) => {
                    self.policy.on_seeds(&seeds);
                    Vec::new()
                }
                ControlUpdate::Stop => {
                    self.stopping = true;
                    Vec::new()
                }
            };
            self.act(actions);
        }
    }

    /// Becomes ready as soon as enough is known.
    fn check_ready(&mut self) {
        if !self.policy.is_ready() || self.stopping {
            return;
        }

        if !self.links.ready.swap(true, Ordering::Relaxed) {
            log::info!(held_packets = self.held.len(); "ready");
        }
    }

    /// Handles the packets that waited for what is known now.
    fn release_held(&mut self) {
        let Self { held, policy, .. } = self;

        for packet in held.take_decidable(|packet| policy.can_decide(packet)) {
            self.handle_packet(&packet.payload);
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        for expired in self.held.take_expired(now) {
            self.policy.on_held_too_long(&expired.packet, now);
        }
    }

    /// Reads a batch of packets; true if there may be more.
    fn receive_packets(&mut self) -> bool {
        let mut datagram = [0; packet::MAX_PACKET_BYTES + 1];

        for _ in 0..BATCH {
            match self.links.data_socket.recv(&mut datagram) {
                Ok(length) => self.handle_packet(&datagram[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                Err(error) => log::warn!("receive packet: {error}"),
            }
        }
        true
    }

    /// Reads a batch of messages; true if there may be more.
    fn receive_messages(&mut self) -> bool {
        let mut datagram = [0; peer_codec::MAX_DATAGRAM_BYTES];

        for _ in 0..BATCH {
            match self.links.peer_socket.recv_from(&mut datagram) {
                Ok((length, SocketAddr::V4(sender))) => {
                    self.handle_message(sender, &datagram[..length]);
                }
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                Err(error) => log::warn!("receive message: {error}"),
            }
        }
        true
    }

    fn handle_message(&mut self, sender: SocketAddrV4, datagram: &[u8]) {
        let Some(message) = peer_codec::decode(datagram) else {
            self.links.metrics.on_unreadable();
            log::debug!("a datagram of {sender} is no message");
            return;
        };

        let actions = self.policy.on_message(sender, message, Instant::now());
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<KeeperAction>) {
        for action in actions {
            match action {
                KeeperAction::Send(peer, message) => {
                    if let Some(datagram) = peer_codec::encode(&message) {
                        let peer = SocketAddr::V4(peer);
                        self.note_sent(self.links.peer_socket.send_to(&datagram, peer), peer);
                    }
                }
                KeeperAction::Call(kind, call) => {
                    if let Err(error) = self.links.orders.try_send((kind, call)) {
                        log::error!("a call to the store is lost: {error}");
                    }
                }
            }
        }
        self.check_ready();
        self.release_held();
    }

    fn handle_packet(&mut self, datagram: &[u8]) {
        let Some(packet) = packet::decode(datagram) else {
            self.links.metrics.on_unreadable();
            return;
        };

        let now = Instant::now();
        match self.policy.on_packet(&packet, now) {
            PacketVerdict::Forward { number, address, token, .. } => {
                packet::encode_forward(datagram, number, token, &mut self.outgoing);
                let address = SocketAddr::V4(address);
                let sent = self.links.data_socket.send_to(&self.outgoing, address);
                self.note_sent(sent, address);
            }
            PacketVerdict::Reset(_) => self.send_reset(FlowReset::from(&packet)),
            PacketVerdict::Drop(reason) if reason.is_transient() => {
                if !self.held.hold(packet, datagram.to_vec(), now) {
                    self.policy.on_held_too_long(&packet, now);
                }
            }
            PacketVerdict::Drop(_) => {}
        }
    }

    /// Tells the callers whose flows are over.
    fn send_resets(&mut self) {
        for reset in self.policy.take_resets() {
            self.send_reset(reset);
        }
    }

    fn send_reset(&mut self, reset: FlowReset) {
        // Callers are reached on the port that data addresses have.
        let port = self.links.data_socket.local_addr().map_or(0, |address| address.port());
        let caller = SocketAddr::new((*reset.flow.caller.ip()).into(), port);

        let reset = packet::encode_reset(reset);
        self.note_sent(self.links.data_socket.send_to(&reset, caller), caller);
    }

    /// A datagram that cannot be sent is like one that is lost: its sender sends it again.
    fn note_sent(&mut self, sent: io::Result<usize>, peer: SocketAddr) {
        let Err(error) = sent else { return };

        self.links.metrics.on_unsent();
        let count = self.unsent.map_or(0, |before| before.count) + 1;
        self.unsent = Some(UnsentDatagrams { count, peer, cause: error.kind() });
    }
}
