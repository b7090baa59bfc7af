//! Forwarding of packets, each to a ready balancer chosen at random.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use valvestage_wire::envelope::decode;

use super::fabric_options::FabricOptions;
use super::ready_list::{ReadyList, watch_ready};
use crate::draws::Draws;

/// Longest wait for a packet before the stop flag is checked.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);

/// Size of the receive buffer; no datagram is longer.
const BUFFER_BYTES: usize = 2_048;

/// Counts of the packets that the fabric received, by what became of them.
#[derive(Debug, Default)]
pub struct FabricCounts {
    /// Packets forwarded from callers to balancers, duplicates included.
    pub to_balancers: AtomicU64,
    /// Packets forwarded from balancers to callers.
    pub to_callers: AtomicU64,
    /// Packets from callers that were dropped because no balancer was ready.
    pub without_balancer: AtomicU64,
}

/// Socket address to which answers are sent, by the caller's address in the envelope: the source of
/// the caller's last packet.
type ReturnPaths = Mutex<HashMap<SocketAddr, SocketAddr>>;

/// Forwards packets in both directions until the flag is set, and returns the counts.
pub fn run(options: &FabricOptions, stops: &AtomicBool) -> io::Result<Arc<FabricCounts>> {
    let callers = open(options.caller_address)?;
    let balancers = open(options.balancer_address)?;
    let counts = Arc::new(FabricCounts::default());
    let paths = ReturnPaths::default();
    let ready = ReadyList::default();

    thread::scope(|scope| {
        scope.spawn(|| watch_ready(&ready, &options.balancers, stops));
        scope.spawn(|| back(&balancers, &callers, &paths, &counts, stops));
        forth(options, &callers, &balancers, &ready, &paths, &counts, stops);
    });
    Ok(counts)
}

fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;

    socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
    Ok(socket)
}

fn forth(
    options: &FabricOptions,
    callers: &UdpSocket,
    balancers: &UdpSocket,
    ready: &ReadyList,
    paths: &ReturnPaths,
    counts: &FabricCounts,
    stops: &AtomicBool,
) {
    let mut draws = Draws::new(options.seed);
    let mut buffer = [0; BUFFER_BYTES];
    let mut held: Option<Vec<u8>> = None;

    while !stops.load(Ordering::Relaxed) {
        let Ok((length, source)) = callers.recv_from(&mut buffer) else {
            continue;
        };
        let packet = &buffer[..length];
        if let Ok(envelope) = decode(packet) {
            paths.lock().unwrap_or_else(PoisonError::into_inner).insert(envelope.caller, source);
        }

        let list = ready.get();
        if list.is_empty() {
            counts.without_balancer.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let pass = |packet: &[u8], draws: &mut Draws| {
            counts.to_balancers.fetch_add(1, Ordering::Relaxed);
            let _ = balancers.send_to(packet, list[draws.below(list.len())]);
        };

        if draws.unit() < options.faults.lost {
            continue;
        }
        if held.is_none() && draws.unit() < options.faults.reordered {
            held = Some(packet.to_vec());
            continue;
        }
        pass(packet, &mut draws);
        if draws.unit() < options.faults.doubled {
            pass(packet, &mut draws);
        }
        if let Some(late) = held.take() {
            pass(&late, &mut draws);
        }
    }
}

fn back(
    balancers: &UdpSocket,
    callers: &UdpSocket,
    paths: &ReturnPaths,
    counts: &FabricCounts,
    stops: &AtomicBool,
) {
    let mut buffer = [0; BUFFER_BYTES];

    while !stops.load(Ordering::Relaxed) {
        let Ok((length, _)) = balancers.recv_from(&mut buffer) else {
            continue;
        };
        let Ok(envelope) = decode(&buffer[..length]) else {
            continue;
        };
        let path =
            paths.lock().unwrap_or_else(PoisonError::into_inner).get(&envelope.caller).copied();

        if let Some(path) = path {
            counts.to_callers.fetch_add(1, Ordering::Relaxed);
            let _ = callers.send_to(&buffer[..length], path);
        }
    }
}
