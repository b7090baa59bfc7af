//! TOML settings of the binaries: raw shapes, checks, and reading from a file.

mod balancer;
mod deployment;
mod entry;
mod operator;

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::errors::CoreError;

pub use balancer::{BalancerSettings, PeerSettings, RawBalancerSettings};
pub use deployment::{BackendSettings, DeploymentSettings, ServiceSettings};
pub use entry::{EntrySettings, RawEntrySettings};
pub use operator::{OperatorSettings, RawOperatorSettings};

/// `read_raw` reads a settings file into its raw shape; unknown keys are refused.
pub fn read_raw<R: DeserializeOwned>(file: &Path) -> Result<R, CoreError> {
    let name = file.display().to_string();

    let text = std::fs::read_to_string(file)
        .map_err(|error| CoreError::Unreadable { file: name.clone(), cause: error.to_string() })?;

    toml::from_str(&text)
        .map_err(|error| CoreError::Malformed { file: name, cause: error.to_string() })
}
