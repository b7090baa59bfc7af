//! Bounded rings that carry batches from one thread to the next.

use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use valvestage_core::RefusalReason;

use crate::metrics::BalancerMetrics;

/// Largest number of datagrams in one system call, and in one batch of received datagrams.
pub const BATCH_DATAGRAMS: usize = 64;

/// Capacity of a ring, in batches.
const RING_BATCHES: usize = 256;

/// Receiving end of a ring.
pub type BatchReceiver<T> = Receiver<Vec<T>>;

/// Sending end of a ring, which never blocks.
#[derive(Debug, Clone)]
pub struct BatchSender<T> {
    sender: Sender<Vec<T>>,
    metrics: Arc<BalancerMetrics>,
}

/// Returns the two ends of a new ring. The metrics count the batches that it drops.
#[must_use]
pub fn batch_ring<T>(metrics: Arc<BalancerMetrics>) -> (BatchSender<T>, BatchReceiver<T>) {
    let (sender, receiver) = bounded(RING_BATCHES);

    (BatchSender { sender, metrics }, receiver)
}

impl<T> BatchSender<T> {
    /// Sends a batch to the receiving end, or drops and counts it if the ring is full. Returns
    /// false if the receiving end no longer exists.
    pub fn send(&self, batch: Vec<T>) -> bool {
        match self.sender.try_send(batch) {
            Ok(()) => true,
            Err(TrySendError::Full(shed)) => {
                self.metrics.ring_overflows.inc();
                let label = RefusalReason::RingFull.into();
                self.metrics.refusals.get_or_create(&label).inc_by(shed.len() as u64);
                true
            }
            Err(TrySendError::Disconnected(_)) => false,
        }
    }
}
