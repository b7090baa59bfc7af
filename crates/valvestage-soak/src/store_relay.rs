//! Connections of one balancer to the store, through a relay that breaks them.

use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Bytes passed on at once.
const CHUNK: usize = 16 * 1024;

/// What a balancer hears that the store turns away. Calls have no body and come in one piece.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// The balancer's end, written to by the store's answers and by refusals.
type SharedWriteHalf = Arc<tokio::sync::Mutex<OwnedWriteHalf>>;

/// `StoreLinkState` is what the relay does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreLinkState {
    /// Passes everything on.
    #[default]
    Open,
    /// Passes everything on, later.
    Slow(Duration),
    /// Ends connections, and new ones at once.
    Resetting,
    /// Answers each call itself: too busy.
    Refusing,
    /// Passes calls on, but no answers.
    AnswersLost,
    /// Passes nothing on. Connections that had something to pass then stay silent for good.
    Silent,
}

/// `StoreRelay` stands between one balancer and the store.
#[derive(Clone)]
pub struct StoreRelay {
    address: SocketAddrV4,
    state: Arc<Mutex<StoreLinkState>>,
    /// Sent to connections that are to fall silent for good.
    silence: Arc<tokio::sync::Notify>,
}

impl StoreRelay {
    /// `new` is a relay at an address.
    #[must_use]
    pub fn new(address: SocketAddrV4) -> Self {
        Self { address, state: Arc::default(), silence: Arc::default() }
    }

    /// `address` gives where it takes connections.
    #[must_use]
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// `set` changes what the relay does.
    pub fn set(&self, state: StoreLinkState) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }

    /// `silence_open` makes the connections that are open pass nothing more, without ending them; new
    /// ones work.
    pub fn silence_open(&self) {
        self.silence.notify_waiters();
    }

    fn state(&self) -> StoreLinkState {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `serve` passes connections on, for as long as the runtime lives.
    pub async fn serve(self, listener: TcpListener, store: SocketAddrV4) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;

        loop {
            let (near, _) = listener.accept().await?;
            if self.state() == StoreLinkState::Resetting {
                continue;
            }
            let far = TcpStream::connect(store).await?;
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let near_write = Arc::new(tokio::sync::Mutex::new(near_write));
            let calls = self.clone().pass_calls(near_read, far_write, near_write.clone());
            let answers = self.clone().pass_answers(far_read, near_write);
            tokio::spawn(self.clone().pass(calls));
            tokio::spawn(self.clone().pass(answers));
        }
    }

    /// Passes one direction on until it is silenced; its ends stay open then.
    async fn pass(self, direction: impl Future<Output = ()>) {
        let mut direction = std::pin::pin!(direction);

        tokio::select! {
            () = &mut direction => {}
            () = self.silence.notified() => std::future::pending().await,
        }
    }

    /// Passes calls on until their connection ends. An error means that one end has gone.
    async fn pass_calls(
        self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        answers: SharedWriteHalf,
    ) {
        let mut chunk = vec![0; CHUNK];

        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            let written = match self.hold().await {
                StoreLinkState::Resetting => return,
                // Both ends stay open and hear nothing more.
                StoreLinkState::Silent => return std::future::pending().await,
                StoreLinkState::Refusing => answers.lock().await.write_all(REFUSAL).await,
                _ => to.write_all(&chunk[..length]).await,
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Passes answers on in the same way.
    async fn pass_answers(self, mut from: OwnedReadHalf, to: SharedWriteHalf) {
        let mut chunk = vec![0; CHUNK];

        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            match self.hold().await {
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

    /// Waits as long as what passes is late, and gives the state that it meets.
    async fn hold(&self) -> StoreLinkState {
        let state = self.state();

        if let StoreLinkState::Slow(time) = state {
            tokio::time::sleep(time).await;
        }
        state
    }
}
