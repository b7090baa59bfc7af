//! Settings of `valvestage-balancer`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

use crate::errors::CoreError;
use crate::ids::{BalancerId, ZoneName};

/// `PeerSettings` is one balancer of the deployment that is known from the start.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Number of the balancer.
    pub id: BalancerId,
    /// Availability zone of its VM.
    pub zone: ZoneName,
    /// UDP address of its data path.
    pub data_address: SocketAddr,
    /// TCP address of its peer service.
    pub peer_address: SocketAddr,
}

/// `RawBalancerSettings` is the settings file as written, unchecked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBalancerSettings {
    /// Number of this balancer.
    pub id: BalancerId,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// UDP address of the data path.
    pub data_address: SocketAddr,
    /// TCP address of the peer service.
    pub peer_address: SocketAddr,
    /// TCP address of `/metrics`, `/livez`, `/readyz`.
    pub admin_address: SocketAddr,
    /// Sources from which enveloped caller packets are taken.
    pub fabric_addresses: Vec<SocketAddr>,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// File with the bearer token for the platform.
    pub platform_token_file: Option<PathBuf>,
    /// File with the key that peers prove to each other.
    pub peer_key_file: PathBuf,
    /// File with the bearer token for `/status` and `/decisions`.
    pub admin_token_file: PathBuf,
    /// Balancers known from the start, this one included or not.
    pub peers: Vec<PeerSettings>,
    /// `text` or `json`.
    #[serde(default = "default_log_format")]
    pub log_format: String,
    /// Interval between heartbeats, milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Silence after which a balancer is taken as dead, milliseconds.
    #[serde(default = "default_dead_after_ms")]
    pub dead_after_ms: u64,
    /// Length of a lease, milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Bound on the difference between two VMs' clocks, milliseconds.
    #[serde(default = "default_clock_bound_ms")]
    pub clock_bound_ms: u64,
    /// Furthest deadline that a request may have, milliseconds ahead.
    #[serde(default = "default_max_deadline_ms")]
    pub max_deadline_ms: u64,
    /// Time that a planned stop may take, milliseconds.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
}

fn default_log_format() -> String {
    "text".to_owned()
}

const fn default_heartbeat_ms() -> u64 {
    300
}

const fn default_dead_after_ms() -> u64 {
    2_000
}

const fn default_lease_ms() -> u64 {
    6_000
}

const fn default_clock_bound_ms() -> u64 {
    250
}

const fn default_max_deadline_ms() -> u64 {
    10_000
}

const fn default_stop_ms() -> u64 {
    30_000
}

/// `BalancerSettings` is the checked settings of one balancer.
#[derive(Debug, Clone)]
pub struct BalancerSettings {
    /// Number of this balancer.
    pub id: BalancerId,
    /// Availability zone of this VM; not empty.
    pub zone: ZoneName,
    /// UDP address of the data path.
    pub data_address: SocketAddr,
    /// TCP address of the peer service.
    pub peer_address: SocketAddr,
    /// TCP address of `/metrics`, `/livez`, `/readyz`.
    pub admin_address: SocketAddr,
    /// Sources from which enveloped caller packets are taken; not empty.
    pub fabric_addresses: Vec<SocketAddr>,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// File with the bearer token for the platform.
    pub platform_token_file: Option<PathBuf>,
    /// File with the key that peers prove to each other.
    pub peer_key_file: PathBuf,
    /// File with the bearer token for `/status` and `/decisions`.
    pub admin_token_file: PathBuf,
    /// Balancers known from the start, without this one; ids are unique.
    pub peers: Vec<PeerSettings>,
    /// Whether log lines are JSON.
    pub log_json: bool,
    /// Interval between heartbeats; 50 ms to 10 s.
    pub heartbeat_interval: Duration,
    /// Silence after which a balancer is taken as dead; at least three heartbeats.
    pub dead_after: Duration,
    /// Length of a lease; more than four clock bounds.
    pub lease_length: Duration,
    /// Bound on the difference between two VMs' clocks.
    pub clock_bound: Duration,
    /// Furthest deadline that a request may have; 1 s to 60 s ahead.
    pub max_deadline: Duration,
    /// Time that a planned stop may take.
    pub stop_within: Duration,
}

impl BalancerSettings {
    /// `read` reads and checks a settings file.
    pub fn read(file: &Path) -> Result<Self, CoreError> {
        let raw: RawBalancerSettings = super::read_raw(file)?;

        Self::try_from((file, raw))
    }
}

impl TryFrom<(&Path, RawBalancerSettings)> for BalancerSettings {
    type Error = CoreError;

    fn try_from((file, raw): (&Path, RawBalancerSettings)) -> Result<Self, CoreError> {
        let refuse = |key, value: String, accepted| {
            Err(CoreError::BadSetting { file: file.display().to_string(), key, value, accepted })
        };

        // Names and lists.
        if raw.zone.is_empty() {
            return refuse("zone", "\"\"".into(), "the name of an availability zone");
        }
        if raw.fabric_addresses.is_empty() {
            return refuse("fabric_addresses", "[]".into(), "at least one address");
        }
        if raw.log_format != "text" && raw.log_format != "json" {
            return refuse("log_format", raw.log_format, "\"text\" or \"json\"");
        }

        // Times, each checked against those it must agree with.
        if !(50..=10_000).contains(&raw.heartbeat_ms) {
            return refuse("heartbeat_ms", raw.heartbeat_ms.to_string(), "50 to 10000");
        }
        if raw.dead_after_ms < 3 * raw.heartbeat_ms {
            return refuse(
                "dead_after_ms",
                raw.dead_after_ms.to_string(),
                "at least three times heartbeat_ms",
            );
        }
        if raw.lease_ms <= 4 * raw.clock_bound_ms || raw.lease_ms < 1_000 {
            return refuse(
                "lease_ms",
                raw.lease_ms.to_string(),
                "at least 1000 and more than four times clock_bound_ms",
            );
        }
        if !(1_000..=60_000).contains(&raw.max_deadline_ms) {
            return refuse("max_deadline_ms", raw.max_deadline_ms.to_string(), "1000 to 60000");
        }

        // Peers: unique ids, this balancer left out.
        let mut peers: Vec<PeerSettings> = Vec::new();
        for peer in raw.peers {
            if peers.iter().any(|known| known.id == peer.id) {
                return refuse("peers.id", peer.id.to_string(), "each id once");
            }
            peers.push(peer);
        }
        peers.retain(|peer| peer.id != raw.id);

        Ok(Self {
            id: raw.id,
            zone: raw.zone,
            data_address: raw.data_address,
            peer_address: raw.peer_address,
            admin_address: raw.admin_address,
            fabric_addresses: raw.fabric_addresses,
            platform_address: raw.platform_address,
            platform_token_file: raw.platform_token_file,
            peer_key_file: raw.peer_key_file,
            admin_token_file: raw.admin_token_file,
            peers,
            log_json: raw.log_format == "json",
            heartbeat_interval: Duration::from_millis(raw.heartbeat_ms),
            dead_after: Duration::from_millis(raw.dead_after_ms),
            lease_length: Duration::from_millis(raw.lease_ms),
            clock_bound: Duration::from_millis(raw.clock_bound_ms),
            max_deadline: Duration::from_millis(raw.max_deadline_ms),
            stop_within: Duration::from_millis(raw.stop_ms),
        })
    }
}
