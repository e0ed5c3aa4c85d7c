//! Parser of one log line.

use std::time::Duration;

use derive_more::Display;
use serde_json::{Map, Value};

/// Reason why a line is not a log line.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LineError {
    /// The line contains no JSON object.
    #[display("no JSON object")]
    NoObject,
    /// The JSON object is truncated or malformed.
    #[display("malformed JSON object")]
    Damaged,
    /// The object lacks a valid `time` or an `event`.
    #[display("missing `time` or `event`")]
    Incomplete,
}

impl std::error::Error for LineError {}

/// Parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Process that wrote the line: the last word before the object that is not a number, otherwise
    /// the file name.
    pub process: String,
    /// Timestamp as written.
    pub time: String,
    /// Time since midnight; the date is ignored, so all lines must be of the same day.
    pub time_of_day: Duration,
    /// Name of the event.
    pub event: String,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl Record {
    /// Parses a line; `origin` names the process if the line does not.
    ///
    /// # Errors
    ///
    /// Fails if the line has no complete JSON object with `time` and `event`.
    pub fn parse(line: &str, origin: &str) -> Result<Self, LineError> {
        let start = line.find('{').ok_or(LineError::NoObject)?;
        let (before, object) = line.split_at(start);
        let fields: Map<String, Value> =
            serde_json::from_str(object.trim_end()).map_err(|_| LineError::Damaged)?;
        let text = |name: &str| fields.get(name).and_then(Value::as_str);
        let (Some(time), Some(event)) = (text("time"), text("event")) else {
            return Err(LineError::Incomplete);
        };
        let time_of_day = since_midnight(time).ok_or(LineError::Incomplete)?;
        let (time, event) = (time.to_owned(), event.to_owned());
        let mut words = before.split_whitespace();
        let named = words.rfind(|w| w.parse::<f64>().is_err());
        let mut fields = fields;
        fields.retain(|name, _| !["time", "event", "level"].contains(&name.as_str()));
        Ok(Self {
            process: named
                .unwrap_or(origin)
                .trim_end_matches([':', '|'])
                .to_owned(),
            time,
            time_of_day,
            event,
            fields,
        })
    }

    /// Returns a field as text; empty if it is missing.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns a field as a number; zero if it is missing.
    pub fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
    }
}

/// Returns the time of day of a timestamp such as `2026-12-04T01:02:03.000456Z`.
fn since_midnight(time: &str) -> Option<Duration> {
    let clock = time.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = clock.splitn(3, ':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(
        Duration::from_secs(hours * 3_600 + minutes * 60)
            + Duration::try_from_secs_f64(seconds).ok()?,
    )
}
