//! Faults that the platform stand-in injects.

use serde::{Deserialize, Serialize};

/// Faults injected into calls, in force until they are replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call is answered with 503.
    pub down: bool,
    /// Delay added to every call, milliseconds.
    pub delay_ms: u64,
    /// Number of further writes that take effect although the client is answered with 503.
    pub lose_answers: u32,
    /// Number of the newest revisions that watches do not show yet.
    pub watch_lag: u64,
    /// Page size of lists, in objects; 0 for the default.
    pub page: usize,
}
