//! What becomes of work whose caller goes away or whose content is suspected.

/// What is known of the work whose caller went away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Work {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it has been sent to an upstream.
    pub sent: bool,
    /// Other callers that wait for the same work.
    pub waiting: u32,
}

/// What to do with the work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CancelPlan {
    /// Take it out of the queue: it has not run.
    Drop,
    /// Tell the engine to stop.
    Stop,
    /// Let it run to its end.
    Finish,
}

/// Decides about work whose caller went away or whose deadline passed.
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

/// Decides about work in flight whose content has come under suspicion.
///
/// A copy that was not admitted after the crash is stopped, so that it does
/// not crash another upstream, and asks for admission before it runs again.
pub fn on_suspicion(work: Work, admitted: bool) -> CancelPlan {
    if admitted {
        return CancelPlan::Finish;
    }
    on_caller_gone(Work { waiting: 0, ..work })
}
