//! The error type of this crate.

use thiserror::Error;

/// Error of reading or validating settings or a configuration.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum CoreError {
    /// A settings file could not be read.
    #[error("settings {file}: cannot be read: {cause}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        cause: String,
    },
    /// A settings file is not valid TOML, or has an unknown or missing key.
    #[error("settings {file}: {cause}")]
    Malformed {
        /// Path of the file.
        file: String,
        /// Error of the parser, with line and key.
        cause: String,
    },
    /// A settings value is not among those accepted.
    #[error("settings {file}: {key} = {value}: expected {accepted}")]
    BadSetting {
        /// Path of the file.
        file: String,
        /// Key of the setting, with dots between the parts.
        key: &'static str,
        /// Value found in the file.
        value: String,
        /// Description of the accepted values.
        accepted: &'static str,
    },
    /// A configuration violates one of its invariants.
    #[error("configuration: {subject}: {problem}")]
    BadConfiguration {
        /// Name of the service or backend server concerned.
        subject: String,
        /// Description of the violated invariant.
        problem: &'static str,
    },
}

impl CoreError {
    /// Returns the error for a configuration that violates an invariant.
    pub fn bad_configuration(subject: impl Into<String>, problem: &'static str) -> Self {
        Self::BadConfiguration { subject: subject.into(), problem }
    }
}
