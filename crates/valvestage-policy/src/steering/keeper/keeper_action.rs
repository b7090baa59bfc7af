//! Actions that the driver carries out to keep knowledge up to date.

use std::net::SocketAddrV4;

use crate::steering::peers::peer_message::PeerMessage;
use crate::steering::store::store_follower::{StoreCall, StoreKind};

/// An action that the driver carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperAction {
    /// Send a message to another balancer.
    Send(SocketAddrV4, PeerMessage),
    /// Call the store, and pass the reply to the `KnowledgeKeeper`.
    Call(StoreKind, StoreCall),
}
