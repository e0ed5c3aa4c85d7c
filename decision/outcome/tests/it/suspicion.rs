//! A content that crashes upstreams is refused after two crashes, and no other content.
//!
//! Guards against a content that crashes one upstream after another through retries,
//! and against refusals of contents that merely ran beside it or in a failed zone.

use std::collections::BTreeSet;
use std::time::Duration;

use pimentotide_model::{Fingerprint, Incarnation, RequestId, Time, UpstreamName, ZoneName};
use pimentotide_outcome::{
    CancelPlan, Crash, Suspicion, Ticket, Verdict, Witness, Work, on_suspicion,
};
use proptest::collection::vec;
use proptest::prelude::*;

const ENTRIES: usize = 9;
const UPSTREAMS: usize = 6;
const HARMLESS_CONTENTS: usize = 12;
const STEP: Duration = Duration::from_millis(100);
/// Time after which the caller resends through all entries if their views lag.
const RESEND_DELAY: Duration = Duration::from_secs(1);
const MAX_STEPS: usize = 3_000;

fn content(i: usize) -> Fingerprint {
    Fingerprint::of([i.to_string().as_bytes()])
}

fn name(upstream: usize) -> UpstreamName {
    UpstreamName::from(format!("draft-{upstream}"))
}

fn zone(i: usize) -> ZoneName {
    ZoneName::from(["accra-a", "accra-b", "tema-c"][i % 3])
}

fn crash(upstream: usize, incarnation: u64, suspects: &[usize], witness: Witness) -> Crash {
    Crash {
        upstream: name(upstream),
        incarnation: Incarnation(incarnation),
        zone: Some(zone(upstream)),
        witness,
        suspects: suspects.iter().map(|i| content(*i)).collect(),
    }
}

fn ticket(request: usize) -> Ticket {
    Ticket {
        request: RequestId(request as u128),
        attempt: 1,
    }
}

/// One copy of a content at an entry; content 0 crashes the upstream that runs it.
#[derive(Clone, Debug)]
struct Copy {
    content: usize,
    request: usize,
    due: Time,
    /// Whether its entry observed its crash.
    crash_observed: bool,
    /// Whether it was admitted after it became a suspect.
    admitted: bool,
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    incarnation: u64,
    running: Vec<Copy>,
}

/// Entries with a lagging view, upstreams and the committed suspicion.
struct Fleet {
    now: Time,
    suspicion: Suspicion,
    history: Vec<BTreeSet<Fingerprint>>,
    lag: usize,
    queue: Vec<Copy>,
    upstreams: Vec<Upstream>,
    crashes: usize,
    refused: BTreeSet<usize>,
    done: BTreeSet<usize>,
    resent: bool,
    draws: Vec<u32>,
    drawn: usize,
}

impl Fleet {
    fn new(lag: usize, draws: Vec<u32>) -> Self {
        let queue = (0..=HARMLESS_CONTENTS).map(|content| Copy {
            content,
            request: content,
            due: Time::ZERO,
            crash_observed: false,
            admitted: false,
        });
        Self {
            now: Time::ZERO,
            suspicion: Suspicion::default(),
            history: Vec::new(),
            lag,
            queue: queue.collect(),
            upstreams: vec![Upstream::default(); UPSTREAMS],
            crashes: 0,
            refused: BTreeSet::new(),
            done: BTreeSet::new(),
            resent: false,
            draws,
            drawn: 0,
        }
    }

    fn draw(&mut self, bound: usize) -> usize {
        self.drawn += 1;
        let value = self.draws[self.drawn % self.draws.len()] as usize;
        value.wrapping_mul(self.drawn.wrapping_mul(2_654_435_761) | 1) / 7 % bound
    }

    fn run(&mut self) {
        for _ in 0..MAX_STEPS {
            self.history.push(self.suspicion.contents());
            self.stop_suspects();
            let due: Vec<Copy> = self.queue.extract_if(.., |c| c.due <= self.now).collect();
            due.into_iter().for_each(|copy| self.place(copy));
            (0..UPSTREAMS).for_each(|i| self.work(i));
            self.now += STEP;
        }
    }

    /// Returns the suspects that the entries have received so far.
    fn view(&self) -> &BTreeSet<Fingerprint> {
        &self.history[self.history.len().saturating_sub(1 + self.lag)]
    }

    /// Stops the copies in flight that started before the entries received the suspicion.
    fn stop_suspects(&mut self) {
        let view = self.view().clone();
        for upstream in &mut self.upstreams {
            let stopped = upstream.running.extract_if(.., |copy| {
                let work = Work {
                    idempotent: true,
                    sent: true,
                    waiting: 0,
                };
                let suspected = view.contains(&content(copy.content));
                suspected && on_suspicion(work, copy.admitted) == CancelPlan::Stop
            });
            self.queue.extend(stopped);
        }
    }

    fn place(&mut self, mut copy: Copy) {
        copy.admitted = false;
        let first = self.draw(UPSTREAMS);
        if !copy.crash_observed && !self.view().contains(&content(copy.content)) {
            return self.start(copy, first);
        }
        for i in (0..UPSTREAMS).map(|i| (first + i) % UPSTREAMS) {
            match self.admit(&copy, i) {
                Verdict::Occupied => {}
                Verdict::Free => return self.start(copy, i),
                Verdict::Apart => {
                    copy.admitted = true;
                    return self.start(copy, i);
                }
                Verdict::Wait(pause) => return self.wait(copy, pause),
                Verdict::Refused(_) => {
                    self.refused.insert(copy.content);
                    return;
                }
            }
        }
        self.wait(copy, STEP);
    }

    fn admit(&mut self, copy: &Copy, upstream: usize) -> Verdict {
        let allowed = Duration::from_secs(60);
        let (print, ticket) = (content(copy.content), ticket(copy.request));
        let now = self.now;
        self.suspicion
            .admit(print, ticket, &name(upstream), allowed, now)
    }

    fn wait(&mut self, mut copy: Copy, pause: Duration) {
        copy.due = self.now + pause;
        self.queue.push(copy);
    }

    fn start(&mut self, mut copy: Copy, upstream: usize) {
        copy.due = self.now + STEP * (1 + u32::try_from(self.draw(60)).unwrap());
        self.upstreams[upstream].running.push(copy);
    }

    fn work(&mut self, i: usize) {
        let now = self.now;
        let ready = |c: &mut Copy| c.due <= now;
        if self.upstreams[i]
            .running
            .iter()
            .any(|c| c.content == 0 && c.due <= now)
        {
            return self.crash(i);
        }
        for copy in self.upstreams[i]
            .running
            .extract_if(.., ready)
            .collect::<Vec<_>>()
        {
            let (print, ticket) = (content(copy.content), ticket(copy.request));
            self.suspicion.end_trial(print, ticket, true);
            self.done.insert(copy.content);
        }
    }

    fn crash(&mut self, i: usize) {
        self.crashes += 1;
        let running = std::mem::take(&mut self.upstreams[i].running);
        let suspects: Vec<usize> = running.iter().map(|c| c.content).collect();
        let report = crash(i, self.upstreams[i].incarnation, &suspects, Witness::Agent);
        self.suspicion.report(&report, self.now);
        self.suspicion.report(&report, self.now);
        self.upstreams[i].incarnation += 1;
        for mut copy in running {
            copy.due = self.now;
            copy.crash_observed = true;
            self.queue.push(copy);
        }
        self.resend_everywhere();
    }

    /// Resends content 0 through all entries at once, and once through an entry that
    /// has not received the report of the crash.
    fn resend_everywhere(&mut self) {
        if std::mem::replace(&mut self.resent, true) {
            return;
        }
        let wait = if self.lag == 0 { STEP } else { RESEND_DELAY };
        let stray = Copy {
            content: 0,
            request: 2_000,
            due: self.now,
            crash_observed: false,
            admitted: false,
        };
        self.queue.push(stray);
        for entry in 0..ENTRIES {
            self.queue.push(Copy {
                content: 0,
                request: 1_000 + entry,
                due: self.now + wait,
                crash_observed: false,
                admitted: false,
            });
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn only_the_crashing_content_is_refused_after_at_most_two_crashes(
        lag in 0..10usize,
        draws in vec(any::<u32>(), 16..64),
    ) {
        let mut fleet = Fleet::new(lag, draws);
        fleet.run();
        prop_assert!(fleet.crashes <= 2, "{} crashes", fleet.crashes);
        prop_assert_eq!(fleet.refused, BTreeSet::from([0]));
        prop_assert_eq!(fleet.done, (1..=HARMLESS_CONTENTS).collect::<BTreeSet<_>>());
    }
}

fn verdicts(suspicion: &Suspicion, seconds: u64) -> String {
    let at = Time::ZERO + Duration::from_secs(seconds);
    let verdicts = (0..6).map(|i| {
        let verdict = suspicion.verdict(content(i), ticket(i), &name(0), at);
        format!("{i}: {verdict:?}")
    });
    format!(
        "after {seconds} s: {}",
        verdicts.collect::<Vec<_>>().join(", ")
    )
}

#[test]
fn failure_of_a_zone_excuses_its_requests() {
    let mut suspicion = Suspicion::default();
    let at = Time::from_millis;
    let mut lines = Vec::new();
    suspicion.report(&crash(0, 1, &[0, 1, 5], Witness::Agent), at(0));
    suspicion.report(&crash(3, 1, &[2, 5], Witness::Agent), at(300));
    lines.push(verdicts(&suspicion, 1));
    suspicion.report(&crash(6, 1, &[3, 4], Witness::Agent), at(1_900));
    lines.push(verdicts(&suspicion, 2));
    lines.push(verdicts(&suspicion, 10));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn content_common_to_all_crashes_of_a_zone_is_not_excused() {
    let mut suspicion = Suspicion::default();
    for (i, upstream) in [0, 3, 6].into_iter().enumerate() {
        suspicion.report(&crash(upstream, 1, &[0, i + 1], Witness::Agent), Time::ZERO);
    }
    insta::assert_snapshot!(verdicts(&suspicion, 5));
}

#[test]
fn single_lost_instance_does_not_count_as_a_crash() {
    let mut suspicion = Suspicion::default();
    let mut lines = Vec::new();
    suspicion.report(&crash(0, 1, &[0, 1], Witness::Entry), Time::ZERO);
    lines.push(verdicts(&suspicion, 5));
    suspicion.report(&crash(1, 1, &[0, 2], Witness::Entry), Time::ZERO);
    lines.push(verdicts(&suspicion, 5));
    suspicion.report(&crash(0, 1, &[3], Witness::Agent), Time::ZERO);
    lines.push(verdicts(&suspicion, 5));
    lines.push(verdicts(&suspicion, 599));
    suspicion.expire(Time::ZERO + Duration::from_secs(600));
    lines.push(verdicts(&suspicion, 600));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn crash_history_is_bounded() {
    let mut suspicion = Suspicion::default();
    let many: Vec<usize> = (0..700).collect();
    for i in 0..400 {
        suspicion.report(
            &crash(i, 1, &many, Witness::Agent),
            Time::from_millis(i as u64 * 10_000),
        );
    }
    assert!(suspicion.contents().len() <= 1_024 + 512);
}
