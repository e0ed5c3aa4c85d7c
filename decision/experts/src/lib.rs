//! Expert maps: planning, switching and the cost of rebalancing.
//!
//! The planner decides whether a group of ranks should replace its expert map,
//! and by which one. The switch moves all ranks from one map to the next such
//! that each step runs under a single map. Decisions that must be durable are
//! commands in the replicated log. This crate performs no input or output.

mod budget;
mod command;
mod decisions;
mod even;
mod manager;
mod map;
mod order;
mod plan;
mod rollout;
mod status;
mod switch;

pub use budget::{Budget, LEASE, LEASE_MARGIN, Lease, LeaseRequest, PlanCost, Purpose};
pub use command::{Command, Refusal, Reply};
pub use decisions::{DecidedMap, Decisions, GroupState, StagedMap};
pub use even::{
    ChangeTimes, CodedCounts, DIRECT_ORDER_TIMEOUTS, DIRECT_WINDOW, Ending as SwitchEnding,
    EngineOrder, EngineReport, EvenLayout, EvenPlan, ExpertDemand, FencedOrder, HeldExperts,
    LOCAL_ORDER_TIMEOUTS, MAX_RESCUE_RANK, Membership, OrderAnswer, PickedExperts, Placement,
    PlacementChange, PlacementId, ProbeOutcome, RELAYED_WINDOW, Ranks, RelayTree, StuckAction,
    StuckWatch, Switch, Urgency, ask_again, imbalance_even, list_interval, plan_even, plan_urgent,
};
pub use manager::{Manager, ManagerLimits};
pub use map::{ExpertMap, Layout, MAX_MAP_SLOTS, MapError, MapId, RankShape, Slot};
pub use order::{AcceptedOrders, Change, Inventory, Order, OrderLog, Progress, Receipt, Role};
pub use plan::{
    Bounds, Conditions, Declined, Demand, Forecast, Limits, Load, Plan, PlanPolicy, Planner,
    Popularity, Source, Speeds, StepSample, TokenCounts, Verdict, cold_loads, improve_map,
    pack_greedily, place, sources,
};
pub use rollout::{Member, RolloutStep, Wait, next_step};
pub use status::{GroupStatus, ManagerNotes, PlanNote, Straggler};
pub use switch::{
    AbandonCause, Action, Coordinator, Ending, Epoch, Grant, LEADING_RANK, Leader, MapOrder,
    Message, Peer, Phase, RankAgent, RankStatus, SwitchPolicy,
};
