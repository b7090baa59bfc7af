//! Settings of `valvestage-operator`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::errors::CoreError;

/// Settings file of the operators' API, not yet validated.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOperatorSettings {
    /// TCP address of the operators' API.
    pub listen_address: SocketAddr,
    /// File with the bearer token that operators present.
    pub operator_token_file: PathBuf,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// File with the bearer token for the platform; `None` if the platform requires none.
    pub platform_token_file: Option<PathBuf>,
    /// File with the bearer token for the balancers' admin addresses.
    pub admin_token_file: PathBuf,
    /// `admin_address` of each balancer.
    pub balancer_admin_addresses: Vec<SocketAddr>,
    /// Format of log lines: `text` or `json`; `text` if `None`.
    #[serde(default)]
    pub log_format: Option<String>,
}

/// Validated settings of the operators' API.
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    /// TCP address of the operators' API.
    pub listen_address: SocketAddr,
    /// File with the bearer token that operators present.
    pub operator_token_file: PathBuf,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// File with the bearer token for the platform; `None` if the platform requires none.
    pub platform_token_file: Option<PathBuf>,
    /// File with the bearer token for the balancers' admin addresses.
    pub admin_token_file: PathBuf,
    /// `admin_address` of each balancer; not empty.
    pub balancer_admin_addresses: Vec<SocketAddr>,
    /// Whether log lines are JSON.
    pub log_json: bool,
}

impl OperatorSettings {
    /// Reads and validates a settings file.
    pub fn read(file: &Path) -> Result<Self, CoreError> {
        let raw: RawOperatorSettings = super::read_raw(file)?;

        Self::try_from((file, raw))
    }
}

impl TryFrom<(&Path, RawOperatorSettings)> for OperatorSettings {
    type Error = CoreError;

    fn try_from((file, raw): (&Path, RawOperatorSettings)) -> Result<Self, CoreError> {
        let refuse = |key, value: String, accepted| {
            Err(CoreError::BadSetting { file: file.display().to_string(), key, value, accepted })
        };
        let log_format = raw.log_format.unwrap_or_else(|| "text".to_owned());

        if raw.balancer_admin_addresses.is_empty() {
            return refuse("balancer_admin_addresses", "[]".into(), "at least one address");
        }
        if log_format != "text" && log_format != "json" {
            return refuse("log_format", log_format, "\"text\" or \"json\"");
        }

        Ok(Self {
            listen_address: raw.listen_address,
            operator_token_file: raw.operator_token_file,
            platform_address: raw.platform_address,
            platform_token_file: raw.platform_token_file,
            admin_token_file: raw.admin_token_file,
            balancer_admin_addresses: raw.balancer_admin_addresses,
            log_json: log_format == "json",
        })
    }
}
