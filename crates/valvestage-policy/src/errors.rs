//! The error type of this crate.

use thiserror::Error;
use valvestage_core::CoreError;

/// `PolicyError` tells why an operator's intent or a received object cannot be used.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum PolicyError {
    /// The intent names something that is not in the configuration.
    #[error("{what} {name} does not exist; see `valvectl status`")]
    NotFound {
        /// Kind of the thing named.
        what: &'static str,
        /// The name given.
        name: String,
    },
    /// The resulting configuration would break one of its invariants.
    #[error(transparent)]
    Configuration(#[from] CoreError),
}
