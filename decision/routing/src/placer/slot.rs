//! State of one upstream in an entry.

use std::collections::VecDeque;
use std::time::Duration;

use pimentotide_model::{Announcement, LoadReport, Time};

use super::directory::MeanLoad;
use crate::health::Health;

/// Largest number of changes of the entry's own load kept per upstream.
const MAX_HISTORY: usize = 256;
/// Weight of the latest verified hit in the hit confidence.
const CONFIDENCE_WEIGHT: f64 = 0.1;
/// Lower bound of the hit confidence.
const MIN_CONFIDENCE: f64 = 0.1;

/// State of one upstream, with the recent history of the entry's own load on it.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) announcement: Announcement,
    /// Distinguishes upstreams that use the same slot number one after the other.
    pub(super) generation: u32,
    /// Indexes of the usages of all zones and of its zone in the directory.
    pub(super) domains: [u32; 2],
    pub(super) health: Health,
    pub(super) group: Option<u32>,
    pub(super) report: LoadReport,
    pub(super) hit_confidence: f64,
    reported_at: Option<Time>,
    in_flight: u32,
    /// Requests of this entry in flight at the time of the report.
    reported_own: u32,
    /// In-flight requests of this entry after each change, oldest first.
    history: VecDeque<(Time, u32)>,
}

impl Slot {
    /// Creates the slot of an upstream that has not reported yet.
    pub(super) fn new(announcement: Announcement, generation: u32, domains: [u32; 2]) -> Self {
        Self {
            announcement,
            generation,
            domains,
            health: Health::default(),
            group: None,
            report: LoadReport::default(),
            hit_confidence: 1.0,
            reported_at: None,
            in_flight: 0,
            reported_own: 0,
            history: VecDeque::with_capacity(MAX_HISTORY),
        }
    }

    /// Resets the state of an earlier incarnation.
    pub(super) fn restart(&mut self) {
        self.report = LoadReport::default();
        self.reported_at = None;
        self.reported_own = 0;
        self.hit_confidence = 1.0;
        self.health.reset();
    }

    /// Applies a report made at `reported_at`; returns `false` if it is stale.
    pub(super) fn observe(&mut self, report: &LoadReport, reported_at: Time) -> bool {
        let newer =
            report.incarnation > self.report.incarnation || report.sequence > self.report.sequence;
        let current = report.incarnation >= self.announcement.incarnation;
        if !current || (self.reported_at.is_some() && !newer) {
            return false;
        }
        self.report = *report;
        self.reported_at = Some(reported_at);
        self.reported_own = self.in_flight_at(reported_at);
        true
    }

    /// Records the start of a request of this entry.
    pub(super) fn begin(&mut self, now: Time) {
        self.in_flight += 1;
        self.health.record_sent(now);
        self.record_history(now);
    }

    /// Records the end of a request of this entry.
    pub(super) fn end(&mut self, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_history(now);
    }

    /// Returns the number of requests of this entry in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the limit on concurrent requests; one until the first report.
    pub(super) fn allowance(&self) -> u32 {
        if self.reported_at.is_some() {
            self.report.allowance
        } else {
            1
        }
    }

    /// Returns the requests of other entries at the last report.
    pub(super) fn other_load(&self) -> f64 {
        let reported = self.report.running + self.report.waiting;
        f64::from(reported.saturating_sub(self.reported_own))
    }

    /// Estimates the running and queued requests at `now`.
    ///
    /// Own requests are counted exactly. Those of other entries are taken from
    /// the report and decay to the `mean` as the report ages.
    pub(super) fn load(&self, mean: MeanLoad, turnover: Duration, now: Time) -> f64 {
        let own = f64::from(self.in_flight);
        let expected = mean.others * f64::from(self.allowance());
        let Some(reported_at) = self.reported_at else {
            return own + expected;
        };
        let age = now.since(reported_at).as_secs_f64() / turnover.as_secs_f64();
        let weight = (-age).exp();
        own + expected + weight * (self.other_load() - expected)
    }

    /// Returns by how much the requests of this entry exceed its mean for this allowance.
    pub(super) fn own_excess(&self, mean: MeanLoad) -> f64 {
        f64::from(self.in_flight) - mean.own * f64::from(self.allowance())
    }

    /// Updates the hit confidence from the expected and the actual number of cached blocks.
    pub(super) fn verify_hit(&mut self, expected: u32, cached: u32) {
        if expected == 0 {
            return;
        }
        let sample = (f64::from(cached) / f64::from(expected)).min(1.0);
        let confidence = self.hit_confidence + CONFIDENCE_WEIGHT * (sample - self.hit_confidence);
        self.hit_confidence = confidence.max(MIN_CONFIDENCE);
    }

    fn record_history(&mut self, now: Time) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, self.in_flight));
    }

    /// Returns the requests of this entry in flight at `time`, and drops the older history.
    fn in_flight_at(&mut self, time: Time) -> u32 {
        let later = self.history.partition_point(|(at, _)| *at <= time);
        if later == 0 {
            return self.history.front().map_or(self.in_flight, |(_, n)| *n);
        }
        self.history.drain(..later - 1);
        self.history.front().map_or(self.in_flight, |(_, n)| *n)
    }
}
