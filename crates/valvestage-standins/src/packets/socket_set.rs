//! Set of UDP sockets that one thread polls.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};

/// Size of the receive buffer; no datagram is longer.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// UDP sockets, numbered in the order of their addresses.
pub struct SocketSet {
    poll: Poll,
    events: Events,
    sockets: Vec<UdpSocket>,
}

/// Received datagram.
pub struct Datagram {
    /// Number of the socket that received it.
    pub socket: usize,
    /// Address of the sender.
    pub sender: SocketAddrV4,
    /// Content of the datagram.
    pub bytes: Vec<u8>,
}

impl SocketSet {
    /// Binds a socket to each of the addresses.
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

    /// Sends a datagram from a socket. An error is logged only: to the receiver it is the loss of
    /// the datagram.
    pub fn send(&self, socket: usize, to: SocketAddrV4, bytes: &[u8]) {
        if let Err(error) = self.sockets[socket].send_to(bytes, SocketAddr::V4(to)) {
            log::debug!("failed to send a datagram to {to}: {error}");
        }
    }

    /// Waits until a socket is readable or the time has passed, and returns all datagrams that have
    /// arrived.
    pub fn receive(&mut self, timeout: Duration) -> io::Result<Vec<Datagram>> {
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }

        let readable: Vec<usize> = self.events.iter().map(|event| event.token().0).collect();
        let mut datagrams = Vec::new();
        for socket in readable {
            self.receive_all(socket, &mut datagrams);
        }
        Ok(datagrams)
    }

    fn receive_all(&self, socket: usize, datagrams: &mut Vec<Datagram>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];

        // An error of an earlier send may be reported by this read; the next one continues.
        loop {
            match self.sockets[socket].recv_from(&mut bytes) {
                Ok((length, SocketAddr::V4(sender))) => {
                    datagrams.push(Datagram { socket, sender, bytes: bytes[..length].to_vec() });
                }
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => log::debug!("failed to receive a datagram: {error}"),
            }
        }
    }
}
