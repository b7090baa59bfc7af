//! The error type of this crate.

use thiserror::Error;

/// Error of setting up a process.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The logger could not be started.
    #[error("start logger: {0}")]
    Logger(#[from] flexi_logger::FlexiLoggerError),
    /// The thread that writes log lines could not be started.
    #[error("start log thread: {0}")]
    LogThread(std::io::Error),
    /// A token file cannot be read or its token is too short.
    #[error("token file {file}: {problem}")]
    TokenFile {
        /// Path of the file.
        file: String,
        /// Description of the fault.
        problem: String,
    },
}
