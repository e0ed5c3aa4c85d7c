//! Clock that supplies the time of decisions in one process.
//!
//! Leases are safe only if a holder counts at least the time that the others count. The
//! monotonic clock stands still while an instance is suspended, so that a holder that resumes
//! would go on for what is left of its lease. The boot clock counts the suspension.

use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};
use pimentotide_model::Time;

/// Point in time by the boot clock of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Reads the boot clock.
    ///
    /// # Panics
    ///
    /// Panics on a kernel without a boot clock; Linux has one since 2.6.39.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Self(time.expect("the kernel has a boot clock").into())
    }

    /// Time since an earlier point; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// Clock that starts at zero and counts suspensions of the instance; copies share the origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock(BootInstant);

impl Clock {
    /// Starts a clock at the current time.
    pub fn start() -> Self {
        Self(BootInstant::now())
    }

    /// Time since the start.
    pub fn now(self) -> Time {
        self.at(BootInstant::now())
    }

    /// Converts a point in time; zero if it is before the start.
    pub fn at(self, instant: BootInstant) -> Time {
        Time::ZERO + instant.0.saturating_sub(self.0.0)
    }

    /// Converts a time of this clock to a point in time.
    pub fn boot_instant(self, time: Time) -> BootInstant {
        BootInstant(self.0.0 + time.since(Time::ZERO))
    }

    /// Converts a past instant; one before the last suspension counts as later than it was.
    pub fn past(self, instant: Instant) -> Time {
        let elapsed = instant.elapsed();
        Time::ZERO + self.now().since(Time::ZERO).saturating_sub(elapsed)
    }

    /// Returns the instant to which a timer runs that is to end at `time`; now if that has passed.
    ///
    /// A suspension delays the timer, so that its owner checks the time again.
    pub fn timer(self, time: Time) -> Instant {
        Instant::now() + time.since(self.now())
    }
}
