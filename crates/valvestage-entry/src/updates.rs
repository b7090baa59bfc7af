//! Updates from the control thread to the data thread, over a bounded channel.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::Waker;
use valvestage_policy::steering::{BackendUpdate, EvacuationUpdate, RouteMap, StoreReply};

/// Capacity of the channel. It rarely fills up, since there is at most one store reply per kind of
/// objects at a time.
const CHANNEL_CAPACITY: usize = 64;

/// Update for the data thread, which owns the policy.
#[derive(Debug)]
pub enum ControlUpdate {
    /// The store's reply about the configuration.
    Routes(StoreReply<RouteMap>),
    /// The store's reply about backend servers.
    Backends(StoreReply<BackendUpdate>),
    /// The store's reply about evacuated availability zones.
    Evacuations(StoreReply<EvacuationUpdate>),
    /// The addresses of seed balancers from reloaded settings.
    Seeds(Vec<SocketAddrV4>),
    /// The process is stopping: it must not become ready again, but forwards packets until it ends.
    Stop,
}

/// Sending half of the channel. It also wakes the data thread.
#[derive(Clone)]
pub struct UpdateSender {
    channel: Sender<ControlUpdate>,
    waker: Arc<Waker>,
}

impl UpdateSender {
    /// Sends an update and wakes the data thread. A failure of either is logged.
    pub fn send(&self, update: ControlUpdate) {
        if let Err(error) = self.channel.try_send(update) {
            log::error!("update for the data thread dropped: {error}");
        }
        if let Err(error) = self.waker.wake() {
            log::error!("failed to wake the data thread: {error}");
        }
    }
}

/// Creates the channel. `waker` must wake the poll of the data thread.
#[must_use]
pub fn update_channel(waker: Arc<Waker>) -> (UpdateSender, Receiver<ControlUpdate>) {
    let (sender, receiver) = bounded(CHANNEL_CAPACITY);

    (UpdateSender { channel: sender, waker }, receiver)
}
