//! The error type of this crate.

use thiserror::Error;

/// Reason why a text is not a log line.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum LogLineError {
    /// The text contains no valid JSON object.
    #[error("not a JSON object")]
    NoObject,
    /// The object has no valid `time_ms` or no `event`.
    #[error("JSON object without time_ms or event")]
    NoEvent,
}
