//! Checks of a recorded history against the guarantees of the deployment.

use derive_more::Display;

use crate::fault::{LINK, PAUSE_QUORUM};
use crate::history::{Call, Disturbance, Evacuation, History, Kind, Order, Outcome, Run, Target};

/// Limits of the guarantees; times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// From the acknowledgement of a configuration until it is in force at every entry.
    pub apply: u64,
    /// From the acknowledgement of a configuration that takes a key away until no entry accepts it,
    /// disturbed or not.
    pub revoke: u64,
    /// From the acknowledgement of a drain until the upstream receives no more requests.
    pub drain: u64,
    /// From the acknowledgement of an evacuation until the zone receives no more requests.
    pub evacuation: u64,
    /// Most by which disturbed replicas delay the effect of an evacuation or a configuration.
    pub outer: u64,
    /// From the sending of a request until its entry has read it; until then, the entry may close
    /// the connection without handling the request.
    pub transit: u64,
    /// Time for which a process must have been undisturbed for its guarantees to hold.
    pub undisturbed: u64,
    /// From the end of all faults until requests are served again, and until control has a leader.
    pub recovery: u64,
    /// From the signal to stop until a process has exited.
    pub grace: u64,
    /// Maximum number of runs of one request.
    pub attempts: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            apply: 2_000,
            revoke: 5_000,
            drain: 2_000,
            evacuation: 5_000,
            outer: 5_000,
            transit: 200,
            undisturbed: 3_000,
            recovery: 12_000,
            grace: 5_000,
            attempts: 2,
        }
    }
}

/// Violation of a guarantee; times are in milliseconds.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A request that is not idempotent ran more than once.
    #[display("request {_0} ran {_1} times; at most one run is allowed")]
    Twice(u64, usize),
    /// A request ran more often than its route allows attempts.
    #[display("request {_0} ran {_1} times, more than its allowed attempts")]
    Attempts(u64, usize),
    /// A request had run although its refusal means that it has not.
    #[display("request {_0} was refused with {_1} (not run) although it had run")]
    FalseRefusal(u64, u16),
    /// An answer differed from the expected one of its request.
    #[display("request {_0} got a wrong answer: {_1}")]
    Mixed(u64, String),
    /// A call was interrupted although no fault was active near it.
    #[display("request {_0} at entry {_1} was interrupted at {_2} ms without a fault")]
    Cut(u64, usize, u64),
    /// A configuration was not in force in time, or an older one was in force again.
    #[display("request {_0} at {_1} ms was not handled by version {_2} or a newer one")]
    Stale(u64, u64, u64),
    /// A read returned an older version than one acknowledged before it.
    #[display("a read at {_0} ms returned version {_1} after {_2} had been acknowledged")]
    OldRead(u64, u64, u64),
    /// A request ran with a key that no configuration in force could still have.
    #[display("request {_0} ran at {_1} ms with a key that version {_2} no longer has")]
    Revoked(u64, u64, u64),
    /// A request was refused although its key was in every configuration that may be in force.
    #[display(
        "request {_0} at {_1} ms was refused although version {_2} and newer ones have its key"
    )]
    Denied(u64, u64, u64),
    /// An invalid configuration was acknowledged or read back.
    #[display("the invalid version {_0} was accepted")]
    Invalid(u64),
    /// A request reached a draining upstream after the limit.
    #[display("request {_0} reached draining upstream {_1} {_2} ms after the limit")]
    Drain(u64, String, u64),
    /// A request reached an evacuated zone after the limit.
    #[display("request {_0} reached {_1} in an evacuated zone {_2} ms after the limit")]
    Evacuated(u64, String, u64),
    /// Service did not recover in time after the last fault.
    #[display("no request was served within {_0} ms after the last fault")]
    Recover(u64),
    /// Control had no leader in time after its last replica was back.
    #[display("no leader within {_0} ms after the replicas were back at {_1} ms")]
    Leaderless(u64, u64),
    /// The configuration could not be read at the end.
    #[display("the final configuration could not be read")]
    Unread,
    /// A planned stop exceeded its grace period or returned an exit code other than 0.
    #[display("an entry exited {_0} ms after its stop signal with code {_1:?}")]
    Stop(u64, Option<i32>),
}

/// Returns the violations that a history shows.
pub fn violations(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let mut found = Vec::new();
    runs(history, bounds, &mut found);
    for call in &history.calls {
        found.extend(answer(history, call));
        found.extend(interruption(history, bounds, call));
        found.extend(version(history, bounds, call));
        found.extend(key(history, bounds, call));
    }
    reads(history, &mut found);
    invalid(history, &mut found);
    drains(history, bounds, &mut found);
    evacuations(history, bounds, &mut found);
    let recovered = history.recovered.unwrap_or(u64::MAX);
    if recovered.saturating_sub(history.healed) > bounds.recovery {
        found.push(Violation::Recover(bounds.recovery));
    }
    leaders(history, bounds, &mut found);
    if history.unread {
        found.push(Violation::Unread);
    }
    for (signalled, ended, code) in &history.stops {
        let took = ended - signalled;
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

/// Finds a call that was interrupted with no unplanned disturbance near it.
///
/// A call may be interrupted if its entry closes the connection before reading the request, that
/// is, within `bounds.transit` and without a run.
fn interruption(history: &History, bounds: &Bounds, call: &Call) -> Option<Violation> {
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
        .any(|d| !d.planned && overlaps(d, &span));
    (!unplanned).then_some(Violation::Cut(call.id, call.entry, call.ended))
}

/// Returns the newest version that was acknowledged before `at`, and the orders that may be in
/// force from then until `until`.
fn in_force(history: &History, at: u64, until: u64) -> Option<(u64, Vec<&Order>)> {
    let acked = |o: &&Order| o.acked.is_some_and(|acked| acked < at);
    let newest = history.orders.iter().filter(acked).map(|o| o.version);
    let newest = newest.max()?;
    let possible = history.orders.iter();
    let possible = possible.filter(|o| o.version >= newest && o.sent <= until);
    Some((newest, possible.collect()))
}

/// Finds a call whose key was accepted too late or refused although it was in force.
fn key(history: &History, bounds: &Bounds, call: &Call) -> Option<Violation> {
    let Kind::Keyed(serial) = call.kind else {
        return None;
    };
    let has_key = |o: &&&Order| (serial..=serial + 1).contains(&o.serial);
    if let Some(run) = history.runs.get(&call.id).and_then(|runs| runs.last()) {
        let settled = call.sent.checked_sub(bounds.revoke)?;
        let (newest, possible) = in_force(history, settled, run.at)?;
        let held = possible.iter().any(|o| has_key(&o));
        return (!held).then_some(Violation::Revoked(call.id, run.at, newest));
    }
    if call.outcome != Outcome::Refused(401) || !is_undisturbed(history, bounds, call, call.ended) {
        return None;
    }
    let settled = call.sent.checked_sub(bounds.apply)?;
    let (newest, possible) = in_force(history, settled, call.ended)?;
    let held = possible.iter().all(|o| has_key(&o));
    held.then_some(Violation::Denied(call.id, call.sent, newest))
}

fn invalid(history: &History, found: &mut Vec<Violation>) {
    for (version, status) in &history.invalid {
        let read = history.reads.iter().any(|(_, v)| v == version);
        if read || *status == 200 {
            found.push(Violation::Invalid(*version));
        }
    }
}

/// Finds a call on a parity route whose outcome matches no version that may be in force.
fn version(history: &History, bounds: &Bounds, call: &Call) -> Option<Violation> {
    let Kind::Parity(odd) = call.kind else {
        return None;
    };
    let present = match &call.outcome {
        Outcome::Refused(404) => false,
        Outcome::Whole => true,
        _ => return None,
    };
    let settled = call.sent.checked_sub(apply_time(history, bounds, call))?;
    let (newest, possible) = in_force(history, settled, call.ended)?;
    let fits = possible
        .into_iter()
        .any(|o| (o.version % 2 == u64::from(odd)) == present);
    (!fits).then_some(Violation::Stale(call.id, call.sent, newest))
}

/// Returns the time in which a version has to be in force for a call.
///
/// While most replicas are paused, no entry is in touch with the control role, and serves by its lease.
fn apply_time(history: &History, bounds: &Bounds, call: &Call) -> u64 {
    let span = call.sent.saturating_sub(bounds.apply)..=call.ended;
    let mut disturbances = history.disturbances.iter();
    if disturbances.any(|d| d.name == PAUSE_QUORUM && overlaps(d, &span)) {
        bounds.apply + bounds.outer
    } else {
        bounds.apply
    }
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

/// Finds times with no disturbed replica, longer than `bounds.recovery`, in which no leader acknowledged
/// a version or a read at first; the last of them has no end.
fn leaders(history: &History, bounds: &Bounds, found: &mut Vec<Violation>) {
    let disturbs = |d: &&Disturbance| {
        let replicas = matches!(d.target, Target::Control(_) | Target::All);
        replicas && !d.planned && d.name != LINK
    };
    let disturbances = history.disturbances.iter().filter(disturbs);
    let mut disturbances: Vec<(u64, u64)> = disturbances.map(|d| (d.from, d.until)).collect();
    disturbances.sort_unstable();
    let mut back = None;
    for (from, until) in disturbances.into_iter().chain([(u64::MAX, u64::MAX)]) {
        if let Some(back) = back
            && from > back + bounds.recovery
            && !is_led(history, back..=back + bounds.recovery)
        {
            found.push(Violation::Leaderless(bounds.recovery, back));
        }
        back = back.max(Some(until));
    }
}

/// Whether a leader acknowledged a version or a read within a span.
fn is_led(history: &History, span: std::ops::RangeInclusive<u64>) -> bool {
    let acks = history.orders.iter().filter_map(|o| o.acked);
    let reads = history.reads.iter().map(|(sent, _)| *sent);
    acks.chain(reads).any(|at| span.contains(&at))
}

fn drains(history: &History, bounds: &Bounds, found: &mut Vec<Violation>) {
    for (id, runs) in &history.runs {
        let Some(call) = history.calls.iter().find(|c| c.id == *id) else {
            continue;
        };
        for run in runs {
            let drain = history
                .drains
                .iter()
                .find(|(name, _)| *name == run.upstream);
            let Some((name, acked)) = drain else {
                continue;
            };
            let limit = acked + bounds.drain;
            if call.sent > *acked && run.at > limit && is_undisturbed(history, bounds, call, run.at)
            {
                found.push(Violation::Drain(*id, name.clone(), run.at - limit));
            }
        }
    }
}

fn evacuations(history: &History, bounds: &Bounds, found: &mut Vec<Violation>) {
    for (id, runs) in &history.runs {
        let Some(call) = history.calls.iter().find(|c| c.id == *id) else {
            continue;
        };
        for run in runs {
            for evacuation in &history.evacuations {
                let late = lateness(history, bounds, call, run, evacuation);
                if let Some(late) = late {
                    found.push(Violation::Evacuated(*id, run.upstream.clone(), late));
                }
            }
        }
    }
}

/// Returns by how much a run in an evacuated zone was too late, in milliseconds.
fn lateness(
    history: &History,
    bounds: &Bounds,
    call: &Call,
    run: &Run,
    evacuation: &Evacuation,
) -> Option<u64> {
    let acked = evacuation.acked?;
    let holds = evacuation.withdrawn.is_none_or(|w| run.at < w);
    if !holds || history.zones.get(&run.upstream) != Some(&evacuation.zone) {
        return None;
    }
    let limit = acked + bounds.evacuation;
    if run.at > limit && is_undisturbed(history, bounds, call, run.at) {
        return Some(run.at - limit);
    }
    let limit = limit + bounds.outer;
    let sound = is_entry_undisturbed(history, bounds, call, run.at)
        && is_majority_sound(history, acked, run.at);
    (run.at > limit && sound).then(|| run.at - limit)
}

/// Whether the entry was undisturbed from `bounds.undisturbed` before the call until `at`.
fn is_entry_undisturbed(history: &History, bounds: &Bounds, call: &Call, at: u64) -> bool {
    let span = call.sent.saturating_sub(bounds.undisturbed)..=at;
    let mut disturbances = history.disturbances.iter();
    !disturbances.any(|d| {
        (d.target == Target::All || d.target == Target::Entry(call.entry)) && overlaps(d, &span)
    })
}

/// Whether no two replicas were disturbed at the same time within a span.
fn is_majority_sound(history: &History, from: u64, until: u64) -> bool {
    let span = from..=until;
    let disturbances = history.disturbances.iter();
    let within: Vec<&Disturbance> = disturbances.filter(|d| overlaps(d, &span)).collect();
    let control = |d: &Disturbance| match d.target {
        Target::Control(number) => Some(number),
        _ => None,
    };
    let overlap = |a: &Disturbance, b: &Disturbance| {
        control(a).is_some()
            && control(b).is_some()
            && control(a) != control(b)
            && overlaps(a, &(b.from..=b.until))
    };
    let all = within
        .iter()
        .any(|d| d.target == Target::All || d.name == PAUSE_QUORUM);
    !all && !within.iter().any(|a| within.iter().any(|b| overlap(a, b)))
}

/// Whether the entry and all replicas were undisturbed from `bounds.undisturbed` before the call
/// until `at`.
fn is_undisturbed(history: &History, bounds: &Bounds, call: &Call, at: u64) -> bool {
    let span = call.sent.saturating_sub(bounds.undisturbed)..=at;
    let relevant = |d: &&Disturbance| match d.target {
        Target::Entry(entry) => entry == call.entry,
        Target::Control(_) | Target::All => true,
        Target::Upstream(_) => false,
    };
    let mut disturbances = history.disturbances.iter().filter(relevant);
    !disturbances.any(|d| overlaps(d, &span))
}

fn overlaps(disturbance: &Disturbance, span: &std::ops::RangeInclusive<u64>) -> bool {
    disturbance.from <= *span.end() && disturbance.until >= *span.start()
}
