//! The file from which all stand-ins learn the addresses.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

/// `BalancerLayout` is the addresses of one balancer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BalancerLayout {
    /// Its number.
    pub id: u32,
    /// Its availability zone.
    pub zone: String,
    /// UDP address of the data path.
    pub data: SocketAddr,
    /// TCP address of the peer service.
    pub peer: SocketAddr,
    /// TCP address of metrics and health.
    pub admin: SocketAddr,
}

/// `Layout` is the addresses of a deployment on one machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Layout {
    /// Where callers send to the fabric.
    pub fabric_callers: SocketAddr,
    /// Where balancers meet the fabric.
    pub fabric_balancers: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// The operators' API.
    pub operator: SocketAddr,
    /// The balancers.
    pub balancers: Vec<BalancerLayout>,
}

impl Layout {
    /// Name of the file in its folder.
    pub const FILE: &str = "layout.json";

    /// `read` reads the file from its folder.
    pub fn read(folder: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(folder.join(Self::FILE))?;

        serde_json::from_str(&text).map_err(io::Error::other)
    }

    /// `write` writes the file into its folder.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let text = serde_json::to_string_pretty(self).map_err(io::Error::other)?;

        std::fs::write(folder.join(Self::FILE), text)
    }
}
