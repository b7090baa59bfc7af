//! Seeds that once failed, each with its cause.

use std::path::Path;

use serde::Deserialize;

use crate::errors::SoakError;

/// `KnownSeed` is a seed that is played again before each landing.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KnownSeed {
    /// The seed.
    pub seed: u64,
    /// Balancers of the run that failed.
    pub balancers: usize,
    /// Kinds of faults that it drew from: the first ones of [`crate::FaultKind::ALL`].
    pub kinds: usize,
    /// What made it fail, in a line.
    pub cause: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SeedFile {
    #[serde(default)]
    seeds: Vec<KnownSeed>,
}

/// `read` reads the list.
pub fn read(file: &Path) -> Result<Vec<KnownSeed>, SoakError> {
    let refuse = |cause: String| SoakError::Seeds { file: file.display().to_string(), cause };

    let text = std::fs::read_to_string(file).map_err(|error| refuse(error.to_string()))?;
    let list: SeedFile = toml::from_str(&text).map_err(|error| refuse(error.to_string()))?;
    Ok(list.seeds)
}
