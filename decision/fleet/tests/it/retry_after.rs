//! When refused callers come back.
//!
//! Pattern: after an outage of two seconds, all requests of that time and those
//! that go on coming are refused within half a second.

use std::time::Duration;

use pimentotide_fleet::{RetryAfterSchedule, RetryWindow};
use pimentotide_model::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const BACK: RetryWindow = RetryWindow {
    min_delay: Duration::from_millis(1_000),
    max_delay: Duration::from_millis(4_000),
    rate: 5.0,
};

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// Times at which callers come back who are refused at these times, ms.
fn returns(refused: &[u64]) -> Vec<u64> {
    let mut row = RetryAfterSchedule::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let delays = refused
        .iter()
        .map(|ms| (*ms, row.assign(&BACK, at(*ms), &mut rng)));
    delays
        .map(|(ms, delay)| ms + delay.as_millis() as u64)
        .collect()
}

/// Most returns in any second.
fn busiest(returns: &[u64]) -> usize {
    let within = |from: u64| {
        returns
            .iter()
            .filter(|t| (from..from + 1_000).contains(t))
            .count()
    };
    returns.iter().map(|t| within(*t)).max().unwrap_or(0)
}

#[test]
fn callers_refused_at_once_come_back_at_the_pace_of_the_row() {
    let refused: Vec<u64> = (0..14).map(|n| 1_000 + n * 30).collect();
    let back = returns(&refused);
    assert!(busiest(&back) <= 7, "{back:?}");
    assert!(back.iter().all(|t| (2_000..=5_400).contains(t)), "{back:?}");
}

#[test]
fn one_that_is_refused_alone_comes_back_as_soon_as_it_may() {
    for back in returns(&[1_000, 9_000, 20_000])
        .iter()
        .zip([1_000, 9_000, 20_000])
    {
        let delay = back.0 - back.1;
        assert!((1_000..=1_200).contains(&delay), "{delay}");
    }
}

#[test]
fn those_beyond_the_end_of_the_row_are_spread_over_its_last_part() {
    let refused = vec![1_000; 60];
    let back = returns(&refused);
    assert!(back.iter().all(|t| *t <= 5_000), "{back:?}");
    let late = back.iter().filter(|t| **t > 4_000).count();
    assert!((40..60).contains(&late), "{late}");
    let mut distinct = back[20..].to_vec();
    distinct.dedup();
    assert!(distinct.len() > 30, "{distinct:?}");
}

#[test]
fn nobody_is_told_to_come_back_after_it_is_of_use() {
    let mut row = RetryAfterSchedule::new();
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let short = RetryWindow {
        min_delay: Duration::from_millis(100),
        max_delay: Duration::from_millis(300),
        rate: 1.0,
    };
    for _ in 0..20 {
        let delay = row.assign(&short, at(0), &mut rng);
        assert!(delay <= short.max_delay, "{delay:?}");
    }
}
