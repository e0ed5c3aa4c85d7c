//! Record of what callers, operators and upstreams observed; all times are milliseconds
//! since the start of the soak.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use derive_more::Display;

/// Kind of a request; decides its route and how often it may run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: may run more than once.
    Repeatable,
    /// Idempotent, and runs for long.
    Slow,
    /// Not idempotent: runs at most once.
    Once,
    /// Answered by a stream of events that may be resumed.
    Stream,
    /// On a route that exists only in odd versions (true) or only in even ones (false).
    #[display("Parity({_0})")]
    Parity(bool),
    /// Idempotent, with the key that only the order of this serial number and the next one have.
    #[display("Keyed({_0})")]
    Keyed(u64),
}

/// Outcome of a call as observed by its caller.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Outcome {
    /// The complete, expected answer of an upstream.
    Whole,
    /// Refused by the system itself, with the HTTP status.
    #[display("Refused({_0})")]
    Refused(u16),
    /// The connection ended before the answer was complete.
    Broken,
    /// The connection to the entry failed.
    Unconnected,
    /// No complete answer within the caller's timeout.
    Late,
    /// An answer other than the expected one, with an excerpt.
    #[display("Wrong({_0})")]
    Wrong(String),
}

/// One call of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Number of the request, unique within the soak.
    pub id: u64,
    /// Kind of the request.
    pub kind: Kind,
    /// Number of the entry that was called.
    pub entry: usize,
    /// Time at which the request was sent.
    pub sent: u64,
    /// Time at which the call ended.
    pub ended: u64,
    /// Outcome for the caller.
    pub outcome: Outcome,
}

/// One run of a request at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Name of the upstream's incarnation.
    pub upstream: String,
    /// Time at which the request arrived there.
    pub at: u64,
}

/// A version of the configuration that the operator sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Order {
    /// Version of the configuration.
    pub version: u64,
    /// Number of the order, counted from 1.
    pub serial: u64,
    /// Time at which it was first sent.
    pub sent: u64,
    /// Time of the acknowledgement; `None` without one.
    pub acked: Option<u64>,
}

/// An evacuation of an availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evacuation {
    /// Zone that is evacuated.
    pub zone: &'static str,
    /// Time of the acknowledgement; `None` without one.
    pub acked: Option<u64>,
    /// Time at which it was first taken back; `None` if it was not.
    pub withdrawn: Option<u64>,
}

/// Target of a fault or of planned work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Target {
    /// The control replica of this number.
    #[display("control {_0}")]
    Control(usize),
    /// The entry of this number.
    #[display("entry {_0}")]
    Entry(usize),
    /// The stand-in upstream of this number.
    #[display("upstream {_0}")]
    Upstream(usize),
    /// All control replicas and entries.
    #[display("all processes")]
    All,
}

/// An interval with a fault or planned work.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{from}..{until} ms {name} {target}")]
pub struct Disturbance {
    /// Name of the fault or the work.
    pub name: &'static str,
    /// Process or upstream that was disturbed.
    pub target: Target,
    /// Whether it is planned work, which must not fail any call.
    pub planned: bool,
    /// Time at which it began.
    pub from: u64,
    /// Time at which it ended.
    pub until: u64,
}

/// Observations of one soak.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Calls in the order in which they ended.
    pub calls: Vec<Call>,
    /// Runs at upstreams, by number of the request.
    pub runs: BTreeMap<u64, Vec<Run>>,
    /// Versions that the operator declared, in order.
    pub orders: Vec<Order>,
    /// Invalid versions that the operator sent, with the status of each answer.
    pub invalid: Vec<(u64, u16)>,
    /// Reads of the configuration: time of the request and version returned.
    pub reads: Vec<(u64, u64)>,
    /// Time at which the drain of an upstream's incarnation was acknowledged, by its name.
    pub drains: Vec<(String, u64)>,
    /// Availability zone of each upstream's incarnation, by its name.
    pub zones: BTreeMap<String, &'static str>,
    /// Evacuations in the order in which they were sent.
    pub evacuations: Vec<Evacuation>,
    /// Faults and planned work in the order in which they ended.
    pub disturbances: Vec<Disturbance>,
    /// Planned stops of entries: time of the signal, time of the exit and exit code.
    pub stops: Vec<(u64, u64, Option<i32>)>,
    /// Whether the final configuration could not be read.
    pub unread: bool,
    /// Time at which all faults had ended.
    pub healed: u64,
    /// Time of the first request served after that; `None` if none was.
    pub recovered: Option<u64>,
}

impl History {
    /// Counts the calls by the displayed form of their outcome.
    pub fn outcomes(&self) -> Vec<(String, usize)> {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for call in &self.calls {
            *counts.entry(call.outcome.to_string()).or_default() += 1;
        }
        counts.into_iter().collect()
    }
}

/// Shared recorder of the history while a soak runs.
#[derive(Debug)]
pub(crate) struct Recorder {
    start: Instant,
    history: Mutex<History>,
}

impl Recorder {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            history: Mutex::default(),
        }
    }

    /// Time since the start, in milliseconds.
    pub(crate) fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
