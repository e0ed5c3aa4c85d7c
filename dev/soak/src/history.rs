//! What callers, operators and upstreams saw, in milliseconds since the start.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use derive_more::Display;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Repeatable,
    /// Must run once at most.
    Once,
    /// Answered by a stream that may be resumed.
    Stream,
    /// On a route that only versions of one parity have: true for odd ones.
    #[display("Parity({_0})")]
    Parity(bool),
}

/// How a call ended for its caller.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer of its own upstream.
    Whole,
    /// An answer of the system itself, with its status.
    #[display("Refused({_0})")]
    Refused(u16),
    /// The connection ended before the answer was whole.
    Broken,
    /// No connection came about.
    Unconnected,
    /// No whole answer within the caller's patience.
    Late,
    /// An answer that is not the one to this request.
    #[display("Wrong({_0})")]
    Wrong(String),
}

/// One call of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Number of the request.
    pub id: u64,
    /// Kind.
    pub kind: Kind,
    /// Entry that was called.
    pub entry: usize,
    /// When it was sent.
    pub sent: u64,
    /// When it ended.
    pub ended: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// One run of a request at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Name of the start of the upstream.
    pub upstream: String,
    /// When the request arrived there.
    pub at: u64,
}

/// A version that the operator sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Order {
    /// Version.
    pub version: u64,
    /// When it was first sent.
    pub sent: u64,
    /// When it was acknowledged, if it was.
    pub acked: Option<u64>,
}

/// What a fault is injected into.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Target {
    /// A control replica.
    #[display("control {_0}")]
    Control(usize),
    /// An entry.
    #[display("entry {_0}")]
    Entry(usize),
    /// An upstream.
    #[display("upstream {_0}")]
    Upstream(usize),
    /// All processes.
    #[display("all processes")]
    All,
}

/// A fault, or planned work, while it lasted.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{from}..{until} ms {name} {target}")]
pub struct Disturbance {
    /// What was done.
    pub name: &'static str,
    /// To what.
    pub target: Target,
    /// Whether it is planned work, which must harm no caller.
    pub planned: bool,
    /// When it began.
    pub from: u64,
    /// When it was over.
    pub until: u64,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Calls.
    pub calls: Vec<Call>,
    /// Runs by number of the request.
    pub runs: BTreeMap<u64, Vec<Run>>,
    /// Versions of the operator.
    pub orders: Vec<Order>,
    /// Versions read back: when the read was sent, and the version.
    pub reads: Vec<(u64, u64)>,
    /// When the leaving of each start of an upstream was acknowledged.
    pub drains: Vec<(String, u64)>,
    /// Faults and planned work.
    pub disturbances: Vec<Disturbance>,
    /// Entries that were told to stop: when, when they ended, and the exit code.
    pub stops: Vec<(u64, u64, Option<i32>)>,
    /// When all faults were over.
    pub healed: u64,
    /// When the first request was served after that.
    pub recovered: Option<u64>,
}

impl History {
    /// Number of calls by how they ended.
    pub fn outcomes(&self) -> Vec<(String, usize)> {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for call in &self.calls {
            *counts.entry(call.outcome.to_string()).or_default() += 1;
        }
        counts.into_iter().collect()
    }
}

/// History under way, shared by all that see something.
#[derive(Debug)]
pub(crate) struct Notes {
    start: Instant,
    history: Mutex<History>,
}

impl Notes {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            history: Mutex::default(),
        }
    }

    /// Time since the start, ms.
    pub(crate) fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
