//! Routing over a fleet of upstreams that announce themselves and have no agent.
//!
//! [`FleetState`] is the replicated state machine that all entries follow: the
//! configuration, the closed availability zones and the announced upstreams.
//! Each entry derives its routes from it ([`RouteTable`]) and decides locally on
//! load balancing ([`Balancer`]) and retries ([`next_step`], [`RetryBudget`]).
//! Requests to services with routes of different priorities wait in an [`AdmissionQueue`].
//! Requests and parts of prompts that crash upstreams are suspected and refused by all entries
//! ([`CrashEvidence`], [`SuspectView`]).
//! Replicas send changes of the configuration as [`Delta`]s from their [`DocumentHistory`].
//! [`repair`] maintains the membership of the log. Performs no input or output.

mod admission;
mod balancer;
mod budget;
mod change;
mod condition;
mod declaration;
mod delta;
mod entries;
mod evidence;
mod gate;
mod history;
mod limit;
mod listing;
mod members;
mod priority;
mod prompts;
mod rate;
mod retry;
mod retry_after;
mod route;
mod slow;
mod state;
mod stop;
mod suspects;
mod upstream;
mod view;

pub use admission::{
    AdmissionQueue, AdmissionTerms, BEGIN_RATIO, MAX_QUEUED, MAX_QUEUED_BYTES, OLDEST_IN,
    RankBacklog, WaitLimits, request_work,
};
pub use balancer::{
    Balancer, BalancerOptions, Choice, ChoiceRequest, EntryPosition, PaceChange, QueueBound,
    Refusal, Relief, Ticket, UpstreamCounts,
};
pub use budget::{BudgetOptions, RetryBudget};
pub use change::{UpstreamChange, UpstreamEvent};
pub use condition::Condition;
pub use declaration::{
    ColdLimit, Declaration, Engine, Fault, Limits, Route, RouteKind, Service, Workspace,
};
pub use delta::{Delta, DeltaError, DeltaPart, IndexedText, MAX_DELTA_RESULT_BYTES};
pub use entries::{EntryCount, EntryRecord};
pub use evidence::{CrashEvidence, CrashReport, RequestDigests, is_sound_run};
pub use gate::{Admission, ServiceGate};
pub use history::{DocumentHistory, MAX_DOCUMENTS, MAX_HISTORY_BYTES};
pub use limit::{LimitReport, LimitView, NamedLimit, RequestRate};
pub use listing::list_entries;
pub use members::{MemberView, Repair, RepairOptions, is_member, repair};
pub use priority::{LOWEST_RANK, PriorityRanks};
pub use prompts::Prompt;
pub use rate::RateLimit;
pub use retry::{
    Ended, Limit, Next, Policy, Step, is_in_time, latest_send, may_relieve, next_step,
};
pub use retry_after::{RetryAfterSchedule, RetryWindow};
pub use route::{Match, Mismatch, RouteTable};
pub use slow::{MIN_SLOW_PERCENT, SlowEngine, SlowList, SlowReporter};
pub use state::{Announcement, Command, Declared, FleetState, Record, Reply, Stage};
pub use stop::{StopPhase, accepts_requests, stop_phase};
pub use suspects::{PROBATION, SuspectView};
pub use upstream::{Load, Outcome, Signals};
pub use view::{UpstreamDelta, UpstreamHistory};
