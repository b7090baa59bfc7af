//! Relay of one balancer's connections to the store, which can break them.

use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Largest number of bytes relayed at once.
const CHUNK: usize = 16 * 1024;

/// Response to a refused call. The relay sends one for each chunk that it reads, because a call has
/// no body and arrives in one chunk.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// Write half of the balancer's connection, shared by the store's answers and by refusals.
type SharedWriteHalf = Arc<tokio::sync::Mutex<OwnedWriteHalf>>;

/// State of a relay, which decides what happens to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreLinkState {
    /// Relays everything.
    #[default]
    Open,
    /// Relays everything, each chunk after this delay.
    Slow(Duration),
    /// Closes a connection at its next chunk, and new connections at once.
    Resetting,
    /// Answers each call itself with status 503.
    Refusing,
    /// Relays calls, but not their answers.
    AnswersLost,
    /// Relays nothing. A connection on which something was sent in this state stays silent for
    /// good.
    Silent,
}

/// Relay between one balancer and the store. Clones share their state.
#[derive(Clone)]
pub struct StoreRelay {
    address: SocketAddrV4,
    state: Arc<Mutex<StoreLinkState>>,
    /// Notifies open connections that they have to fall silent for good.
    silence: Arc<tokio::sync::Notify>,
}

impl StoreRelay {
    /// Creates an open relay; `address` is that of the listener given to [`Self::serve`].
    #[must_use]
    pub fn new(address: SocketAddrV4) -> Self {
        Self { address, state: Arc::default(), silence: Arc::default() }
    }

    /// Returns the address at which balancers connect to the relay.
    #[must_use]
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Changes the state, also for connections that are open.
    pub fn set(&self, state: StoreLinkState) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }

    /// Makes all open connections silent for good without closing them. New connections work.
    pub fn silence_open(&self) {
        self.silence.notify_waiters();
    }

    fn state(&self) -> StoreLinkState {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts connections and relays them to the store, until the runtime is dropped or an error
    /// occurs.
    pub async fn serve(self, listener: TcpListener, store: SocketAddrV4) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;

        loop {
            let (client, _) = listener.accept().await?;
            if self.state() == StoreLinkState::Resetting {
                continue;
            }
            let upstream = TcpStream::connect(store).await?;
            let (client_read, client_write) = client.into_split();
            let (upstream_read, upstream_write) = upstream.into_split();
            let client_write = Arc::new(tokio::sync::Mutex::new(client_write));
            let calls = self.clone().relay_calls(client_read, upstream_write, client_write.clone());
            let answers = self.clone().relay_answers(upstream_read, client_write);
            tokio::spawn(self.clone().relay_until_silenced(calls));
            tokio::spawn(self.clone().relay_until_silenced(answers));
        }
    }

    /// Relays one direction until it ends or the connection is silenced. In the latter case the
    /// task waits forever, so that both sockets stay open.
    async fn relay_until_silenced(self, direction: impl Future<Output = ()>) {
        let mut direction = std::pin::pin!(direction);

        tokio::select! {
            () = &mut direction => {}
            () = self.silence.notified() => std::future::pending().await,
        }
    }

    /// Relays calls until the connection ends. An error means that one of its sides was closed.
    async fn relay_calls(
        self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        answers: SharedWriteHalf,
    ) {
        let mut chunk = vec![0; CHUNK];

        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            let written = match self.delayed_state().await {
                StoreLinkState::Resetting => return,
                // Both sockets stay open and get nothing more.
                StoreLinkState::Silent => return std::future::pending().await,
                StoreLinkState::Refusing => answers.lock().await.write_all(REFUSAL).await,
                _ => to.write_all(&chunk[..length]).await,
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Relays answers until the connection ends, as for calls.
    async fn relay_answers(self, mut from: OwnedReadHalf, to: SharedWriteHalf) {
        let mut chunk = vec![0; CHUNK];

        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            match self.delayed_state().await {
                StoreLinkState::Resetting => return,
                StoreLinkState::AnswersLost | StoreLinkState::Silent => {
                    return std::future::pending().await;
                }
                _ => {}
            }
            if to.lock().await.write_all(&chunk[..length]).await.is_err() {
                return;
            }
        }
    }

    /// Returns the state on entry, after waiting for the delay that it imposes.
    async fn delayed_state(&self) -> StoreLinkState {
        let state = self.state();

        if let StoreLinkState::Slow(time) = state {
            tokio::time::sleep(time).await;
        }
        state
    }
}
