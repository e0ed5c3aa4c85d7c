//! Monotonic clock that supplies the time of decisions in one process.

use std::time::Instant;

use pimentotide_model::Time;

/// Monotonic clock that starts at zero; copies share the origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at the current instant.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since the start.
    pub fn now(self) -> Time {
        self.at(Instant::now())
    }

    /// Converts an instant to a time; zero if it is before the start.
    pub fn at(self, instant: Instant) -> Time {
        Time::ZERO + instant.saturating_duration_since(self.0)
    }

    /// Converts a time of this clock to an instant.
    pub fn instant(self, time: Time) -> Instant {
        self.0 + time.since(Time::ZERO)
    }
}
