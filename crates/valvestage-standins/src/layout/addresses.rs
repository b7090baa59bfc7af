//! Allocation of free loopback addresses, with ports chosen by the kernel.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of pools that a process can create before their IP addresses repeat.
const POOLS_PER_PROCESS: u32 = 16;

/// Allocator of free loopback addresses. It keeps a socket on each until it is dropped, so that it
/// returns none twice.
///
/// The ports are free from the drop of the pool until the processes that use them have started.
/// Each pool has an IP address of its own in 127.0.0.0/8, so that in this time the ports can be
/// taken neither by another deployment nor by outgoing connections, which come from 127.0.0.1.
#[derive(Debug)]
pub struct AddressPool {
    ip: IpAddr,
    udp_sockets: Vec<UdpSocket>,
    tcp_listeners: Vec<TcpListener>,
}

impl AddressPool {
    /// Creates a pool on an IP address that follows from the process id and the number of the pool.
    #[must_use]
    pub fn new() -> Self {
        static POOL_COUNT: AtomicU32 = AtomicU32::new(0);
        let pool = POOL_COUNT.fetch_add(1, Ordering::Relaxed) % POOLS_PER_PROCESS;
        let number = std::process::id().wrapping_mul(POOLS_PER_PROCESS) + pool;

        // The last byte is never 0 or 255, and the second never 0, which excludes 127.0.0.1.
        let [_, high, middle, low] = number.to_be_bytes();
        let ip = Ipv4Addr::new(127, 1 + high % 254, middle, 1 + low % 254);
        Self { ip: ip.into(), udp_sockets: Vec::new(), tcp_listeners: Vec::new() }
    }

    /// Allocates a free UDP address.
    pub fn allocate_udp(&mut self) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind((self.ip, 0))?;
        let address = socket.local_addr()?;

        self.udp_sockets.push(socket);
        Ok(address)
    }

    /// Allocates a free TCP address.
    pub fn allocate_tcp(&mut self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.ip, 0))?;
        let address = listener.local_addr()?;

        self.tcp_listeners.push(listener);
        Ok(address)
    }
}

impl Default for AddressPool {
    fn default() -> Self {
        Self::new()
    }
}
