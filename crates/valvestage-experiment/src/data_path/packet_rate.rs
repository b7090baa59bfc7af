//! Packets per second through UDP sockets on the loopback address.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crossbeam_channel::bounded;
use nix::sys::socket::{setsockopt, sockopt};
use valvestage_balancer::commands::Command;
use valvestage_balancer::data_path::{DataHandler, DataOptions, Outbound};
use valvestage_balancer::metrics::BalancerMetrics;
use valvestage_balancer::threads::{
    BATCH_DATAGRAMS, RECEIVE_BUFFER_BYTES, batch_ring, decide_loop, receive_batch, receive_loop,
    send_all, send_loop,
};
use valvestage_core::PacketKind;
use valvestage_policy::balancer::BalancerOptions;
use valvestage_policy::flows::{RawTokenKeys, TokenKeys};
use valvestage_policy::membership::LiveView;
use valvestage_wire::envelope::encode;
use valvestage_wire::{Envelope, Header};

use crate::deployment::{backend, configuration, service, zone_name};

const MEASURED_TIME: Duration = Duration::from_secs(2);
const WARM_UP_TIME: Duration = Duration::from_millis(300);
const SENDERS: usize = 3;
const FLOWS: u32 = 10_000;
const PAYLOAD: [u8; 100] = [7; 100];
const SOCKET_BUFFER_BYTES: usize = 8 << 20;

fn open_socket() -> UdpSocket {
    let socket = UdpSocket::bind(("127.0.0.1", 0)).expect("binding to a free loopback port failed");
    socket
        .set_read_timeout(Some(Duration::from_millis(50)))
        .expect("setting the read timeout failed");
    setsockopt(&socket, sockopt::RcvBuf, &SOCKET_BUFFER_BYTES)
        .expect("setting the receive buffer size failed");
    setsockopt(&socket, sockopt::SndBuf, &SOCKET_BUFFER_BYTES)
        .expect("setting the send buffer size failed");

    socket
}

fn caller_address(number: u32) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::from(0xc612_0000 + number).into(), 4_000)
}

fn raw_token_keys() -> RawTokenKeys {
    RawTokenKeys { flow_hash: (1, 2), current: 1, keys: vec![(1, 3, 4)] }
}

/// Returns one encoded packet of each flow, with a token for a backend server if a configuration is
/// given.
fn packets(
    kind: PacketKind,
    token_configuration: Option<&valvestage_core::Configuration>,
) -> Vec<Vec<u8>> {
    let keys = TokenKeys::new(1, raw_token_keys());

    let packet = |number: u32| {
        let mut header = Header::new(kind);
        let key = keys.hasher().key(caller_address(number), 1);
        let target = token_configuration.and_then(|known| known.backend(number % 14 + 1));
        header.token = target.and_then(|backend| keys.issue(key, backend));
        let envelope = Envelope {
            caller: caller_address(number),
            service: service(1).address,
            header,
            payload: &PAYLOAD,
        };
        encode(&envelope).expect("envelope must fit into a datagram")
    };
    (0..FLOWS).map(packet).collect()
}

/// Sends packets to an address as fast as possible until the stop flag is set.
fn flood(socket: &UdpSocket, to: SocketAddr, packets: &[Vec<u8>], is_stopped: &AtomicBool) {
    let metrics = BalancerMetrics::default();
    let batches: Vec<Vec<Outbound>> = packets
        .chunks(BATCH_DATAGRAMS)
        .map(|part| part.iter().map(|bytes| Outbound { to, bytes: bytes.clone() }).collect())
        .collect();

    while !is_stopped.load(Ordering::Relaxed) {
        for batch in &batches {
            send_all(socket, batch, &metrics);
        }
    }
}

/// Floods a subject from several senders, and returns the packets per second that the subject sends
/// after the warm-up.
fn measure(
    to: SocketAddr,
    fabric: &UdpSocket,
    packets: &[Vec<u8>],
    sent: impl Fn() -> u64,
    is_stopped: &AtomicBool,
) -> f64 {
    thread::scope(|scope| {
        for _ in 0..SENDERS {
            scope.spawn(|| flood(fabric, to, packets, is_stopped));
        }

        thread::sleep(WARM_UP_TIME);
        let (from, began) = (sent(), Instant::now());
        thread::sleep(MEASURED_TIME);
        let count = sent() - from;
        let rate =
            f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / began.elapsed().as_secs_f64();
        is_stopped.store(true, Ordering::Relaxed);
        rate
    })
}

/// Measures a bare relay, which forwards batches in one thread without inspecting them. Returns the
/// packets per second.
pub fn measure_relay() -> f64 {
    let (socket, fabric, sink) = (open_socket(), open_socket(), open_socket());
    let to = socket.local_addr().expect("socket must have a local address");
    let sink_address = sink.local_addr().expect("socket must have a local address");
    let is_stopped = AtomicBool::new(false);
    let sent = AtomicU64::new(0);
    let packets = packets(PacketKind::Data, None);

    thread::scope(|scope| {
        scope.spawn(|| {
            let metrics = BalancerMetrics::default();
            let mut buffers = vec![[0; RECEIVE_BUFFER_BYTES]; BATCH_DATAGRAMS];
            while !is_stopped.load(Ordering::Relaxed) {
                let Ok(batch) = receive_batch(&socket, &mut buffers) else {
                    continue;
                };
                let out: Vec<Outbound> = batch
                    .into_iter()
                    .map(|inbound| Outbound { to: sink_address, bytes: inbound.bytes })
                    .collect();
                send_all(&socket, &out, &metrics);
                sent.fetch_add(out.len() as u64, Ordering::Relaxed);
            }
        });
        measure(to, &fabric, &packets, || sent.load(Ordering::Relaxed), &is_stopped)
    })
}

/// Measures the three data path threads of a balancer with established flows, which it finds by its
/// table or by tokens. Returns the packets per second.
pub fn measure_balancer(with_token: bool) -> f64 {
    let (socket, fabric) = (open_socket(), open_socket());
    let to = socket.local_addr().expect("socket must have a local address");
    let sinks: Vec<UdpSocket> = (0..14).map(|_| open_socket()).collect();
    let records = (1..).zip(&sinks).map(|(id, sink)| {
        let mut record = backend(id, 1, 3, 3);
        record.address = sink.local_addr().expect("socket must have a local address");
        record.connections = u16::MAX;
        record
    });
    let known = Arc::new(configuration(1, 1, records.collect()));
    let packets = packets(PacketKind::Data, with_token.then_some(&*known));

    let metrics = Arc::new(BalancerMetrics::default());
    let options = DataOptions {
        policy: BalancerOptions::new(1, zone_name(0)),
        fabric_addresses: vec![fabric.local_addr().expect("socket must have a local address")],
    };
    let mut handler = DataHandler::new(options, metrics.clone(), SystemTime::now());
    let mut out = Vec::new();
    let view = LiveView::new([(1, zone_name(0))]);
    for command in [
        Command::InstallConfiguration(known),
        Command::InstallKeys(TokenKeys::new(1, raw_token_keys())),
        Command::InstallView { view, addresses: BTreeMap::new() },
    ] {
        handler.on_command(SystemTime::now(), command, &mut out);
    }
    let fabric_address = fabric.local_addr().expect("socket must have a local address");
    for packet in self::packets(PacketKind::Open, None) {
        handler.on_datagram(SystemTime::now(), fabric_address, &packet, &mut out);
    }

    run_threads(handler, socket, &fabric, to, &packets, &metrics)
}

fn run_threads(
    handler: DataHandler,
    socket: UdpSocket,
    fabric: &UdpSocket,
    to: SocketAddr,
    packets: &[Vec<u8>],
    metrics: &Arc<BalancerMetrics>,
) -> f64 {
    let is_stopped = AtomicBool::new(false);
    let (inbound_sender, inbound) = batch_ring(metrics.clone());
    let (outbound_sender, outbound) = batch_ring(metrics.clone());
    let (commands_sender, commands) = bounded(16);

    thread::scope(|scope| {
        scope.spawn(|| receive_loop(&socket, &inbound_sender, metrics, &is_stopped));
        scope.spawn(move || decide_loop(handler, &inbound, &commands, &outbound_sender));
        scope.spawn(|| send_loop(&socket, &outbound, metrics));

        let rate = measure(to, fabric, packets, || metrics.sent.get(), &is_stopped);
        let _ = commands_sender.send(Command::Stop);
        rate
    })
}
