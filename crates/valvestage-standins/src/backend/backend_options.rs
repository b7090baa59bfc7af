//! Options of one backend server.

use std::time::Duration;

use valvestage_core::Backend;

/// `BackendOptions` says who a backend server is and how it behaves.
#[derive(Debug, Clone)]
pub struct BackendOptions {
    /// Its record in the configuration.
    pub record: Backend,
    /// Mean of the run times, which are exponentially distributed.
    pub mean_run_time: Duration,
    /// Datagrams of each answer.
    pub answer_segments: u16,
    /// Of the draws.
    pub seed: u64,
}
