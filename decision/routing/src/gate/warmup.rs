//! Allowance of an upstream that grows with good completions.
//!
//! After a start the allowance begins at its initial value. Each round of good
//! completions at the allowance raises it by one, and a ramp over the least
//! warm-up time bounds it, so neither time nor completions alone fill an
//! upstream. Coldness starts it over; overload halves it.

use std::time::Duration;

use pimentotide_model::{SlowStart, Time, Warmth};

/// First-token time, relative to the usual bound, that is a sign of coldness.
const COLD_FACTOR: f64 = 3.0;
/// First-token times below this are never a sign of coldness.
const COLD_FLOOR: Duration = Duration::from_millis(250);
/// Slow first tokens in a row that start the allowance over.
const COLD_STREAK: u32 = 2;
/// First tokens needed before the usual bound is known.
const USUAL_SAMPLES: u32 = 8;
/// Share of first tokens that come later than the usual bound.
const USUAL_EXCESS: f64 = 0.1;
/// Step by which the usual bound follows the samples.
const USUAL_STEP: f64 = 0.1;
/// Shortest time between two reductions for overload.
const HALVING_PAUSE: Duration = Duration::from_millis(500);
/// Failures in a row that count as overload.
const FAILURE_STREAK: u32 = 3;

/// Sign that an upstream bears less than its allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The engine says or shows that it is cold.
    Cold,
    /// The engine says or shows that it is overloaded.
    Overload,
    /// A request failed.
    Failure,
}

/// Allowance of one upstream.
#[derive(Clone, Debug)]
pub struct Warmup {
    start: SlowStart,
    limit: u32,
    allowance: u32,
    good: u32,
    since: Time,
    now: Time,
    halved: Option<Time>,
    usual: f64,
    samples: u32,
    slow: u32,
    failures: u32,
}

impl Warmup {
    /// Opens at the initial allowance.
    pub fn open(start: SlowStart, limit: u32, now: Time) -> Self {
        let mut warmup = Self {
            start,
            limit,
            allowance: 0,
            good: 0,
            since: now,
            now,
            halved: None,
            usual: 0.0,
            samples: 0,
            slow: 0,
            failures: 0,
        };
        warmup.restart(now);
        warmup
    }

    /// Requests that may run at once for now.
    pub fn allowance(&self) -> u32 {
        self.allowance.min(self.ramp())
    }

    /// How far the upstream has warmed up.
    pub fn warmth(&self) -> Warmth {
        let allowance = self.allowance();
        if allowance >= self.limit {
            Warmth::Warm
        } else if allowance <= self.start.initial {
            Warmth::Cold
        } else {
            Warmth::Warming
        }
    }

    /// Starts over from the initial allowance.
    pub fn restart(&mut self, now: Time) {
        self.now = self.now.max(now);
        self.since = self.now;
        self.allowance = self.initial();
        self.good = 0;
        self.slow = 0;
        self.failures = 0;
    }

    /// Puts other limits in force.
    pub fn resize(&mut self, start: SlowStart, limit: u32) {
        self.start = start;
        self.limit = limit;
        self.allowance = self.allowance.min(limit).max(self.initial());
    }

    /// Moves the ramp on.
    pub fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// Lowers the allowance at a sign of trouble.
    pub fn observe(&mut self, sign: HealthSignal, now: Time) {
        self.advance(now);
        match sign {
            HealthSignal::Cold => self.restart(now),
            HealthSignal::Overload => self.halve(),
            HealthSignal::Failure => {
                self.failures += 1;
                if self.failures >= FAILURE_STREAK {
                    self.failures = 0;
                    self.halve();
                }
            }
        }
    }

    /// Judges the time of a first token.
    pub fn first_token(&mut self, taken: Duration, now: Time) {
        self.advance(now);
        let slow = self.is_slow(taken);
        self.learn(taken);
        if slow {
            self.slow += 1;
            if self.slow >= COLD_STREAK {
                self.restart(now);
            } else {
                self.halve();
            }
            return;
        }
        self.slow = 0;
    }

    /// Takes a first token that is overdue by now as a sign of coldness.
    pub fn overdue(&mut self, elapsed: Duration, now: Time) {
        self.advance(now);
        if self.is_slow(elapsed) {
            self.halve();
        }
    }

    /// Counts a good completion; `full` says that the allowance was in use.
    pub fn completed(&mut self, first_token: Option<Duration>, full: bool, now: Time) {
        self.advance(now);
        self.failures = 0;
        let slow = first_token.is_some_and(|t| self.is_slow(t));
        let ahead = self.allowance > self.ramp();
        if slow || !full || ahead || self.allowance >= self.limit {
            return;
        }
        self.good += 1;
        if self.good >= self.start.completions {
            self.good = 0;
            self.allowance += 1;
        }
    }

    fn initial(&self) -> u32 {
        self.start.initial.max(1).min(self.limit)
    }

    /// Most that the time since the start allows.
    fn ramp(&self) -> u32 {
        let initial = self.initial();
        let elapsed = self.now.since(self.since);
        if elapsed >= self.start.least {
            return self.limit;
        }
        let part = elapsed.as_secs_f64() / self.start.least.as_secs_f64();
        let room = f64::from(self.limit - initial);
        initial + (room * part) as u32
    }

    fn halve(&mut self) {
        let paused = self
            .halved
            .is_some_and(|at| self.now.since(at) < HALVING_PAUSE);
        if paused {
            return;
        }
        self.halved = Some(self.now);
        self.good = 0;
        self.allowance = (self.allowance() / 2).max(self.initial());
    }

    /// Follows the bound that a tenth of the first tokens exceeds.
    fn learn(&mut self, taken: Duration) {
        let sample = taken.as_micros() as f64;
        if self.samples < USUAL_SAMPLES {
            self.samples += 1;
            self.usual = self.usual.max(sample);
        } else if sample > self.usual {
            self.usual *= 1.0 + USUAL_STEP * (1.0 - USUAL_EXCESS);
        } else {
            self.usual *= 1.0 - USUAL_STEP * USUAL_EXCESS;
        }
    }

    fn is_slow(&self, taken: Duration) -> bool {
        let usual = self.usual * COLD_FACTOR;
        self.samples >= USUAL_SAMPLES && taken > COLD_FLOOR && taken.as_micros() as f64 > usual
    }
}
