//! Says why a request went as it did.

use pimentotide_observe::{Dropped, Line};

use super::Record;
use crate::lines::{Answered, BrokenOff, Ejected, Interrupted, Ready, Refused};

/// Sentences on the lines of a request, in order, given the lines on what it met.
pub(super) fn causes(own: &[&Record], near: &[&Record]) -> Vec<String> {
    let mut sentences: Vec<String> = own.iter().filter_map(|r| sentence(r, near)).collect();
    if !own.iter().any(|r| is_end(&r.event)) {
        sentences.push(unended(own, near));
    }
    sentences
}

/// Whether an event ends a request.
fn is_end(event: &str) -> bool {
    [Answered::EVENT, Refused::EVENT, BrokenOff::EVENT].contains(&event)
}

fn sentence(record: &Record, near: &[&Record]) -> Option<String> {
    match record.event.as_str() {
        Interrupted::EVENT => Some(interrupted(record, near)),
        Refused::EVENT => Some(refused(record)),
        BrokenOff::EVENT => Some(format!(
            "The caller had {} events when the stream was broken off: {}.",
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

fn interrupted(record: &Record, near: &[&Record]) -> String {
    let upstream = record.text("upstream");
    let how = match record.text("ended") {
        "Unsent" => "could not be connected to, so the request was not sent there",
        "Rejected" => "said that it did not run the request",
        "Broken" => "broke the connection, or sent bytes that make no sense",
        "Failed" => "answered with a failure of its own",
        "Silent" => "sent nothing for too long",
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
    let state = state_of(upstream, near);
    format!("Upstream {upstream} {how}{passed}{state}. {next}.")
}

/// What was told of an upstream around that time.
fn state_of(upstream: &str, near: &[&Record]) -> String {
    let changes: Vec<&str> = near
        .iter()
        .filter(|r| r.text("upstream") == upstream)
        .map(|r| match r.event.as_str() {
            Ejected::EVENT => "ejected after failures",
            _ => r.text("change"),
        })
        .filter(|change| !change.is_empty())
        .collect();
    if changes.is_empty() {
        String::new()
    } else {
        format!(" (around then: {})", changes.join(", "))
    }
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

fn unended(own: &[&Record], near: &[&Record]) -> String {
    let process = own.last().map_or("", |r| r.process.as_str());
    let restarted = near
        .iter()
        .any(|r| r.process == process && r.event == Ready::EVENT);
    let dropped = near
        .iter()
        .any(|r| r.process == process && r.event == Dropped::EVENT);
    let guess = if restarted {
        "the process started anew, so the request was lost with the one before"
    } else if dropped {
        "lines were dropped under load, its last one may be among them"
    } else {
        "the caller left first, or the process died"
    };
    format!("No line tells how it ended: {guess}.")
}
