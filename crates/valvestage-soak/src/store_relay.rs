//! Connections of one balancer to the store, through a relay that breaks them.

use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

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
}

impl StoreRelay {
    /// `new` is a relay at an address.
    #[must_use]
    pub fn new(address: SocketAddrV4) -> Self {
        Self { address, state: Arc::default() }
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
            tokio::spawn(self.clone().pass(near_read, far_write, Direction::Call));
            tokio::spawn(self.clone().pass(far_read, near_write, Direction::Answer));
        }
    }

    /// Passes one direction on until its connection ends. An error means that one end has gone.
    async fn pass(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction) {
        const CHUNK: usize = 16 * 1024;
        let mut chunk = vec![0; CHUNK];

        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            match self.state() {
                StoreLinkState::Open => {}
                StoreLinkState::Slow(time) => tokio::time::sleep(time).await,
                StoreLinkState::Resetting => return,
                StoreLinkState::AnswersLost if direction == Direction::Call => {}
                // Both ends stay open and hear nothing more.
                StoreLinkState::AnswersLost | StoreLinkState::Silent => {
                    return std::future::pending().await;
                }
            }
            if to.write_all(&chunk[..length]).await.is_err() {
                return;
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Call,
    Answer,
}
