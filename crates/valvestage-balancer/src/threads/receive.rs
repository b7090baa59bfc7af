//! The receive thread: reads datagrams from the socket in batches.

use std::io::IoSliceMut;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};

use nix::errno::Errno;
use nix::sys::socket::{MsgFlags, MultiHeaders, SockaddrStorage, recvmmsg};
use valvestage_wire::envelope::MAX_DATAGRAM;

use super::rings::{BATCH_DATAGRAMS, BatchSender};
use crate::data_path::Inbound;
use crate::metrics::BalancerMetrics;

/// Size of a receive buffer: one byte more than the longest datagram allowed, so that a longer one
/// is detected.
pub const RECEIVE_BUFFER_BYTES: usize = MAX_DATAGRAM + 1;

/// Reads batches from the socket until the stop flag is set or the decide thread has ended.
///
/// The socket needs a read timeout, so that the stop flag is checked without traffic, too.
pub fn receive_loop(
    socket: &UdpSocket,
    ring: &BatchSender<Inbound>,
    metrics: &BalancerMetrics,
    stop_flag: &AtomicBool,
) {
    let mut buffers = vec![[0; RECEIVE_BUFFER_BYTES]; BATCH_DATAGRAMS];

    while !stop_flag.load(Ordering::Relaxed) {
        match receive_batch(socket, &mut buffers) {
            Ok(batch) => {
                metrics.received.inc_by(batch.len() as u64);
                if !ring.send(batch) {
                    return;
                }
            }
            // The read timeout has passed, or a signal has interrupted the call.
            Err(Errno::EAGAIN | Errno::EINTR) => {}
            // An ICMP error for a datagram sent earlier.
            Err(Errno::ECONNREFUSED) => {}
            Err(error) => log::warn!(step = "receive"; "cannot receive datagrams: {error}"),
        }
    }
}

/// Waits for the first datagram, and returns it together with those that are queued behind it.
pub fn receive_batch(
    socket: &UdpSocket,
    buffers: &mut [[u8; RECEIVE_BUFFER_BYTES]],
) -> Result<Vec<Inbound>, Errno> {
    let mut headers = MultiHeaders::<SockaddrStorage>::preallocate(buffers.len(), None);
    let mut slices: Vec<_> = buffers.iter_mut().map(|buffer| [IoSliceMut::new(buffer)]).collect();

    let results = recvmmsg(
        socket.as_raw_fd(),
        &mut headers,
        slices.iter_mut(),
        MsgFlags::MSG_WAITFORONE,
        None,
    )?;
    let lengths: Vec<(usize, Option<SocketAddr>)> = results
        .map(|result| (result.bytes, result.address.as_ref().and_then(to_socket_addr)))
        .collect();

    let datagrams = lengths.into_iter().zip(buffers.iter());
    Ok(datagrams
        .filter_map(|((length, source), buffer)| {
            Some(Inbound { source: source?, bytes: buffer[..length].to_vec() })
        })
        .collect())
}

fn to_socket_addr(address: &SockaddrStorage) -> Option<SocketAddr> {
    if let Some(v4) = address.as_sockaddr_in() {
        return Some(SocketAddr::new(v4.ip().into(), v4.port()));
    }

    address.as_sockaddr_in6().map(|v6| SocketAddr::new(v6.ip().into(), v6.port()))
}
