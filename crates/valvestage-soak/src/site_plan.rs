//! Addresses, ports and zones of a run's site.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::sync::Arc;

use crate::held_port::{HeldPort, Transport};

/// Number of availability zones.
pub const ZONES: usize = 3;

/// Number of caller addresses in each zone. Balancers need several callers that miss answers to
/// conclude that a backend server is dead.
pub const CALLERS_PER_ZONE: usize = 8;

/// Service address whose route never changes.
pub const STEADY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Service address whose route alternates between the two services with each configuration.
pub const SWITCHING: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

/// Service address that only some configurations have a route for.
pub const INTERMITTENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 3), 443);

/// Service address whose route never changes and has a higher priority than all others.
pub const URGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 4), 443);

/// Priority of the least urgent service addresses.
pub const MAX_PRIORITY: u8 = 2;

/// Returns the priority of a service address in the configuration; 0 is the most urgent.
#[must_use]
pub fn priority_of(address: SocketAddrV4) -> u8 {
    if address == URGENT { 0 } else { MAX_PRIORITY }
}

/// Names of the services.
pub const SERVICES: [&str; 2] = ["core", "photos"];

/// Name of the service that each service address is routed to.
pub type Routes = BTreeMap<SocketAddrV4, &'static str>;

/// Returns the service of [`SERVICES`] that is not `service`.
#[must_use]
pub fn other_service(service: &str) -> &'static str {
    if service == SERVICES[0] { SERVICES[1] } else { SERVICES[0] }
}

// Kinds of addresses: the third octet of the first 250 addresses of each kind.
const BALANCERS: u8 = 0;
const RELAYS: u8 = 10;
const BACKENDS: u8 = 20;
const CALLERS: u8 = 40;

/// Kind of the address at which ports are held; nothing else uses it.
const HOLDERS: u8 = 60;

/// Address plan of a run. Concurrent runs may share a loopback network, also those of different
/// processes; their ports differ. The kernel chooses the ports, which are the same for all simulated
/// VMs and are reserved until the last copy of the plan is dropped.
#[derive(Debug, Clone)]
pub struct SitePlan {
    /// Second octet of all addresses.
    network: u8,
    /// Number of balancers.
    pub balancers: usize,
    /// Number of backend server addresses, each used by one instance at a time.
    pub backends: usize,
    /// UDP port of balancers for callers' packets; backend servers and callers use it as well.
    pub data_port: u16,
    /// Port of the balancers' readiness endpoint.
    pub ready_port: u16,
    /// Port of the balancers' control endpoint, which serves metrics.
    pub control_port: u16,
    /// UDP port for messages between balancers.
    pub peer_port: u16,
    /// Keep the ports from all sockets but those of the site.
    _held_ports: Arc<[HeldPort]>,
}

impl SitePlan {
    /// Creates a plan with free ports chosen by the kernel, and a network derived from the process
    /// id.
    pub fn new(balancers: usize, backends: usize) -> io::Result<Self> {
        const NETWORKS: u32 = 250;
        let network = u8::try_from(std::process::id() % NETWORKS + 1).unwrap_or(1);
        let ips = |kind, count| (0..count).map(move |number| address(network, kind, number));
        let take = |transport, users: &[Ipv4Addr]| {
            HeldPort::take(transport, address(network, HOLDERS, 0), users)
        };

        let vms: Vec<_> = ips(BALANCERS, balancers).collect();
        let senders: Vec<_> = ips(BALANCERS, balancers)
            .chain(ips(BACKENDS, backends))
            .chain(ips(CALLERS, ZONES * CALLERS_PER_ZONE))
            .collect();
        let peers: Vec<_> = ips(BALANCERS, balancers).chain(ips(RELAYS, balancers)).collect();
        let data = take(Transport::Udp, &senders)?;
        let ready = take(Transport::Tcp, &vms)?;
        let control = take(Transport::Tcp, &vms)?;
        let peer = take(Transport::Udp, &peers)?;

        Ok(Self {
            network,
            balancers,
            backends,
            data_port: data.port(),
            ready_port: ready.port(),
            control_port: control.port(),
            peer_port: peer.port(),
            _held_ports: [data, ready, control, peer].into(),
        })
    }

    /// Returns the zone of the balancer, backend server or caller with a number.
    #[must_use]
    pub fn zone_of(number: usize) -> usize {
        number % ZONES
    }

    /// Returns the name of a zone as settings and the store use it, for example `zone-a`.
    #[must_use]
    pub fn zone_name(zone: usize) -> String {
        format!("zone-{}", ["a", "b", "c"][zone % ZONES])
    }

    /// Returns the IP address that a balancer binds.
    #[must_use]
    pub fn balancer(&self, number: usize) -> Ipv4Addr {
        self.address(BALANCERS, number)
    }

    /// Returns the IP address of a balancer's peer relay, which the balancer advertises to the
    /// others.
    #[must_use]
    pub fn relay(&self, number: usize) -> Ipv4Addr {
        self.address(RELAYS, number)
    }

    /// Returns the address of a backend server.
    #[must_use]
    pub fn backend(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(BACKENDS, number), self.data_port)
    }

    /// Returns the address at which a caller of a zone receives answers.
    #[must_use]
    pub fn caller(&self, zone: usize, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(CALLERS, zone * CALLERS_PER_ZONE + number), self.data_port)
    }

    /// Returns the number of the balancer with an IP address, or `None` if no balancer has it.
    #[must_use]
    pub fn balancer_at(&self, ip: Ipv4Addr) -> Option<usize> {
        (0..self.balancers).find(|number| self.balancer(*number) == ip)
    }

    fn address(&self, kind: u8, number: usize) -> Ipv4Addr {
        address(self.network, kind, number)
    }
}

fn address(network: u8, kind: u8, number: usize) -> Ipv4Addr {
    const HOSTS: usize = 250;
    let high = u8::try_from(number / HOSTS).unwrap_or(u8::MAX);
    let low = u8::try_from(number % HOSTS + 1).unwrap_or(u8::MAX);

    Ipv4Addr::new(127, network, kind + high, low)
}

/// Binds a TCP listener on loopback, at a port that the kernel chooses, and returns it with its
/// address.
pub fn bind_listener() -> io::Result<(TcpListener, SocketAddrV4)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let port = listener.local_addr()?.port();

    Ok((listener, SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)))
}
