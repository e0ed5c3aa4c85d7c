//! One log line, read back.

use std::time::Duration;

use derive_more::Display;
use serde_json::{Map, Value};

/// Why a line is not a log line.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LineError {
    /// No JSON object is on the line.
    #[display("no JSON object")]
    NoObject,
    /// The object is not whole.
    #[display("damaged JSON object")]
    Damaged,
    /// It has no time of day or no event.
    #[display("no `time` or no `event`")]
    Incomplete,
}

impl std::error::Error for LineError {}

/// A log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Process that wrote it: what stands before the object, or the file.
    pub process: String,
    /// Time as it was written.
    pub time: String,
    /// Time of day since midnight; the day is that of the other lines.
    pub since: Duration,
    /// Name of the event.
    pub event: String,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl Record {
    /// Reads a line; `origin` names the process if the line does not.
    ///
    /// # Errors
    ///
    /// Fails if the line holds no whole object with `time` and `event`.
    pub fn parse(line: &str, origin: &str) -> Result<Self, LineError> {
        let start = line.find('{').ok_or(LineError::NoObject)?;
        let (before, object) = line.split_at(start);
        let fields: Map<String, Value> =
            serde_json::from_str(object.trim_end()).map_err(|_| LineError::Damaged)?;
        let text = |name: &str| fields.get(name).and_then(Value::as_str);
        let (Some(time), Some(event)) = (text("time"), text("event")) else {
            return Err(LineError::Incomplete);
        };
        let since = since_midnight(time).ok_or(LineError::Incomplete)?;
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
            since,
            event,
            fields,
        })
    }

    /// A field as text; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    /// A field as a number; zero if there is none.
    pub fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
    }
}

/// Time of day of a time such as `2026-12-04T01:02:03.000456Z`.
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
