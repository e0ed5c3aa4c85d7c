//! Retry budgets: how many attempts a service and workspace may add.
//!
//! Each success earns a part of a retry and each retry spends a whole one, so
//! attempts stay within `1 + budget` times the requests whatever fails. The
//! attempt number travels with the request, so that layers do not multiply
//! their retries. Refusals that are "not run" cost the upstream nothing and
//! are placed elsewhere without spending budget, up to a bound.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{Deadline, RetryPolicy, ServiceName, Time, WorkspaceName};
use rand::{Rng, RngExt};

/// Retries that a service and workspace may make before any success.
const RESERVE: f64 = 3.0;
/// Most retries saved up.
const MOST_SAVED: f64 = 50.0;
/// Most pairs of service and workspace kept.
const MAX_BUCKETS: usize = 4_096;
/// Refusals after which a request is queued rather than placed again.
const MAX_REFUSALS: u32 = 4;
/// Longest pause before a retry.
const MOST_BACKOFF: Duration = Duration::from_secs(2);

/// What to do after an attempt that ran and failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Try again after a pause.
    After(Duration),
    /// Give the failure to the caller.
    Denied(Denial),
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Denial {
    /// It may not run twice.
    #[display("not idempotent")]
    NotIdempotent,
    /// It has made all its attempts.
    #[display("attempts used up")]
    Attempts,
    /// The service and workspace have used up their budget.
    #[display("budget used up")]
    Budget,
    /// The pause would pass the deadline.
    #[display("deadline")]
    Deadline,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    used: Time,
}

/// Retry budgets by service and workspace.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: BTreeMap<ServiceName, BTreeMap<WorkspaceName, Bucket>>,
    count: usize,
}

impl RetryBudget {
    /// Earns the part of a retry that a success is worth.
    pub fn success(
        &mut self,
        service: &ServiceName,
        workspace: &WorkspaceName,
        policy: &RetryPolicy,
        now: Time,
    ) {
        let bucket = self.bucket(service, workspace, now);
        bucket.tokens = (bucket.tokens + policy.budget).min(MOST_SAVED);
    }

    /// Decides on a retry after attempt number `attempt`, counted from 1.
    pub fn decide<R>(&mut self, ask: &FailedAttempt<'_>, now: Time, rng: &mut R) -> Retry
    where
        R: Rng,
    {
        if !ask.idempotent {
            return Retry::Denied(Denial::NotIdempotent);
        }
        if ask.attempt >= ask.policy.attempts {
            return Retry::Denied(Denial::Attempts);
        }
        let pause = backoff(ask.policy.backoff, ask.attempt, rng);
        if now + pause >= ask.deadline {
            return Retry::Denied(Denial::Deadline);
        }
        let bucket = self.bucket(ask.service, ask.workspace, now);
        if bucket.tokens < 1.0 {
            return Retry::Denied(Denial::Budget);
        }
        bucket.tokens -= 1.0;
        Retry::After(pause)
    }

    /// Whether a request refused `refusals` times as "not run" is placed again at once.
    pub fn may_reroute(refusals: u32) -> bool {
        refusals < MAX_REFUSALS
    }

    fn bucket(
        &mut self,
        service: &ServiceName,
        workspace: &WorkspaceName,
        now: Time,
    ) -> &mut Bucket {
        if !self.has(service, workspace) {
            self.make_room();
            self.count += 1;
        }
        let bucket = self
            .buckets
            .entry(service.clone())
            .or_default()
            .entry(workspace.clone())
            .or_insert(Bucket {
                tokens: RESERVE,
                used: now,
            });
        bucket.used = now;
        bucket
    }

    fn has(&self, service: &ServiceName, workspace: &WorkspaceName) -> bool {
        self.buckets
            .get(service)
            .is_some_and(|b| b.contains_key(workspace))
    }

    /// Forgets the bucket that has been idle for longest.
    fn make_room(&mut self) {
        if self.count < MAX_BUCKETS {
            return;
        }
        let oldest = self
            .buckets
            .iter()
            .flat_map(|(s, b)| b.iter().map(move |(w, k)| (k.used, s, w)))
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
    /// Service that was asked.
    pub service: &'a ServiceName,
    /// Workspace on whose behalf it ran.
    pub workspace: &'a WorkspaceName,
    /// Retry policy of the service.
    pub policy: &'a RetryPolicy,
    /// Number of the attempt that failed, counted from 1 across layers.
    pub attempt: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time by which it must be answered.
    pub deadline: Deadline,
}

/// Draws a pause between half and all of a bound that doubles with each attempt.
fn backoff<R>(first: Duration, attempt: u32, rng: &mut R) -> Duration
where
    R: Rng,
{
    let doubled = first.saturating_mul(2_u32.saturating_pow(attempt.saturating_sub(1).min(16)));
    doubled
        .min(MOST_BACKOFF)
        .mul_f64(rng.random_range(0.5..1.0))
}
