//! Routing over a fleet of upstreams that announce themselves.
//!
//! Upstreams without an agent beside them are reached straight from the
//! entries. The state that all entries share is a machine in the replicated
//! log: the operator's configuration, the availability zones out of service and
//! the upstreams announced so far ([`FleetState`]). From it each entry derives
//! its routes ([`RouteTable`]) and decides by itself where a request runs
//! ([`Balancer`]) and whether it may be sent again ([`next_step`],
//! [`RetryBudget`]). [`repair`] keeps the members of the log complete.
//!
//! Nothing here performs input or output.

mod balancer;
mod budget;
mod change;
mod declaration;
mod entries;
mod gate;
mod members;
mod rate;
mod retry;
mod retry_after;
mod route;
mod state;
mod stop;
mod upstream;

pub use balancer::{
    Balancer, BalancerOptions, Choice, ChoiceRequest, EntryPosition, Refusal, Ticket,
    UpstreamCounts,
};
pub use budget::{BudgetOptions, RetryBudget};
pub use change::{UpstreamChange, UpstreamEvent};
pub use declaration::{
    ColdLimit, Declaration, Engine, Fault, Limits, Route, RouteKind, Service, Workspace,
};
pub use entries::{EntryCount, EntryRecord};
pub use gate::{Admission, ServiceGate};
pub use members::{MemberView, Repair, RepairOptions, repair};
pub use rate::RateLimit;
pub use retry::{Ended, Limit, Next, Policy, Step, is_in_time, next_step};
pub use retry_after::{RetryAfterSchedule, RetryWindow};
pub use route::{Match, Mismatch, RouteTable};
pub use state::{Announcement, Command, Declared, FleetState, Record, Reply, Stage};
pub use stop::{StopPhase, stop_phase};
pub use upstream::{Load, Outcome};
