//! Choice of upstream, admission, credits, queues and retries.
//!
//! Two state machines share the work. The [`Gate`] runs in the agent beside
//! each upstream and is the only authority on how much runs there, counting
//! all entries together. The [`Placer`] runs in each entry and chooses an
//! upstream from reports that arrive late; a wrong choice costs one refusal
//! that is truly "not run". Around them stand the [`FairQueue`] of an entry,
//! its [`RetryBudget`], the [`Health`] of each upstream and the [`advise`]
//! function that tells callers which entry addresses to use.

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
pub use queue::{FairQueue, Queued, Shed, ShedReason};
pub use retry::{Denial, FailedAttempt, Retry, RetryBudget};
