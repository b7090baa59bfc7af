//! Limit on the bytes of one kind of messages.

use std::time::{Duration, Instant};

/// Bytes that may be sent at once are those of this time.
const BURST: Duration = Duration::from_secs(1);

/// Number of bytes per second on average.
#[derive(Debug)]
pub(super) struct ByteBudget {
    bytes_per_second: u32,
    /// Time at which everything that was sent is paid for; `None` before the first message.
    paid_at: Option<Instant>,
}

impl ByteBudget {
    /// Creates an unused budget.
    pub(super) fn new(bytes_per_second: u32) -> Self {
        Self { bytes_per_second, paid_at: None }
    }

    /// Reports whether a message may be sent.
    pub(super) fn is_open(&self, now: Instant) -> bool {
        self.paid_at.is_none_or(|paid_at| paid_at <= now + BURST)
    }

    /// Records that bytes are sent.
    pub(super) fn spend(&mut self, bytes: u32, now: Instant) {
        let time = Duration::from_secs(1) * bytes / self.bytes_per_second;

        self.paid_at = Some(self.paid_at.map_or(now, |paid_at| paid_at.max(now)) + time);
    }
}
