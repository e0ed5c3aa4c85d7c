//! Planning of expert maps: demand, lower bounds, placements and the decision to rebalance.

mod balance;
mod bound;
mod demand;
mod place;
mod planner;
mod popularity;
mod select;
mod source;
mod speed;

pub use bound::Bounds;
pub use demand::{Demand, Forecast};
pub use place::{pack_greedily, place};
pub use planner::{Conditions, Declined, Plan, PlanPolicy, Planner, Verdict};
pub use popularity::{Popularity, TokenCounts};
pub use select::{Limits, improve_map};
pub use source::{Load, Source, cold_loads, sources};
pub use speed::{Speeds, StepSample};
