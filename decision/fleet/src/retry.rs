//! Retry decision after a send that ended without a complete response.

use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{ErrorKind, Time};

/// Maximum number of sends that provably did not run before a request is no longer retried.
const MAX_NOT_RUN: u32 = 3;
/// Minimum time left before the deadline for a request to be sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(40);

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The connection failed before anything was sent.
    Unsent,
    /// The upstream reported that it did not run the request.
    Rejected,
    /// The connection broke or the response was malformed; the request may have run.
    Broken,
    /// The upstream responded with an error of its own.
    Failed,
    /// The upstream timed out; the request may have run.
    Silent,
    /// This entry cancelled the send because its content crashes upstreams; it may have run.
    Withdrawn,
    /// This entry moved the stream away from a slow upstream, which may have run it.
    Relieved,
}

/// Limits and counters of a request that decide on a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Maximum number of upstreams that may run the request.
    pub attempts: u32,
    /// Sends that may have run, including this one.
    pub ran: u32,
    /// Sends that provably did not run, including this one.
    pub not_run: u32,
    /// Time at which the caller or the route times out.
    pub deadline: Time,
    /// Whether the content is refused because it crashes upstreams.
    pub crashing: bool,
}

/// Action after a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request to another upstream.
    Again,
    /// Respond to the caller with this kind of error.
    Answer(ErrorKind),
    /// Forward the upstream's own response.
    Pass,
}

/// Reason why a request is not retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Limit {
    /// The caller or the route would time out first.
    #[display("no time left")]
    Time,
    /// The request may have run and must not run twice.
    #[display("may have run")]
    Once,
    /// The request has used up its attempts.
    #[display("no attempts left")]
    Attempts,
    /// The retry budget is used up.
    #[display("no budget left")]
    Budget,
    /// The content crashes upstreams.
    #[display("crashes upstreams")]
    Crashing,
}

/// Whether enough time is left before the deadline for a send.
pub fn is_in_time(policy: &Policy, now: Time) -> bool {
    now + MIN_TIME_LEFT < policy.deadline
}

/// Returns the time from which a request is no longer sent.
pub fn latest_send(policy: &Policy) -> Time {
    policy.deadline - MIN_TIME_LEFT
}

/// Returns the limit that prevents a retry, apart from the retry budget.
fn retry_limit(ended: Ended, policy: &Policy, now: Time) -> Option<Limit> {
    if policy.crashing {
        return Some(Limit::Crashing);
    }
    if !is_in_time(policy, now) {
        return Some(Limit::Time);
    }
    match ended {
        Ended::Unsent | Ended::Rejected => {
            (policy.not_run >= MAX_NOT_RUN).then_some(Limit::Attempts)
        }
        Ended::Broken | Ended::Silent | Ended::Failed | Ended::Withdrawn | Ended::Relieved
            if !policy.repeatable =>
        {
            Some(Limit::Once)
        }
        Ended::Broken | Ended::Silent | Ended::Failed | Ended::Withdrawn | Ended::Relieved => {
            (policy.ran >= policy.attempts).then_some(Limit::Attempts)
        }
    }
}

/// Decision after a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Next {
    /// Action to take.
    pub step: Step,
    /// Limit that prevented a retry; `None` for [`Step::Again`].
    pub limit: Option<Limit>,
}

/// Decides on the action after a send.
///
/// `spend` takes one retry from the retry budget and returns false if none is left.
/// It is called only if no other limit applies, and not after [`Ended::Unsent`],
/// because a request that never reached an upstream is not a retry.
pub fn next_step<S>(ended: Ended, policy: &Policy, now: Time, spend: S) -> Next
where
    S: FnOnce() -> bool,
{
    let has_budget = || ended == Ended::Unsent || spend();
    let limit =
        retry_limit(ended, policy, now).or_else(|| (!has_budget()).then_some(Limit::Budget));
    let step = match limit {
        None => Step::Again,
        Some(_) => final_step(ended, policy),
    };
    Next { step, limit }
}

/// Decides whether a running or waiting stream may be moved away from a slow or silent upstream.
///
/// `policy` does not count the send yet. `has_budget` tells whether a retry is left and may take it
/// from the retry budget; it is called only if no other limit applies, and before the send is
/// abandoned, so that a stream that cannot be moved stays where it is.
///
/// # Errors
///
/// Fails with the limit that prevents the move.
pub fn may_relieve<B>(policy: &Policy, now: Time, has_budget: B) -> Result<(), Limit>
where
    B: FnOnce() -> bool,
{
    let moved = Policy {
        ran: policy.ran + 1,
        ..*policy
    };
    match retry_limit(Ended::Relieved, &moved, now) {
        Some(limit) => Err(limit),
        None if has_budget() => Ok(()),
        None => Err(Limit::Budget),
    }
}

/// Final response after a send; reports "not run" only if no send may have run.
fn final_step(ended: Ended, policy: &Policy) -> Step {
    match ended {
        Ended::Failed => Step::Pass,
        _ if policy.crashing => Step::Answer(ErrorKind::CrashingRequest),
        Ended::Unsent | Ended::Rejected if policy.ran == 0 => Step::Answer(ErrorKind::NoUpstream),
        Ended::Silent => Step::Answer(ErrorKind::DeadlineExceeded),
        Ended::Unsent | Ended::Rejected | Ended::Broken | Ended::Withdrawn | Ended::Relieved => {
            Step::Answer(ErrorKind::UpstreamFailed)
        }
    }
}
