//! What the control thread and the data thread tell each other, over bounded rings.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::Waker;
use valvestage_policy::steering::{BackendUpdate, EvacuationUpdate, RouteMap, StoreReply};

/// Updates under way at most: there is one call for each kind of objects at a time.
const RING_LENGTH: usize = 64;

/// `ControlUpdate` is one piece of news for the data thread, where the policy lives.
#[derive(Debug)]
pub enum ControlUpdate {
    /// The store's answer about the configuration.
    Routes(StoreReply<RouteMap>),
    /// The store's answer about backend servers.
    Backends(StoreReply<BackendUpdate>),
    /// The store's answer about evacuated availability zones.
    Evacuations(StoreReply<EvacuationUpdate>),
    /// The settings name other balancers.
    Seeds(Vec<SocketAddrV4>),
    /// The process is to stop: it is not ready any more, and forwards until it ends.
    Stop,
}

/// `UpdateSender` puts updates into the ring and wakes the data thread.
#[derive(Clone)]
pub struct UpdateSender {
    ring: Sender<ControlUpdate>,
    waker: Arc<Waker>,
}

impl UpdateSender {
    /// `send` hands an update over.
    pub fn send(&self, update: ControlUpdate) {
        if let Err(error) = self.ring.try_send(update) {
            log::error!("an update for the data thread is lost: {error}");
        }
        if let Err(error) = self.waker.wake() {
            log::error!("the data thread cannot be woken: {error}");
        }
    }
}

/// `ring` makes the two ends of the ring.
#[must_use]
pub fn ring(waker: Arc<Waker>) -> (UpdateSender, Receiver<ControlUpdate>) {
    let (sender, receiver) = bounded(RING_LENGTH);

    (UpdateSender { ring: sender, waker }, receiver)
}
