//! What one entry knows of one upstream.

use std::time::Duration;

use pimentotide_model::Time;
use pimentotide_routing::Health;
use serde::{Deserialize, Serialize};

use crate::{RateLimit, Record};

/// Time after which half of the weight of an outcome is gone.
const OUTCOME_HALF: Duration = Duration::from_secs(3);
/// Failures, weighted by age, below which an upstream is not judged.
const LEAST_FAILURES: f64 = 2.5;
/// Share of failures above which an upstream is ejected.
const EJECT_SHARE: f64 = 0.35;

/// Load as an upstream told it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// How a send ended, as far as the upstream is to be judged by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer.
    Good,
    /// It refused for want of room.
    Full,
    /// It broke off, stayed silent or could not be reached.
    Failed,
    /// Another upstream answers at its address.
    Gone,
    /// The caller left, or nothing can be concluded.
    Neutral,
}

/// One upstream as an entry sees it.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) record: Record,
    pub(crate) health: Health,
    /// Requests of this entry under way.
    pub(crate) mine: u32,
    /// Whether another upstream was met at its address.
    pub(crate) gone: bool,
    /// Time until which it refuses for want of room.
    pub(crate) full: Time,
    pub(crate) cold: Option<Cold>,
    told: Option<(Load, Time)>,
    /// Requests of this entry sent, less those ended, since the load was told.
    since: i64,
    good: f64,
    bad: f64,
    judged: Time,
}

/// Limit of an upstream that is cold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cold {
    pub(crate) until: Time,
    /// Requests a second that it bears from all entries together.
    pub(crate) bears: f64,
    pub(crate) limit: RateLimit,
}

impl Upstream {
    pub(crate) fn new(record: Record) -> Self {
        Self {
            record,
            health: Health::default(),
            mine: 0,
            gone: false,
            full: Time::ZERO,
            cold: None,
            told: None,
            since: 0,
            good: 0.0,
            bad: 0.0,
            judged: Time::ZERO,
        }
    }

    pub(crate) fn slots(&self) -> u32 {
        let told = self.told.map(|(load, _)| load.slots).filter(|s| *s > 0);
        told.unwrap_or(self.record.announcement.slots).max(1)
    }

    /// Requests that run or wait there, as far as this entry can tell.
    pub(crate) fn outstanding(&self) -> f64 {
        let told = self
            .told
            .map_or(0, |(load, _)| i64::from(load.running + load.waiting));
        (told + self.since).max(i64::from(self.mine)) as f64
    }

    pub(crate) fn tell(&mut self, load: Load, now: Time) {
        self.told = Some((load, now));
        self.since = 0;
    }

    pub(crate) fn sent(&mut self, now: Time) {
        self.mine += 1;
        self.since += 1;
        self.health.sent(now);
        if let Some(cold) = self.cold.as_mut().filter(|c| now < c.until) {
            cold.limit.take(now);
        }
    }

    /// Notes how a send ended; true if the upstream is to be ejected.
    pub(crate) fn ended(&mut self, outcome: Outcome, now: Time) -> bool {
        self.mine = self.mine.saturating_sub(1);
        self.since -= 1;
        self.age_outcomes(now);
        match outcome {
            Outcome::Good => {
                self.good += 1.0;
                self.health.good(now);
                false
            }
            Outcome::Failed => {
                self.bad += 1.0;
                let streak = self.health.failed();
                let share = self.bad / (self.good + self.bad);
                streak || (self.bad >= LEAST_FAILURES && share >= EJECT_SHARE)
            }
            Outcome::Gone => {
                self.gone = true;
                self.health.neutral();
                false
            }
            Outcome::Full | Outcome::Neutral => {
                self.health.neutral();
                false
            }
        }
    }

    /// Whether it is avoided after failures.
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        !self.health.admits(now)
    }

    /// Whether it takes little, since it is cold.
    pub(crate) fn is_cold(&self, now: Time) -> bool {
        self.cold.as_ref().is_some_and(|c| now < c.until)
    }

    /// Whether it is cold and has had its share of requests for now.
    pub(crate) fn is_saturated(&mut self, now: Time) -> bool {
        let cold = self.cold.as_mut().filter(|c| now < c.until);
        cold.is_some_and(|c| c.limit.available(now) < 1.0)
    }

    fn age_outcomes(&mut self, now: Time) {
        let halves = now.since(self.judged).as_secs_f64() / OUTCOME_HALF.as_secs_f64();
        let left = (-halves).exp2();
        self.good *= left;
        self.bad *= left;
        self.judged = now;
    }
}
