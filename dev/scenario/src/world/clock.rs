//! Monotonic and wall clocks of a process.

use std::time::Duration;

use pimentotide_consensus::Moment;
use pimentotide_model::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Maximum relative deviation of a clock's rate from virtual time.
const MAX_DRIFT_RATIO: f64 = 0.02;

/// Monotonic clock, reset at each process start, and a wall clock that scripts may step.
#[derive(Clone, Debug)]
pub(super) struct Clock {
    started_at: Time,
    origin: Time,
    rate: f64,
    wall_offset: Duration,
}

impl Clock {
    pub(super) fn new() -> Self {
        Self {
            started_at: Time::ZERO,
            origin: Time::ZERO,
            rate: 1.0,
            wall_offset: Duration::from_secs(1_000),
        }
    }

    pub(super) fn local(&self, time: Time) -> Time {
        self.origin + time.since(self.started_at).mul_f64(self.rate)
    }

    pub(super) fn moment(&self, time: Time) -> Moment {
        Moment {
            now: self.local(time),
            wall: time + self.wall_offset,
        }
    }

    pub(super) fn step(&mut self, by: Duration) {
        self.wall_offset += by;
    }

    pub(super) fn restart(&mut self, time: Time, rng: &mut ChaCha8Rng) {
        self.started_at = time;
        self.origin = Time::from_millis(rng.random_range(0..1_000_000));
        self.rate = rng.random_range(1.0 - MAX_DRIFT_RATIO..=1.0 + MAX_DRIFT_RATIO);
    }
}
