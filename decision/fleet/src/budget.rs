//! Retry budget of one entry.
//!
//! In any window, the deployment allows retries up to a ratio of the requests of a service plus a
//! fixed allowance, which is divided by the number of entries. An entry counts its own requests and
//! retries of the last window, so that it can use the whole budget of a window at once: when a
//! lock-step group breaks, all of its streams have to be resumed in the same instant.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use pimentotide_model::{ServiceName, Time};

/// Part of the budget that is used; the rest covers counts that differ at the edges of windows.
const USED_RATIO: f64 = 0.85;
/// Minimum length of the window.
const MIN_WINDOW: Duration = Duration::from_secs(1);

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
    opened_at: Time,
    services: BTreeMap<ServiceName, Usage>,
}

/// Recent requests and retries of one service, the oldest first.
#[derive(Debug, Default)]
struct Usage {
    /// First sends of the last two windows.
    requests: VecDeque<Time>,
    /// Retries of the last window.
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Creates the budget of one of `entries` entries.
    pub fn open(options: BudgetOptions, entries: usize, now: Time) -> Self {
        let window = options.window.max(MIN_WINDOW);
        Self {
            options: BudgetOptions { window, ..options },
            entries: entries.max(1),
            opened_at: now,
            services: BTreeMap::new(),
        }
    }

    /// Divides the allowance by a new number of entries.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Records the first send of a request, which earns a part of a retry.
    pub fn earn(&mut self, service: &ServiceName, now: Time) {
        self.usage(service, now).requests.push_back(now);
    }

    /// Whole retries that the budget of each service still allows.
    pub fn left(&self, now: Time) -> impl Iterator<Item = (&ServiceName, u64)> {
        self.services
            .iter()
            .map(move |(name, usage)| (name, self.left_of(usage, now).max(0.0) as u64))
    }

    /// Spends one retry; false if none is left.
    pub fn spend(&mut self, service: &ServiceName, now: Time) -> bool {
        // Removes what is older than the windows.
        self.usage(service, now);
        let left = self.services.get(service).map(|u| self.left_of(u, now));
        let is_left = left.is_some_and(|left| left >= 1.0);
        if is_left {
            self.usage(service, now).retries.push_back(now);
        }
        is_left
    }

    /// Returns the latest retry, which was not sent.
    pub fn refund(&mut self, service: &ServiceName) {
        if let Some(usage) = self.services.get_mut(service) {
            usage.retries.pop_back();
        }
    }

    /// Retries that may be sent now without exceeding the budget of any window that began earlier.
    fn left_of(&self, usage: &Usage, now: Time) -> f64 {
        let share = self.share(now);
        let recent = usage
            .retries
            .iter()
            .filter(|at| now.since(**at) < self.options.window);
        let starts = recent.copied().chain([now]);
        let left = starts.map(|start| {
            let spent = usage.retries.len() - usage.retries.partition_point(|at| *at < start);
            share + self.earned(usage, start) - spent as f64
        });
        left.fold(f64::INFINITY, f64::min)
    }

    /// Retries earned for a window from `start` on, by the requests in it, in the one before it or
    /// in the one half a window before it, whichever are most.
    fn earned(&self, usage: &Usage, start: Time) -> f64 {
        let window = self.options.window;
        let before = |time: Time| usage.requests.partition_point(|at| *at < time);
        let within = |from: Time| before(from + window) - before(from);
        let requests = within(start)
            .max(within(start - window))
            .max(within(start - window / 2));
        requests as f64 * self.options.ratio * USED_RATIO
    }

    /// Retries in a window regardless of this entry's requests.
    ///
    /// Half of it from the start on, because an earlier run of the entry may have spent some in the
    /// same window. At least 1: with many entries a smaller share would never allow a retry.
    fn share(&self, now: Time) -> f64 {
        let age = now.since(self.opened_at).as_secs_f64() / self.options.window.as_secs_f64();
        let part = f64::midpoint(1.0, age.min(1.0));
        (self.options.allowance * USED_RATIO * part / self.entries as f64).max(1.0)
    }

    /// Returns the usage of a service without what no longer counts.
    fn usage(&mut self, service: &ServiceName, now: Time) -> &mut Usage {
        let window = self.options.window;
        let usage = self.services.entry(service.clone()).or_default();
        let is_old = |at: &Time, length: Duration| now.since(*at) >= length;
        while usage
            .requests
            .front()
            .is_some_and(|at| is_old(at, window * 2))
        {
            usage.requests.pop_front();
        }
        while usage.retries.front().is_some_and(|at| is_old(at, window)) {
            usage.retries.pop_front();
        }
        usage
    }
}
