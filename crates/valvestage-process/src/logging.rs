//! Log lines as text or JSON, on standard error.

use flexi_logger::{Logger, LoggerHandle, detailed_format, json_format};

use crate::errors::ProcessError;

/// Log levels where `RUST_LOG` is not set; `tarpc` is off because callers log failed calls
/// themselves.
pub(crate) const DEFAULT_LEVEL: &str = "info, tarpc=off, actix_server=warn";

/// Starts the logger, which runs until the handle is dropped.
pub fn start(json: bool) -> Result<LoggerHandle, ProcessError> {
    let logger = Logger::try_with_env_or_str(DEFAULT_LEVEL)?.log_to_stderr();
    let logger = if json { logger.format(json_format) } else { logger.format(detailed_format) };

    Ok(logger.start()?)
}
