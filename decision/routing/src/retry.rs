//! Retry budgets by service and workspace.
//!
//! Each success earns a fraction of a retry token and each retry spends a whole
//! one, which bounds attempts to about `1 + budget` times the requests however
//! many fail. The attempt number is sent with the request, so that layers do
//! not multiply each other's retries. Requests refused as "not run" cost the
//! upstream nothing and are rerouted without spending budget, up to a limit.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{Deadline, RetryPolicy, ServiceName, Time, WorkspaceName};
use rand::{Rng, RngExt};

/// Retries that a service and workspace may make before any success.
const INITIAL_TOKENS: f64 = 3.0;
/// Largest number of retries that a bucket accumulates.
const MAX_TOKENS: f64 = 50.0;
/// Largest number of pairs of service and workspace kept.
const MAX_BUCKETS: usize = 4_096;
/// Refusals after which a request is queued instead of rerouted.
const MAX_REFUSALS: u32 = 4;
/// Longest delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Decision after an attempt that ran and failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Retry after a delay.
    After(Duration),
    /// Return the failure to the caller.
    Denied(Denial),
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Denial {
    /// The request may not run twice.
    #[display("not idempotent")]
    NotIdempotent,
    /// The request has made the attempts that its policy allows.
    #[display("attempts used up")]
    Attempts,
    /// The service and workspace have spent their retry budget.
    #[display("budget used up")]
    Budget,
    /// The retry would start after the deadline.
    #[display("deadline")]
    Deadline,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    last_used: Time,
}

/// Retry budgets by service and workspace.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: BTreeMap<ServiceName, BTreeMap<WorkspaceName, Bucket>>,
    count: usize,
}

impl RetryBudget {
    /// Records a success, which earns `policy.budget` of a retry.
    pub fn success(
        &mut self,
        service: &ServiceName,
        workspace: &WorkspaceName,
        policy: &RetryPolicy,
        now: Time,
    ) {
        let bucket = self.bucket(service, workspace, now);
        bucket.tokens = (bucket.tokens + policy.budget).min(MAX_TOKENS);
    }

    /// Decides whether to retry, and spends one retry of the budget if so.
    pub fn decide<R>(&mut self, failed: &FailedAttempt<'_>, now: Time, rng: &mut R) -> Retry
    where
        R: Rng,
    {
        if !failed.idempotent {
            return Retry::Denied(Denial::NotIdempotent);
        }
        if failed.attempt >= failed.policy.attempts {
            return Retry::Denied(Denial::Attempts);
        }
        let delay = backoff(failed.policy.backoff, failed.attempt, rng);
        if now + delay >= failed.deadline {
            return Retry::Denied(Denial::Deadline);
        }
        let bucket = self.bucket(failed.service, failed.workspace, now);
        if bucket.tokens < 1.0 {
            return Retry::Denied(Denial::Budget);
        }
        bucket.tokens -= 1.0;
        Retry::After(delay)
    }

    /// Returns whether a request refused `refusals` times as "not run" is rerouted at once.
    pub fn may_reroute(refusals: u32) -> bool {
        refusals < MAX_REFUSALS
    }

    fn bucket(
        &mut self,
        service: &ServiceName,
        workspace: &WorkspaceName,
        now: Time,
    ) -> &mut Bucket {
        if !self.contains(service, workspace) {
            self.evict_oldest();
            self.count += 1;
        }
        let bucket = self
            .buckets
            .entry(service.clone())
            .or_default()
            .entry(workspace.clone())
            .or_insert(Bucket {
                tokens: INITIAL_TOKENS,
                last_used: now,
            });
        bucket.last_used = now;
        bucket
    }

    fn contains(&self, service: &ServiceName, workspace: &WorkspaceName) -> bool {
        self.buckets
            .get(service)
            .is_some_and(|b| b.contains_key(workspace))
    }

    /// Evicts the least recently used bucket when the limit is reached.
    fn evict_oldest(&mut self) {
        if self.count < MAX_BUCKETS {
            return;
        }
        let oldest = self
            .buckets
            .iter()
            .flat_map(|(s, b)| b.iter().map(move |(w, k)| (k.last_used, s, w)))
            .min()
            .map(|(_, s, w)| (s.clone(), w.clone()));
        if let Some((service, workspace)) = oldest {
            if let Some(buckets) = self.buckets.get_mut(&service) {
                buckets.remove(&workspace);
            }
            self.count -= 1;
        }
    }
}

/// An attempt that ran and failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// Service that was requested.
    pub service: &'a ServiceName,
    /// Workspace on whose behalf it ran.
    pub workspace: &'a WorkspaceName,
    /// Retry policy of the service.
    pub policy: &'a RetryPolicy,
    /// Number of the attempt that failed, counted from 1 across layers.
    pub attempt: u32,
    /// Whether the request is safe to run more than once.
    pub idempotent: bool,
    /// Time by which it must be answered.
    pub deadline: Deadline,
}

/// Draws a delay between half and all of an exponential backoff.
fn backoff<R>(first: Duration, attempt: u32, rng: &mut R) -> Duration
where
    R: Rng,
{
    let doubled = first.saturating_mul(2_u32.saturating_pow(attempt.saturating_sub(1).min(16)));
    doubled.min(MAX_BACKOFF).mul_f64(rng.random_range(0.5..1.0))
}
