//! Simulation of a deployment in virtual time, for the routing benches.
//!
//! Entries (nine in each bench) place requests on engines that batch, cache
//! prefixes and warm up. Gates, queues and the placer are the production code;
//! engines and the network are models.

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
