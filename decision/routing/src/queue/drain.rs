//! Rate at which a queue drains, observed from departures.

use std::time::Duration;

use pimentotide_model::Time;

/// Weight of the latest interval between departures.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Weight of the latest answer time.
const ANSWER_WEIGHT: f64 = 0.1;
/// Departures before the interval is known.
const KNOWN_AFTER: u32 = 3;

/// Observed drain of one queue.
#[derive(Debug, Default)]
pub(super) struct Drain {
    interval: f64,
    answer: f64,
    samples: u32,
    last: Time,
    backlog: bool,
}

impl Drain {
    /// Notes that the queue has something to drain from now on.
    pub(super) fn entered(&mut self, now: Time) {
        self.last = self.last.max(now);
        self.backlog = false;
    }

    /// Notes a departure; `more` says that others still wait.
    ///
    /// Only the time between two departures of one backlog tells the rate.
    pub(super) fn left(&mut self, more: bool, now: Time) {
        let gap = now.since(self.last).as_micros() as f64;
        let backlog = std::mem::replace(&mut self.backlog, more);
        self.last = now;
        if !backlog {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = INTERVAL_WEIGHT.max(1.0 / f64::from(self.samples));
        self.interval += weight * (gap - self.interval);
    }

    /// Takes back the latest departure.
    pub(super) fn undo(&mut self, now: Time) {
        self.samples = self.samples.saturating_sub(1);
        self.entered(now);
    }

    /// Lengthens the interval while nothing leaves.
    pub(super) fn advance(&mut self, now: Time) {
        let gap = now.since(self.last).as_micros() as f64;
        if self.samples >= KNOWN_AFTER && gap > self.interval {
            self.interval += INTERVAL_WEIGHT * (gap - self.interval);
        }
    }

    /// Notes how long an answer took.
    pub(super) fn observe_answer(&mut self, taken: Duration) {
        let sample = taken.as_micros() as f64;
        if self.answer == 0.0 {
            self.answer = sample;
        } else {
            self.answer += ANSWER_WEIGHT * (sample - self.answer);
        }
    }

    /// Usual time from sending a request to its answer.
    pub(super) fn answer_time(&self) -> Duration {
        Duration::from_micros(self.answer as u64)
    }

    /// Interval between departures; zero if not known.
    pub(super) fn interval(&self) -> Duration {
        self.known_interval().unwrap_or_default()
    }

    /// Interval between departures, once enough have been seen.
    pub(super) fn known_interval(&self) -> Option<Duration> {
        (self.samples >= KNOWN_AFTER).then(|| Duration::from_micros(self.interval as u64))
    }
}
