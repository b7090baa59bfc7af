//! Errors that keep a run from completing.

use std::io;

use thiserror::Error;

/// Error that keeps a run from completing. A broken promise is not an error but a result of the
/// run.
#[derive(Debug, Error)]
pub enum SoakError {
    /// An I/O operation of the soak test itself failed.
    #[error("failed to {step}: {cause}")]
    Step {
        /// The operation that failed, as a phrase such as "start a balancer".
        step: &'static str,
        /// The underlying error.
        cause: io::Error,
    },
    /// Not all balancers became ready in time after their first start.
    #[error("start: {ready} of {balancers} balancers became ready\n{}", logs.join("\n"))]
    NotReady {
        /// Number of balancers that became ready.
        ready: usize,
        /// Number of balancers of the run.
        balancers: usize,
        /// State and last log lines of each balancer.
        logs: Vec<String>,
    },
    /// The stop flag of the options was set; the balancers are killed when the run is dropped.
    #[error("run: stopped by a signal")]
    Stopped,
    /// The list of seeds cannot be read or parsed.
    #[error("failed to read {file}: {cause}")]
    Seeds {
        /// Path of the list.
        file: String,
        /// Text of the I/O or parse error.
        cause: String,
    },
}

/// Returns a conversion from an I/O error to a [`SoakError::Step`] of `step`, for `map_err`.
pub fn failed_to(step: &'static str) -> impl Fn(io::Error) -> SoakError {
    move |cause| SoakError::Step { step, cause }
}
