//! Health of an upstream judged by progress, not by connection state.
//!
//! A request that makes no progress for too long, or that fails, counts
//! against its upstream; an answer in full counts for it. An upstream that
//! fails repeatedly is ejected for a time that doubles with each ejection,
//! and then probed with one request at a time. How many may be ejected at
//! once is limited by the caller, because only it sees all of them.

use std::time::Duration;

use derive_more::Display;
use pimentotide_model::Time;

/// Consecutive failures that eject.
const EJECT_STREAK: u32 = 3;
/// Time without progress on any request that counts as a stall.
const STALL_BOUND: Duration = Duration::from_secs(2);
/// Stall time in units of the usual time between signs of progress.
const STALL_FACTOR: u32 = 8;
/// First ejection time.
const EJECT_LEAST: Duration = Duration::from_millis(500);
/// Longest ejection time.
const EJECT_MOST: Duration = Duration::from_secs(15);
/// Good answers on probation that restore full trust.
const PROBATION_GOOD: u32 = 3;
/// Share of good answers by which past ejections are forgotten.
const FORGET_GOOD: u32 = 32;

/// State of an upstream as one entry sees it.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum HealthState {
    /// Takes work.
    #[default]
    #[display("healthy")]
    Healthy,
    /// Takes no work until a time.
    #[display("ejected")]
    Ejected {
        /// End of the ejection.
        until: Time,
    },
    /// Takes one request at a time.
    #[display("probation")]
    Probation {
        /// Good answers since the ejection ended.
        good: u32,
    },
}

/// Health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    state: HealthState,
    running: u32,
    streak: u32,
    ejections: u32,
    good: u32,
    progress: Time,
    pace: Duration,
}

impl Health {
    /// State at the last event.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Whether a request may be sent now.
    pub fn admits(&self, now: Time) -> bool {
        match self.state {
            HealthState::Healthy => true,
            HealthState::Ejected { until } => now >= until && self.running == 0,
            HealthState::Probation { .. } => self.running == 0,
        }
    }

    /// Whether the upstream is out because of failures.
    pub fn is_ejected(&self, now: Time) -> bool {
        matches!(self.state, HealthState::Ejected { until } if now < until)
    }

    /// Notes a request sent.
    pub fn record_sent(&mut self, now: Time) {
        if let HealthState::Ejected { until } = self.state
            && now >= until
        {
            self.state = HealthState::Probation { good: 0 };
        }
        if self.running == 0 {
            self.progress = now;
        }
        self.running += 1;
    }

    /// Notes progress on any request: a first token, a later one or an answer.
    pub fn record_progress(&mut self, now: Time) {
        let gap = now.since(self.progress);
        self.pace = (self.pace * 7 + gap) / 8;
        self.progress = now;
    }

    /// Notes an answer in full, or a refusal, which shows the upstream is alive.
    pub fn record_success(&mut self, now: Time) {
        self.running = self.running.saturating_sub(1);
        self.record_progress(now);
        self.streak = 0;
        self.good += 1;
        if self.good >= FORGET_GOOD {
            self.good = 0;
            self.ejections = self.ejections.saturating_sub(1);
        }
        if let HealthState::Probation { good } = self.state {
            self.state = probation(good + 1);
        }
    }

    /// Notes a request that ended without a verdict on the upstream.
    pub fn record_neutral(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Notes a failure; true if the upstream should be ejected.
    #[must_use]
    pub fn record_failure(&mut self) -> bool {
        self.running = self.running.saturating_sub(1);
        self.streak += 1;
        let probing = matches!(self.state, HealthState::Probation { .. });
        probing || self.streak >= EJECT_STREAK
    }

    /// Whether requests run and none of them has made progress for too long.
    pub fn is_stalled(&self, now: Time) -> bool {
        let bound = STALL_BOUND.max(self.pace * STALL_FACTOR);
        self.running > 0 && now.since(self.progress) >= bound
    }

    /// Ejects the upstream for a time that doubles with each ejection.
    pub fn eject(&mut self, now: Time) {
        let doubled = EJECT_LEAST * 2_u32.saturating_pow(self.ejections.min(16));
        self.ejections += 1;
        self.streak = 0;
        self.good = 0;
        self.state = HealthState::Ejected {
            until: now + doubled.min(EJECT_MOST),
        };
    }

    /// Starts over: the upstream has a new incarnation.
    pub fn reset(&mut self) {
        let running = self.running;
        *self = Self {
            running,
            ..Self::default()
        };
    }
}

fn probation(good: u32) -> HealthState {
    if good >= PROBATION_GOOD {
        HealthState::Healthy
    } else {
        HealthState::Probation { good }
    }
}
