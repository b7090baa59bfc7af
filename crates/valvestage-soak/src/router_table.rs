//! Routers, which probe the readiness of balancers and spread flows over the healthy ones.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use valvestage_platform::catalogue::READY_PATH;
use valvestage_policy::rendezvous::mix;
use valvestage_policy::steering::FlowAddresses;

use crate::site_plan::{SitePlan, ZONES};

/// Time between two readiness probes of a balancer.
pub const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for connecting, and for each read of the answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of consecutive failed probes after which a balancer counts as unhealthy.
const MISSES: u32 = 2;

/// Health of all balancers, shared by the probe threads and the callers.
#[derive(Clone)]
pub struct RouterTable {
    /// Number of consecutive failed probes of each balancer.
    misses: Arc<Mutex<Vec<u32>>>,
}

impl RouterTable {
    /// Creates a table in which every balancer is unhealthy until its first successful probe.
    #[must_use]
    pub fn new(plan: &SitePlan) -> Self {
        Self { misses: Arc::new(Mutex::new(vec![MISSES; plan.balancers])) }
    }

    /// Probes a balancer's readiness endpoint and records the result.
    pub fn ask(&self, number: usize, address: SocketAddrV4) {
        let is_ready = is_ready(address);
        let mut misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);

        misses[number] = if is_ready { 0 } else { misses[number].saturating_add(1) };
    }

    /// Returns the number of healthy balancers.
    #[must_use]
    pub fn count_in(&self) -> usize {
        let misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);

        misses.iter().filter(|count| **count < MISSES).count()
    }

    /// Returns the balancer for a packet from a zone, chosen by rendezvous hashing of its flow
    /// among the healthy balancers of the zone. If fewer than half of these are healthy, all
    /// balancers of the zone are candidates; if none is, the healthy ones of the other zones are.
    /// Returns `None` if there is no candidate.
    #[must_use]
    pub fn pick(&self, zone: usize, flow: &FlowAddresses) -> Option<usize> {
        let misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);
        let of_zone = |zone: usize| {
            (0..misses.len()).filter(move |number| SitePlan::zone_of(*number) == zone)
        };
        let in_zone: Vec<usize> = of_zone(zone).filter(|number| misses[*number] < MISSES).collect();

        let all = of_zone(zone).count();
        let candidates = match in_zone.len() {
            0 => (1..ZONES)
                .map(|step| (zone + step) % ZONES)
                .flat_map(of_zone)
                .filter(|number| misses[*number] < MISSES)
                .collect(),
            few if few * 2 < all => of_zone(zone).collect(),
            _ => in_zone,
        };
        let key = flow_key(flow);
        candidates.into_iter().max_by_key(|number| mix(key, *number as u64))
    }
}

fn flow_key(flow: &FlowAddresses) -> u64 {
    let word = |address: SocketAddrV4| {
        u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port())
    };

    mix(word(flow.caller), word(flow.service))
}

/// Reports whether a balancer answers with status 200. An error of any kind counts as not ready.
fn is_ready(address: SocketAddrV4) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), ASK_TIMEOUT)?;
        stream.set_read_timeout(Some(ASK_TIMEOUT))?;
        let host: &Ipv4Addr = address.ip();
        write!(stream, "GET {READY_PATH} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(head.ends_with(b"200"))
    };

    ask().unwrap_or(false)
}
