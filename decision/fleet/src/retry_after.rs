//! When refused callers may come back.
//!
//! After an outage every request of several seconds is refused within a moment.
//! Told the same time, their callers would come back in one moment too, find
//! what has just started full, and be refused for good. So each is given a place
//! in a row, at a pace that leaves room for the requests that come meanwhile.

use std::time::Duration;

use pimentotide_model::Time;
use rand::{Rng, RngExt};

/// Slowest pace of a row, requests a second.
const LEAST_RATE: f64 = 0.1;
/// Part of the longest time over which callers are spread who find no place in the row.
const OVERFLOW_PART: f64 = 0.25;

/// Refused request whose caller is to come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryWindow {
    /// Time after which it may be served again, at the earliest.
    pub min_delay: Duration,
    /// Time after which coming back is of no use.
    pub max_delay: Duration,
    /// Requests a second that may come back.
    pub rate: f64,
}

/// Row of the callers that one entry has sent away from a service.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterSchedule {
    next: Time,
}

impl RetryAfterSchedule {
    /// Starts empty.
    pub fn new() -> Self {
        Self { next: Time::ZERO }
    }

    /// Gives a caller a place in the row; returns the time until then.
    pub fn assign<R>(&mut self, back: &RetryWindow, now: Time, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let slot = self.next.max(now + back.min_delay);
        let delay = slot.since(now);
        if delay > back.max_delay {
            let most = back.max_delay.max(back.min_delay);
            return most.mul_f64(1.0 - rng.random_range(0.0..OVERFLOW_PART));
        }
        let pace = Duration::from_secs_f64(1.0 / back.rate.max(LEAST_RATE));
        self.next = slot + pace;
        delay
            + pace
                .mul_f64(rng.random_range(0.0..1.0))
                .min(back.max_delay - delay)
    }
}

impl Default for RetryAfterSchedule {
    fn default() -> Self {
        Self::new()
    }
}
