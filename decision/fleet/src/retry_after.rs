//! Staggered retry-after delays for refused callers.
//!
//! After an outage the requests of several seconds are refused at nearly the same
//! time. With equal delays their callers would retry together, overload upstreams
//! that have just started and be refused for good. Each caller therefore gets its
//! own slot, at a rate that leaves room for new requests.

use std::time::Duration;

use pimentotide_model::Time;
use rand::{Rng, RngExt};

use crate::priority::LOWEST_RANK;

/// Lower bound on the rate of retries, requests per second.
const MIN_RATE: f64 = 0.1;
/// Part of the maximum delay, at its end, over which callers beyond the last slot are spread.
const OVERFLOW_RATIO: f64 = 0.25;

/// Number of priority ranks.
const RANKS: usize = LOWEST_RANK as usize + 1;

/// Bounds on the retry of a refused request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryWindow {
    /// Time before which the retry cannot be served.
    pub min_delay: Duration,
    /// Time after which a retry is useless.
    pub max_delay: Duration,
    /// Retries per second that the service has room for.
    pub rate: f64,
}

/// Retry slots that one entry has assigned for a service.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterSchedule {
    /// First free slot of each priority rank.
    next: [Time; RANKS],
}

impl RetryAfterSchedule {
    /// Creates an empty schedule.
    pub fn new() -> Self {
        Self {
            next: [Time::ZERO; RANKS],
        }
    }

    /// Assigns the next slot to a caller; returns the delay until then, with jitter.
    pub fn assign<R>(&mut self, window: &RetryWindow, now: Time, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        self.assign_ranked(LOWEST_RANK, window, now, rng)
    }

    /// Assigns the next slot to a caller of a priority rank, before those of less urgent ranks.
    ///
    /// A slot moves the later ones of less urgent ranks back, and is not moved by theirs.
    pub fn assign_ranked<R>(
        &mut self,
        rank: u8,
        window: &RetryWindow,
        now: Time,
        rng: &mut R,
    ) -> Duration
    where
        R: Rng,
    {
        let rank = usize::from(rank.min(LOWEST_RANK));
        let slot = self.next[rank].max(now + window.min_delay);
        let delay = slot.since(now);
        if delay > window.max_delay {
            let max_delay = window.max_delay.max(window.min_delay);
            return max_delay.mul_f64(1.0 - rng.random_range(0.0..OVERFLOW_RATIO));
        }
        let interval = Duration::from_secs_f64(1.0 / window.rate.max(MIN_RATE));
        for next in &mut self.next[rank..] {
            *next = if *next > slot {
                *next + interval
            } else {
                slot + interval
            };
        }
        delay
            + interval
                .mul_f64(rng.random_range(0.0..1.0))
                .min(window.max_delay - delay)
    }
}

impl Default for RetryAfterSchedule {
    fn default() -> Self {
        Self::new()
    }
}
