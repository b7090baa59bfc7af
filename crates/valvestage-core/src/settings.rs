//! TOML settings of the binaries: raw forms, validation, and reading from a file.

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

/// Reads a settings file into its raw form, without validating the values.
///
/// An unknown key is an error if `R` denies unknown fields, as the raw forms of this module do.
pub fn read_raw<R: DeserializeOwned>(file: &Path) -> Result<R, CoreError> {
    let name = file.display().to_string();

    let text = std::fs::read_to_string(file)
        .map_err(|error| CoreError::Unreadable { file: name.clone(), cause: error.to_string() })?;

    toml::from_str(&text)
        .map_err(|error| CoreError::Malformed { file: name, cause: error.to_string() })
}
