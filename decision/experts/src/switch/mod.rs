//! Switch of a group of ranks to another map, such that each step runs under one map.

mod agent;
mod coordinator;
mod leader;
mod message;

pub use agent::RankAgent;
pub use coordinator::{AbandonCause, Coordinator, Ending, Phase, SwitchPolicy};
pub use leader::Leader;
pub use message::{Action, Epoch, Grant, LEADING_RANK, MapOrder, Message, Peer, RankStatus};
