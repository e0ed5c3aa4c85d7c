//! Replicated declarations, operator orders and currency leases.
//!
//! [`declare`] holds what operators may write and order, and its checks.
//! [`machine`] applies committed commands and is equal on every replica.
//! [`currency`] decides who may act on which revision and for how long, and
//! [`directory`] keeps the announced upstreams, which are not in the log.

pub mod currency;
pub mod declare;
pub mod directory;
pub mod machine;

pub use declare::{Action, Document, Fault, Order, Scope};
pub use machine::{Command, Machine, Response, Verdict};
