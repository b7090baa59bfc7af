//! Byte counters for control traffic.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Byte counters shared by several connections; clones share the same counters.
#[derive(Debug, Clone, Default)]
pub struct ByteCount {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl ByteCount {
    /// Returns the number of bytes sent on all connections that share the counters.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received on all connections that share the counters.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// TCP stream that adds the bytes sent and received to a [`ByteCount`].
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    count: ByteCount,
}

impl CountedStream {
    /// Wraps a stream whose bytes are added to `count`.
    #[must_use]
    pub fn new(stream: TcpStream, count: ByteCount) -> Self {
        Self { stream, count }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;

        self.count.received.fetch_add(read as u64, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);

        if let Poll::Ready(Ok(written)) = result {
            self.count.sent.fetch_add(written as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
