//! Share of the deployment's budget for repeated sends that one entry may use.
//!
//! The deployment allows, in any window, a share of the requests of a service
//! plus a fixed allowance. The allowance is divided by the number of entries:
//! half of each part may be spent at once, the other half comes back over a
//! window, so that no window of any position exceeds it.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::{ServiceName, Time};

use crate::RateLimit;

/// Part of the budget that is used, which leaves room for counts that differ at the edges of windows.
const USED_PART: f64 = 0.85;

/// Budget of the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window whatever the number of requests.
    pub allowance: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Repeats that one entry may still send, by service.
#[derive(Debug)]
pub struct RetryBudget {
    options: BudgetOptions,
    entries: usize,
    services: BTreeMap<ServiceName, RateLimit>,
}

impl RetryBudget {
    /// Starts with the budget of one among `entries` entries.
    pub fn new(options: BudgetOptions, entries: usize) -> Self {
        Self {
            options,
            entries: entries.max(1),
            services: BTreeMap::new(),
        }
    }

    /// Divides the allowance anew.
    pub fn set_entries(&mut self, entries: usize, now: Time) {
        if entries.max(1) == self.entries {
            return;
        }
        self.entries = entries.max(1);
        let (size, rate) = self.shape();
        for bucket in self.services.values_mut() {
            bucket.resize(size, rate, now);
        }
    }

    /// Notes the first send of a request.
    pub fn earn(&mut self, service: &ServiceName, now: Time) {
        let earned = self.options.ratio * USED_PART;
        self.bucket(service, now).add(earned);
    }

    /// Whole sends that the budget of each service still allows.
    pub fn left(&self, now: Time) -> impl Iterator<Item = (&ServiceName, u64)> {
        self.services
            .iter()
            .map(move |(name, bucket)| (name, bucket.clone().available(now).max(0.0) as u64))
    }

    /// Takes the budget of one more send; false if there is none left.
    pub fn spend(&mut self, service: &ServiceName, now: Time) -> bool {
        self.bucket(service, now).take(now)
    }

    fn bucket(&mut self, service: &ServiceName, now: Time) -> &mut RateLimit {
        let (size, rate) = self.shape();
        let fresh = || RateLimit::new(size, rate, now);
        self.services.entry(service.clone()).or_insert_with(fresh)
    }

    /// Repeats at once and a second.
    ///
    /// At least one at once: with many entries a smaller share would never be enough for any.
    fn shape(&self) -> (f64, f64) {
        let part = (self.options.allowance * USED_PART / self.entries as f64).max(1.0);
        let size = (part / 2.0).max(1.0);
        let window = self.options.window.as_secs_f64().max(1.0);
        (size, (part - size) / window)
    }
}
