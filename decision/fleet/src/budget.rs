//! Retry budget of one entry.
//!
//! In any window, the deployment allows retries up to a ratio of the requests of a
//! service plus a fixed allowance. The allowance is divided by the number of
//! entries: half of each share is the burst, the other half refills over a window,
//! so that no window, wherever it starts, exceeds the allowance.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::{ServiceName, Time};

use crate::RateLimit;

/// Part of the budget that is used; the rest covers counts that differ at the edges of windows.
const USED_RATIO: f64 = 0.85;

/// Retry budget of the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window regardless of the number of requests.
    pub allowance: f64,
    /// Window in which retries are counted; at least 1 s is used.
    pub window: Duration,
}

/// Retries that one entry may still send, by service.
#[derive(Debug)]
pub struct RetryBudget {
    options: BudgetOptions,
    entries: usize,
    services: BTreeMap<ServiceName, RateLimit>,
}

impl RetryBudget {
    /// Creates the budget of one of `entries` entries.
    pub fn new(options: BudgetOptions, entries: usize) -> Self {
        Self {
            options,
            entries: entries.max(1),
            services: BTreeMap::new(),
        }
    }

    /// Divides the allowance by a new number of entries.
    pub fn set_entries(&mut self, entries: usize, now: Time) {
        if entries.max(1) == self.entries {
            return;
        }
        self.entries = entries.max(1);
        let (size, rate) = self.bucket_parameters();
        for bucket in self.services.values_mut() {
            bucket.resize(size, rate, now);
        }
    }

    /// Adds the retries earned by the first send of a request.
    pub fn earn(&mut self, service: &ServiceName, now: Time) {
        let earned = self.options.ratio * USED_RATIO;
        self.bucket(service, now).add(earned);
    }

    /// Whole retries that the budget of each service still allows.
    pub fn left(&self, now: Time) -> impl Iterator<Item = (&ServiceName, u64)> {
        self.services
            .iter()
            .map(move |(name, bucket)| (name, bucket.clone().available(now).max(0.0) as u64))
    }

    /// Whether a retry is left.
    pub fn allows(&mut self, service: &ServiceName, now: Time) -> bool {
        self.bucket(service, now).available(now) >= 1.0
    }

    /// Spends one retry; false if none is left.
    pub fn spend(&mut self, service: &ServiceName, now: Time) -> bool {
        self.bucket(service, now).take(now)
    }

    fn bucket(&mut self, service: &ServiceName, now: Time) -> &mut RateLimit {
        let (size, rate) = self.bucket_parameters();
        let new_bucket = || RateLimit::new(size, rate, now);
        self.services
            .entry(service.clone())
            .or_insert_with(new_bucket)
    }

    /// Returns the burst and the refill rate per second.
    ///
    /// The burst is at least 1: with many entries a smaller share would never allow a retry.
    fn bucket_parameters(&self) -> (f64, f64) {
        let share = (self.options.allowance * USED_RATIO / self.entries as f64).max(1.0);
        let size = (share / 2.0).max(1.0);
        let window = self.options.window.as_secs_f64().max(1.0);
        (size, (share - size) / window)
    }
}
