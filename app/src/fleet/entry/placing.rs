//! Acquires a slot at an upstream for one request, or computes when the caller may retry.

use std::time::Duration;

use pimentotide_fleet::{
    Admission, Choice, ChoiceRequest, PROBATION, Refusal, RetryWindow, RouteKind, is_in_time,
};
use pimentotide_model::{ErrorKind, Failure, Ran};

use super::attempt::Attempt;

/// Maximum wait for an upstream; a group forms in less.
const MAX_WAIT: Duration = Duration::from_millis(1_200);
/// Maximum share of the caller's remaining time spent on that wait.
const MAX_WAIT_RATIO: f64 = 0.3;
/// Time between attempts to choose an upstream.
const CHOOSE_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum retry delay if there was no upstream; a group forms in less.
const MIN_RETRY_NO_UPSTREAM: Duration = Duration::from_millis(1_000);
/// Minimum retry delay if all upstreams were full.
const MIN_RETRY_FULL: Duration = Duration::from_millis(800);
/// Maximum retry delay announced to a caller.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(3_500);
/// Share of the caller's remaining time after which a retry would be too late.
const MAX_RETRY_RATIO: f64 = 0.5;
/// Typical duration of a stream at a full engine.
const TYPICAL_STREAM_TIME: Duration = Duration::from_millis(1_500);
/// Typical duration of a whole response at a full service.
const TYPICAL_WHOLE_TIME: Duration = Duration::from_millis(150);

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
    pub(super) async fn place(&self) -> Result<Choice, Failure> {
        let start = self.state.now();
        let max_wait = MAX_WAIT.min(self.remaining().mul_f64(MAX_WAIT_RATIO));
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
                detail: "its content or a part of its prompt crashes upstreams".to_owned(),
                min_delay: None,
                retry_in: None,
            });
        }
        let mut state = self.state.lock();
        if let Admission::Wait(pause) = state.gate(&self.service).admit(now) {
            return Err(Blocked {
                kind: ErrorKind::NoUpstream,
                detail: "all upstreams refuse requests".to_owned(),
                min_delay: None,
                retry_in: Some(pause),
            });
        }
        let request = ChoiceRequest {
            service: &self.service,
            tried: &self.tried,
            may_queue: false,
            bound: None,
        };
        let choice = state.balancer.choose(&request, now, &mut rand::rng());
        if choice.is_ok() && self.sends == 0 {
            state.budget.earn(&self.service, now);
        }
        choice.map_err(blocked)
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

    /// Whether the request may have run at an upstream.
    fn ran(&self) -> Ran {
        if self.policy.ran > 0 {
            Ran::Unknown
        } else {
            Ran::No
        }
    }

    /// Returns a failure with a retry after `min_delay` or later, if the request has not run.
    fn failure_after(&self, kind: ErrorKind, detail: &str, min_delay: Duration) -> Failure {
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
        failure.with_retry(schedule.assign(&window, now, &mut rand::rng()))
    }
}

fn blocked(refusal: Refusal) -> Blocked {
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
