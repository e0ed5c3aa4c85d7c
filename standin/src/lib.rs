//! Stand-in engines and plain services for local use and tests.
//!
//! An [`Engine`] implements the upstream protocol over real sockets: it sends
//! announcements, generates tokens that depend only on the prompt, batches,
//! caches prefixes, resumes a stream at a position, starts cold and fails on
//! demand. Its ledger counts the actual runs, independently of the system under
//! test.

mod announce;
mod answer;
mod control;
mod core;
mod engine;
mod ledger;
mod options;
mod plain;
mod ranks;
mod serve;
mod weights;

pub use control::Control;
pub use engine::{Engine, EngineError};
pub use ledger::{Ledger, RunRecord};
pub use options::EngineOptions;
pub use ranks::{RankGroup, RankGroupError, RankOptions, StepRecord};
pub use weights::{WeightsOptions, WeightsStore, WeightsStoreError};
