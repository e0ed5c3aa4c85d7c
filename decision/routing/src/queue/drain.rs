//! Drain rate of a queue, measured between departures, and answer time.

use std::time::Duration;

use pimentotide_model::Time;

/// Weight of the latest interval between departures.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Weight of the latest answer time.
const ANSWER_WEIGHT: f64 = 0.1;
/// Samples needed before the interval is used.
const MIN_SAMPLES: u32 = 3;

/// Smoothed drain rate of one queue; times in microseconds.
#[derive(Debug, Default)]
pub(super) struct Drain {
    interval: f64,
    answer: f64,
    samples: u32,
    /// Start of the current interval: the last departure, or the start of the backlog.
    last_at: Time,
    /// Whether requests remained in the queue after the last departure.
    backlog: bool,
}

impl Drain {
    /// Starts measuring at `now`, when an empty queue gets a request.
    pub(super) fn start_backlog(&mut self, now: Time) {
        self.last_at = self.last_at.max(now);
        self.backlog = false;
    }

    /// Records a departure; `more` tells whether requests remain in the queue.
    ///
    /// Only intervals between two departures of the same backlog are samples.
    pub(super) fn record_departure(&mut self, more: bool, now: Time) {
        let gap = now.since(self.last_at).as_micros() as f64;
        let backlog = std::mem::replace(&mut self.backlog, more);
        self.last_at = now;
        if !backlog {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = INTERVAL_WEIGHT.max(1.0 / f64::from(self.samples));
        self.interval += weight * (gap - self.interval);
    }

    /// Reverts the count of the latest departure.
    pub(super) fn undo_departure(&mut self, now: Time) {
        self.samples = self.samples.saturating_sub(1);
        self.start_backlog(now);
    }

    /// Lengthens the interval while there are no departures.
    pub(super) fn advance(&mut self, now: Time) {
        let gap = now.since(self.last_at).as_micros() as f64;
        if self.samples >= MIN_SAMPLES && gap > self.interval {
            self.interval += INTERVAL_WEIGHT * (gap - self.interval);
        }
    }

    /// Records the time from sending a request to its answer.
    pub(super) fn observe_answer(&mut self, taken: Duration) {
        let sample = taken.as_micros() as f64;
        if self.answer == 0.0 {
            self.answer = sample;
        } else {
            self.answer += ANSWER_WEIGHT * (sample - self.answer);
        }
    }

    /// Returns the smoothed time from sending a request to its answer.
    pub(super) fn answer_time(&self) -> Duration {
        Duration::from_micros(self.answer as u64)
    }

    /// Returns the interval between departures; zero until it is measured.
    pub(super) fn interval(&self) -> Duration {
        self.measured_interval().unwrap_or_default()
    }

    /// Returns the interval between departures, once there are enough samples.
    pub(super) fn measured_interval(&self) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_micros(self.interval as u64))
    }
}
