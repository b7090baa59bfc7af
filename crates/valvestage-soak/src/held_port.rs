//! Ports that are reserved for sockets which other threads and processes bind later.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};

/// Number of ports that are tried before none counts as free.
const MAX_ATTEMPTS: usize = 32;

/// Transport protocol of a port. A port that is free for one protocol may be in use for the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// Listening TCP sockets.
    Tcp,
    /// UDP sockets.
    Udp,
}

/// Socket that keeps its port in use until it is dropped.
#[derive(Debug)]
enum BoundSocket {
    Tcp(TcpListener),
    Udp(UdpSocket),
}

impl BoundSocket {
    fn bind(transport: Transport, ip: Ipv4Addr, port: u16) -> io::Result<Self> {
        let address = SocketAddrV4::new(ip, port);

        match transport {
            Transport::Tcp => TcpListener::bind(address).map(Self::Tcp),
            Transport::Udp => UdpSocket::bind(address).map(Self::Udp),
        }
    }

    fn port(&self) -> io::Result<u16> {
        let address = match self {
            Self::Tcp(listener) => listener.local_addr(),
            Self::Udp(socket) => socket.local_addr(),
        };

        address.map(|address| address.port())
    }
}

/// Port that the kernel gives to no other socket while this value exists: neither to another holder
/// of the same protocol and address, nor to a socket that is bound to all addresses.
///
/// The addresses that use the port stay unbound, so that processes can bind them, also after a
/// restart.
#[derive(Debug)]
pub struct HeldPort {
    port: u16,
    _holder: BoundSocket,
}

impl HeldPort {
    /// Takes a port that the kernel chooses at the holder's address and that is free for the
    /// protocol at all `users`.
    pub fn take(transport: Transport, holder: Ipv4Addr, users: &[Ipv4Addr]) -> io::Result<Self> {
        for _ in 0..MAX_ATTEMPTS {
            let bound = BoundSocket::bind(transport, holder, 0)?;
            let port = bound.port()?;

            let are_free =
                users.iter().try_for_each(|ip| BoundSocket::bind(transport, *ip, port).map(drop));
            match are_free {
                Ok(()) => return Ok(Self { port, _holder: bound }),
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Returns the number of the port.
    #[must_use]
    pub fn port(&self) -> u16 {
        self.port
    }
}
