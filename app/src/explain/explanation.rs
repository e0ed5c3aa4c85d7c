//! Selection of the log lines that explain the outcome of a request, in order of time.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use pimentotide_observe::{Dropped, Line};

use super::Record;
use super::cause::causes;
use crate::lines::{
    Declared, Ejected, ExpertsMoved, GroupReleased, LeaseLost, LeaseWon, Ordered, Ready,
    ReplicaFollowed, ReplicaLost, RoleChanged, Stopped, Stopping, SuspectsChanged, UpstreamChanged,
    UpstreamCrashed, UpstreamSignal, UpstreamSlow, ZonesClosed,
};

/// Events that may affect any request of the deployment.
const GLOBAL_EVENTS: [&str; 3] = [
    ExpertsMoved::EVENT,
    GroupReleased::EVENT,
    RoleChanged::EVENT,
];
/// Events that affect the requests of the process that logs them.
const PROCESS_EVENTS: [&str; 11] = [
    Ready::EVENT,
    Stopping::EVENT,
    Stopped::EVENT,
    LeaseLost::EVENT,
    LeaseWon::EVENT,
    ReplicaLost::EVENT,
    ReplicaFollowed::EVENT,
    Declared::EVENT,
    ZonesClosed::EVENT,
    SuspectsChanged::EVENT,
    Dropped::EVENT,
];
/// Events about one upstream in the view of a process.
const UPSTREAM_EVENTS: [&str; 5] = [
    Ejected::EVENT,
    UpstreamChanged::EVENT,
    UpstreamCrashed::EVENT,
    UpstreamSignal::EVENT,
    UpstreamSlow::EVENT,
];

/// Lines and causes that explain the outcome of one request.
#[derive(Clone, Debug)]
pub struct Explanation {
    request: String,
    /// Lines in order of time, each with whether it mentions the request.
    lines: Vec<(Record, bool)>,
    causes: Vec<String>,
}

/// Explains the outcome of a request; `None` if no line mentions it.
///
/// Related lines are taken from `around` before the first line of the request to
/// `around` after its last one.
pub fn explain(records: &[Record], request: &str, around: Duration) -> Option<Explanation> {
    let mut request_lines: Vec<&Record> = records
        .iter()
        .filter(|r| r.text("request") == request)
        .collect();
    request_lines.sort_by_key(|r| r.time_of_day);
    let (first, last) = (
        request_lines.first()?.time_of_day,
        request_lines.last()?.time_of_day,
    );
    let span = first.saturating_sub(around)..=last + around;
    let participants = Participants::of(&request_lines);
    let related = records
        .iter()
        .filter(|r| span.contains(&r.time_of_day) && participants.is_related(r));
    let related: Vec<&Record> = related.collect();
    let causes = causes(&request_lines, &related);
    let mut lines: Vec<(Record, bool)> = request_lines
        .into_iter()
        .map(|r| (r.clone(), true))
        .collect();
    lines.extend(related.into_iter().map(|r| (r.clone(), false)));
    lines.sort_by_key(|(r, _)| r.time_of_day);
    Some(Explanation {
        request: request.to_owned(),
        lines,
        causes,
    })
}

/// Processes and upstreams that handled a request.
struct Participants<'a> {
    processes: BTreeSet<&'a str>,
    upstreams: BTreeSet<&'a str>,
}

impl<'a> Participants<'a> {
    fn of(request_lines: &[&'a Record]) -> Self {
        let upstreams = request_lines.iter().map(|r| r.text("upstream"));
        Self {
            processes: request_lines.iter().map(|r| r.process.as_str()).collect(),
            upstreams: upstreams.filter(|u| !u.is_empty()).collect(),
        }
    }

    /// Whether a line that does not mention the request may explain its outcome.
    fn is_related(&self, record: &Record) -> bool {
        let event = record.event.as_str();
        let same_process = self.processes.contains(record.process.as_str());
        if event == Ordered::EVENT {
            let subject = record.text("subject").split(' ').next().unwrap_or("");
            return self.upstreams.contains(subject);
        }
        let same_upstream = self.upstreams.contains(record.text("upstream"));
        GLOBAL_EVENTS.contains(&event)
            || same_process
                && (PROCESS_EVENTS.contains(&event)
                    || same_upstream && UPSTREAM_EVENTS.contains(&event))
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        let width = self.lines.iter().map(|(r, _)| r.process.len()).max();
        let width = width.unwrap_or(0);
        for (record, of_request) in &self.lines {
            let mark = if *of_request { '*' } else { ' ' };
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
