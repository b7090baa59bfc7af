//! Writing of log records as JSON lines to a [`LogRing`].

use std::time::{SystemTime, UNIX_EPOCH};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

use crate::errors::ProcessError;
use crate::log_ring::LogRing;
use crate::logging::DEFAULT_LEVEL;

/// Starts a logger that writes all records of the `log` macros to `ring`.
///
/// The logger runs until the handle is dropped.
pub fn start(ring: LogRing) -> Result<LoggerHandle, ProcessError> {
    let logger = Logger::try_with_env_or_str(DEFAULT_LEVEL)?;

    Ok(logger.log_to_writer(Box::new(RingWriter { ring })).start()?)
}

/// Returns the current time in the form that every line contains: milliseconds since the Unix
/// epoch.
#[must_use]
pub fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);

    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

struct RingWriter {
    ring: LogRing,
}

impl LogWriter for RingWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
        let mut line = Map::new();
        line.insert("time_ms".into(), unix_time_ms().into());
        line.insert("level".into(), record.level().as_str().into());
        line.insert("event".into(), "message".into());
        line.insert("module".into(), record.module_path().unwrap_or_default().into());
        line.insert("text".into(), record.args().to_string().into());
        let mut fields = FieldVisitor { line: &mut line };
        if record.key_values().visit(&mut fields).is_err() {
            line.insert("fields".into(), "unreadable".into());
        }

        self.ring.write(Json::Object(line).to_string().into_bytes());
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Visitor that copies the key-value pairs of a record into its line.
struct FieldVisitor<'a> {
    line: &'a mut Map<String, Json>,
}

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };

        self.line.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
