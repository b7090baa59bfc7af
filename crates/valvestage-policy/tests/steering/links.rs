//! Simulated links with a limited rate, which drop datagrams that do not fit into their queue.

use std::time::{Duration, Instant};

use valvestage_policy::steering::PeerMessage;
use valvestage_policy::steering::seeded_draw::SeededDraw;

/// Bytes of the headers of a datagram on an Ethernet link: UDP, IP and the frame.
const HEADER_BYTES: usize = 46;

/// Limits of one link.
#[derive(Debug, Clone, Copy)]
pub struct LinkLimits {
    pub bytes_per_s: u32,
    /// Maximum number of queued bytes; a datagram that finds more is dropped.
    pub queue_bytes: u32,
    /// Share of the other datagrams that are lost at random.
    pub loss: f64,
}

/// The link of a small VM, 10 Mbit/s with the queue of a common network device.
pub const SLOW_LINK: LinkLimits =
    LinkLimits { bytes_per_s: 1_250_000, queue_bytes: 64 << 10, loss: 0.0 };

/// The outgoing links of all balancers.
pub struct LinkTable {
    limits: LinkLimits,
    /// When each link will have sent everything in its queue.
    idle_at: Vec<Option<Instant>>,
    /// Bytes that were sent over all links.
    pub bytes: usize,
    draw: SeededDraw,
}

impl LinkTable {
    pub fn new(count: usize, limits: LinkLimits) -> Self {
        Self { limits, idle_at: vec![None; count], bytes: 0, draw: SeededDraw::new(7) }
    }

    /// Returns the value of the `link_mbps` setting for these links.
    #[allow(dead_code, reason = "not every test that has links asks for it")]
    pub fn mbps(&self) -> f64 {
        f64::from(self.limits.bytes_per_s) * 8.0 / 1e6
    }

    /// Sends a message. Returns when its last byte has left; `None` if it is lost.
    pub fn send(&mut self, from: usize, message: &PeerMessage, now: Instant) -> Option<Instant> {
        let bytes = postcard::to_stdvec(message).expect("the message can be serialized").len()
            + HEADER_BYTES;
        let begins_at = self.idle_at[from].map_or(now, |at| at.max(now));
        let queued = (begins_at - now).as_secs_f64() * f64::from(self.limits.bytes_per_s);
        if queued > f64::from(self.limits.queue_bytes) {
            return None;
        }

        let bytes_per_s = f64::from(self.limits.bytes_per_s);
        let took = Duration::from_secs_f64(f64::from(u32::try_from(bytes).unwrap()) / bytes_per_s);
        self.idle_at[from] = Some(begins_at + took);
        self.bytes += bytes;
        (self.draw.unit() >= self.limits.loss).then_some(begins_at + took)
    }
}
