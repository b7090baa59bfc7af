//! Options of one backend server.

use std::time::Duration;

use valvestage_core::Backend;

/// Identity and behaviour of one backend server.
#[derive(Debug, Clone)]
pub struct BackendOptions {
    /// Record of the backend server in the configuration, with its address and its limits.
    pub record: Backend,
    /// Mean run time of a request; run times are exponentially distributed.
    pub mean_run_time: Duration,
    /// Number of segments of each answer, sent as one datagram each.
    pub answer_segments: u16,
    /// Seed of the random numbers.
    pub seed: u64,
}
