//! Who is where.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};

/// Availability zones.
pub const ZONES: usize = 3;

/// The address whose route never changes.
pub const STEADY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// The address that leads to one service or the other, by the configuration.
pub const SWITCHING: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

/// The address that only some configurations have.
pub const COMING: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 3), 443);

/// Names of the services.
pub const SERVICES: [&str; 2] = ["core", "photos"];

/// `Routes` gives the service of each address.
pub type Routes = BTreeMap<SocketAddrV4, &'static str>;

/// `other_service` gives the service that is not the one given.
#[must_use]
pub fn other_service(service: &str) -> &'static str {
    if service == SERVICES[0] { SERVICES[1] } else { SERVICES[0] }
}

/// `SitePlan` gives every address of a run. Loopback addresses of their own keep runs apart; ports come
/// from the kernel and are alike on all VMs.
#[derive(Debug, Clone)]
pub struct SitePlan {
    /// Second number of all addresses.
    network: u8,
    /// Balancers.
    pub balancers: usize,
    /// Backend servers at one time.
    pub backends: usize,
    /// Where callers' packets arrive, and where callers hear answers.
    pub data_port: u16,
    /// Where readiness is asked for.
    pub ready_port: u16,
    /// Where metrics are asked for.
    pub control_port: u16,
    /// Where messages of balancers arrive.
    pub peer_port: u16,
}

impl SitePlan {
    /// `new` draws ports from the kernel.
    pub fn new(balancers: usize, backends: usize) -> io::Result<Self> {
        const NETWORKS: u32 = 250;
        let network = std::process::id() % NETWORKS + 1;
        // Held together, so that all differ.
        let held: Vec<UdpSocket> =
            (0..4).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
        let ports: Vec<u16> = held
            .iter()
            .map(|socket| socket.local_addr().map(|address| address.port()))
            .collect::<io::Result<_>>()?;

        Ok(Self {
            network: u8::try_from(network).unwrap_or(1),
            balancers,
            backends,
            data_port: ports[0],
            ready_port: ports[1],
            control_port: ports[2],
            peer_port: ports[3],
        })
    }

    /// `zone_of` gives the zone of a balancer, backend server or caller by its number.
    #[must_use]
    pub fn zone_of(number: usize) -> usize {
        number % ZONES
    }

    /// `zone_name` gives the name of a zone.
    #[must_use]
    pub fn zone_name(zone: usize) -> String {
        format!("zone-{}", ["a", "b", "c"][zone % ZONES])
    }

    /// `balancer` gives the address of a balancer.
    #[must_use]
    pub fn balancer(&self, number: usize) -> Ipv4Addr {
        self.address(0, number)
    }

    /// `relay` gives the address by which other balancers know one.
    #[must_use]
    pub fn relay(&self, number: usize) -> Ipv4Addr {
        self.address(10, number)
    }

    /// `backend` gives the address of a backend server.
    #[must_use]
    pub fn backend(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(20, number), self.data_port)
    }

    /// `caller` gives where the callers of a zone hear answers.
    #[must_use]
    pub fn caller(&self, zone: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(40, zone), self.data_port)
    }

    /// `balancer_at` gives the number of the balancer with an address.
    #[must_use]
    pub fn balancer_at(&self, ip: Ipv4Addr) -> Option<usize> {
        (0..self.balancers).find(|number| self.balancer(*number) == ip)
    }

    fn address(&self, kind: u8, number: usize) -> Ipv4Addr {
        const HOSTS: usize = 250;
        let high = u8::try_from(number / HOSTS).unwrap_or(u8::MAX);
        let low = u8::try_from(number % HOSTS + 1).unwrap_or(u8::MAX);

        Ipv4Addr::new(127, self.network, kind + high, low)
    }
}

/// `listen` gives a listener at a port of the kernel's.
pub fn listen() -> io::Result<(TcpListener, SocketAddrV4)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let port = listener.local_addr()?.port();

    Ok((listener, SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)))
}
