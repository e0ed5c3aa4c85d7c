//! Load, health and cold limit of one upstream as tracked by one entry.

use std::time::Duration;

use pimentotide_model::Time;
use pimentotide_routing::Health;
use serde::{Deserialize, Serialize};

use crate::limit::UpstreamLimit;
use crate::{RateLimit, Record, RequestRate};

/// Half-life of the weight of an outcome.
const OUTCOME_HALF_LIFE: Duration = Duration::from_secs(3);
/// Failures, weighted by age, below which the failure ratio ejects no upstream.
const MIN_FAILURES: f64 = 2.5;
/// Failure ratio from which an upstream is ejected.
const EJECT_RATIO: f64 = 0.35;

/// Load reported by an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Concurrent requests that the upstream can run; 0 if not reported.
    pub slots: u32,
}

/// What an upstream says of itself in an answer, apart from its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signals {
    /// Whether it is shutting down and is to receive no new requests.
    pub leaving: bool,
    /// Time for which it asks this entry for no requests.
    pub backoff: Option<Duration>,
    /// Rate of requests that it takes from all entries together; `None` if it names no limit.
    pub limit: Option<RequestRate>,
}

/// Outcome of a send for the outlier detection of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Good,
    /// The upstream refused the request because it was full.
    Full,
    /// The connection broke, timed out or could not be opened.
    Failed,
    /// Another upstream responded at the address.
    Gone,
    /// The caller disconnected, or the send permits no conclusion.
    Neutral,
}

/// State of one upstream at one entry.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) record: Record,
    pub(crate) health: Health,
    /// In-flight requests of this entry.
    pub(crate) in_flight: u32,
    /// Those of them that it has not begun to answer.
    pub(crate) unanswered: u32,
    /// Whether another upstream responded at its address.
    pub(crate) gone: bool,
    /// Time until which it is avoided because it was full.
    pub(crate) full_until: Time,
    /// Whether it said in an answer that it is shutting down.
    pub(crate) leaving: bool,
    /// Time until which it asked this entry for no requests.
    pub(crate) backoff_until: Time,
    pub(crate) cold: Option<Cold>,
    pub(crate) limit: Option<UpstreamLimit>,
    /// Usual time from sending a request until it is finished; `None` before the first.
    pub(crate) usual: Option<Duration>,
    /// Time per unit of work relative to a normal upstream; 1 unless it is listed as slow.
    pub(crate) pace: f64,
    reported: Option<(Load, Time)>,
    /// Requests sent minus requests ended by this entry since the last load report.
    sent_since_report: i64,
    /// Requests ended by this entry since the last load report.
    finished_since_report: u32,
    /// Decayed number of good outcomes.
    good: f64,
    /// Decayed number of failures.
    bad: f64,
    /// Time of the last decay.
    decayed_at: Time,
}

/// Rate limit of a cold upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cold {
    pub(crate) until: Time,
    /// Requests per second from all entries together.
    pub(crate) total_rate: f64,
    pub(crate) limit: RateLimit,
}

impl Upstream {
    pub(crate) fn new(record: Record) -> Self {
        Self {
            record,
            health: Health::default(),
            in_flight: 0,
            unanswered: 0,
            gone: false,
            full_until: Time::ZERO,
            leaving: false,
            backoff_until: Time::ZERO,
            cold: None,
            limit: None,
            usual: None,
            pace: 1.0,
            reported: None,
            sent_since_report: 0,
            finished_since_report: 0,
            good: 0.0,
            bad: 0.0,
            decayed_at: Time::ZERO,
        }
    }

    pub(crate) fn slots(&self) -> u32 {
        let reported = self.reported.map(|(load, _)| load.slots).filter(|s| *s > 0);
        reported.unwrap_or(self.record.announcement.slots).max(1)
    }

    /// Estimates the running and queued requests: the last report plus those sent since.
    pub(crate) fn outstanding(&self) -> f64 {
        let reported = self
            .reported
            .map_or(0, |(load, _)| i64::from(load.running + load.waiting));
        (reported + self.sent_since_report).max(i64::from(self.in_flight)) as f64
    }

    /// Returns the time since the last load report; zero if there is none.
    pub(crate) fn report_age(&self, now: Time) -> Duration {
        let reported = self.reported.map(|(_, at)| now.since(at));
        reported.unwrap_or_default()
    }

    /// Estimates the running and queued requests if this entry's share of those that the upstream
    /// has finished since its last report is `share`, or the number that this entry has seen end.
    pub(crate) fn outstanding_after(&self, share: f64) -> f64 {
        let unseen = (share - f64::from(self.finished_since_report)).max(0.0);
        (self.outstanding() - unseen).max(f64::from(self.in_flight))
    }

    /// Whether it may get a request while `queue` requests per slot may wait there.
    pub(crate) fn has_room(&self, queue: f64, now: Time) -> bool {
        now >= self.full_until && self.outstanding() < f64::from(self.slots()) * (1.0 + queue)
    }

    pub(crate) fn report_load(&mut self, load: Load, now: Time) {
        self.reported = Some((load, now));
        self.sent_since_report = 0;
        self.finished_since_report = 0;
    }

    pub(crate) fn record_send(&mut self, now: Time) {
        self.in_flight += 1;
        self.unanswered += 1;
        self.sent_since_report += 1;
        self.health.record_sent(now);
        if let Some(cold) = self.cold.as_mut().filter(|c| now < c.until) {
            cold.limit.take(now);
        }
        if let Some(limit) = &mut self.limit {
            limit.allowance.take(now);
        }
    }

    /// Records the limit that an answer to a request of `sent_at` names, or that it names none;
    /// returns whether this changes the limit.
    pub(crate) fn record_limit(
        &mut self,
        rate: Option<RequestRate>,
        sent_at: Time,
        now: Time,
    ) -> bool {
        match (&mut self.limit, rate) {
            (Some(limit), Some(rate)) => limit.rename(rate, now),
            (None, Some(rate)) => {
                self.limit = Some(UpstreamLimit::new(rate, now));
                true
            }
            (Some(limit), None) if limit.is_ended_by(sent_at) => {
                self.limit = None;
                true
            }
            (_, None) => false,
        }
    }

    /// Whether its limit leaves this entry no request now.
    pub(crate) fn is_limited(&mut self, now: Time) -> bool {
        let limit = self.limit.as_mut();
        limit.is_some_and(|l| l.allowance.available(now) < 1.0)
    }

    /// Records the outcome of a send; true if the upstream is to be ejected.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome, now: Time) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unanswered = self.unanswered.min(self.in_flight);
        self.sent_since_report -= 1;
        self.finished_since_report += 1;
        self.decay_outcomes(now);
        match outcome {
            Outcome::Good => {
                self.good += 1.0;
                self.health.record_success(now);
                false
            }
            Outcome::Failed => self.record_failure(now),
            Outcome::Gone => {
                self.gone = true;
                self.health.record_neutral();
                false
            }
            Outcome::Full | Outcome::Neutral => {
                self.health.record_neutral();
                false
            }
        }
    }

    /// Records a failure; true if the upstream is to be ejected.
    pub(crate) fn record_failure(&mut self, now: Time) -> bool {
        self.decay_outcomes(now);
        self.bad += 1.0;
        let streak = self.health.record_failure();
        let ratio = self.bad / (self.good + self.bad);
        streak || (self.bad >= MIN_FAILURES && ratio >= EJECT_RATIO)
    }

    /// Whether the upstream is ejected after failures.
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        !self.health.admits(now)
    }

    /// Whether the upstream is cold and rate-limited.
    pub(crate) fn is_cold(&self, now: Time) -> bool {
        self.cold.as_ref().is_some_and(|c| now < c.until)
    }

    /// Whether the upstream is cold and this entry's share of its rate is used up.
    pub(crate) fn is_saturated(&mut self, now: Time) -> bool {
        let cold = self.cold.as_mut().filter(|c| now < c.until);
        cold.is_some_and(|c| c.limit.available(now) < 1.0)
    }

    fn decay_outcomes(&mut self, now: Time) {
        let half_lives = now.since(self.decayed_at).as_secs_f64() / OUTCOME_HALF_LIFE.as_secs_f64();
        let factor = (-half_lives).exp2();
        self.good *= factor;
        self.bad *= factor;
        self.decayed_at = now;
    }
}
