//! Clocks of one instance.

use std::time::Duration;

use pimentotide_consensus::Moment;
use pimentotide_model::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How much the rate of a clock differs from true time at most.
const DRIFT: f64 = 0.02;

/// Monotonic clock of a process, which starts anew with it, and a wall clock, which may step.
#[derive(Clone, Debug)]
pub(super) struct Clock {
    start: Time,
    origin: Time,
    rate: f64,
    shift: Duration,
}

impl Clock {
    pub(super) fn new() -> Self {
        Self {
            start: Time::ZERO,
            origin: Time::ZERO,
            rate: 1.0,
            shift: Duration::from_secs(1_000),
        }
    }

    pub(super) fn local(&self, time: Time) -> Time {
        self.origin + time.since(self.start).mul_f64(self.rate)
    }

    pub(super) fn moment(&self, time: Time) -> Moment {
        Moment {
            now: self.local(time),
            wall: time + self.shift,
        }
    }

    pub(super) fn step(&mut self, by: Duration) {
        self.shift += by;
    }

    pub(super) fn restart(&mut self, time: Time, rng: &mut ChaCha8Rng) {
        self.start = time;
        self.origin = Time::from_millis(rng.random_range(0..1_000_000));
        self.rate = rng.random_range(1.0 - DRIFT..=1.0 + DRIFT);
    }
}
