//! The addresses of a run: loopback only, one address a machine.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};

/// Zones of the small deployment that the sheet of armor-rencontres describes.
pub const ZONES: [&str; 3] = ["brest-a", "quimper-b", "lorient-c"];
pub const REGION: &str = "bzh-ouest";

#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// Second byte of all addresses of the run.
    net: u8,
    /// Port of `data_plane_addr`, at which clients get their packets, too.
    pub data_port: u16,
}

impl Site {
    /// Chooses a loopback network whose ports are free.
    pub fn choose() -> Result<Self, String> {
        let process = std::process::id();
        for attempt in 0..200_u32 {
            let mixed = process.wrapping_mul(2_654_435_761).wrapping_add(attempt * 97);
            let site = Self {
                net: 16 + (mixed >> 8) as u8 % 200,
                data_port: 20_000 + (mixed % 10_000) as u16,
            };
            if site.is_free() {
                return Ok(site);
            }
        }
        Err("no free loopback network".to_owned())
    }

    fn is_free(&self) -> bool {
        (1..=8).all(|number| {
            let address = self.balancer(number);
            UdpSocket::bind((address, self.data_port)).is_ok()
                && UdpSocket::bind((address, self.peer_port())).is_ok()
                && TcpListener::bind((address, self.ready_port())).is_ok()
                && TcpListener::bind((address, self.control_port())).is_ok()
        }) && TcpListener::bind((self.store(), self.store_port())).is_ok()
    }

    pub fn ready_port(&self) -> u16 {
        self.data_port + 1
    }

    pub fn control_port(&self) -> u16 {
        self.data_port + 2
    }

    pub fn peer_port(&self) -> u16 {
        self.data_port + 3
    }

    pub fn store_port(&self) -> u16 {
        self.data_port + 4
    }

    pub fn backend_port(&self) -> u16 {
        self.data_port + 5
    }

    pub fn store(&self) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 0, 1)
    }

    pub fn balancer(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 1, number)
    }

    pub fn backend(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 2, number)
    }

    pub fn client(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 3, number)
    }

    /// Address of a route; nobody listens there.
    pub fn route(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 9, number)
    }
}
