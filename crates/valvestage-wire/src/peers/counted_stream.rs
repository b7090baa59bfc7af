//! Counting the bytes of control traffic.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// `ByteCount` sums up the bytes of all connections that share it.
#[derive(Debug, Clone, Default)]
pub struct ByteCount {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl ByteCount {
    /// `sent` gives the bytes sent.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// `received` gives the bytes received.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// `CountedStream` is a TCP connection whose bytes are counted.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    count: ByteCount,
}

impl CountedStream {
    /// `new` counts the bytes of a connection.
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
