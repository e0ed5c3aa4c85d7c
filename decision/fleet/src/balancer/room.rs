//! Bound on the requests that wait at an upstream, for requests that have to begin in time.
//!
//! With such a bound, an entry that has nothing at an upstream last reported full would never
//! learn that it has room again. Once the upstream has had the time to finish its excess at its
//! usual rate, the entry may send there, at most at its share of the service's rate.

use std::time::Duration;

use pimentotide_model::{ServiceName, Time};

use super::{Balancer, Ticket};
use crate::RateLimit;
use crate::upstream::Upstream;

/// Weight of the latest duration of a request at an upstream.
const DURATION_WEIGHT: f64 = 0.1;
/// Burst of the sends to upstreams whose reports have lost their effect, requests.
const STALE_BURST: f64 = 1.0;

/// Bound on the wait of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBound {
    /// Longest wait there.
    pub wait: Duration,
    /// Usual duration of a request at an upstream that has finished none yet.
    pub usual: Duration,
}

impl QueueBound {
    fn usual_at(&self, upstream: &Upstream) -> Duration {
        upstream.usual.unwrap_or(self.usual)
    }

    /// Returns the requests that may be outstanding at an upstream, which has at most `queue` for
    /// each slot beyond those running.
    pub(super) fn max_outstanding(&self, upstream: &Upstream, queue: f64) -> f64 {
        let usual = self.usual_at(upstream).as_secs_f64().max(f64::EPSILON);
        let slots = f64::from(upstream.slots());
        slots + (slots * queue.min(self.wait.as_secs_f64() / usual)).round()
    }

    /// Requests per second that an upstream usually finishes.
    pub(super) fn rate_of(&self, upstream: &Upstream) -> f64 {
        let usual = self.usual_at(upstream).as_secs_f64().max(f64::EPSILON);
        f64::from(upstream.slots()) / usual
    }

    /// Whether an upstream has had the time to finish the reported excess.
    pub(super) fn is_stale(&self, upstream: &Upstream, queue: f64, now: Time) -> bool {
        let finished = self.rate_of(upstream) * upstream.report_age(now).as_secs_f64();
        let left = (upstream.outstanding() - finished).max(f64::from(upstream.in_flight));
        now >= upstream.full_until && left < self.max_outstanding(upstream, queue)
    }
}

impl Balancer {
    /// Records the time from sending a request until its upstream had finished it.
    pub fn record_duration(&mut self, ticket: &Ticket, duration: Duration) {
        if let Some(upstream) = self.ticket_upstream(ticket) {
            let usual = upstream.usual.unwrap_or(duration);
            upstream.usual =
                Some(usual.mul_f64(1.0 - DURATION_WEIGHT) + duration.mul_f64(DURATION_WEIGHT));
        }
    }
}

/// Sends of an entry to upstreams whose reports have lost their effect, by service.
#[derive(Debug, Default)]
pub(super) struct StaleSends(std::collections::BTreeMap<ServiceName, RateLimit>);

impl StaleSends {
    /// Takes one send at `rate` per second; false if none is left.
    pub(super) fn take(&mut self, service: &ServiceName, rate: f64, now: Time) -> bool {
        let new = || RateLimit::new(STALE_BURST, rate, now);
        let limit = self.0.entry(service.clone()).or_insert_with(new);
        limit.resize(STALE_BURST, rate, now);
        limit.take(now)
    }
}
