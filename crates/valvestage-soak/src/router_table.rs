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
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for connecting, and for each read of the answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of consecutive failed probes after which a balancer counts as unhealthy.
const UNHEALTHY_AFTER: u32 = 2;

/// Health of all balancers, shared by the probe threads and the callers.
#[derive(Clone)]
pub struct RouterTable {
    /// Number of consecutive failed probes of each balancer.
    failed_probes: Arc<Mutex<Vec<u32>>>,
}

impl RouterTable {
    /// Creates a table in which every balancer is unhealthy until its first successful probe.
    #[must_use]
    pub fn new(plan: &SitePlan) -> Self {
        Self { failed_probes: Arc::new(Mutex::new(vec![UNHEALTHY_AFTER; plan.balancers])) }
    }

    /// Probes a balancer's readiness endpoint and records the result.
    pub fn probe(&self, number: usize, address: SocketAddrV4) {
        let is_ready = is_ready(address);
        let mut failed_probes = self.failed_probes.lock().unwrap_or_else(PoisonError::into_inner);

        failed_probes[number] = if is_ready { 0 } else { failed_probes[number].saturating_add(1) };
    }

    /// Returns the number of healthy balancers.
    #[must_use]
    pub fn healthy_count(&self) -> usize {
        let failed_probes = self.failed_probes.lock().unwrap_or_else(PoisonError::into_inner);

        failed_probes.iter().filter(|count| **count < UNHEALTHY_AFTER).count()
    }

    /// Returns the balancer for a packet from a zone, chosen by rendezvous hashing of its flow
    /// among the healthy balancers of the zone. If fewer than half of the zone's balancers are
    /// healthy, all of them are candidates; if none is healthy, the healthy balancers of the other
    /// zones are the candidates. Returns `None` if there is no candidate.
    #[must_use]
    pub fn pick(&self, zone: usize, flow: &FlowAddresses) -> Option<usize> {
        let failed_probes = self.failed_probes.lock().unwrap_or_else(PoisonError::into_inner);
        let of_zone = |zone: usize| {
            (0..failed_probes.len()).filter(move |number| SitePlan::zone_of(*number) == zone)
        };
        let healthy: Vec<usize> =
            of_zone(zone).filter(|number| failed_probes[*number] < UNHEALTHY_AFTER).collect();

        let all = of_zone(zone).count();
        let candidates = match healthy.len() {
            0 => (1..ZONES)
                .map(|step| (zone + step) % ZONES)
                .flat_map(of_zone)
                .filter(|number| failed_probes[*number] < UNHEALTHY_AFTER)
                .collect(),
            few if few * 2 < all => of_zone(zone).collect(),
            _ => healthy,
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
    let probe = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), PROBE_TIMEOUT)?;
        stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
        let host: &Ipv4Addr = address.ip();
        write!(stream, "GET {READY_PATH} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(head.ends_with(b"200"))
    };

    probe().unwrap_or(false)
}
