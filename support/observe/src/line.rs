//! Lines of the structured log.

use log::Level;
use serde::Serialize;
use serde_json::{Map, Value};

/// Target of records whose message is a JSON object without its opening brace.
pub(crate) const EVENT_TARGET: &str = "pimentotide::event";
/// Target of such records for routine events.
pub(crate) const ROUTINE_TARGET: &str = "pimentotide::routine";

/// Kind of structured log line; must serialize to an object, whose fields are those of the line.
pub trait Line: Serialize {
    /// Value of the field `event`.
    const EVENT: &'static str;
    /// Level at which it is logged.
    const LEVEL: Level = Level::Info;
    /// Whether the event is routine; routine lines are dropped first under load.
    const ROUTINE: bool = false;
}

/// Logs one line if its target and level are enabled.
pub fn event<T>(line: &T)
where
    T: Line,
{
    let target = if T::ROUTINE {
        ROUTINE_TARGET
    } else {
        EVENT_TARGET
    };
    if !log::log_enabled!(target: target, T::LEVEL) {
        return;
    }
    log::log!(target: target, T::LEVEL, "{}", body(line));
}

/// Returns the object of a line without its opening brace, so that time and level can be put first.
pub(crate) fn body<T>(line: &T) -> String
where
    T: Line,
{
    let fields = match serde_json::to_value(line) {
        Ok(Value::Object(fields)) => fields,
        Ok(Value::Null) => Map::new(),
        Ok(other) => Map::from_iter([("value".to_owned(), other)]),
        Err(e) => Map::from_iter([("unserializable".to_owned(), Value::from(e.to_string()))]),
    };
    let fields = Value::Object(fields).to_string();
    let rest = if fields == "{}" { "}" } else { &fields[1..] };
    let comma = if fields == "{}" { "" } else { "," };
    format!("\"event\":{}{comma}{rest}", Value::from(T::EVENT))
}
