//! Switch of a group from one map to the next, with one map in each step.

mod agent;
mod coordinator;
mod leader;
mod message;

pub use agent::RankAgent;
pub use coordinator::{AbandonCause, Coordinator, Ending, Phase, SwitchPolicy};
pub use leader::Leader;
pub use message::{Action, Epoch, Grant, LEADING_RANK, MapOrder, Message, Peer, RankStatus};
