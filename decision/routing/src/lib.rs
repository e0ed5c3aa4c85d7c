//! Choice of upstream, admission, credits, queues and retries.
//!
//! The [`Gate`] runs in the agent beside each upstream and alone decides how
//! many requests run there, over all entries. The [`Placer`] runs in each entry
//! and chooses an upstream from load reports that may be stale. A wrong choice
//! costs one refusal; a refused request has not run. An entry also has a
//! [`FairQueue`] per service, a [`RetryBudget`] and the [`Health`] of each
//! upstream. [`advise`] orders the entry addresses for a caller.

mod advice;
mod gate;
mod health;
mod placer;
mod queue;
mod retry;

pub use advice::{Advice, EntryState, advise};
pub use gate::{
    Admission, Completed, CreditId, Demand, EntryDemand, Gate, GatePolicy, GateSettings, Grant,
    HealthSignal, Outcome, Permit, Refusal, ServiceLimit, Warmup,
};
pub use health::{Health, HealthState};
pub use placer::{
    AttemptOutcome, CacheAction, CacheChange, CacheEvent, CacheSnapshot, Candidate, Candidates,
    Decision, Finished, Placement, Placer, PlacerSettings, Reason, Ticket, Wait,
};
pub use queue::{
    Backlog, FairQueue, QueueBounds, QueueRequest, Queued, REQUEST_COST, Shed, ShedReason,
};
pub use retry::{Denial, FailedAttempt, Retry, RetryBudget};
