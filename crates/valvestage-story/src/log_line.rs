//! Parsing of `valvestage-entry`'s log lines.

use serde_json::{Map, Value};

use crate::errors::LogLineError;

/// A log line: an event with its fields.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time by the clock of the VM, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Name of the VM; empty if the line does not contain it.
    pub vm: String,
    /// Kind of the event.
    pub event: String,
    fields: Map<String, Value>,
}

impl TryFrom<&str> for LogLine {
    type Error = LogLineError;

    /// Parses a line, ignoring anything that a log collector has put before the JSON object.
    fn try_from(text: &str) -> Result<Self, LogLineError> {
        let start = text.find('{').ok_or(LogLineError::NoObject)?;
        let fields: Map<String, Value> =
            serde_json::from_str(text[start..].trim()).map_err(|_| LogLineError::NoObject)?;

        let time_ms = fields.get("time_ms").and_then(Value::as_u64);
        let event = fields.get("event").and_then(Value::as_str).map(str::to_owned);
        let (Some(time_ms), Some(event)) = (time_ms, event) else {
            return Err(LogLineError::NoEvent);
        };
        let vm = fields.get("vm").and_then(Value::as_str).unwrap_or_default().to_owned();
        Ok(Self { time_ms, vm, event, fields })
    }
}

impl LogLine {
    /// Returns a field as text, or an empty string if the line does not have it.
    #[must_use]
    pub fn text(&self, field: &str) -> String {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    /// Returns a field as a number, or `None` if it is missing or not an unsigned integer.
    #[must_use]
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    /// Reports whether the line has a field, of whatever type.
    #[must_use]
    pub fn has(&self, field: &str) -> bool {
        self.fields.contains_key(field)
    }

    /// Reports whether a field is a string equal to `text`.
    #[must_use]
    pub fn is(&self, field: &str, text: &str) -> bool {
        self.fields.get(field).and_then(Value::as_str) == Some(text)
    }

    /// Reports whether a field is the boolean `true`.
    #[must_use]
    pub fn is_true(&self, field: &str) -> bool {
        self.fields.get(field).and_then(Value::as_bool) == Some(true)
    }
}
