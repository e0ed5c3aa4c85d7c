//! The lines that tell what became of a request, in order of time.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use pimentotide_observe::{Dropped, Line};

use super::Record;
use super::cause::causes;
use crate::lines::{
    Declared, Ejected, ExpertsMoved, GroupReleased, LeaseLost, LeaseWon, Ordered, Ready,
    ReplicaFollowed, ReplicaLost, RoleChanged, Stopped, Stopping, UpstreamChanged, ZonesClosed,
};

/// Events on the whole deployment that may bear on any request.
const SHARED: [&str; 3] = [
    ExpertsMoved::EVENT,
    GroupReleased::EVENT,
    RoleChanged::EVENT,
];
/// Events on a process that bear on the requests it handles.
const LOCAL: [&str; 10] = [
    Ready::EVENT,
    Stopping::EVENT,
    Stopped::EVENT,
    LeaseLost::EVENT,
    LeaseWon::EVENT,
    ReplicaLost::EVENT,
    ReplicaFollowed::EVENT,
    Declared::EVENT,
    ZonesClosed::EVENT,
    Dropped::EVENT,
];
/// Events on one upstream, as a process sees it.
const UPSTREAM: [&str; 2] = [Ejected::EVENT, UpstreamChanged::EVENT];

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Story {
    request: String,
    lines: Vec<(Record, bool)>,
    causes: Vec<String>,
}

/// Puts together the story of a request; none if no line tells of it.
///
/// Lines on what it met are taken from `around` before its first line to as
/// long after its last one.
pub fn tell(records: &[Record], request: &str, around: Duration) -> Option<Story> {
    let mut own: Vec<&Record> = records
        .iter()
        .filter(|r| r.text("request") == request)
        .collect();
    own.sort_by_key(|r| r.since);
    let (first, last) = (own.first()?.since, own.last()?.since);
    let span = first.saturating_sub(around)..=last + around;
    let met = Met::of(&own);
    let near = records
        .iter()
        .filter(|r| span.contains(&r.since) && met.bears(r));
    let near: Vec<&Record> = near.collect();
    let causes = causes(&own, &near);
    let mut lines: Vec<(Record, bool)> = own.into_iter().map(|r| (r.clone(), true)).collect();
    lines.extend(near.into_iter().map(|r| (r.clone(), false)));
    lines.sort_by_key(|(r, _)| r.since);
    Some(Story {
        request: request.to_owned(),
        lines,
        causes,
    })
}

/// Processes and upstreams that a request met.
struct Met<'a> {
    processes: BTreeSet<&'a str>,
    upstreams: BTreeSet<&'a str>,
}

impl<'a> Met<'a> {
    fn of(own: &[&'a Record]) -> Self {
        let upstreams = own.iter().map(|r| r.text("upstream"));
        Self {
            processes: own.iter().map(|r| r.process.as_str()).collect(),
            upstreams: upstreams.filter(|u| !u.is_empty()).collect(),
        }
    }

    /// Whether a line that is not on the request may explain what became of it.
    fn bears(&self, record: &Record) -> bool {
        let event = record.event.as_str();
        let here = self.processes.contains(record.process.as_str());
        if event == Ordered::EVENT {
            let subject = record.text("subject").split(' ').next().unwrap_or("");
            return self.upstreams.contains(subject);
        }
        let met = self.upstreams.contains(record.text("upstream"));
        SHARED.contains(&event)
            || here && (LOCAL.contains(&event) || met && UPSTREAM.contains(&event))
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        let width = self.lines.iter().map(|(r, _)| r.process.len()).max();
        let width = width.unwrap_or(0);
        for (record, own) in &self.lines {
            let mark = if *own { '*' } else { ' ' };
            write!(
                f,
                "{mark} {} {:width$} {}",
                record.time, record.process, record.event
            )?;
            for (name, value) in record.fields.iter().filter(|(n, _)| *n != "request") {
                match value.as_str() {
                    Some(text) => write!(f, " {name}={text:?}")?,
                    None => write!(f, " {name}={value}")?,
                }
            }
            writeln!(f)?;
        }
        writeln!(f, "why")?;
        for cause in &self.causes {
            writeln!(f, "  {cause}")?;
        }
        Ok(())
    }
}
