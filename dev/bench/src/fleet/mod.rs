//! Small model of a deployment under virtual time, for the routing benches.
//!
//! Nine entries place requests on engines that batch, cache prefixes and warm
//! up. The gates, queues and the placer are those of the product; the engines
//! and the network are models.

mod agent;
mod chooser;
mod engine;
mod event;
mod result;
mod setup;
mod workload;
mod world;

pub use chooser::Policy;
pub use engine::EngineModel;
pub use event::{Order, WorldSettings};
pub use result::{Outcome, RequestResult, Summary, median, summarize};
pub use workload::{Load, Request, Workload};
pub use world::World;
