//! Relay of messages between balancers, which drops and delays them.

use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use valvestage_standins::seeded_rng::SeededRng;

use crate::link_table::{LinkTable, LinkTarget};
use crate::site_plan::SitePlan;
use valvestage_standins::packets::socket_set::SocketSet;

/// Longest wait for a datagram, and so the interval at which delayed messages are checked.
const POLL_TIMEOUT: Duration = Duration::from_millis(5);

/// Relay with one socket for each balancer, whose address that balancer advertises to the others.
pub struct PeerRelay {
    plan: SitePlan,
    links: LinkTable,
    sockets: SocketSet,
    rng: SeededRng,
    delayed: Vec<DelayedMessage>,
    sent_bytes: SentBytes,
}

/// Number of message bytes that each balancer has sent to others, indexed by its number.
pub type SentBytes = Arc<Vec<AtomicU64>>;

/// Message that is delivered at `due`.
struct DelayedMessage {
    due: Instant,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl PeerRelay {
    /// Binds the relay addresses of all balancers.
    pub fn bind(
        plan: SitePlan,
        links: LinkTable,
        sent_bytes: SentBytes,
        seed: u64,
    ) -> io::Result<Self> {
        let relays: Vec<SocketAddrV4> = (0..plan.balancers)
            .map(|number| SocketAddrV4::new(plan.relay(number), plan.peer_port))
            .collect();

        let sockets = SocketSet::bind(&relays)?;
        Ok(Self {
            plan,
            links,
            sockets,
            rng: SeededRng::new(seed),
            delayed: Vec::new(),
            sent_bytes,
        })
    }

    /// Relays messages until `stop` is set.
    pub fn run(mut self, stop: &Arc<AtomicBool>) -> io::Result<()> {
        while !stop.load(Ordering::Relaxed) {
            for datagram in self.sockets.receive(POLL_TIMEOUT)? {
                // Datagrams that no balancer has sent are dropped.
                if let Some(from) = self.plan.balancer_at(*datagram.sender.ip()) {
                    self.queue_message(from, datagram.socket, datagram.bytes);
                }
            }
            self.send_due();
        }
        Ok(())
    }

    fn queue_message(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let now = Instant::now();
        self.sent_bytes[from].fetch_add(bytes.len() as u64, Ordering::Relaxed);

        let delay = self.links.datagram_delay(from, LinkTarget::Balancer(to), &mut self.rng, now);
        if let Some(delay) = delay {
            self.delayed.push(DelayedMessage { due: now + delay, from, to, bytes });
        }
    }

    fn send_due(&mut self) {
        let now = Instant::now();
        let (due, later) =
            std::mem::take(&mut self.delayed).into_iter().partition(|message| message.due <= now);
        self.delayed = later;

        for DelayedMessage { from, to, bytes, .. } in due {
            let address = SocketAddrV4::new(self.plan.balancer(to), self.plan.peer_port);
            self.sockets.send(from, address, &bytes);
        }
    }
}
