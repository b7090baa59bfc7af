//! Settings of `valvestage-balancer`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

use crate::errors::CoreError;
use crate::ids::{BalancerId, ZoneName};

/// A balancer of the deployment that is listed in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Number of the balancer, unique in the deployment.
    pub id: BalancerId,
    /// Availability zone of its VM.
    pub zone: ZoneName,
    /// UDP address of its data path.
    pub data_address: SocketAddr,
    /// TCP address of its peer service.
    pub peer_address: SocketAddr,
}

/// Settings file of one balancer, not yet validated.
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
    /// TCP address of the admin server (`/metrics`, `/livez`, `/readyz`, `/status`, `/decisions`).
    pub admin_address: SocketAddr,
    /// Source addresses from which enveloped caller packets are accepted.
    pub fabric_addresses: Vec<SocketAddr>,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// File with the bearer token for the platform; `None` if the platform requires none.
    pub platform_token_file: Option<PathBuf>,
    /// File with the key by which peers authenticate each other.
    pub peer_key_file: PathBuf,
    /// File with the bearer token for `/status` and `/decisions`.
    pub admin_token_file: PathBuf,
    /// Balancers known at start; this one may be listed too.
    pub peers: Vec<PeerSettings>,
    /// Format of log lines: `text` or `json`.
    #[serde(default = "default_log_format")]
    pub log_format: String,
    /// Interval between heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Time without a heartbeat after which a balancer is considered dead, in milliseconds.
    #[serde(default = "default_dead_after_ms")]
    pub dead_after_ms: u64,
    /// Duration of a lease, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Maximum difference between the clocks of two VMs, in milliseconds.
    #[serde(default = "default_clock_bound_ms")]
    pub clock_bound_ms: u64,
    /// Maximum time from now to the deadline of a request, in milliseconds.
    #[serde(default = "default_max_deadline_ms")]
    pub max_deadline_ms: u64,
    /// Maximum duration of a planned stop, in milliseconds.
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

/// Validated settings of one balancer.
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
    /// TCP address of the admin server (`/metrics`, `/livez`, `/readyz`, `/status`, `/decisions`).
    pub admin_address: SocketAddr,
    /// Source addresses from which enveloped caller packets are accepted; not empty.
    pub fabric_addresses: Vec<SocketAddr>,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// File with the bearer token for the platform; `None` if the platform requires none.
    pub platform_token_file: Option<PathBuf>,
    /// File with the key by which peers authenticate each other.
    pub peer_key_file: PathBuf,
    /// File with the bearer token for `/status` and `/decisions`.
    pub admin_token_file: PathBuf,
    /// Balancers known at start, without this one; their ids are unique.
    pub peers: Vec<PeerSettings>,
    /// Whether log lines are JSON.
    pub log_json: bool,
    /// Interval between heartbeats; 50 ms to 10 s.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a balancer is considered dead; at least three heartbeat
    /// intervals.
    pub dead_after: Duration,
    /// Duration of a lease; at least 1 s and more than four times `clock_bound`.
    pub lease_length: Duration,
    /// Maximum difference between the clocks of two VMs.
    pub clock_bound: Duration,
    /// Maximum time from now to the deadline of a request; 1 s to 60 s.
    pub max_deadline: Duration,
    /// Maximum duration of a planned stop.
    pub stop_timeout: Duration,
}

impl BalancerSettings {
    /// Reads and validates a settings file.
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

        if raw.zone.is_empty() {
            return refuse("zone", "\"\"".into(), "the name of an availability zone");
        }
        if raw.fabric_addresses.is_empty() {
            return refuse("fabric_addresses", "[]".into(), "at least one address");
        }
        if raw.log_format != "text" && raw.log_format != "json" {
            return refuse("log_format", raw.log_format, "\"text\" or \"json\"");
        }

        // Each duration is checked against the others that limit it.
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

        // Peer ids must be unique; the entry of this balancer itself is left out.
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
            stop_timeout: Duration::from_millis(raw.stop_ms),
        })
    }
}
