//! Ledger of the stand-ins: what ran, what callers were told, which rules broke.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::{
    AdminState, Declarations, ErrorKind, Failure, Fingerprint, Ran, Revision, Time,
};

/// Time within which an order or a leaving has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);

/// What a caller was told.
#[derive(Clone, Debug)]
pub(super) enum Told {
    Answer,
    Failure(Failure),
    /// The entry died.
    Nothing,
}

#[derive(Clone, Debug)]
struct Run {
    at: Time,
    zone: String,
    upstream: String,
}

/// Everything that happened outside the system itself.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    pub(super) violations: Vec<String>,
    pub(super) told: BTreeMap<String, Told>,
    pub(super) offered: u32,
    pub(super) crashes: u32,
    pub(super) newest: Revision,
    runs: BTreeMap<String, Vec<Run>>,
    starts: Vec<Run>,
    digests: BTreeMap<Revision, Fingerprint>,
    outs: BTreeMap<String, Time>,
    keys: BTreeMap<String, String>,
}

impl Ledger {
    pub(super) fn violate(&mut self, at: Time, rule: &str, detail: &str) {
        self.violations
            .push(format!("{}: {rule}: {detail}", stamp(at)));
    }

    /// A caller asks; `key` names what may run only once.
    pub(super) fn asked(&mut self, name: &str, key: Option<&str>) {
        self.offered += 1;
        if let Some(key) = key {
            self.keys.insert(name.to_owned(), key.to_owned());
        }
    }

    /// An engine starts to run a request.
    pub(super) fn started(&mut self, at: Time, name: &str, upstream: &str, zone: &str) {
        let run = Run {
            at,
            zone: zone.to_owned(),
            upstream: upstream.to_owned(),
        };
        self.check_out(at, name, &run);
        self.starts.push(run.clone());
        if let Some(Told::Failure(failure)) = self.told.get(name)
            && failure.ran == Ran::No
        {
            let detail = format!("{name} ran at {upstream} after \"{}\"", failure.kind);
            self.violate(at, "\"not run\" is true", &detail);
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
            self.violate(at, "at most once", &format!("{key} ran {count} times"));
        }
    }

    fn check_out(&mut self, at: Time, name: &str, run: &Run) {
        for place in [&run.zone, &run.upstream] {
            let Some(since) = self.outs.get(place).copied() else {
                continue;
            };
            if at.since(since) > IN_FORCE {
                let detail = format!(
                    "{name} started at {} in {} {} ms after {place} was taken out",
                    run.upstream,
                    run.zone,
                    at.since(since).as_millis()
                );
                self.violate(at, "no new work where none may go", &detail);
            }
        }
    }

    /// An upstream begins to leave, or has come back.
    pub(super) fn leaving(&mut self, at: Time, upstream: &str, leaves: bool) {
        if leaves {
            self.outs.insert(upstream.to_owned(), at);
        } else {
            self.outs.remove(upstream);
        }
    }

    /// An engine is given work while `running` runs there already.
    pub(super) fn given(&mut self, at: Time, upstream: &str, running: u32, bears: u32) {
        if running >= bears {
            let detail = format!("{upstream} bears {bears} and was given {}", running + 1);
            self.violate(at, "no more than an upstream bears", &detail);
        }
    }

    /// A caller is told how its request ended.
    pub(super) fn answered(&mut self, at: Time, name: &str, told: Told) {
        if let Told::Failure(failure) = &told
            && failure.ran == Ran::No
            && failure.kind != ErrorKind::KeyMismatch
            && self.ran(name)
        {
            let detail = format!("{name} ran and was told \"{}\"", failure.kind);
            self.violate(at, "\"not run\" is true", &detail);
        }
        if self.told.insert(name.to_owned(), told).is_some() {
            self.violate(at, "one answer", &format!("{name} was answered twice"));
        }
    }

    /// A caller has the whole answer; it has to be its own.
    pub(super) fn whole(&mut self, at: Time, name: &str, found: &[String], expected: &[String]) {
        if found != expected {
            let detail = format!("{name} was given {found:?} for {expected:?}");
            self.violate(at, "whole answers", &detail);
        }
        self.answered(at, name, Told::Answer);
    }

    fn ran(&self, name: &str) -> bool {
        let key = self.keys.get(name);
        self.runs.contains_key(name) || key.is_some_and(|k| self.runs.contains_key(k))
    }

    pub(super) fn run_count(&self, name: &str) -> u32 {
        self.runs.get(name).map_or(0, |r| r.len() as u32)
    }

    /// Says how the requests ended and where they ran.
    pub(super) fn summary(&self) -> Vec<String> {
        let mut ends: BTreeMap<String, u32> = BTreeMap::new();
        for told in self.told.values() {
            let end = match told {
                Told::Answer => "answered".to_owned(),
                Told::Failure(failure) => format!("{} (ran: {})", failure.kind, failure.ran),
                Told::Nothing => "lost with the entry".to_owned(),
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

    /// Work started in a zone or at an upstream since `since`.
    pub(super) fn starts_since(&self, place: &str, since: Time) -> usize {
        let here = |r: &&Run| r.at >= since && (r.zone == place || r.upstream == place);
        self.starts.iter().filter(here).count()
    }

    /// A replica applied a configuration.
    pub(super) fn in_force(&mut self, at: Time, declarations: &Declarations, digest: Fingerprint) {
        let revision = declarations.revision;
        let known = *self.digests.entry(revision).or_insert(digest);
        if known != digest {
            let detail = format!("two configurations have revision {revision}");
            self.violate(at, "one configuration a revision", &detail);
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
                    self.outs.entry(place.to_owned()).or_insert(at);
                }
                AdminState::In => {
                    self.outs.remove(place);
                }
            }
        }
    }

    /// A holder puts another configuration in force.
    pub(super) fn held(&mut self, at: Time, who: &str, before: Revision, after: Revision) {
        if after < before {
            let detail = format!("{who} went from revision {before} to {after}");
            self.violate(at, "no configuration reverts", &detail);
        }
    }
}

/// Seconds since the start, for people.
pub(super) fn stamp(at: Time) -> String {
    format!("{:>9.3}", at.as_micros() as f64 / 1e6)
}
