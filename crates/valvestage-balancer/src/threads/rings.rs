//! Bounded rings of batches.

use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use valvestage_core::RefusalReason;

use crate::metrics::BalancerMetrics;

/// Datagrams in one system call and one batch.
pub const BATCH_DATAGRAMS: usize = 64;

/// Batches in one ring.
const RING_BATCHES: usize = 256;

/// `BatchReceiver` is the reading end of a ring.
pub type BatchReceiver<T> = Receiver<Vec<T>>;

/// `BatchSender` is the writing end of a ring; it never waits.
#[derive(Debug, Clone)]
pub struct BatchSender<T> {
    sender: Sender<Vec<T>>,
    metrics: Arc<BalancerMetrics>,
}

/// `batch_ring` gives the two ends of a new ring.
#[must_use]
pub fn batch_ring<T>(metrics: Arc<BalancerMetrics>) -> (BatchSender<T>, BatchReceiver<T>) {
    let (sender, receiver) = bounded(RING_BATCHES);

    (BatchSender { sender, metrics }, receiver)
}

impl<T> BatchSender<T> {
    /// `send` hands a batch on, or sheds it if the ring is full; false when nobody reads any more.
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
