//! Retry-after delays of refused callers.
//!
//! Guards against retries that arrive together: after an outage of two seconds,
//! the requests of that time and new ones are refused within half a second.

use std::time::Duration;

use pimentotide_fleet::{RetryAfterSchedule, RetryWindow};
use pimentotide_model::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const WINDOW: RetryWindow = RetryWindow {
    min_delay: Duration::from_millis(1_000),
    max_delay: Duration::from_millis(4_000),
    rate: 5.0,
};

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// Returns the times at which callers refused at these times retry, ms.
fn retry_times(refused: &[u64]) -> Vec<u64> {
    let mut schedule = RetryAfterSchedule::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let delays = refused
        .iter()
        .map(|ms| (*ms, schedule.assign(&WINDOW, at(*ms), &mut rng)));
    delays
        .map(|(ms, delay)| ms + delay.as_millis() as u64)
        .collect()
}

/// Highest number of retries in any second.
fn peak_rate(retries: &[u64]) -> usize {
    let within = |from: u64| {
        retries
            .iter()
            .filter(|t| (from..from + 1_000).contains(t))
            .count()
    };
    retries.iter().map(|t| within(*t)).max().unwrap_or(0)
}

#[test]
fn callers_refused_together_retry_at_the_scheduled_rate() {
    let refused: Vec<u64> = (0..14).map(|n| 1_000 + n * 30).collect();
    let retries = retry_times(&refused);
    assert!(peak_rate(&retries) <= 7, "{retries:?}");
    assert!(
        retries.iter().all(|t| (2_000..=5_400).contains(t)),
        "{retries:?}"
    );
}

#[test]
fn single_refused_caller_retries_after_the_minimum_delay() {
    for times in retry_times(&[1_000, 9_000, 20_000])
        .iter()
        .zip([1_000, 9_000, 20_000])
    {
        let delay = times.0 - times.1;
        assert!((1_000..=1_200).contains(&delay), "{delay}");
    }
}

#[test]
fn callers_beyond_the_last_slot_are_spread_over_the_end_of_the_window() {
    let refused = vec![1_000; 60];
    let retries = retry_times(&refused);
    assert!(retries.iter().all(|t| *t <= 5_000), "{retries:?}");
    let late = retries.iter().filter(|t| **t > 4_000).count();
    assert!((40..60).contains(&late), "{late}");
    let mut distinct = retries[20..].to_vec();
    distinct.dedup();
    assert!(distinct.len() > 30, "{distinct:?}");
}

#[test]
fn delay_never_exceeds_the_maximum() {
    let mut schedule = RetryAfterSchedule::new();
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let window = RetryWindow {
        min_delay: Duration::from_millis(100),
        max_delay: Duration::from_millis(300),
        rate: 1.0,
    };
    for _ in 0..20 {
        let delay = schedule.assign(&window, at(0), &mut rng);
        assert!(delay <= window.max_delay, "{delay:?}");
    }
}

/// Guards against urgent callers that return behind all the less urgent ones refused before them.
#[test]
fn more_urgent_callers_return_before_less_urgent_ones() {
    let mut schedule = RetryAfterSchedule::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut assign = |rank: u8| schedule.assign_ranked(rank, &WINDOW, at(0), &mut rng);
    let bulk: Vec<Duration> = (0..10).map(|_| assign(5)).collect();
    let urgent = [assign(0), assign(0)];
    assert!(urgent[0] <= Duration::from_millis(1_200), "{urgent:?}");
    assert!(urgent[1] <= Duration::from_millis(1_400), "{urgent:?}");
    let next = assign(5);
    assert!(next > bulk[9], "{next:?} after {bulk:?}");
}
