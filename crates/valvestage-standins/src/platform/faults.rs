//! What goes wrong, on demand.

use serde::{Deserialize, Serialize};

/// `Faults` says how the platform misbehaves until told otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails.
    pub down: bool,
    /// Every call takes this much longer.
    pub delay_ms: u64,
    /// So many writes take effect and their answers are lost.
    pub lose_answers: u32,
    /// Watches do not show the newest revisions, so many of them.
    pub watch_lag: u64,
    /// Objects in a page of a list; 0 for as many as usual.
    pub page: usize,
}
