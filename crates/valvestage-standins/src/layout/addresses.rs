//! Free ports, chosen by the kernel.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// Pools that one process may have before their addresses repeat.
const POOLS_PER_PROCESS: u32 = 16;

/// `AddressPool` hands out loopback addresses; all stay taken until it is dropped, so that none is
/// handed out twice.
///
/// Between its end and the start of the processes that use them the ports are free. Each pool has
/// an address of its own in 127.0.0.0/8, so that neither another deployment nor the outgoing
/// connections of the machine, which come from 127.0.0.1, can take them meanwhile.
#[derive(Debug)]
pub struct AddressPool {
    ip: IpAddr,
    udp: Vec<UdpSocket>,
    tcp: Vec<TcpListener>,
}

impl AddressPool {
    /// `new` takes a loopback address that no other pool has.
    #[must_use]
    pub fn new() -> Self {
        static POOLS: AtomicU32 = AtomicU32::new(0);
        let pool = POOLS.fetch_add(1, Ordering::Relaxed) % POOLS_PER_PROCESS;
        let number = std::process::id().wrapping_mul(POOLS_PER_PROCESS) + pool;

        // Not 0 or 255 at the end, and not 127.0.0.1.
        let [_, high, middle, low] = number.to_be_bytes();
        let ip = Ipv4Addr::new(127, 1 + high % 254, middle, 1 + low % 254);
        Self { ip: ip.into(), udp: Vec::new(), tcp: Vec::new() }
    }

    /// `udp` gives a free UDP address.
    pub fn udp(&mut self) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind((self.ip, 0))?;
        let address = socket.local_addr()?;

        self.udp.push(socket);
        Ok(address)
    }

    /// `tcp` gives a free TCP address.
    pub fn tcp(&mut self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.ip, 0))?;
        let address = listener.local_addr()?;

        self.tcp.push(listener);
        Ok(address)
    }
}

impl Default for AddressPool {
    fn default() -> Self {
        Self::new()
    }
}
