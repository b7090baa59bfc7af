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

/// Time limit for opening a connection, and for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections to peers: one for each peer, opened on first use.
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

    /// Returns the byte counters of all connections with peers, including those opened by peers.
    pub(super) fn byte_count(&self) -> ByteCount {
        self.count.clone()
    }

    /// Returns the connection to a peer, and opens one if there is none.
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

    /// Returns the result of a call, and drops the connection if the call has failed.
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

/// Returns the context of a call, with [`CALL_TIMEOUT`] as its time limit.
pub(super) fn call_context() -> Context {
    let mut context = Context::current();

    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}
