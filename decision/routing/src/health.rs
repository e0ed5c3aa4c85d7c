//! Outlier detection for one upstream, by request progress instead of
//! connection state.
//!
//! Repeated failures or a stall eject the upstream for a time that doubles with
//! each ejection. It is then on probation, with one request at a time, until
//! enough of them succeed. The caller limits how many upstreams are ejected at
//! once, because a single `Health` covers one upstream.

use std::time::Duration;

use derive_more::Display;
use pimentotide_model::Time;

/// Consecutive failures that eject an upstream.
const EJECT_STREAK: u32 = 3;
/// Shortest time without progress on any request that counts as a stall.
const MIN_STALL: Duration = Duration::from_secs(2);
/// Stall time as a multiple of the smoothed interval between progress events.
const STALL_RATIO: u32 = 8;
/// Duration of the first ejection.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(15);
/// Successes on probation after which the upstream is healthy again.
const PROBATION_SUCCESSES: u32 = 3;
/// Successes after which one past ejection no longer counts towards the backoff.
const DECAY_SUCCESSES: u32 = 32;

/// Health state of an upstream in one entry.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum HealthState {
    /// Accepts requests without limit.
    #[default]
    #[display("healthy")]
    Healthy,
    /// Accepts no requests until the ejection ends.
    #[display("ejected")]
    Ejected {
        /// End of the ejection.
        until: Time,
    },
    /// Accepts one request at a time.
    #[display("probation")]
    Probation {
        /// Successes since the ejection ended.
        good: u32,
    },
}

/// Health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    state: HealthState,
    in_flight: u32,
    /// Consecutive failures.
    failures: u32,
    /// Past ejections that count towards the backoff.
    ejections: u32,
    /// Successes that count towards the decay of `ejections`.
    successes: u32,
    /// Time of the last progress, or of the first request sent while none was in flight.
    progress_at: Time,
    /// Smoothed interval between progress events.
    progress_gap: Duration,
}

impl Health {
    /// Returns the state after the last recorded event.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Returns whether a request may be sent at `now`.
    pub fn admits(&self, now: Time) -> bool {
        match self.state {
            HealthState::Healthy => true,
            HealthState::Ejected { until } => now >= until && self.in_flight == 0,
            HealthState::Probation { .. } => self.in_flight == 0,
        }
    }

    /// Returns whether an ejection is in force at `now`.
    pub fn is_ejected(&self, now: Time) -> bool {
        matches!(self.state, HealthState::Ejected { until } if now < until)
    }

    /// Records a request sent; starts probation once an ejection has ended.
    pub fn record_sent(&mut self, now: Time) {
        if let HealthState::Ejected { until } = self.state
            && now >= until
        {
            self.state = HealthState::Probation { good: 0 };
        }
        if self.in_flight == 0 {
            self.progress_at = now;
        }
        self.in_flight += 1;
    }

    /// Records progress on any request: a token or an answer.
    pub fn record_progress(&mut self, now: Time) {
        let gap = now.since(self.progress_at);
        self.progress_gap = (self.progress_gap * 7 + gap) / 8;
        self.progress_at = now;
    }

    /// Records a complete answer.
    pub fn record_success(&mut self, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_progress(now);
        self.failures = 0;
        self.successes += 1;
        if self.successes >= DECAY_SUCCESSES {
            self.successes = 0;
            self.ejections = self.ejections.saturating_sub(1);
        }
        if let HealthState::Probation { good } = self.state {
            self.state = probation_state(good + 1);
        }
    }

    /// Records an end that is neither success nor failure, such as a refusal or a cancellation.
    pub fn record_neutral(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a failure; returns whether the upstream should be ejected.
    #[must_use]
    pub fn record_failure(&mut self) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.failures += 1;
        let probing = matches!(self.state, HealthState::Probation { .. });
        probing || self.failures >= EJECT_STREAK
    }

    /// Returns whether requests are in flight and none has made progress for too long.
    pub fn is_stalled(&self, now: Time) -> bool {
        let bound = MIN_STALL.max(self.progress_gap * STALL_RATIO);
        self.in_flight > 0 && now.since(self.progress_at) >= bound
    }

    /// Ejects the upstream for a time that doubles with each ejection.
    pub fn eject(&mut self, now: Time) {
        let doubled = MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(16));
        self.ejections += 1;
        self.failures = 0;
        self.successes = 0;
        self.state = HealthState::Ejected {
            until: now + doubled.min(MAX_EJECTION),
        };
    }

    /// Resets all but the in-flight count, for a new incarnation of the upstream.
    pub fn reset(&mut self) {
        let in_flight = self.in_flight;
        *self = Self {
            in_flight,
            ..Self::default()
        };
    }
}

fn probation_state(good: u32) -> HealthState {
    if good >= PROBATION_SUCCESSES {
        HealthState::Healthy
    } else {
        HealthState::Probation { good }
    }
}
