//! Monotonic clock of the process as decisions see it.

use std::time::Instant;

use pimentotide_model::Time;

/// Clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Instant,
}

impl Clock {
    pub(super) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start.
    pub(super) fn now(self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Moment of the operating system's clock that a time stands for.
    pub(super) fn instant(self, time: Time) -> Instant {
        self.start + time.since(Time::ZERO)
    }
}
