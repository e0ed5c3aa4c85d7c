//! Decides about work whose caller disconnects or whose content is suspected.

/// State of the work to decide about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Work {
    /// Whether the work may run more than once.
    pub idempotent: bool,
    /// Whether the work has been sent to an upstream.
    pub sent: bool,
    /// Number of other callers that wait for the same work.
    pub waiting: u32,
}

/// What happens to the work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CancelPlan {
    /// Remove it from the queue; it has not run.
    Drop,
    /// Cancel it at the engine.
    Stop,
    /// Let it run to completion.
    Finish,
}

/// Decides about work whose caller disconnected or whose deadline passed.
pub fn on_caller_gone(work: Work) -> CancelPlan {
    if work.waiting > 0 {
        return CancelPlan::Finish;
    }
    if !work.sent {
        return CancelPlan::Drop;
    }
    if work.idempotent {
        CancelPlan::Stop
    } else {
        CancelPlan::Finish
    }
}

/// Decides about work in flight whose content is suspected of a crash.
///
/// A copy that was not admitted after the crash is stopped before it crashes
/// another upstream, and needs admission before it runs again.
pub fn on_suspicion(work: Work, admitted: bool) -> CancelPlan {
    if admitted {
        return CancelPlan::Finish;
    }
    on_caller_gone(Work { waiting: 0, ..work })
}
