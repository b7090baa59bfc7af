//! Log lines as text or JSON, on standard error.

use flexi_logger::{Logger, LoggerHandle, detailed_format, json_format};

use crate::errors::ProcessError;

/// Levels when `RUST_LOG` says nothing; calls that fail are logged by their callers.
pub(crate) const DEFAULT_LEVEL: &str = "info, tarpc=off, actix_server=warn";

/// `start` starts the logger; it ends when the handle is dropped.
pub fn start(json: bool) -> Result<LoggerHandle, ProcessError> {
    let logger = Logger::try_with_env_or_str(DEFAULT_LEVEL)?.log_to_stderr();
    let logger = if json { logger.format(json_format) } else { logger.format(detailed_format) };

    Ok(logger.start()?)
}
