//! Monotonic clock of a process, read as the time that decisions are told.

use std::time::Instant;

use pimentotide_model::Time;

/// Clock that starts at zero; copies agree with each other.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since the start.
    pub fn now(self) -> Time {
        self.at(Instant::now())
    }

    /// Time of an instant, zero if it lies before the start.
    pub fn at(self, instant: Instant) -> Time {
        Time::ZERO + instant.saturating_duration_since(self.0)
    }

    /// Instant that a time stands for.
    pub fn instant(self, time: Time) -> Instant {
        self.0 + time.since(Time::ZERO)
    }
}
