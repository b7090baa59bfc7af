//! Many UDP sockets, read by one thread.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};

/// Longest datagram.
const MAX_BYTES: usize = 2_048;

/// `SocketSet` holds sockets by number.
pub struct SocketSet {
    poll: Poll,
    events: Events,
    sockets: Vec<UdpSocket>,
}

/// `Datagram` is what came in.
pub struct Datagram {
    /// Number of the socket.
    pub socket: usize,
    /// Who sent it.
    pub sender: SocketAddrV4,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

impl SocketSet {
    /// `bind` takes the addresses; the sockets are numbered in their order.
    pub fn bind(addresses: &[SocketAddrV4]) -> io::Result<Self> {
        let poll = Poll::new()?;
        let mut sockets = Vec::with_capacity(addresses.len());

        for (number, address) in addresses.iter().enumerate() {
            let mut socket = UdpSocket::bind(SocketAddr::V4(*address))?;
            poll.registry().register(&mut socket, Token(number), Interest::READABLE)?;
            sockets.push(socket);
        }
        let events = Events::with_capacity(sockets.len().max(1));
        Ok(Self { poll, events, sockets })
    }

    /// `send` sends from a socket. One that cannot be sent is like one that is lost.
    pub fn send(&self, socket: usize, to: SocketAddrV4, bytes: &[u8]) {
        if let Err(error) = self.sockets[socket].send_to(bytes, SocketAddr::V4(to)) {
            log::debug!("send datagram to {to}: {error}");
        }
    }

    /// `receive` waits for datagrams, and gives all that are there.
    pub fn receive(&mut self, wait: Duration) -> io::Result<Vec<Datagram>> {
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }

        let ready: Vec<usize> = self.events.iter().map(|event| event.token().0).collect();
        let mut datagrams = Vec::new();
        for socket in ready {
            self.read_all(socket, &mut datagrams);
        }
        Ok(datagrams)
    }

    fn read_all(&self, socket: usize, datagrams: &mut Vec<Datagram>) {
        let mut bytes = [0; MAX_BYTES];

        // An error of an earlier send may be told here; the next read goes on.
        loop {
            match self.sockets[socket].recv_from(&mut bytes) {
                Ok((length, SocketAddr::V4(sender))) => {
                    datagrams.push(Datagram { socket, sender, bytes: bytes[..length].to_vec() });
                }
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => log::debug!("receive datagram: {error}"),
            }
        }
    }
}
