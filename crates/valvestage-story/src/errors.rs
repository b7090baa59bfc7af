//! The error type of this crate.

use thiserror::Error;

/// `StoryError` tells why a text is no log line.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum StoryError {
    /// There is no JSON object in it.
    #[error("no JSON object")]
    NoObject,
    /// The object has no time or no event.
    #[error("no time_ms or no event")]
    NoEvent,
}
