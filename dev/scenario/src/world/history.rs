//! History of a run: requests that ran, results of callers and violated invariants.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::{
    AdminState, Declarations, ErrorKind, Failure, Fingerprint, Ran, Revision, Time,
};

/// Time within which an order or an announced departure has to be effective everywhere.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a request at its caller.
#[derive(Clone, Debug)]
pub(super) enum CallerResult {
    Answer,
    Failure(Failure),
    /// The entry stopped before it answered.
    Lost,
}

#[derive(Clone, Debug)]
struct Run {
    at: Time,
    zone: String,
    upstream: String,
}

/// Events at callers and engines, and the invariants they violated.
#[derive(Debug, Default)]
pub(super) struct History {
    pub(super) violations: Vec<String>,
    pub(super) results: BTreeMap<String, CallerResult>,
    pub(super) offered: u32,
    pub(super) crashes: u32,
    pub(super) newest: Revision,
    runs: BTreeMap<String, Vec<Run>>,
    starts: Vec<Run>,
    digests: BTreeMap<Revision, Fingerprint>,
    /// Time since which each zone or upstream is out of service or leaving.
    taken_out: BTreeMap<String, Time>,
    /// Key of each request that may run at most once.
    keys: BTreeMap<String, String>,
}

impl History {
    pub(super) fn record_violation(&mut self, at: Time, rule: &str, detail: &str) {
        self.violations
            .push(format!("{}: {rule}: {detail}", stamp(at)));
    }

    /// Records a request; `key` identifies an operation that may run at most once.
    pub(super) fn request_offered(&mut self, name: &str, key: Option<&str>) {
        self.offered += 1;
        if let Some(key) = key {
            self.keys.insert(name.to_owned(), key.to_owned());
        }
    }

    /// Records and checks the start of a request at an engine.
    pub(super) fn started(&mut self, at: Time, name: &str, upstream: &str, zone: &str) {
        let run = Run {
            at,
            zone: zone.to_owned(),
            upstream: upstream.to_owned(),
        };
        self.check_taken_out(at, name, &run);
        self.starts.push(run.clone());
        if let Some(CallerResult::Failure(failure)) = self.results.get(name)
            && failure.ran == Ran::No
        {
            let detail = format!("{name} ran at {upstream} after \"{}\"", failure.kind);
            self.record_violation(at, "failures report whether the request ran", &detail);
        }
        let key = self.keys.get(name).cloned();
        self.runs
            .entry(name.to_owned())
            .or_default()
            .push(run.clone());
        let Some(key) = key else {
            return;
        };
        if key != name {
            self.runs.entry(key.clone()).or_default().push(run);
        }
        let count = self.run_count(&key);
        if count > 1 {
            self.record_violation(at, "at most once", &format!("{key} ran {count} times"));
        }
    }

    fn check_taken_out(&mut self, at: Time, name: &str, run: &Run) {
        for place in [&run.zone, &run.upstream] {
            let Some(since) = self.taken_out.get(place).copied() else {
                continue;
            };
            if at.since(since) > PROPAGATION_TIMEOUT {
                let detail = format!(
                    "{name} started at {} in {} {} ms after {place} was taken out",
                    run.upstream,
                    run.zone,
                    at.since(since).as_millis()
                );
                self.record_violation(at, "no new work after being taken out", &detail);
            }
        }
    }

    /// Records that an upstream starts to leave, or has restarted.
    pub(super) fn leaving(&mut self, at: Time, upstream: &str, leaving: bool) {
        if leaving {
            self.taken_out.insert(upstream.to_owned(), at);
        } else {
            self.taken_out.remove(upstream);
        }
    }

    /// Checks that an engine at `running` requests has room for another one.
    pub(super) fn check_concurrency(&mut self, at: Time, upstream: &str, running: u32, limit: u32) {
        if running >= limit {
            let detail = format!("{upstream} allows {limit} and received {}", running + 1);
            self.record_violation(at, "concurrency within the warm-up limit", &detail);
        }
    }

    /// Records the result of a request; its claim about having run has to be true.
    pub(super) fn answered(&mut self, at: Time, name: &str, result: CallerResult) {
        if let CallerResult::Failure(failure) = &result
            && failure.ran == Ran::No
            && failure.kind != ErrorKind::KeyMismatch
            && self.ran(name)
        {
            let detail = format!("{name} ran but failed with \"{}\" (ran: no)", failure.kind);
            self.record_violation(at, "failures report whether the request ran", &detail);
        }
        if self.results.insert(name.to_owned(), result).is_some() {
            self.record_violation(at, "one answer", &format!("{name} was answered twice"));
        }
    }

    /// Records a complete answer, which has to belong to the request.
    pub(super) fn complete(&mut self, at: Time, name: &str, found: &[String], expected: &[String]) {
        if found != expected {
            let detail = format!("{name} received {found:?}, expected {expected:?}");
            self.record_violation(at, "complete answers", &detail);
        }
        self.answered(at, name, CallerResult::Answer);
    }

    fn ran(&self, name: &str) -> bool {
        let key = self.keys.get(name);
        self.runs.contains_key(name) || key.is_some_and(|k| self.runs.contains_key(k))
    }

    pub(super) fn run_count(&self, name: &str) -> u32 {
        self.runs.get(name).map_or(0, |r| r.len() as u32)
    }

    /// Counts requests by result and by the upstream that ran them.
    pub(super) fn summary(&self) -> Vec<String> {
        let mut ends: BTreeMap<String, u32> = BTreeMap::new();
        for result in self.results.values() {
            let end = match result {
                CallerResult::Answer => "answered".to_owned(),
                CallerResult::Failure(failure) => {
                    format!("{} (ran: {})", failure.kind, failure.ran)
                }
                CallerResult::Lost => "lost with the entry".to_owned(),
            };
            *ends.entry(end).or_default() += 1;
        }
        let mut places: BTreeMap<&str, u32> = BTreeMap::new();
        for run in &self.starts {
            *places.entry(&run.upstream).or_default() += 1;
        }
        let mut lines = vec![format!("requests: {}", self.offered)];
        lines.extend(ends.iter().map(|(end, count)| format!("  {end}: {count}")));
        lines.extend(
            places
                .iter()
                .map(|(place, count)| format!("  run at {place}: {count}")),
        );
        lines
    }

    /// Counts the requests started in a zone or at an upstream since `since`.
    pub(super) fn starts_since(&self, place: &str, since: Time) -> usize {
        let here = |r: &&Run| r.at >= since && (r.zone == place || r.upstream == place);
        self.starts.iter().filter(here).count()
    }

    /// Records a configuration applied by a replica; a revision has one digest at all of them.
    pub(super) fn configuration_applied(
        &mut self,
        at: Time,
        declarations: &Declarations,
        digest: Fingerprint,
    ) {
        let revision = declarations.revision;
        let recorded = *self.digests.entry(revision).or_insert(digest);
        if recorded != digest {
            let detail = format!("two configurations have revision {revision}");
            self.record_violation(at, "one configuration per revision", &detail);
        }
        if revision <= self.newest {
            return;
        }
        self.newest = revision;
        let zones = declarations.zones.iter().map(|(z, s)| (z.as_str(), *s));
        let upstreams = declarations.upstreams.iter();
        let upstreams = upstreams.map(|(u, p)| (u.as_str(), p.standing));
        for (place, standing) in zones.chain(upstreams) {
            match standing {
                AdminState::Out => {
                    self.taken_out.entry(place.to_owned()).or_insert(at);
                }
                AdminState::In => {
                    self.taken_out.remove(place);
                }
            }
        }
    }

    /// Checks that a watcher's revision does not decrease.
    pub(super) fn watcher_updated(
        &mut self,
        at: Time,
        who: &str,
        before: Revision,
        after: Revision,
    ) {
        if after < before {
            let detail = format!("{who} went from revision {before} to {after}");
            self.record_violation(at, "no configuration reverts", &detail);
        }
    }
}

/// Formats a time as seconds since the start of the run.
pub(super) fn stamp(at: Time) -> String {
    format!("{:>9.3}", at.as_micros() as f64 / 1e6)
}
