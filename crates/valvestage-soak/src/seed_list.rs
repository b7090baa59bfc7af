//! List of seeds of known failures, each with its cause.

use std::path::Path;

use serde::Deserialize;

use crate::errors::SoakError;

/// Seed of a known failure, replayed as a regression test before each merge.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KnownSeed {
    /// Seed of the failed run.
    pub seed: u64,
    /// Number of balancers of the failed run.
    pub balancers: usize,
    /// Number of kinds of faults of the failed run, counted from the start of
    /// [`crate::FaultKind::ALL`].
    pub kinds: usize,
    /// New flows per second of the failed run; `None` if these were the usual ones.
    pub flows: Option<u32>,
    /// Cause of the failure, in one line.
    pub cause: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SeedFile {
    #[serde(default)]
    seeds: Vec<KnownSeed>,
}

/// Reads the list from a TOML file. A file without entries gives an empty list.
pub fn read(file: &Path) -> Result<Vec<KnownSeed>, SoakError> {
    let refuse = |cause: String| SoakError::Seeds { file: file.display().to_string(), cause };

    let text = std::fs::read_to_string(file).map_err(|error| refuse(error.to_string()))?;
    let list: SeedFile = toml::from_str(&text).map_err(|error| refuse(error.to_string()))?;
    Ok(list.seeds)
}
