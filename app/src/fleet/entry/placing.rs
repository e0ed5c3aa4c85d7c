//! Acquires a slot at an upstream for one request, or computes when the caller may retry.

use std::time::Duration;

use derive_more::Display;
use pimentotide_fleet::{
    Admission, Choice, ChoiceRequest, LOWEST_RANK, PROBATION, Refusal, RetryWindow, RouteKind,
    is_in_time,
};
use pimentotide_model::{ErrorKind, Failure, Ran, Time};

use super::attempt::Attempt;
use super::state::Inner;

/// Maximum wait for an upstream; a group forms in less.
const MAX_WAIT: Duration = Duration::from_millis(1_200);
/// Maximum share of the caller's remaining time spent on that wait.
const MAX_WAIT_RATIO: f64 = 0.3;
/// Time between attempts to choose an upstream.
pub(super) const CHOOSE_INTERVAL: Duration = Duration::from_millis(50);
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

/// Reason why no upstream can be chosen now.
struct Blocked {
    kind: ErrorKind,
    detail: String,
    /// Minimum delay of a retry by the caller; `None` if it follows from the kind.
    min_delay: Option<Duration>,
    /// Delay before the next attempt; `None` if waiting is useless.
    retry_in: Option<Duration>,
}

impl Attempt {
    /// Chooses an upstream, waiting for one for a share of the remaining time.
    ///
    /// # Errors
    ///
    /// Fails if no upstream becomes available in that time or waiting is useless.
    pub(super) async fn place(&mut self) -> Result<Choice, Failure> {
        match self.order {
            Some(_) => self.place_in_order().await,
            None => self.place_at_once().await,
        }
    }

    /// Chooses an upstream as soon as there is one, regardless of other requests.
    pub(super) async fn place_at_once(&self) -> Result<Choice, Failure> {
        let start = self.state.now();
        let max_wait = self.max_wait();
        loop {
            let blocked = match self.choose() {
                Ok(choice) => return Ok(choice),
                Err(blocked) => blocked,
            };
            let waited = self.state.now().since(start);
            match blocked.retry_in {
                Some(pause) if waited + pause < max_wait => tokio::time::sleep(pause).await,
                Some(_) | None => return Err(self.blocked_failure(&blocked)),
            }
        }
    }

    /// Returns the maximum wait for an upstream regardless of other requests.
    pub(super) fn max_wait(&self) -> Duration {
        max_wait(self.remaining())
    }

    fn choose(&self) -> Result<Choice, Blocked> {
        let now = self.state.now();
        if !is_in_time(&self.policy, now) {
            return Err(Blocked {
                kind: ErrorKind::DeadlineExceeded,
                detail: "no time left to send it".to_owned(),
                min_delay: None,
                retry_in: None,
            });
        }
        if self.state.is_refused(&self.digests) {
            return Err(Blocked {
                kind: ErrorKind::CrashingRequest,
                detail: CRASHING_DETAIL.to_owned(),
                min_delay: None,
                retry_in: None,
            });
        }
        let mut state = self.state.lock();
        let request = self.choice_request();
        let choice = state.choose(&request, now);
        if choice.is_ok() && self.sends == 0 {
            state.budget.earn(&self.service, now);
        }
        choice.map_err(blocked)
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

    fn blocked_failure(&self, blocked: &Blocked) -> Failure {
        match blocked.min_delay {
            Some(min_delay) => self.failure_after(blocked.kind, &blocked.detail, min_delay),
            None => self.failure(blocked.kind, &blocked.detail),
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
        let rank = self.order.as_ref().map_or(LOWEST_RANK, |o| o.rank);
        failure.with_retry(schedule.assign_ranked(rank, &window, now, &mut rand::rng()))
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

/// Returns the maximum wait of a caller with this time left for a configuration or an upstream.
pub(super) fn max_wait(remaining: Duration) -> Duration {
    MAX_WAIT.min(remaining.mul_f64(MAX_WAIT_RATIO))
}

fn blocked(denial: Denial) -> Blocked {
    let refusal = match denial {
        Denial::Gate(pause) => {
            return Blocked {
                kind: ErrorKind::NoUpstream,
                detail: denial.to_string(),
                min_delay: None,
                retry_in: Some(pause),
            };
        }
        Denial::Refusal(refusal) => refusal,
    };
    let (kind, min_delay, retry_in) = match refusal {
        Refusal::Empty => (ErrorKind::NoUpstream, None, Some(CHOOSE_INTERVAL)),
        Refusal::Cold => (ErrorKind::Overloaded, None, Some(CHOOSE_INTERVAL)),
        // Requests running and queued there take longer than a caller would wait here.
        Refusal::Full => (ErrorKind::Overloaded, None, None),
        // Waiting requests would only use up what newer ones could have.
        Refusal::Limited(next) => (ErrorKind::Overloaded, next, None),
        Refusal::Backoff(left) => (ErrorKind::Overloaded, Some(left), Some(left)),
    };
    Blocked {
        kind,
        min_delay,
        detail: refusal.to_string(),
        retry_in,
    }
}
