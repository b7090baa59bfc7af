//! The send thread: writes batches of datagrams to the socket.

use std::io::IoSlice;
use std::net::UdpSocket;
use std::os::fd::AsRawFd;

use nix::errno::Errno;
use nix::sys::socket::{ControlMessage, MsgFlags, MultiHeaders, SockaddrStorage, sendmmsg};

use super::rings::{BATCH_DATAGRAMS, BatchReceiver};
use crate::data_path::Outbound;
use crate::metrics::BalancerMetrics;

/// Sends batches until the ring is closed and empty.
pub fn send_loop(socket: &UdpSocket, ring: &BatchReceiver<Outbound>, metrics: &BalancerMetrics) {
    while let Ok(batch) = ring.recv() {
        for chunk in batch.chunks(BATCH_DATAGRAMS) {
            send_all(socket, chunk, metrics);
        }
    }
}

/// Sends a batch in as few system calls as the socket allows. A datagram that cannot be sent is
/// counted and skipped.
pub fn send_all(socket: &UdpSocket, mut batch: &[Outbound], metrics: &BalancerMetrics) {
    while !batch.is_empty() {
        match send_batch(socket, batch) {
            Ok(sent) => {
                metrics.sent.inc_by(sent as u64);
                batch = &batch[sent.max(1)..];
            }
            Err(Errno::EINTR) => {}
            // The error concerns the first datagram; the others may still be sent.
            Err(error) => {
                metrics.send_failures.inc();
                log::debug!(step = "send", peer:% = batch[0].to; "cannot send datagram: {error}");
                batch = &batch[1..];
            }
        }
    }
}

fn send_batch(socket: &UdpSocket, batch: &[Outbound]) -> Result<usize, Errno> {
    const NO_CONTROL: [ControlMessage<'_>; 0] = [];
    let mut headers = MultiHeaders::<SockaddrStorage>::preallocate(batch.len(), None);
    let slices: Vec<_> = batch.iter().map(|datagram| [IoSlice::new(&datagram.bytes)]).collect();
    let addresses: Vec<_> =
        batch.iter().map(|datagram| Some(SockaddrStorage::from(datagram.to))).collect();

    let results = sendmmsg(
        socket.as_raw_fd(),
        &mut headers,
        slices.iter(),
        &addresses,
        NO_CONTROL,
        MsgFlags::empty(),
    )?;
    Ok(results.count())
}
