//! A part of prompts that crashes upstreams is refused by every entry, and requests without it are
//! served.
//!
//! Load pattern: requests come at any entry, no two alike; some share a part that crashes the
//! upstream that begins to answer, and all share their first part. After a crash nothing runs for
//! some seconds, as in a group whose ranks wait for each other.

use std::collections::BTreeSet;
use std::time::Duration;

use pimentotide_fleet::{Command, CrashEvidence, RequestDigests};
use pimentotide_model::{Fingerprint, Time};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::state::{Log, announcement};
use crate::suspects::{crash, record};

const ENTRIES: usize = 9;
const UPSTREAMS: u16 = 12;
const STEP: Duration = Duration::from_millis(100);
const STEPS: u64 = 900;
/// Requests that arrive in a step while the group is open.
const REQUESTS_PER_STEP: usize = 5;
/// Number of steps for which nothing runs after a crash.
const STALL_STEPS: u64 = 40;
/// Number of steps between a report and the views that include it.
const VIEW_STEPS: u64 = 2;
const CONNECTIVITY_WINDOW: Duration = Duration::from_secs(3);
/// Maximum number of requests with the part that reach upstreams after the fifth crash and that time.
const MAX_LATE_REQUESTS: usize = 3;
/// First part of all prompts.
const FIRST: u64 = 1;
/// Part that crashes upstreams.
const CRASHING: u64 = 2;
/// Sessions, one of which is part of each prompt.
const SESSIONS: std::ops::Range<u64> = 10..50;

fn digest(number: u64) -> Fingerprint {
    Fingerprint(u128::from(number).to_be_bytes())
}

fn digests(numbers: &[u64]) -> BTreeSet<Fingerprint> {
    numbers.iter().map(|n| digest(*n)).collect()
}

fn request(content: u64, parts: &[u64]) -> RequestDigests {
    RequestDigests {
        content: digest(content),
        parts: digests(parts),
    }
}

/// How crashing requests come.
#[derive(Clone, Copy, Debug)]
struct Pattern {
    /// Whether the crashing part stands together with a session of sound requests.
    beside_session: bool,
    /// Number of upstreams that crash at once.
    at_once: usize,
    /// Part of the arriving requests that have the crashing part.
    share: f64,
}

struct World {
    log: Log,
    entries: Vec<CrashEvidence>,
    pattern: Pattern,
    rng: ChaCha8Rng,
    now: Time,
    requests: u64,
    starts: u64,
    crashes: Vec<Time>,
    /// Times at which requests with the part were sent.
    sent: Vec<Time>,
    served: usize,
    sound_refused: usize,
}

impl World {
    fn new(seed: u64, pattern: Pattern) -> Self {
        let mut log = Log::default();
        for number in 0..UPSTREAMS {
            log.apply(&Command::Announce(announcement(
                &format!("u{number}"),
                80 + number,
                1,
                1,
            )));
        }
        Self {
            log,
            entries: (0..ENTRIES).map(|_| CrashEvidence::default()).collect(),
            pattern,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            requests: 1_000,
            starts: 1,
            crashes: Vec::new(),
            sent: Vec::new(),
            served: 0,
            sound_refused: 0,
        }
    }

    fn run(&mut self) {
        let mut open_at = 0;
        for step in 1..=STEPS {
            self.now = Time::ZERO + STEP * step as u32;
            if step % VIEW_STEPS == 0 {
                self.deliver_views();
            }
            if step >= open_at && self.run_requests() {
                open_at = step + STALL_STEPS;
            }
        }
    }

    fn deliver_views(&mut self) {
        let view = self.log.state.suspects().clone();
        for entry in &mut self.entries {
            if entry.shared().revision < view.revision {
                let sound = entry.update(view.clone(), self.now);
                let clear = Command::Clear(sound.into_iter().collect());
                self.log.apply_at(&clear, self.now);
            }
        }
    }

    /// Runs the requests of a step; returns whether an upstream crashed.
    fn run_requests(&mut self) -> bool {
        let mut crashing = Vec::new();
        let mut sound = Vec::new();
        for _ in 0..REQUESTS_PER_STEP {
            let entry = self.rng.random_range(0..ENTRIES);
            let session = self.rng.random_range(SESSIONS);
            self.requests += 1;
            let crashes = self.rng.random_bool(self.pattern.share);
            let parts = match (crashes, self.pattern.beside_session) {
                (true, true) => vec![FIRST, session, CRASHING],
                (true, false) => vec![FIRST, CRASHING],
                (false, _) => vec![FIRST, session],
            };
            let request = request(self.requests, &parts);
            let refused = self.entries[entry].is_refused(&request, self.now);
            match (crashes, refused) {
                (true, false) => crashing.push((entry, request)),
                (true, true) => {}
                (false, false) => sound.push((entry, request)),
                (false, true) => self.sound_refused += 1,
            }
        }
        self.served += sound.len();
        if crashing.is_empty() {
            for (entry, request) in &sound {
                let suspected = self.entries[*entry].record_sound_run(request, self.now);
                self.log.apply_at(&Command::Clear(suspected), self.now);
            }
            return false;
        }
        self.sent.extend(crashing.iter().map(|_| self.now));
        // The first crash stalls the group, so that the other requests of the step begin no answer.
        for (entry, request) in crashing.into_iter().take(self.pattern.at_once) {
            self.starts += 1;
            self.crashes.push(self.now);
            let beside = sound.iter().filter(|(e, _)| *e == entry);
            let running: Vec<RequestDigests> =
                beside.map(|(_, r)| r.clone()).chain([request]).collect();
            let upstream = self.rng.random_range(0..UPSTREAMS);
            let report =
                self.entries[entry].record_crash(crash(upstream, self.starts), &running, self.now);
            if let Some(report) = report {
                self.log.apply_at(&record(report), self.now);
            }
        }
        true
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against requests, no two alike, that crash one upstream after another by a part that
    /// they share, and against refusals of requests that share their other parts.
    #[test]
    fn crashing_part_is_refused_everywhere_and_requests_without_it_are_served(
        seed in any::<u64>(),
        beside_session in any::<bool>(),
        at_once in 1_usize..=3,
        share in 0.02..0.3_f64,
    ) {
        let pattern = Pattern { beside_session, at_once, share };
        let mut world = World::new(seed, pattern);
        world.run();
        if let Some(fifth) = world.crashes.get(4) {
            let limit = *fifth + CONNECTIVITY_WINDOW;
            let late = world.sent.iter().filter(|t| **t > limit).count();
            prop_assert!(late <= MAX_LATE_REQUESTS, "{late} late requests, {:?}", world.crashes);
        }
        prop_assert_eq!(world.sound_refused, 0);
    }
}

/// Records a crash under one request, seen by an entry of its own.
fn crash_under(log: &mut Log, start: u64, request: &RequestDigests) {
    let report = CrashEvidence::default().record_crash(
        crash(start as u16 % UPSTREAMS, start),
        std::slice::from_ref(request),
        Time::ZERO,
    );
    log.apply(&record(report.unwrap()));
}

/// Guards against blaming a part for crashes of one request that is repeated.
#[test]
fn repeated_request_does_not_blame_its_parts() {
    let mut log = Log::default();
    for start in 1..=4 {
        crash_under(&mut log, start, &request(100, &[FIRST, CRASHING]));
    }
    let view = log.state.suspects();
    assert_eq!(view.refused, digests(&[100]));
    assert!(view.refused_parts.is_empty());
}

/// Guards against refusing one of several parts before crashes or sound runs tell them apart.
#[test]
fn parts_of_the_same_crashes_are_refused_together_until_told_apart() {
    let mut log = Log::default();
    for start in 1..=3 {
        crash_under(&mut log, start, &request(100 + start, &[FIRST, CRASHING]));
    }
    let together = digests(&[FIRST, CRASHING]);
    assert_eq!(log.state.suspects().refused_parts, [together]);
    log.apply(&Command::Clear(vec![digest(FIRST)]));
    assert_eq!(log.state.suspects().refused_parts, [digests(&[CRASHING])]);
}

/// Guards against blaming a second part for crashes that another one explains.
#[test]
fn crash_is_blamed_on_one_part_only() {
    let mut log = Log::default();
    for start in 1..=3 {
        crash_under(&mut log, start, &request(100 + start, &[FIRST, CRASHING]));
    }
    crash_under(&mut log, 4, &request(104, &[CRASHING]));
    assert_eq!(log.state.suspects().refused_parts, [digests(&[CRASHING])]);
}

/// Guards against refusing a part for minutes after few crashes, and against a part that crashes
/// upstreams again each time its refusal ends.
#[test]
fn refusal_of_a_part_ends_early_unless_it_crashes_more_upstreams() {
    let mut log = Log::default();
    let later = |ms| Time::ZERO + Duration::from_millis(ms);
    for start in 1..=3 {
        crash_under(&mut log, start, &request(100 + start, &[CRASHING]));
    }
    log.apply_at(&Command::Entries(3), later(61_000));
    assert!(log.state.suspects().refused_parts.is_empty());
    for start in 4..=5 {
        crash_under(&mut log, start, &request(100 + start, &[CRASHING]));
    }
    log.apply_at(&Command::Entries(4), later(300_000));
    assert_eq!(log.state.suspects().refused_parts, [digests(&[CRASHING])]);
}
