//! Finds a place at an upstream for one request, or says when to come back.

use std::time::Duration;

use pimentotide_fleet::{
    Admission, Choice, ChoiceRequest, Refusal, RetryWindow, RouteKind, is_in_time,
};
use pimentotide_model::{ErrorKind, Failure, Ran};

use super::attempt::Attempt;

/// Longest wait for an upstream; a group forms in less.
const MOST_WAIT: Duration = Duration::from_millis(1_200);
/// Part of a caller's time that is spent on that at most.
const WAIT_PART: f64 = 0.3;
/// Pause between looks for an upstream.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// When a caller may come back at the earliest if no upstream was there; a group forms in less.
const RETURN_NONE: Duration = Duration::from_millis(1_000);
/// When a caller may come back at the earliest if all upstreams were full.
const RETURN_FULL: Duration = Duration::from_millis(800);
/// When a caller is told to come back at the latest.
const MOST_RETURN: Duration = Duration::from_millis(3_500);
/// Part of a caller's time after which coming back leaves too little to be served.
const RETURN_PART: f64 = 0.5;
/// Time that a stream takes at an engine that is full.
const USUAL_STREAM: Duration = Duration::from_millis(1_500);
/// Time that a whole answer takes at a service that is full.
const USUAL_WHOLE: Duration = Duration::from_millis(150);

/// Why a request has no place now.
struct Blocked {
    kind: ErrorKind,
    detail: String,
    /// When to look again; none if waiting is of no use.
    again: Option<Duration>,
}

impl Attempt {
    /// Waits for a place at an upstream while there is none, for a part of the time that is left.
    pub(super) async fn place(&self) -> Result<Choice, Failure> {
        let start = self.state.now();
        let most = MOST_WAIT.min(self.left().mul_f64(WAIT_PART));
        loop {
            let blocked = match self.choose() {
                Ok(choice) => return Ok(choice),
                Err(blocked) => blocked,
            };
            let waited = self.state.now().since(start);
            match blocked.again {
                Some(pause) if waited + pause < most => tokio::time::sleep(pause).await,
                Some(_) | None => return Err(self.failure(blocked.kind, &blocked.detail)),
            }
        }
    }

    fn choose(&self) -> Result<Choice, Blocked> {
        let now = self.state.now();
        if !is_in_time(&self.policy, now) {
            return Err(Blocked {
                kind: ErrorKind::DeadlineExceeded,
                detail: "no time left to send it".to_owned(),
                again: None,
            });
        }
        let mut known = self.state.known();
        if let Admission::Wait(pause) = known.gate(&self.service).admit(now) {
            return Err(Blocked {
                kind: ErrorKind::NoUpstream,
                detail: "all upstreams refuse requests".to_owned(),
                again: Some(pause),
            });
        }
        let ask = ChoiceRequest {
            service: &self.service,
            tried: &self.tried,
            may_queue: false,
        };
        let choice = known.balancer.choose(&ask, now, &mut rand::rng());
        if choice.is_ok() && self.sends == 0 {
            known.budget.earn(&self.service, now);
        }
        choice.map_err(blocked)
    }

    /// Failure that tells truly whether the request has run, and when to come back.
    pub(super) fn failure(&self, kind: ErrorKind, detail: &str) -> Failure {
        if self.policy.ran > 0 {
            return Failure::new(kind, detail).with_ran(Ran::Unknown);
        }
        let failure = Failure::new(kind, detail).with_ran(Ran::No);
        let least = match kind {
            ErrorKind::NoUpstream => RETURN_NONE,
            ErrorKind::Overloaded => RETURN_FULL,
            _ => return failure,
        };
        let now = self.state.now();
        let mut known = self.state.known();
        let usual = match self.kind {
            RouteKind::Streaming => USUAL_STREAM,
            RouteKind::Idempotent | RouteKind::NonIdempotent => USUAL_WHOLE,
        };
        let back = RetryWindow {
            min_delay: least,
            max_delay: MOST_RETURN.min(self.left().mul_f64(RETURN_PART)).max(least),
            rate: known.balancer.spare_rate(&self.service, usual, now),
        };
        let row = known.returns.entry(self.service.clone()).or_default();
        failure.with_retry(row.assign(&back, now, &mut rand::rng()))
    }
}

fn blocked(refusal: Refusal) -> Blocked {
    let (kind, again) = match refusal {
        Refusal::Empty => (ErrorKind::NoUpstream, Some(LOOK_PAUSE)),
        Refusal::Cold => (ErrorKind::Overloaded, Some(LOOK_PAUSE)),
        // Those that run and wait there take longer than a caller would be kept here.
        Refusal::Full => (ErrorKind::Overloaded, None),
    };
    Blocked {
        kind,
        detail: refusal.to_string(),
        again,
    }
}
