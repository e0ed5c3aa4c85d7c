//! What the deployment promises, checked against what was seen.

use derive_more::Display;

use crate::history::{Call, Disturbance, History, Kind, Outcome, Target};

/// Time limits of the promises, ms, and attempts of a request.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// From the acknowledgement of a configuration until it is in force everywhere.
    pub apply: u64,
    /// From the acknowledgement of leaving until an upstream gets nothing more.
    pub drain: u64,
    /// From the sending of a request until its entry has read it.
    pub transit: u64,
    /// Time that a process must have been in touch to count.
    pub undisturbed: u64,
    /// From the end of all faults until requests are served again.
    pub recovery: u64,
    /// From the signal to stop until a process has ended.
    pub grace: u64,
    /// Upstreams that one request may run at.
    pub attempts: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            apply: 2_000,
            drain: 2_000,
            transit: 200,
            undisturbed: 3_000,
            recovery: 12_000,
            grace: 5_000,
            attempts: 2,
        }
    }
}

/// A promise that was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A request that must run once ran more often.
    #[display("request {_0} ran {_1} times and must run once at most")]
    Twice(u64, usize),
    /// A request ran at more upstreams than its route allows.
    #[display("request {_0} ran {_1} times, more than its attempts")]
    Attempts(u64, usize),
    /// A refusal said that a request had not run, and it had.
    #[display("request {_0} was refused with {_1}, which says that it has not run, and it had")]
    FalseRefusal(u64, u16),
    /// An answer was not that of its request, or not whole.
    #[display("request {_0} got a wrong answer: {_1}")]
    Mixed(u64, String),
    /// A request was cut although nothing but planned work went on.
    #[display("request {_0} at entry {_1} was cut at {_2} ms with planned work only")]
    Cut(u64, usize, u64),
    /// A configuration was not in force in time, or came back.
    #[display("request {_0} at {_1} ms was handled by another version than {_2}")]
    Stale(u64, u64, u64),
    /// A read gave an older version than one acknowledged before.
    #[display("a read at {_0} ms gave version {_1} after {_2} had been acknowledged")]
    OldRead(u64, u64, u64),
    /// An upstream that was leaving got a request.
    #[display("request {_0} reached {_1}, which was leaving, {_2} ms too late")]
    Drain(u64, String, u64),
    /// Service did not come back.
    #[display("no request was served within {_0} ms after the last fault")]
    Recover(u64),
    /// A planned stop took too long or failed.
    #[display("an entry that was told to stop ended after {_0} ms with {_1:?}")]
    Stop(u64, Option<i32>),
}

/// Lists the promises that were broken.
pub fn violations(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let mut found = Vec::new();
    runs(history, bounds, &mut found);
    for call in &history.calls {
        found.extend(answer(history, call));
        found.extend(cut(history, bounds, call));
        found.extend(version(history, bounds, call));
    }
    reads(history, &mut found);
    drains(history, bounds, &mut found);
    let back = history.recovered.unwrap_or(u64::MAX);
    if back.saturating_sub(history.healed) > bounds.recovery {
        found.push(Violation::Recover(bounds.recovery));
    }
    for (told, ended, code) in &history.stops {
        let took = ended - told;
        if took > bounds.grace || *code != Some(0) {
            found.push(Violation::Stop(took, *code));
        }
    }
    found
}

fn runs(history: &History, bounds: &Bounds, found: &mut Vec<Violation>) {
    for call in &history.calls {
        let runs = history.runs.get(&call.id).map_or(0, Vec::len);
        if call.kind == Kind::Once && runs > 1 {
            found.push(Violation::Twice(call.id, runs));
        } else if runs > bounds.attempts {
            found.push(Violation::Attempts(call.id, runs));
        }
    }
}

fn answer(history: &History, call: &Call) -> Option<Violation> {
    match &call.outcome {
        Outcome::Refused(status @ (408 | 421 | 429 | 503))
            if history.runs.contains_key(&call.id) =>
        {
            Some(Violation::FalseRefusal(call.id, *status))
        }
        Outcome::Wrong(what) => Some(Violation::Mixed(call.id, what.clone())),
        _ => None,
    }
}

/// A call that a planned stop cut, with nothing unplanned around it.
///
/// One that crosses the close of its connection may be cut, unless it was passed on.
fn cut(history: &History, bounds: &Bounds, call: &Call) -> Option<Violation> {
    if call.outcome != Outcome::Broken {
        return None;
    }
    if call.ended - call.sent <= bounds.transit && !history.runs.contains_key(&call.id) {
        return None;
    }
    let span = call.sent.saturating_sub(bounds.undisturbed)..=call.ended;
    let unplanned = history
        .disturbances
        .iter()
        .any(|d| !d.planned && meets(d, &span));
    (!unplanned).then_some(Violation::Cut(call.id, call.entry, call.ended))
}

/// A call on a route that only some versions have, handled by none that may be in force.
fn version(history: &History, bounds: &Bounds, call: &Call) -> Option<Violation> {
    let Kind::Parity(odd) = call.kind else {
        return None;
    };
    let present = match &call.outcome {
        Outcome::Refused(404) => false,
        Outcome::Whole => true,
        _ => return None,
    };
    let settled = call.sent.checked_sub(bounds.apply)?;
    let acked = |o: &&crate::Order| o.acked.is_some_and(|at| at < settled);
    let newest = history
        .orders
        .iter()
        .filter(acked)
        .map(|o| o.version)
        .max()?;
    let possible = history.orders.iter();
    let possible = possible.filter(|o| o.version >= newest && o.sent <= call.ended);
    let fits = possible
        .into_iter()
        .any(|o| (o.version % 2 == u64::from(odd)) == present);
    (!fits).then_some(Violation::Stale(call.id, call.sent, newest))
}

fn reads(history: &History, found: &mut Vec<Violation>) {
    for (sent, version) in &history.reads {
        let acked = history.orders.iter();
        let acked = acked.filter(|o| o.acked.is_some_and(|at| at < *sent));
        let newest = acked.map(|o| o.version).max().unwrap_or(0);
        if *version < newest {
            found.push(Violation::OldRead(*sent, *version, newest));
        }
    }
}

fn drains(history: &History, bounds: &Bounds, found: &mut Vec<Violation>) {
    for (id, runs) in &history.runs {
        let Some(call) = history.calls.iter().find(|c| c.id == *id) else {
            continue;
        };
        for run in runs {
            let left = history
                .drains
                .iter()
                .find(|(name, _)| *name == run.upstream);
            let Some((name, acked)) = left else {
                continue;
            };
            let limit = acked + bounds.drain;
            if call.sent > *acked && run.at > limit && is_in_touch(history, bounds, call, run.at) {
                found.push(Violation::Drain(*id, name.clone(), run.at - limit));
            }
        }
    }
}

/// Whether an entry and all replicas were undisturbed for a while before `at`.
fn is_in_touch(history: &History, bounds: &Bounds, call: &Call, at: u64) -> bool {
    let span = call.sent.saturating_sub(bounds.undisturbed)..=at;
    let bears = |d: &&Disturbance| match d.target {
        Target::Entry(entry) => entry == call.entry,
        Target::Control(_) | Target::All => true,
        Target::Upstream(_) => false,
    };
    let mut near = history.disturbances.iter().filter(bears);
    !near.any(|d| meets(d, &span))
}

fn meets(disturbance: &Disturbance, span: &std::ops::RangeInclusive<u64>) -> bool {
    disturbance.from <= *span.end() && disturbance.until >= *span.start()
}
