//! What the control thread tells the data thread, over a bounded ring.

use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use mio::Waker;
use valvestage_core::ids::InstanceId;
use valvestage_policy::steering::{BackendEntry, RouteMap};

/// Updates under way at most: more than the backend servers of the size to design for.
const RING_LENGTH: usize = 8_192;

/// `SteeringUpdate` is one piece of news for the policy.
#[derive(Debug, Clone)]
pub enum SteeringUpdate {
    /// A configuration.
    Routes(RouteMap),
    /// A new or changed backend server.
    Backend(BackendEntry),
    /// The entry of a backend server is gone.
    BackendGone(InstanceId),
    /// All backend servers were read.
    DirectoryComplete,
    /// The process is to stop: it forwards until it ends, and takes no more part otherwise.
    Stop,
}

/// `UpdateSender` puts updates into the ring and wakes the data thread.
#[derive(Clone)]
pub struct UpdateSender {
    ring: Sender<SteeringUpdate>,
    waker: Arc<Waker>,
}

impl UpdateSender {
    /// `send` hands an update over; a full ring makes the sender wait, so that none is lost.
    pub fn send(&self, update: SteeringUpdate) {
        let sent = self.ring.try_send(update);

        self.wake();
        if let Err(TrySendError::Full(update)) = sent
            && self.ring.send(update).is_err()
        {
            log::error!("an update is lost: the data thread has ended");
        }
    }

    fn wake(&self) {
        if let Err(error) = self.waker.wake() {
            log::error!("the data thread cannot be woken: {error}");
        }
    }
}

/// `ring` makes the two ends of the ring.
#[must_use]
pub fn ring(waker: Arc<Waker>) -> (UpdateSender, Receiver<SteeringUpdate>) {
    let (sender, receiver) = bounded(RING_LENGTH);

    (UpdateSender { ring: sender, waker }, receiver)
}
