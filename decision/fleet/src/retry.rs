//! What follows when a send has ended without a complete answer.

use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{ErrorKind, Time};

/// Sends of one request that were proved not to have run, after which it is given up.
const MAX_UNRUN: u32 = 3;
/// Least time left for which another send is worth it.
const LEAST_LEFT: Duration = Duration::from_millis(40);

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// No connection came about, so nothing was sent.
    Unsent,
    /// The upstream said that it did not run the request.
    Rejected,
    /// The connection broke, or the bytes made no sense: it may have run.
    Broken,
    /// The upstream answered with a failure of its own.
    Failed,
    /// Nothing came for too long: it may have run.
    Silent,
}

/// What is known of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Most upstreams that may run it.
    pub attempts: u32,
    /// Sends after which it may have run, this one included.
    pub ran: u32,
    /// Sends that were proved not to have run, this one included.
    pub not_run: u32,
    /// Time at which the caller or the route gives up.
    pub deadline: Time,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send it to another upstream.
    Again,
    /// Answer the caller with this kind of error.
    Answer(ErrorKind),
    /// Pass the upstream's own answer on.
    Pass,
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Limit {
    /// The caller or the route gives up first.
    #[display("no time left")]
    Time,
    /// It may have run and must not run twice.
    #[display("may have run")]
    Once,
    /// Its attempts are used up.
    #[display("no attempts left")]
    Attempts,
    /// The deployment's budget of repeats is used up.
    #[display("no budget left")]
    Budget,
}

/// Whether there is time left for which a send is worth it.
pub fn is_in_time(policy: &Policy, now: Time) -> bool {
    now + LEAST_LEFT < policy.deadline
}

/// Says what keeps a request from another send, but for the budget.
fn limit(ended: Ended, policy: &Policy, now: Time) -> Option<Limit> {
    if !is_in_time(policy, now) {
        return Some(Limit::Time);
    }
    match ended {
        Ended::Unsent | Ended::Rejected => (policy.not_run >= MAX_UNRUN).then_some(Limit::Attempts),
        Ended::Broken | Ended::Silent | Ended::Failed if !policy.repeatable => Some(Limit::Once),
        Ended::Broken | Ended::Silent | Ended::Failed => {
            (policy.ran >= policy.attempts).then_some(Limit::Attempts)
        }
    }
}

/// What follows a send, and why not another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Next {
    /// What to do.
    pub step: Step,
    /// Why it is not sent again; none if it is.
    pub limit: Option<Limit>,
}

/// Decides what follows a send.
///
/// `spend` takes the budget of a repeat, if there is any left. It is asked only if
/// nothing else keeps the request from another send, and not if the upstream was
/// never reached, since that is no repeat.
pub fn next_step<S>(ended: Ended, policy: &Policy, now: Time, spend: S) -> Next
where
    S: FnOnce() -> bool,
{
    let affords = || ended == Ended::Unsent || spend();
    let limit = limit(ended, policy, now).or_else(|| (!affords()).then_some(Limit::Budget));
    let step = match limit {
        None => Step::Again,
        Some(_) => give_up(ended, policy),
    };
    Next { step, limit }
}

/// Final answer after a send; says "not run" only if no send may have run.
fn give_up(ended: Ended, policy: &Policy) -> Step {
    match ended {
        Ended::Failed => Step::Pass,
        Ended::Unsent | Ended::Rejected if policy.ran == 0 => Step::Answer(ErrorKind::NoUpstream),
        Ended::Silent => Step::Answer(ErrorKind::DeadlineExceeded),
        Ended::Unsent | Ended::Rejected | Ended::Broken => Step::Answer(ErrorKind::UpstreamFailed),
    }
}
