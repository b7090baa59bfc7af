//! Log lines for invalid values of configurations.

use std::sync::atomic::{AtomicU64, Ordering};

use valvestage_platform::catalogue::RoutesReading;

/// Maximum number of invalid values named in a log line.
const MAX_LOGGED_VALUES: usize = 8;

/// Decides which invalid values of configurations are logged: those of each version once, however
/// often it is read.
#[derive(Debug, Default)]
pub struct RejectionLog {
    /// Version of the configuration whose invalid values were logged last; 0 if none were.
    version: AtomicU64,
}

impl RejectionLog {
    /// Returns the log line for the invalid values of a configuration; `None` if it has none or
    /// they have been logged.
    pub fn line(&self, reading: &RoutesReading) -> Option<String> {
        let RoutesReading { routes, rejected } = reading;
        if rejected.is_empty()
            || self.version.swap(routes.version, Ordering::Relaxed) == routes.version
        {
            return None;
        }

        let named: Vec<_> =
            rejected.iter().take(MAX_LOGGED_VALUES).map(ToString::to_string).collect();
        let further = rejected.len() - named.len();
        Some(format!(
            "configuration version {}: {} invalid values are not used: {}{}",
            routes.version,
            rejected.len(),
            named.join("; "),
            if further > 0 { format!("; and {further} more") } else { String::new() },
        ))
    }
}
