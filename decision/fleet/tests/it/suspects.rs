//! A content that crashes upstreams is soon refused by every entry, and no other content is.
//!
//! Load pattern: one request comes again and again, at any entry, among requests that upstreams
//! run soundly; views arrive late, reports arrive twice, and one entry is cut off from control.

use std::collections::VecDeque;
use std::time::Duration;

use pimentotide_consensus::Machine;
use pimentotide_fleet::{
    Command, CrashEvidence, CrashReport, FleetState, RequestDigests, SuspectView,
};
use pimentotide_model::{Fingerprint, Incarnation, Time};
use pimentotide_outcome::{Crash, Witness};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::state::{Log, announcement};

const ENTRIES: usize = 9;
const UPSTREAMS: u16 = 12;
const SOUND_CONTENTS: u64 = 20;
const STEP: Duration = Duration::from_millis(100);
const STEPS: u64 = 600;
/// Steps between repeats of the crashing content; crashed upstreams are back by then.
const REPEAT_STEPS: u64 = 10;
const MAX_VIEW_DELAY_MS: u64 = 400;
/// Time after the third crash from which repeats are limited, as for an entry in touch.
const CONNECTIVITY_WINDOW: Duration = Duration::from_secs(3);
/// Maximum number of repeats that reach upstreams after that time.
const MAX_LATE_REPEATS: usize = 3;
/// Maximum number of upstreams that one entry lets crash without contact to control.
const MAX_OWN_CRASHES: usize = 3;

/// Snapshot of an empty state as versions before suspects encoded it.
const EMPTY_SNAPSHOT_WITHOUT_SUSPECTS: [u8; 7] = [0; 7];

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn content(number: u64) -> Fingerprint {
    Fingerprint::of([&number.to_le_bytes()[..]])
}

/// Returns a request without a prompt.
fn request(number: u64) -> RequestDigests {
    RequestDigests {
        content: content(number),
        ..RequestDigests::default()
    }
}

pub(crate) fn crash(upstream: u16, incarnation: u64) -> Crash {
    Crash {
        upstream: format!("u{upstream}").as_str().into(),
        incarnation: Incarnation(incarnation),
        zone: None,
        witness: Witness::Agent,
        suspects: Vec::new(),
    }
}

/// Returns the command that records a report.
pub(crate) fn record(report: CrashReport) -> Command {
    Command::Crash {
        crash: report.crash,
        prompts: report.prompts,
    }
}

fn crash_twice(log: &mut Log) {
    for start in 1..=2 {
        let crash = Crash {
            suspects: vec![content(0)],
            ..crash(1, start)
        };
        let prompts = Vec::new();
        log.apply(&Command::Crash { crash, prompts });
    }
}

#[derive(Default)]
struct Entry {
    evidence: CrashEvidence,
    views: VecDeque<(Time, SuspectView)>,
    reports: Vec<Command>,
    cut: bool,
    own_crashes: usize,
}

struct World {
    log: Log,
    entries: Vec<Entry>,
    rng: ChaCha8Rng,
    now: Time,
    starts: u64,
    /// Times at which the crashing content was sent by entries in touch.
    sent: Vec<Time>,
    sound_refused: usize,
}

impl World {
    fn new(seed: u64, cut: Option<usize>) -> Self {
        let mut log = Log::default();
        for number in 0..UPSTREAMS {
            let announced = announcement(&format!("u{number}"), 80 + number, 1, 1);
            log.apply(&Command::Announce(announced));
        }
        let mut entries: Vec<Entry> = (0..ENTRIES).map(|_| Entry::default()).collect();
        if let Some(cut) = cut {
            entries[cut].cut = true;
        }
        Self {
            log,
            entries,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: at(0),
            starts: 0,
            sent: Vec::new(),
            sound_refused: 0,
        }
    }

    fn run(&mut self) {
        for step in 1..=STEPS {
            self.now = at(0) + STEP * step as u32;
            self.deliver();
            if step % REPEAT_STEPS == 0 {
                self.repeat_crashing();
            }
            self.run_sound();
        }
    }

    /// Replicates reports, some of them twice, and hands views to the entries in touch.
    fn deliver(&mut self) {
        for entry in self.entries.iter_mut().filter(|e| !e.cut) {
            for command in entry.reports.drain(..) {
                for _ in 0..self.rng.random_range(1..=2) {
                    self.log.apply_at(&command, self.now);
                }
            }
        }
        let view = self.log.state.suspects().clone();
        for entry in self.entries.iter_mut().filter(|e| !e.cut) {
            let due = self.now + Duration::from_millis(self.rng.random_range(0..MAX_VIEW_DELAY_MS));
            if entry
                .views
                .back()
                .is_none_or(|(_, v)| v.revision < view.revision)
            {
                entry.views.push_back((due, view.clone()));
            }
            while entry.views.front().is_some_and(|(due, _)| *due <= self.now) {
                let Some((_, view)) = entry.views.pop_front() else {
                    break;
                };
                let sound = entry.evidence.update(view, self.now);
                entry
                    .reports
                    .push(Command::Clear(sound.into_iter().collect()));
            }
        }
    }

    /// The content that crashes upstreams comes at an entry, beside sound ones on the upstream.
    fn repeat_crashing(&mut self) {
        let number = self.rng.random_range(0..ENTRIES);
        let beside = (0..3).map(|_| request(self.rng.random_range(1..=SOUND_CONTENTS)));
        let running: Vec<RequestDigests> = beside.chain([request(0)]).collect();
        let entry = &mut self.entries[number];
        if entry.evidence.is_refused(&request(0), self.now) {
            return;
        }
        self.starts += 1;
        if entry.cut {
            entry.own_crashes += 1;
        } else {
            self.sent.push(self.now);
        }
        let upstream = self.rng.random_range(0..UPSTREAMS);
        let crash = crash(upstream, self.starts);
        let report = entry.evidence.record_crash(crash, &running, self.now);
        entry.reports.extend(report.map(record));
    }

    fn run_sound(&mut self) {
        for entry in &mut self.entries {
            let sound = request(self.rng.random_range(1..=SOUND_CONTENTS));
            if entry.evidence.is_refused(&sound, self.now) {
                self.sound_refused += 1;
                continue;
            }
            let suspected = entry.evidence.record_sound_run(&sound, self.now);
            entry.reports.push(Command::Clear(suspected));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a request that crashes one upstream after another at all entries, one of them
    /// cut off, and against refusals of requests that merely ran beside it.
    #[test]
    fn crashing_content_is_refused_everywhere_and_sound_ones_are_not(
        seed in any::<u64>(),
        cut in prop::option::of(0..ENTRIES),
    ) {
        let mut world = World::new(seed, cut);
        world.run();
        if let Some(third) = world.sent.get(2) {
            let limit = *third + CONNECTIVITY_WINDOW;
            let late = world.sent.iter().filter(|t| **t > limit).count();
            prop_assert!(late <= MAX_LATE_REPEATS, "{late} late repeats");
        }
        let own = world.entries.iter().map(|e| e.own_crashes).max();
        prop_assert!(own <= Some(MAX_OWN_CRASHES), "{own:?} crashes at the entry that is cut off");
        prop_assert_eq!(world.sound_refused, 0);
    }
}

/// Guards against replicas that forget refused contents after a restart, and against snapshots of a
/// version without them.
#[test]
fn refused_contents_survive_a_snapshot_and_older_snapshots_are_restored() {
    let mut log = Log::default();
    crash_twice(&mut log);
    let mut restored = FleetState::default();
    restored.restore(&log.state.snapshot()).unwrap();
    assert_eq!(restored.suspects(), log.state.suspects());
    assert!(restored.suspects().refused.contains(&content(0)));

    restored.restore(&EMPTY_SNAPSHOT_WITHOUT_SUSPECTS).unwrap();
    assert_eq!(restored, FleetState::default());
}

/// Guards against refusing a content for good: after its retention it may run again.
#[test]
fn refusal_expires() {
    let mut log = Log::default();
    crash_twice(&mut log);
    assert!(log.state.suspects().refused.contains(&content(0)));
    log.apply_at(&Command::Entries(3), at(700_000));
    assert!(log.state.suspects().refused.is_empty());
}

/// Guards against suspecting a content that has run soundly, which would refuse frequent requests
/// after two unrelated crashes.
#[test]
fn content_that_ran_soundly_is_no_suspect() {
    let mut evidence = CrashEvidence::default();
    evidence.record_sound_run(&request(1), at(0));
    let report = evidence.record_crash(crash(1, 1), &[request(0), request(1)], at(100));
    assert_eq!(report.unwrap().crash.suspects, [content(0)]);
    // It speaks for the content once: one that begins to crash upstreams is found.
    let report = evidence.record_crash(crash(2, 1), &[request(1)], at(200));
    assert_eq!(report.unwrap().crash.suspects, [content(1)]);
}
