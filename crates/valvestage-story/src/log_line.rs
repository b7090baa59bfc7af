//! One line of `valvestage-entry`'s log.

use serde_json::{Map, Value};

use crate::errors::StoryError;

/// `LogLine` is an event with its fields.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time of day, milliseconds since the Unix epoch, by the clock of the VM.
    pub time_ms: u64,
    /// Name of the VM; empty if the line does not say it.
    pub vm: String,
    /// What happened.
    pub event: String,
    fields: Map<String, Value>,
}

impl TryFrom<&str> for LogLine {
    type Error = StoryError;

    /// Whatever a collector of logs has put before the JSON object is passed over.
    fn try_from(text: &str) -> Result<Self, StoryError> {
        let start = text.find('{').ok_or(StoryError::NoObject)?;
        let fields: Map<String, Value> =
            serde_json::from_str(text[start..].trim()).map_err(|_| StoryError::NoObject)?;

        let time_ms = fields.get("time_ms").and_then(Value::as_u64);
        let event = fields.get("event").and_then(Value::as_str).map(str::to_owned);
        let (Some(time_ms), Some(event)) = (time_ms, event) else {
            return Err(StoryError::NoEvent);
        };
        let vm = fields.get("vm").and_then(Value::as_str).unwrap_or_default().to_owned();
        Ok(Self { time_ms, vm, event, fields })
    }
}

impl LogLine {
    /// `text` gives a field as text; empty if it is not there.
    #[must_use]
    pub fn text(&self, field: &str) -> String {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    /// `number` gives a field as a number.
    #[must_use]
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    /// `has` tells whether there is a field.
    #[must_use]
    pub fn has(&self, field: &str) -> bool {
        self.fields.contains_key(field)
    }

    /// `is` tells whether a field has a text.
    #[must_use]
    pub fn is(&self, field: &str, text: &str) -> bool {
        self.fields.get(field).and_then(Value::as_str) == Some(text)
    }

    /// `is_true` tells whether a field is true.
    #[must_use]
    pub fn is_true(&self, field: &str) -> bool {
        self.fields.get(field).and_then(Value::as_bool) == Some(true)
    }
}
