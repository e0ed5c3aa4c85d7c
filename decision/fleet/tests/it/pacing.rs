//! Streams that start while the passes of a group are long.
//!
//! The group is a model of one whose passes take 30 ms, 0.2 ms for each running stream and 1.2 ms for
//! each prompt read, the last two times the imbalance of the experts. It is seen by one entry.

use std::time::Duration;

use insta::assert_debug_snapshot;
use pimentotide_fleet::{StreamPacer, StreamTargets};
use pimentotide_model::Time;

const FIRST_EVENT: Duration = Duration::from_millis(400);
const GAP: Duration = Duration::from_millis(120);
/// Events of each stream.
const EVENTS: u32 = 26;
/// Time between two arrivals.
const ARRIVAL_MS: u64 = 14;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn targets(arrived: Time) -> StreamTargets {
    StreamTargets {
        arrived,
        first_event: FIRST_EVENT,
        gap: GAP,
    }
}

/// Pacer that has seen streams begin after 150 ms and arrive each [`ARRIVAL_MS`].
fn usual() -> StreamPacer {
    let mut pacer = StreamPacer::new();
    for ms in (0..2_000).step_by(ARRIVAL_MS as usize) {
        pacer.record_begin(Duration::from_millis(150));
        pacer.start_at(&targets(at(ms)), at(ms));
    }
    pacer
}

/// What callers saw in a load.
#[derive(Debug, Default, PartialEq)]
struct Seen {
    longest_gap_ms: u128,
    longest_begin_ms: u128,
    late_passes: u32,
    longest_wait_ms: u128,
}

/// Load whose experts shift for some time; times in ms.
struct Load {
    shift: std::ops::Range<u64>,
    imbalance: f64,
    paced: bool,
}

impl Load {
    /// Plays 4 s of arrivals.
    fn play(&self) -> Seen {
        let mut pacer = StreamPacer::new();
        let (mut now, mut arrived) = (0, 0);
        let mut waiting: Vec<(u64, Time)> = Vec::new();
        let mut running: Vec<u32> = Vec::new();
        let mut seen = Seen::default();
        while now < 4_000 {
            while arrived <= now {
                let start = pacer.start_at(&targets(at(arrived)), at(arrived));
                waiting.push((arrived, start));
                arrived += ARRIVAL_MS;
            }
            let starts = |(arrived, start): &(u64, Time)| {
                !self.paced || *start <= at(now) || !pacer.is_paced(&targets(at(*arrived)), at(now))
            };
            let (prompts, rest): (Vec<_>, Vec<_>) = waiting.into_iter().partition(starts);
            waiting = rest;
            let skew = if self.shift.contains(&now) {
                self.imbalance
            } else {
                1.2
            };
            let work = 0.2 * running.len() as f64 + 1.2 * prompts.len() as f64;
            let pass = Duration::from_secs_f64((30.0 + work * skew) / 1_000.0);
            let start = now;
            now += pass.as_millis() as u64;
            for (arrived, paced_until) in &prompts {
                // It was sent at some time in the pass before.
                let sent = (*paced_until).min(at(start));
                pacer.record_begin(at(now).since(sent));
                seen.longest_begin_ms = seen.longest_begin_ms.max(u128::from(now - arrived));
                seen.longest_wait_ms = seen.longest_wait_ms.max(u128::from(start - arrived));
            }
            if !running.is_empty() {
                pacer.record_gap(pass, GAP, at(now));
                seen.longest_gap_ms = seen.longest_gap_ms.max(pass.as_millis());
                seen.late_passes += u32::from(pass > GAP);
            }
            running.iter_mut().for_each(|left| *left -= 1);
            running.retain(|left| *left > 0);
            running.extend(prompts.iter().map(|_| EVENTS));
        }
        seen
    }
}

/// Guards against running streams that all become late, because new prompts are read as usual while
/// demand has shifted and the map has not been changed yet.
#[test]
fn shift_of_demand_delays_prompts_rather_than_all_running_streams() {
    let load = |paced| Load {
        shift: 2_000..2_600,
        imbalance: 3.0,
        paced,
    };
    let (unpaced, paced) = (load(false).play(), load(true).play());
    assert!(unpaced.late_passes > 0, "{unpaced:?}");
    assert_eq!(paced.late_passes, 0, "{paced:?}");
    assert!(
        paced.longest_begin_ms <= FIRST_EVENT.as_millis(),
        "{paced:?}"
    );
    assert_debug_snapshot!((unpaced, paced));
}

/// Guards against a wait without any cause.
#[test]
fn steady_demand_delays_no_stream() {
    let load = |paced| Load {
        shift: 0..0,
        imbalance: 1.2,
        paced,
    };
    assert_eq!(load(true).play(), load(false).play());
}

/// Guards against a first event after its target because of the wait, for any gap that was seen.
#[test]
fn no_stream_waits_longer_than_its_own_target_allows() {
    let mut pacer = usual();
    let now = at(2_000);
    pacer.record_gap(Duration::from_millis(110), GAP, now);
    for _ in 0..200 {
        let start = pacer.start_at(&targets(now), now);
        assert!(start.since(now) + Duration::from_millis(150) <= FIRST_EVENT);
    }
    let late = at(1_500);
    assert_eq!(pacer.start_at(&targets(late), now), now);
}

/// Guards against delays that go on under an overload, which waiting does not end.
#[test]
fn passes_that_stay_long_delay_streams_for_a_few_targets_only() {
    let mut pacer = usual();
    let mut paced = Vec::new();
    for ms in (2_000..4_000).step_by(100) {
        pacer.record_gap(Duration::from_millis(115), GAP, at(ms));
        if pacer.is_paced(&targets(at(ms)), at(ms)) {
            paced.push(ms);
        }
    }
    assert_eq!((paced.first(), paced.last()), (Some(&2_000), Some(&3_200)));
}

/// Guards against targets of one deployment in the decision: all times three times as long, or a third.
#[test]
fn other_targets_scale_the_waits() {
    for factor in [1.0 / 3.0, 3.0] {
        let scaled = |ms: u64| Duration::from_millis(ms).mul_f64(factor);
        let mut pacer = StreamPacer::new();
        let targets = |arrived| StreamTargets {
            arrived,
            first_event: FIRST_EVENT.mul_f64(factor),
            gap: GAP.mul_f64(factor),
        };
        for n in 0..100 {
            let now = Time::ZERO + scaled(n * ARRIVAL_MS);
            pacer.record_begin(scaled(150));
            pacer.start_at(&targets(now), now);
        }
        let now = Time::ZERO + scaled(100 * ARRIVAL_MS);
        pacer.record_gap(scaled(110), GAP.mul_f64(factor), now);
        let waits: Vec<f64> = (0..12)
            .map(|_| pacer.start_at(&targets(now), now).since(now))
            .map(|wait| wait.as_secs_f64() / factor)
            .collect();
        assert!(waits.iter().all(|w| *w <= 0.2), "{waits:?}");
        assert!(waits[6] > 0.1, "{waits:?}");
    }
}
