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
use super::ready_list::{ReadyList, poll_readiness};
use crate::seeded_rng::SeededRng;

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
    pub dropped_without_balancer: AtomicU64,
}

/// Socket address to which answers are sent, by the caller's address in the envelope: the source of
/// the caller's last packet.
type ReturnPaths = Mutex<HashMap<SocketAddr, SocketAddr>>;

/// Forwards packets in both directions until the flag is set, and returns the counts.
pub fn run(options: &FabricOptions, stop: &AtomicBool) -> io::Result<Arc<FabricCounts>> {
    let callers = open_socket(options.caller_address)?;
    let balancers = open_socket(options.balancer_address)?;
    let counts = Arc::new(FabricCounts::default());
    let return_paths = ReturnPaths::default();
    let ready = ReadyList::default();

    thread::scope(|scope| {
        scope.spawn(|| poll_readiness(&ready, &options.balancers, stop));
        scope.spawn(|| forward_to_callers(&balancers, &callers, &return_paths, &counts, stop));
        forward_to_balancers(options, &callers, &balancers, &ready, &return_paths, &counts, stop);
    });
    Ok(counts)
}

fn open_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;

    socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
    Ok(socket)
}

fn forward_to_balancers(
    options: &FabricOptions,
    callers: &UdpSocket,
    balancers: &UdpSocket,
    ready: &ReadyList,
    return_paths: &ReturnPaths,
    counts: &FabricCounts,
    stop: &AtomicBool,
) {
    let mut rng = SeededRng::new(options.seed);
    let mut buffer = [0; BUFFER_BYTES];
    let mut delayed_packet: Option<Vec<u8>> = None;

    while !stop.load(Ordering::Relaxed) {
        let Ok((length, source)) = callers.recv_from(&mut buffer) else {
            continue;
        };
        let packet = &buffer[..length];
        if let Ok(envelope) = decode(packet) {
            return_paths
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(envelope.caller, source);
        }

        let addresses = ready.get();
        if addresses.is_empty() {
            counts.dropped_without_balancer.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let forward = |packet: &[u8], rng: &mut SeededRng| {
            counts.to_balancers.fetch_add(1, Ordering::Relaxed);
            let _ = balancers.send_to(packet, addresses[rng.below(addresses.len())]);
        };

        if rng.next_f64() < options.faults.loss_rate {
            continue;
        }
        if delayed_packet.is_none() && rng.next_f64() < options.faults.reordering_rate {
            delayed_packet = Some(packet.to_vec());
            continue;
        }
        forward(packet, &mut rng);
        if rng.next_f64() < options.faults.duplication_rate {
            forward(packet, &mut rng);
        }
        if let Some(delayed) = delayed_packet.take() {
            forward(&delayed, &mut rng);
        }
    }
}

fn forward_to_callers(
    balancers: &UdpSocket,
    callers: &UdpSocket,
    return_paths: &ReturnPaths,
    counts: &FabricCounts,
    stop: &AtomicBool,
) {
    let mut buffer = [0; BUFFER_BYTES];

    while !stop.load(Ordering::Relaxed) {
        let Ok((length, _)) = balancers.recv_from(&mut buffer) else {
            continue;
        };
        let Ok(envelope) = decode(&buffer[..length]) else {
            continue;
        };
        let return_path = return_paths
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&envelope.caller)
            .copied();

        if let Some(return_path) = return_path {
            counts.to_callers.fetch_add(1, Ordering::Relaxed);
            let _ = callers.send_to(&buffer[..length], return_path);
        }
    }
}
