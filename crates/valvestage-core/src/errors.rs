//! The error type of this crate.

use thiserror::Error;

/// `CoreError` tells which check of raw input failed.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum CoreError {
    /// A settings file could not be read.
    #[error("settings {file}: cannot be read: {cause}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// What the operating system said.
        cause: String,
    },
    /// A settings file is not valid TOML, or has an unknown or missing key.
    #[error("settings {file}: {cause}")]
    Malformed {
        /// Path of the file.
        file: String,
        /// What the parser said, with line and key.
        cause: String,
    },
    /// A settings value is outside of what is accepted.
    #[error("settings {file}: {key} = {value}: accepted is {accepted}")]
    BadSetting {
        /// Path of the file.
        file: String,
        /// Dotted key.
        key: &'static str,
        /// The value found.
        value: String,
        /// What is accepted.
        accepted: &'static str,
    },
    /// A configuration breaks one of its invariants.
    #[error("configuration: {subject}: {problem}")]
    BadConfiguration {
        /// The service or backend server concerned.
        subject: String,
        /// What is wrong with it.
        problem: &'static str,
    },
}

impl CoreError {
    /// `bad_configuration` builds the error for a configuration that breaks an invariant.
    pub fn bad_configuration(subject: impl Into<String>, problem: &'static str) -> Self {
        Self::BadConfiguration { subject: subject.into(), problem }
    }
}
