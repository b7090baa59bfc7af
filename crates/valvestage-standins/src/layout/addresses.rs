//! Free ports, chosen by the kernel.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// `AddressPool` hands out loopback addresses; all stay taken until it is dropped, so that none is
/// handed out twice.
#[derive(Debug, Default)]
pub struct AddressPool {
    udp: Vec<UdpSocket>,
    tcp: Vec<TcpListener>,
}

impl AddressPool {
    /// `udp` gives a free UDP address.
    pub fn udp(&mut self) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind(("127.0.0.1", 0))?;
        let address = socket.local_addr()?;

        self.udp.push(socket);
        Ok(address)
    }

    /// `tcp` gives a free TCP address.
    pub fn tcp(&mut self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;

        self.tcp.push(listener);
        Ok(address)
    }
}
