//! The data thread: receives and sends callers' packets and messages of other balancers.

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

use crate::decision_log::{DecisionLog, UnsentDatagrams};
use crate::entry_metrics::EntryMetrics;
use crate::peer_codec;
use crate::store_tasks::StoreRequest;
use crate::updates::ControlUpdate;

/// Poll token of the data socket.
const DATA_SOCKET: Token = Token(0);

/// Poll token of the peer socket.
const PEER_SOCKET: Token = Token(1);

/// Poll token of the waker for updates from the control thread.
pub const UPDATES_WAKER: Token = Token(2);

/// Interval between updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Datagrams read from one socket before the other socket is read.
const BATCH_DATAGRAMS: usize = 64;

/// Largest number of batches read from each socket in one iteration of the loop. About 1,000
/// packets take some 5 ms on a fast core and 90 ms on 0.055 of a core, which is less than a tick.
const MAX_BATCHES: usize = 16;

/// Sockets, channels and shared state of the data thread.
pub struct DataThreadContext {
    /// Waits for events of both sockets and of the updates' waker.
    pub poll: Poll,
    /// Socket for callers' packets.
    pub data_socket: UdpSocket,
    /// Socket for messages between balancers.
    pub peer_socket: UdpSocket,
    /// Updates from the control thread.
    pub updates: Receiver<ControlUpdate>,
    /// Store requests to the control thread.
    pub store_requests: mpsc::Sender<StoreRequest>,
    /// Readiness of this VM, which the readiness endpoint reports.
    pub ready: Arc<AtomicBool>,
    /// Metrics, shared with the control thread.
    pub metrics: Arc<EntryMetrics>,
}

/// Event loop that forwards packets as the policy decides.
pub struct DataThread {
    context: DataThreadContext,
    policy: EntryPolicy,
    /// Whether the process is stopping. A stopping process never becomes ready again.
    is_stopping: bool,
    /// Packets held until the policy can decide about them.
    held: HeldPackets<Vec<u8>>,
    /// Reused buffer for the datagram to be sent.
    outgoing: Vec<u8>,
    log: DecisionLog,
    /// Datagrams that could not be sent since decisions were last logged.
    unsent: Option<UnsentDatagrams>,
    next_gauge_update: Instant,
}

impl DataThread {
    /// Registers the sockets with the poll and creates the event loop.
    pub fn new(
        mut context: DataThreadContext,
        policy: EntryPolicy,
        log: DecisionLog,
    ) -> io::Result<Self> {
        let registry = context.poll.registry();
        registry.register(&mut context.data_socket, DATA_SOCKET, Interest::READABLE)?;
        registry.register(&mut context.peer_socket, PEER_SOCKET, Interest::READABLE)?;

        Ok(Self {
            context,
            policy,
            is_stopping: false,
            held: HeldPackets::default(),
            outgoing: Vec::with_capacity(packet::PREFIX_BYTES + packet::MAX_PACKET_BYTES),
            log,
            unsent: None,
            next_gauge_update: Instant::now(),
        })
    }

    /// Runs the event loop until the process ends. Returns only if polling fails.
    pub fn run(mut self) -> io::Result<()> {
        /// Capacity for the events of one poll; there are three event sources.
        const MAX_EVENTS: usize = 8;
        let mut events = Events::with_capacity(MAX_EVENTS);
        let mut has_more = false;

        loop {
            let now = Instant::now();
            let actions = self.policy.on_tick(now);
            self.apply_actions(actions);
            self.drop_expired_packets(now);
            self.send_resets();

            let wait = self.policy.next_due().saturating_duration_since(Instant::now());
            let wait = if has_more { Duration::ZERO } else { wait };
            match self.context.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
                _ => {}
            }
            self.apply_updates();
            has_more = self.receive();
            self.log_decisions();
        }
    }

    /// Reads datagrams until both sockets are empty, or until [`MAX_BATCHES`] is reached, so that
    /// updates and ticks are not delayed. Returns whether there may be more datagrams: events are
    /// edge-triggered, so none reports datagrams that are left unread.
    fn receive(&mut self) -> bool {
        for _ in 0..MAX_BATCHES {
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
            self.context.metrics.on_decision(&decision);
            self.log.write(&decision, now);
        }
        if let Some(unsent) = self.unsent.take() {
            self.log.write_unsent(unsent, now);
        }
        for answer in self.policy.take_answers() {
            self.context.metrics.on_answer(self.policy.knowledge(), answer);
        }
        if self.next_gauge_update <= now {
            self.next_gauge_update = now + GAUGE_INTERVAL;
            self.context.metrics.set_gauges(&self.policy, self.log.dropped_lines(), now);
        }
    }

    fn apply_updates(&mut self) {
        while let Ok(update) = self.context.updates.try_recv() {
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
                    self.is_stopping = true;
                    Vec::new()
                }
            };
            self.apply_actions(actions);
        }
    }

    /// Sets this VM ready once the policy is ready, unless the process is stopping.
    fn update_readiness(&mut self) {
        if !self.policy.is_ready() || self.is_stopping {
            return;
        }

        if !self.context.ready.swap(true, Ordering::Relaxed) {
            log::info!(held_packets = self.held.len(); "ready");
        }
    }

    /// Handles the held packets about which the policy can now decide.
    fn handle_decidable_packets(&mut self) {
        let Self { held, policy, .. } = self;

        for packet in held.take_decidable(|packet| policy.can_decide(packet)) {
            self.handle_packet(&packet.payload);
        }
    }

    fn drop_expired_packets(&mut self, now: Instant) {
        for expired in self.held.take_expired(now) {
            self.policy.on_hold_expired(&expired.packet, now);
        }
    }

    /// Reads a batch of packets. Returns whether there may be more.
    fn receive_packets(&mut self) -> bool {
        let mut datagram = [0; packet::MAX_PACKET_BYTES + 1];

        for _ in 0..BATCH_DATAGRAMS {
            match self.context.data_socket.recv(&mut datagram) {
                Ok(length) => self.handle_packet(&datagram[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                Err(error) => log::warn!("failed to receive a packet: {error}"),
            }
        }
        true
    }

    /// Reads a batch of messages. Returns whether there may be more.
    fn receive_messages(&mut self) -> bool {
        let mut datagram = [0; peer_codec::MAX_DATAGRAM_BYTES];

        for _ in 0..BATCH_DATAGRAMS {
            match self.context.peer_socket.recv_from(&mut datagram) {
                Ok((length, SocketAddr::V4(sender))) => {
                    self.handle_message(sender, &datagram[..length]);
                }
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                Err(error) => log::warn!("failed to receive a message from a peer: {error}"),
            }
        }
        true
    }

    fn handle_message(&mut self, sender: SocketAddrV4, datagram: &[u8]) {
        let Some(message) = peer_codec::decode(datagram) else {
            self.context.metrics.on_unreadable();
            log::debug!("ignored a datagram from {sender}: no valid message of this version");
            return;
        };

        let actions = self.policy.on_message(sender, message, Instant::now());
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<KeeperAction>) {
        for action in actions {
            match action {
                KeeperAction::Send(peer, message) => {
                    if let Some(datagram) = peer_codec::encode(&message) {
                        let peer = SocketAddr::V4(peer);
                        self.record_send_result(
                            self.context.peer_socket.send_to(&datagram, peer),
                            peer,
                        );
                    }
                }
                KeeperAction::Call(kind, call) => {
                    if let Err(error) = self.context.store_requests.try_send((kind, call)) {
                        log::error!("store request dropped: {error}");
                    }
                }
            }
        }
        self.update_readiness();
        self.handle_decidable_packets();
    }

    fn handle_packet(&mut self, datagram: &[u8]) {
        let Some(packet) = packet::decode(datagram) else {
            self.context.metrics.on_unreadable();
            return;
        };

        let now = Instant::now();
        match self.policy.on_packet(&packet, now) {
            PacketVerdict::Forward { number, address, token, .. } => {
                packet::encode_forward(datagram, number, token, &mut self.outgoing);
                let address = SocketAddr::V4(address);
                let sent = self.context.data_socket.send_to(&self.outgoing, address);
                self.record_send_result(sent, address);
            }
            PacketVerdict::Reset(_) => self.send_reset(FlowReset::from(&packet)),
            PacketVerdict::Drop(reason) if reason.is_transient() => {
                if !self.held.hold(packet, datagram.to_vec(), now) {
                    self.policy.on_hold_expired(&packet, now);
                }
            }
            PacketVerdict::Drop(_) => {}
        }
    }

    /// Sends resets to the callers whose flows the policy has ended.
    fn send_resets(&mut self) {
        for reset in self.policy.take_resets() {
            self.send_reset(reset);
        }
    }

    fn send_reset(&mut self, reset: FlowReset) {
        // Callers receive datagrams on the same port as the balancers' data sockets.
        let port = self.context.data_socket.local_addr().map_or(0, |address| address.port());
        let caller = SocketAddr::new((*reset.flow.caller.ip()).into(), port);

        let reset = packet::encode_reset(reset);
        self.record_send_result(self.context.data_socket.send_to(&reset, caller), caller);
    }

    /// Counts a datagram that could not be sent. It is treated like a lost datagram, which the
    /// original sender retransmits.
    fn record_send_result(&mut self, sent: io::Result<usize>, peer: SocketAddr) {
        let Err(error) = sent else { return };

        self.context.metrics.on_unsent();
        let count = self.unsent.map_or(0, |before| before.count) + 1;
        self.unsent = Some(UnsentDatagrams { count, peer, cause: error.kind() });
    }
}
