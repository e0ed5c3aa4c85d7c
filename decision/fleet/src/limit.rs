//! Limits that upstreams in need name in their answers.
//!
//! A limit is for all entries together. The entries divide it without a message: each
//! upstream has a few holders, the entries whose subsets begin closest to it, which share
//! its limit equally, and the others send it nothing. With a share for every entry, each
//! would have to be allowed at least one request, which in a large fleet is more than an
//! upstream takes in seconds.
//!
//! An entry acts on what its own answers say at once. The limits are also part of the
//! replicated state, for entries that have just started, and because entries that send an
//! upstream nothing cannot see its limit end.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{Time, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::RateLimit;
use crate::balancer::EntryPosition;

/// Part of a limit that the entries use together.
///
/// The rest covers requests in transit and lists of entries that differ for a moment.
const USED_RATIO: f64 = 0.9;
/// Time whose share an entry may send at once after it has sent nothing.
const BURST_WINDOW: Duration = Duration::from_secs(1);
/// Lower bound on that burst; beyond one request, so that what accrues while an entry has nothing
/// to send is not all lost.
const MIN_BURST: f64 = 1.5;
/// Lower bound on the used part of a limit, requests per second; only an answer shows its end.
const MIN_TOTAL_RATE: f64 = 0.25;

/// Requests per second, in thousandths.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{}", self.per_second())]
pub struct RequestRate(u32);

impl RequestRate {
    /// Converts requests per second; `None` if negative or not a number.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        // The conversion saturates.
        (rate >= 0.0).then(|| Self((rate * 1e3).round() as u32))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }

    /// Returns the requests per second that all entries together send.
    pub(crate) fn used(self) -> f64 {
        (self.per_second() * USED_RATIO).max(MIN_TOTAL_RATE)
    }
}

/// Limit that one start of an upstream names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLimit {
    /// Start of the upstream, ms since the Unix epoch.
    pub born: u64,
    /// Requests that it takes from all entries together.
    pub rate: RequestRate,
}

/// Observation of an entry that an upstream has begun, changed or ended its limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Upstream that answered.
    pub upstream: UpstreamName,
    /// Start of the upstream, ms since the Unix epoch.
    pub born: u64,
    /// Limit that the answer named; `None` if it named none.
    pub rate: Option<RequestRate>,
}

/// Limits in force, as all entries share them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitView {
    /// Log index of the last change.
    pub revision: u64,
    /// Limits by upstream.
    pub limits: BTreeMap<UpstreamName, NamedLimit>,
}

impl LimitView {
    /// Returns the limit of this start of an upstream.
    pub fn rate(&self, upstream: &UpstreamName, born: u64) -> Option<RequestRate> {
        let limit = self.limits.get(upstream).filter(|l| l.born == born);
        limit.map(|l| l.rate)
    }

    /// Whether a report says something else than the view.
    pub fn is_news(&self, report: &LimitReport) -> bool {
        self.rate(&report.upstream, report.born) != report.rate
    }

    /// Applies a report; returns whether it changed the view.
    pub(crate) fn apply(&mut self, index: u64, report: LimitReport) -> bool {
        let is_news = self.is_news(&report);
        if is_news {
            let born = report.born;
            match report.rate {
                Some(rate) => self
                    .limits
                    .insert(report.upstream, NamedLimit { born, rate }),
                None => self.limits.remove(&report.upstream),
            };
            self.revision = index;
        }
        is_news
    }

    /// Removes the limit of an upstream that has stopped or started again.
    pub(crate) fn remove(&mut self, index: u64, upstream: &UpstreamName) {
        if self.limits.remove(upstream).is_some() {
            self.revision = index;
        }
    }
}

/// Place of an entry and an upstream among all, which determines the entry's share of its limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharePlace {
    /// Index of the upstream among those of its service, in the order of names.
    pub(crate) index: usize,
    /// Number of upstreams of the service.
    pub(crate) upstreams: usize,
    /// Position of the entry; its count is 0 until known.
    pub(crate) position: EntryPosition,
    /// Number of entries by which limits are divided, at least as high as the listed one.
    pub(crate) entries: usize,
}

impl SharePlace {
    /// Returns the requests per second that the entry may send.
    ///
    /// Entries that are counted and not listed may believe in another list, so that their part
    /// is left to them.
    pub(crate) fn share(&self, rate: RequestRate) -> f64 {
        let listed = self.position.count;
        let entries = self.entries.max(listed).max(1);
        if listed == 0 {
            return rate.used() / entries as f64;
        }
        let total = rate.used() * listed as f64 / entries as f64;
        let holders = (total as usize).clamp(1, listed);
        let last = ((self.index + 1) * listed - 1) / self.upstreams.max(1);
        let distance = (last + listed - self.position.index % listed) % listed;
        if distance < holders {
            total / holders as f64
        } else {
            0.0
        }
    }
}

/// Limit of one upstream as one entry keeps it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamLimit {
    pub(crate) rate: RequestRate,
    /// Time at which it was last named.
    named_at: Time,
    /// Requests that this entry may send.
    pub(crate) allowance: RateLimit,
}

impl UpstreamLimit {
    /// Creates a limit without allowance, since the requests before it were not limited.
    pub(crate) fn new(rate: RequestRate, now: Time) -> Self {
        Self {
            rate,
            named_at: now,
            allowance: RateLimit::empty(0.0, 0.0, now),
        }
    }

    /// Whether an answer without a limit to a request sent at `sent_at` shows that it has ended.
    pub(crate) fn is_ended_by(&self, sent_at: Time) -> bool {
        sent_at >= self.named_at
    }

    /// Records that it is named again; returns whether it has changed.
    pub(crate) fn rename(&mut self, rate: RequestRate, now: Time) -> bool {
        self.named_at = now;
        std::mem::replace(&mut self.rate, rate) != rate
    }

    /// Sets the requests per second that this entry may send.
    pub(crate) fn set_share(&mut self, share: f64, now: Time) {
        let burst = if share > 0.0 {
            (share * BURST_WINDOW.as_secs_f64()).max(MIN_BURST)
        } else {
            0.0
        };
        self.allowance.resize(burst, share, now);
    }
}
