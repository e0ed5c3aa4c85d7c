//! Replicated declarations, operator orders and currency leases.
//!
//! [`declare`] defines the declarations, their checks and the operator orders
//! that change them. [`machine`] applies committed commands and is equal on
//! every replica. [`currency`] grants the leases that bound how long a process
//! may act on a revision, and [`directory`] keeps the announced upstreams,
//! which are not in the log.

pub mod currency;
pub mod declare;
pub mod directory;
pub mod machine;

pub use declare::{Action, Document, Fault, Order, Scope};
pub use machine::{Command, Machine, Response, Verdict};
