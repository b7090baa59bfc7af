//! The error type of this crate.

use thiserror::Error;
use valvestage_core::CoreError;

/// Error of an operator's intent or a received object that cannot be used.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum PolicyError {
    /// The intent refers to an object that is not in the configuration.
    #[error("{what} {name} does not exist; see `valvectl status`")]
    NotFound {
        /// Kind of the object, such as "service".
        what: &'static str,
        /// Name given in the intent.
        name: String,
    },
    /// The resulting configuration would break one of its invariants.
    #[error(transparent)]
    Configuration(#[from] CoreError),
}
