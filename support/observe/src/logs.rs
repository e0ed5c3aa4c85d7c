//! JSON lines on standard output.

use derive_more::Display;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, WriteMode};
use log::Record;
use serde::Serialize;
use serde_json::{Map, Value, json};

/// Why logging could not start.
#[derive(Debug, Display)]
#[display("logging could not start: {_0}")]
pub struct LogError(FlexiLoggerError);

impl std::error::Error for LogError {}

/// Running logger; flushes what is buffered when dropped.
pub struct Logs {
    _handle: LoggerHandle,
}

impl Logs {
    /// Starts logging at `level`, as in `info` or `debug, actix_server=warn`.
    ///
    /// # Errors
    ///
    /// Fails if the level is not valid or a logger runs already.
    pub fn open(level: &str) -> Result<Self, LogError> {
        let handle = Logger::try_with_str(level)
            .and_then(|l| {
                l.log_to_stdout()
                    .format(write_line)
                    .write_mode(WriteMode::Direct)
                    .start()
            })
            .map_err(LogError)?;
        Ok(Self { _handle: handle })
    }
}

/// Logs one event with its fields at level info.
///
/// `fields` must serialize to an object; anything else is logged under `value`.
pub fn event<T>(name: &str, fields: &T)
where
    T: Serialize,
{
    if !log::log_enabled!(target: EVENT_TARGET, log::Level::Info) {
        return;
    }
    let fields = match serde_json::to_value(fields) {
        Ok(Value::Object(fields)) => fields,
        Ok(Value::Null) => Map::new(),
        Ok(other) => Map::from_iter([("value".to_owned(), other)]),
        Err(e) => Map::from_iter([("unserializable".to_owned(), Value::from(e.to_string()))]),
    };
    let fields = Value::Object(fields).to_string();
    let rest = if fields == "{}" { "}" } else { &fields[1..] };
    let comma = if fields == "{}" { "" } else { "," };
    log::info!(target: EVENT_TARGET, "\"event\":{}{comma}{rest}", Value::from(name));
}

/// Target of records whose message is the rest of a JSON object.
const EVENT_TARGET: &str = "pimentotide::event";

fn write_line(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.6fZ").to_string();
    let level = record.level().as_str().to_ascii_lowercase();
    let message = record.args().to_string();
    if record.target() == EVENT_TARGET {
        return write!(out, r#"{{"time":"{time}","level":"{level}",{message}"#);
    }
    let line = json!({
        "time": time,
        "level": level,
        "event": "message",
        "target": record.target(),
        "message": message,
    });
    write!(out, "{line}")
}
