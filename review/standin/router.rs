//! The platform's routers: which balancers are in, and which of them gets a packet.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::site::Site;

const PROBE_EVERY: Duration = Duration::from_millis(500);
const MISSES_TO_LEAVE: u32 = 2;

struct Node {
    address: Ipv4Addr,
    zone: &'static str,
    is_in: bool,
    misses: u32,
}

#[derive(Clone)]
pub struct Router {
    nodes: Arc<Mutex<Vec<Node>>>,
}

impl Router {
    pub fn start(site: Site, balancers: &[(u8, &'static str)]) -> Self {
        let router = Self { nodes: Arc::default() };
        for (number, zone) in balancers {
            router.add(site, site.balancer(*number), zone, Duration::ZERO);
        }
        router
    }

    /// Adds a balancer, which is asked for its readiness for the first time after `first_probe`.
    pub fn add(&self, site: Site, address: Ipv4Addr, zone: &'static str, first_probe: Duration) {
        self.nodes.lock().unwrap().push(Node { address, zone, is_in: false, misses: 0 });
        let probing = self.clone();
        thread::spawn(move || {
            thread::sleep(first_probe);
            probing.probe(site, address);
        });
    }

    /// Removes a balancer that was taken away.
    pub fn remove(&self, address: Ipv4Addr) {
        self.nodes.lock().unwrap().retain(|node| node.address != address);
    }

    fn probe(&self, site: Site, address: Ipv4Addr) {
        loop {
            let is_ready = is_ready(SocketAddrV4::new(address, site.ready_port()));
            {
                let mut nodes = self.nodes.lock().unwrap();
                let Some(node) = nodes.iter_mut().find(|node| node.address == address) else {
                    return;
                };
                node.misses = if is_ready { 0 } else { node.misses + 1 };
                node.is_in = is_ready || node.is_in && node.misses < MISSES_TO_LEAVE;
            }
            thread::sleep(PROBE_EVERY);
        }
    }

    pub fn all_are_in(&self) -> bool {
        self.nodes.lock().unwrap().iter().all(|node| node.is_in)
    }

    /// Returns the balancer in a zone that gets the packets of a flow (`hash` is `steady`).
    pub fn pick(&self, zone: &str, flow: (Ipv4Addr, u16, Ipv4Addr, u16)) -> Option<Ipv4Addr> {
        let nodes = self.nodes.lock().unwrap();
        let of_zone: Vec<&Node> = nodes.iter().filter(|node| node.zone == zone).collect();
        let are_in = of_zone.iter().filter(|node| node.is_in).count();
        let uses_all = are_in * 2 < of_zone.len();
        let candidates = of_zone.iter().filter(|node| uses_all || node.is_in);

        candidates.max_by_key(|node| weight(flow, node.address)).map(|node| node.address)
    }
}

fn weight((src, sport, dst, dport): (Ipv4Addr, u16, Ipv4Addr, u16), node: Ipv4Addr) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let ports = [sport.to_le_bytes(), dport.to_le_bytes()].concat();
    let parts = [src.octets().to_vec(), dst.octets().to_vec(), ports, node.octets().to_vec()];
    for byte in parts.concat() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^ (hash >> 32)
}

fn is_ready(address: SocketAddrV4) -> bool {
    let wait = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::V4(address), wait) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(wait));
    let request = format!("GET /-/readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut start = [0; 12];
    stream.read_exact(&mut start).is_ok() && start.ends_with(b"200")
}
