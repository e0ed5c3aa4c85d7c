//! Sentences that state the causes of the outcome of a request.

use pimentotide_observe::{Dropped, Line};

use super::Record;
use crate::lines::{
    Answered, BrokenOff, Ejected, Interrupted, Queued, Ready, Refused, StreamKept, UpstreamCrashed,
    UpstreamSignal, UpstreamSlow,
};

/// Returns one sentence per relevant line of the request, in order.
///
/// `related` holds the other lines that may explain the outcome.
pub(super) fn causes(request_lines: &[&Record], related: &[&Record]) -> Vec<String> {
    let mut sentences: Vec<String> = request_lines
        .iter()
        .enumerate()
        .filter_map(|(n, r)| match r.event.as_str() {
            Queued::EVENT => Some(queued(r, request_lines.get(n + 1).copied())),
            _ => sentence(r, related),
        })
        .collect();
    if !request_lines.iter().any(|r| is_end(&r.event)) {
        sentences.push(unfinished(request_lines, related));
    }
    sentences
}

/// Whether an event is the last one of a request.
fn is_end(event: &str) -> bool {
    [Answered::EVENT, Refused::EVENT, BrokenOff::EVENT].contains(&event)
}

fn sentence(record: &Record, related: &[&Record]) -> Option<String> {
    match record.event.as_str() {
        Interrupted::EVENT => Some(interrupted(record, related)),
        Refused::EVENT => Some(refused(record)),
        StreamKept::EVENT => Some(format!(
            "Upstream {} was slow, but the stream stayed there: {}.",
            record.text("upstream"),
            record.text("reason")
        )),
        BrokenOff::EVENT => Some(format!(
            "The stream was aborted after the caller had received {} events: {}.",
            record.number("events"),
            record.text("detail")
        )),
        Answered::EVENT => Some(format!(
            "Upstream {} answered with {} after {} ms, on send {}.",
            record.text("upstream"),
            record.number("status"),
            record.number("after_ms"),
            record.number("sends")
        )),
        _ => None,
    }
}

/// Describes a wait in the entry, which ends with the `next` line of the request.
fn queued(record: &Record, next: Option<&Record>) -> String {
    let ahead = match record.number("ahead") {
        0 => "with none ahead of it".to_owned(),
        ahead => format!("with {ahead} ahead of it"),
    };
    let wait = match next {
        Some(next) => {
            let waited = next.time_of_day.saturating_sub(record.time_of_day);
            format!("It waited {} ms in the entry", waited.as_millis())
        }
        None => "It waited in the entry".to_owned(),
    };
    format!(
        "{wait} at priority rank {}, {ahead} and {} waiting in all: {}.",
        record.number("rank"),
        record.number("waiting"),
        record.text("reason")
    )
}

fn interrupted(record: &Record, related: &[&Record]) -> String {
    let upstream = record.text("upstream");
    let how = match record.text("ended") {
        "Unsent" => "could not be reached, so the request was not sent",
        "Rejected" => "rejected the request without running it",
        "Broken" => "closed the connection or sent a malformed answer",
        "Failed" => "answered with an error",
        "Silent" => "timed out",
        "Relieved" => "was slow, and the stream left it",
        other => other,
    };
    let passed = match record.number("events") {
        0 => String::new(),
        events => format!(" after {events} events"),
    };
    let next = match (record.text("next"), record.text("reason")) {
        ("Again", _) => "It was sent again".to_owned(),
        (_, "") => "It was not sent again".to_owned(),
        (_, reason) => format!("It was not sent again: {reason}"),
    };
    let state = state_changes(upstream, related);
    format!("Upstream {upstream} {how}{passed}{state}. {next}.")
}

/// Lists the state changes of an upstream in the related lines.
fn state_changes(upstream: &str, related: &[&Record]) -> String {
    let changes: Vec<&str> = related
        .iter()
        .filter(|r| r.text("upstream") == upstream)
        .map(|r| match r.event.as_str() {
            Ejected::EVENT => "ejected after failures",
            UpstreamCrashed::EVENT => "crashed",
            UpstreamSignal::EVENT if r.text("signal") == "leaving" => "leaving",
            UpstreamSignal::EVENT if r.text("signal") == "limit" => "changed its limit",
            UpstreamSignal::EVENT => "asked for a backoff",
            UpstreamSlow::EVENT if record_pace(r) > 1.0 => "slow",
            UpstreamSlow::EVENT => "at normal pace again",
            _ => r.text("change"),
        })
        .filter(|change| !change.is_empty())
        .collect();
    if changes.is_empty() {
        String::new()
    } else {
        format!(" (state changes: {})", changes.join(", "))
    }
}

/// Returns the pace in a line; a normal one if it has none.
fn record_pace(record: &Record) -> f64 {
    let pace = record.fields.get("pace");
    pace.and_then(serde_json::Value::as_f64).unwrap_or(1.0)
}

fn refused(record: &Record) -> String {
    let ran = match record.text("ran") {
        "no" => "The request has not run",
        "yes" => "The request has run",
        _ => "The request may have run",
    };
    let age = record.number("age_ms");
    let basis = match record
        .fields
        .get("version")
        .and_then(serde_json::Value::as_u64)
    {
        Some(version) => format!("configuration {version}, confirmed {age} ms before"),
        None => "no configuration yet".to_owned(),
    };
    format!(
        "Refused as {} after {} ms: {} ({basis}). {ran}.",
        record.text("kind"),
        record.number("after_ms"),
        record.text("detail")
    )
}

fn unfinished(request_lines: &[&Record], related: &[&Record]) -> String {
    let process = request_lines.last().map_or("", |r| r.process.as_str());
    let restarted = related
        .iter()
        .any(|r| r.process == process && r.event == Ready::EVENT);
    let dropped = related
        .iter()
        .any(|r| r.process == process && r.event == Dropped::EVENT);
    let likely = if restarted {
        "the process restarted, so the request was lost"
    } else if dropped {
        "log lines were dropped under load, possibly its last one"
    } else {
        "the caller disconnected, or the process crashed"
    };
    format!("No line records the end of the request: {likely}.")
}
