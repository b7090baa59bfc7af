//! Connections to peers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tarpc::client::{Config, RpcError};
use tarpc::context::Context;
use valvestage_wire::WireError;
use valvestage_wire::peers::{ByteCount, PeerKey, PeerServiceClient, connect};

/// Longest time for opening a connection, and for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// `PeerClients` keeps one connection to each peer, opened when needed.
#[derive(Clone)]
pub(super) struct PeerClients {
    key: PeerKey,
    count: ByteCount,
    clients: Rc<RefCell<HashMap<SocketAddr, PeerServiceClient>>>,
}

impl PeerClients {
    pub(super) fn new(key: PeerKey) -> Self {
        Self { key, count: ByteCount::default(), clients: Rc::default() }
    }

    /// The bytes of all connections with peers, those that peers opened included.
    pub(super) fn byte_count(&self) -> ByteCount {
        self.count.clone()
    }

    /// Gives the connection to a peer, a new one if there is none.
    pub(super) async fn get(&self, peer: SocketAddr) -> Result<PeerServiceClient, WireError> {
        if let Some(client) = self.clients.borrow().get(&peer) {
            return Ok(client.clone());
        }

        let connecting = connect(peer, &self.key, self.count.clone());
        let transport = tokio::time::timeout(CALL_TIMEOUT, connecting)
            .await
            .map_err(|_| WireError::peer(peer, "connect", "timed out"))??;
        let client = PeerServiceClient::new(Config::default(), transport).spawn();
        self.clients.borrow_mut().insert(peer, client.clone());
        Ok(client)
    }

    /// Notes the result of a call: a failed connection is not used again.
    pub(super) fn check<T>(
        &self,
        peer: SocketAddr,
        step: &'static str,
        result: Result<T, RpcError>,
    ) -> Result<T, WireError> {
        result.map_err(|error| {
            self.clients.borrow_mut().remove(&peer);
            WireError::peer(peer, step, error)
        })
    }
}

/// The context of a call that ends in time.
pub(super) fn call_context() -> Context {
    let mut context = Context::current();

    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}
