//! One upstream as an entry knows it.

use std::collections::VecDeque;
use std::time::Duration;

use pimentotide_model::{Announcement, LoadReport, Time};

use super::directory::Mean;
use crate::health::Health;

/// Changes of the own load that are remembered.
const MAX_HISTORY: usize = 256;
/// Weight of the latest verified hit in the trust in cache beliefs.
const TRUST_WEIGHT: f64 = 0.1;
/// Least trust in cache beliefs.
const LEAST_TRUST: f64 = 0.1;

/// One upstream.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) announcement: Announcement,
    pub(super) generation: u32,
    pub(super) domains: [u32; 2],
    pub(super) health: Health,
    pub(super) group: Option<u32>,
    pub(super) report: LoadReport,
    pub(super) trust: f64,
    taken: Option<Time>,
    inflight: u32,
    base: u32,
    history: VecDeque<(Time, u32)>,
}

impl Slot {
    /// Builds the slot of an upstream that has not reported yet.
    pub(super) fn new(announcement: Announcement, generation: u32, domains: [u32; 2]) -> Self {
        Self {
            announcement,
            generation,
            domains,
            health: Health::default(),
            group: None,
            report: LoadReport::default(),
            trust: 1.0,
            taken: None,
            inflight: 0,
            base: 0,
            history: VecDeque::with_capacity(MAX_HISTORY),
        }
    }

    /// Forgets what belonged to an earlier incarnation.
    pub(super) fn restart(&mut self) {
        self.report = LoadReport::default();
        self.taken = None;
        self.base = 0;
        self.trust = 1.0;
        self.health.reset();
    }

    /// Takes a report that describes the upstream at `taken`.
    pub(super) fn observe(&mut self, report: &LoadReport, taken: Time) -> bool {
        let newer =
            report.incarnation > self.report.incarnation || report.sequence > self.report.sequence;
        let known = report.incarnation >= self.announcement.incarnation;
        if !known || (self.taken.is_some() && !newer) {
            return false;
        }
        self.report = *report;
        self.taken = Some(taken);
        self.base = self.inflight_at(taken);
        true
    }

    /// Counts a request of this entry.
    pub(super) fn begin(&mut self, now: Time) {
        self.inflight += 1;
        self.health.record_sent(now);
        self.remember(now);
    }

    /// Counts the end of a request of this entry.
    pub(super) fn end(&mut self, now: Time) {
        self.inflight = self.inflight.saturating_sub(1);
        self.remember(now);
    }

    /// Requests of this entry that run.
    pub(super) fn inflight(&self) -> u32 {
        self.inflight
    }

    /// Requests that may run at once; one until the first report.
    pub(super) fn allowance(&self) -> u32 {
        if self.taken.is_some() {
            self.report.allowance
        } else {
            1
        }
    }

    /// Requests of other entries at the last report.
    pub(super) fn others(&self) -> f64 {
        let reported = self.report.running + self.report.waiting;
        f64::from(reported.saturating_sub(self.base))
    }

    /// Requests that run or wait, as estimated now.
    ///
    /// Own requests are known exactly. Those of other entries are known as of
    /// the report, and go back to the usual `mean` as the report ages.
    pub(super) fn load(&self, mean: Mean, turnover: Duration, now: Time) -> f64 {
        let own = f64::from(self.inflight);
        let usual = mean.others * f64::from(self.allowance());
        let Some(taken) = self.taken else {
            return own + usual;
        };
        let age = now.since(taken).as_secs_f64() / turnover.as_secs_f64();
        let weight = (-age).exp();
        own + usual + weight * (self.others() - usual)
    }

    /// Own requests beyond what this entry usually has on an upstream of this size.
    pub(super) fn own_excess(&self, mean: Mean) -> f64 {
        f64::from(self.inflight) - mean.own * f64::from(self.allowance())
    }

    /// Compares a believed cache hit with the one reported.
    pub(super) fn verify(&mut self, believed: u32, cached: u32) {
        if believed == 0 {
            return;
        }
        let sample = (f64::from(cached) / f64::from(believed)).min(1.0);
        let trust = self.trust + TRUST_WEIGHT * (sample - self.trust);
        self.trust = trust.max(LEAST_TRUST);
    }

    fn remember(&mut self, now: Time) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, self.inflight));
    }

    /// Own requests that ran at `time`, and forgets what came before.
    fn inflight_at(&mut self, time: Time) -> u32 {
        let later = self.history.partition_point(|(at, _)| *at <= time);
        if later == 0 {
            return self.history.front().map_or(self.inflight, |(_, n)| *n);
        }
        self.history.drain(..later - 1);
        self.history.front().map_or(self.inflight, |(_, n)| *n)
    }
}
