//! Slow start: the concurrency allowance of an upstream.
//!
//! The allowance starts at its initial value. Each round of successful
//! completions while it is in use raises it by one, bounded by a linear ramp
//! over the minimum warm-up time, so that it grows only with both time and
//! completions. A cold upstream restarts it; overload halves it.

use std::time::Duration;

use pimentotide_model::{SlowStart, Time, Warmth};

/// First-token time, as a multiple of the baseline, above which an upstream counts as cold.
const COLD_RATIO: f64 = 3.0;
/// First-token times up to this never count as cold.
const MIN_COLD_TIME: Duration = Duration::from_millis(250);
/// Consecutive slow first tokens that restart the allowance.
const COLD_STREAK: u32 = 2;
/// First tokens needed before the baseline is used.
const BASELINE_SAMPLES: u32 = 8;
/// Share of first tokens above the baseline, which is thus their 90th percentile.
const BASELINE_EXCESS_RATIO: f64 = 0.1;
/// Relative step by which a sample moves the baseline.
const BASELINE_STEP: f64 = 0.1;
/// Shortest time between two reductions for overload.
const MIN_HALVING_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive failures that count as overload.
const FAILURE_STREAK: u32 = 3;

/// Signal that an upstream can handle less than its allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The engine reported that it is cold, or behaves so.
    Cold,
    /// The engine reported that it is overloaded, or behaves so.
    Overload,
    /// A request failed.
    Failure,
}

/// Concurrency allowance of one upstream under slow start.
#[derive(Clone, Debug)]
pub struct Warmup {
    start: SlowStart,
    limit: u32,
    allowance: u32,
    /// Completions counted towards the next raise of the allowance.
    successes: u32,
    started_at: Time,
    now: Time,
    halved_at: Option<Time>,
    /// Estimated 90th percentile of first-token times, microseconds.
    baseline: f64,
    samples: u32,
    slow_streak: u32,
    failure_streak: u32,
}

impl Warmup {
    /// Creates the state with the initial allowance.
    pub fn open(start: SlowStart, limit: u32, now: Time) -> Self {
        let mut warmup = Self {
            start,
            limit,
            allowance: 0,
            successes: 0,
            started_at: now,
            now,
            halved_at: None,
            baseline: 0.0,
            samples: 0,
            slow_streak: 0,
            failure_streak: 0,
        };
        warmup.restart(now);
        warmup
    }

    /// Number of requests that may currently run at once.
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

    /// Restarts from the initial allowance.
    pub fn restart(&mut self, now: Time) {
        self.now = self.now.max(now);
        self.started_at = self.now;
        self.allowance = self.initial();
        self.successes = 0;
        self.slow_streak = 0;
        self.failure_streak = 0;
    }

    /// Replaces the slow-start settings and the limit, and clamps the allowance to them.
    pub fn resize(&mut self, start: SlowStart, limit: u32) {
        self.start = start;
        self.limit = limit;
        self.allowance = self.allowance.min(limit).max(self.initial());
    }

    /// Advances the ramp to `now`.
    pub fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// Lowers the allowance on a signal.
    pub fn observe(&mut self, signal: HealthSignal, now: Time) {
        self.advance(now);
        match signal {
            HealthSignal::Cold => self.restart(now),
            HealthSignal::Overload => self.halve(),
            HealthSignal::Failure => {
                self.failure_streak += 1;
                if self.failure_streak >= FAILURE_STREAK {
                    self.failure_streak = 0;
                    self.halve();
                }
            }
        }
    }

    /// Records the time to a first token; a slow one lowers the allowance.
    pub fn record_first_token(&mut self, taken: Duration, now: Time) {
        self.advance(now);
        let slow = self.is_slow(taken);
        self.update_baseline(taken);
        if slow {
            self.slow_streak += 1;
            if self.slow_streak >= COLD_STREAK {
                self.restart(now);
            } else {
                self.halve();
            }
            return;
        }
        self.slow_streak = 0;
    }

    /// Halves the allowance if a first token outstanding for `elapsed` is overdue.
    pub fn record_overdue(&mut self, elapsed: Duration, now: Time) {
        self.advance(now);
        if self.is_slow(elapsed) {
            self.halve();
        }
    }

    /// Records a successful completion; `full` means that the allowance was in use.
    pub fn record_completion(&mut self, first_token: Option<Duration>, full: bool, now: Time) {
        self.advance(now);
        self.failure_streak = 0;
        let slow = first_token.is_some_and(|t| self.is_slow(t));
        let ahead = self.allowance > self.ramp();
        if slow || !full || ahead || self.allowance >= self.limit {
            return;
        }
        self.successes += 1;
        if self.successes >= self.start.completions {
            self.successes = 0;
            self.allowance += 1;
        }
    }

    fn initial(&self) -> u32 {
        self.start.initial.max(1).min(self.limit)
    }

    /// Returns the bound on the allowance by the time since the start.
    fn ramp(&self) -> u32 {
        let initial = self.initial();
        let elapsed = self.now.since(self.started_at);
        if elapsed >= self.start.least {
            return self.limit;
        }
        let part = elapsed.as_secs_f64() / self.start.least.as_secs_f64();
        let room = f64::from(self.limit - initial);
        initial + (room * part) as u32
    }

    fn halve(&mut self) {
        let throttled = self
            .halved_at
            .is_some_and(|at| self.now.since(at) < MIN_HALVING_INTERVAL);
        if throttled {
            return;
        }
        self.halved_at = Some(self.now);
        self.successes = 0;
        self.allowance = (self.allowance() / 2).max(self.initial());
    }

    /// Moves the baseline towards the 90th percentile of first-token times.
    fn update_baseline(&mut self, taken: Duration) {
        let sample = taken.as_micros() as f64;
        if self.samples < BASELINE_SAMPLES {
            self.samples += 1;
            self.baseline = self.baseline.max(sample);
        } else if sample > self.baseline {
            self.baseline *= 1.0 + BASELINE_STEP * (1.0 - BASELINE_EXCESS_RATIO);
        } else {
            self.baseline *= 1.0 - BASELINE_STEP * BASELINE_EXCESS_RATIO;
        }
    }

    fn is_slow(&self, taken: Duration) -> bool {
        let bound = self.baseline * COLD_RATIO;
        self.samples >= BASELINE_SAMPLES
            && taken > MIN_COLD_TIME
            && taken.as_micros() as f64 > bound
    }
}
