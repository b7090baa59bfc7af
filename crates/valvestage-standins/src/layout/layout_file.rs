//! File from which all stand-ins read the addresses of a deployment.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

/// Addresses of one balancer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BalancerLayout {
    /// Id of the balancer, from 1.
    pub id: u32,
    /// Name of its availability zone.
    pub zone: String,
    /// UDP address of the data path.
    pub data: SocketAddr,
    /// TCP address on which it accepts connections of other balancers.
    pub peer: SocketAddr,
    /// TCP address of its admin API with metrics and health checks.
    pub admin: SocketAddr,
}

/// Addresses of a deployment on the loopback network.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Layout {
    /// UDP address of the fabric to which callers send.
    pub fabric_callers: SocketAddr,
    /// UDP address of the fabric from which balancers receive packets and to which they send.
    pub fabric_balancers: SocketAddr,
    /// TCP address of the platform's object API.
    pub platform: SocketAddr,
    /// TCP address of the operators' API.
    pub operator: SocketAddr,
    /// Addresses of the balancers, by id.
    pub balancers: Vec<BalancerLayout>,
}

impl Layout {
    /// Name of the file in the folder of the deployment.
    pub const FILE: &str = "layout.json";

    /// Reads the layout from the folder of the deployment.
    pub fn read(folder: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(folder.join(Self::FILE))?;

        serde_json::from_str(&text).map_err(io::Error::other)
    }

    /// Writes the layout into the folder of the deployment.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let text = serde_json::to_string_pretty(self).map_err(io::Error::other)?;

        std::fs::write(folder.join(Self::FILE), text)
    }
}
