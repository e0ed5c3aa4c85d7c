//! Acquires a slot at an upstream for one request, or computes when the caller may retry.

use std::time::Duration;

use derive_more::Display;
use pimentotide_fleet::{
    Admission, Choice, ChoiceRequest, PROBATION, Refusal, RetryWindow, RouteKind, WaitLimits,
};
use pimentotide_model::{ErrorKind, Failure, Ran, Time};

use super::attempt::Attempt;
use super::state::Inner;

/// Maximum wait for a configuration, or while a service has no upstream; a group forms in less.
const MAX_ABSENT_WAIT: Duration = Duration::from_millis(1_200);
/// Maximum share of the caller's remaining time spent on that wait.
const MAX_ABSENT_RATIO: f64 = 0.3;
/// Minimum retry delay if there was no upstream; a group forms in less.
pub(super) const MIN_RETRY_NO_UPSTREAM: Duration = Duration::from_millis(1_000);
/// Minimum retry delay if all upstreams were full.
pub(super) const MIN_RETRY_FULL: Duration = Duration::from_millis(800);
/// Maximum retry delay announced to a caller.
pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_millis(3_500);
/// Share of the caller's remaining time after which a retry would be too late.
const MAX_RETRY_RATIO: f64 = 0.5;
/// Typical duration of a stream at a full engine.
pub(super) const TYPICAL_STREAM_TIME: Duration = Duration::from_millis(1_500);
/// Typical duration of a whole response at a full service.
pub(super) const TYPICAL_WHOLE_TIME: Duration = Duration::from_millis(150);

/// Detail of the refusal of a content.
const CRASHING_DETAIL: &str = "its content or a part of its prompt crashes upstreams";

/// Reason why no upstream is chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Denial {
    /// The gate of the service admits the next request after this time.
    #[display("all upstreams refuse requests")]
    Gate(Duration),
    /// The balancer refuses.
    Refusal(Refusal),
}

impl Attempt {
    /// Returns the end of a wait for its turn that begins now.
    pub(super) fn wait_end(&self, now: Time) -> Time {
        let since = match self.sends {
            0 => self.state.clock().past(self.call.received),
            _ => now,
        };
        let limits = WaitLimits {
            since,
            abandon_after: self.abandon_after,
            deadline: self.policy.deadline,
        };
        limits.end(now)
    }

    /// Returns the properties of this request that the balancer needs.
    pub(super) fn choice_request(&self) -> ChoiceRequest<'_> {
        ChoiceRequest {
            service: &self.service,
            tried: &self.tried,
            may_queue: false,
            bound: None,
        }
    }

    /// Returns a failure that states whether the request may have run and when to retry.
    pub(super) fn failure(&self, kind: ErrorKind, detail: &str) -> Failure {
        match kind {
            ErrorKind::NoUpstream => self.failure_after(kind, detail, MIN_RETRY_NO_UPSTREAM),
            ErrorKind::Overloaded => self.failure_after(kind, detail, MIN_RETRY_FULL),
            ErrorKind::CrashingRequest => Failure::new(kind, detail)
                .with_ran(self.ran())
                .with_retry(PROBATION),
            _ => Failure::new(kind, detail).with_ran(self.ran()),
        }
    }

    /// Returns the failure of a request whose content is refused.
    pub(super) fn crashing(&self) -> Failure {
        self.failure(ErrorKind::CrashingRequest, CRASHING_DETAIL)
    }

    /// Whether the request may have run at an upstream.
    pub(super) fn ran(&self) -> Ran {
        if self.policy.ran > 0 {
            Ran::Unknown
        } else {
            Ran::No
        }
    }

    /// Returns a failure with a retry after `min_delay` or later, if the request has not run.
    pub(super) fn failure_after(
        &self,
        kind: ErrorKind,
        detail: &str,
        min_delay: Duration,
    ) -> Failure {
        let failure = Failure::new(kind, detail).with_ran(self.ran());
        if self.policy.ran > 0 {
            return failure;
        }
        let now = self.state.now();
        let mut state = self.state.lock();
        let typical = match self.kind {
            RouteKind::Streaming => TYPICAL_STREAM_TIME,
            RouteKind::Idempotent | RouteKind::NonIdempotent => TYPICAL_WHOLE_TIME,
        };
        let window = RetryWindow {
            min_delay,
            max_delay: MAX_RETRY_DELAY
                .min(self.remaining().mul_f64(MAX_RETRY_RATIO))
                .max(min_delay),
            rate: state.balancer.spare_rate(&self.service, typical, now),
        };
        let schedule = state
            .retry_schedules
            .entry(self.service.clone())
            .or_default();
        failure.with_retry(schedule.assign_ranked(self.order.rank, &window, now, &mut rand::rng()))
    }
}

impl Inner {
    /// Chooses an upstream, if the gate of the service admits a request now.
    pub(super) fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Time,
    ) -> Result<Choice, Denial> {
        if let Admission::Wait(pause) = self.gate(request.service).admit(now) {
            return Err(Denial::Gate(pause));
        }
        let choice = self.balancer.choose(request, now, &mut rand::rng());
        choice.map_err(Denial::Refusal)
    }
}

/// Returns the maximum wait of a caller with this time left for a configuration, or while a service
/// has no upstream.
pub(super) fn max_absent_wait(remaining: Duration) -> Duration {
    MAX_ABSENT_WAIT.min(remaining.mul_f64(MAX_ABSENT_RATIO))
}
