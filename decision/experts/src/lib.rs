//! Expert maps: planning, switching and rebalancing cost.

use pimentotide_model::Time;
use serde::{Deserialize, Serialize};

/// Change to the decided maps, replicated before it takes effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Drops what is past its window.
    Expire,
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Nothing to tell.
    Done,
}

/// Decided maps and fencing numbers of all groups, equal on every replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Decisions {}

impl Decisions {
    /// Applies one committed command; `at` never goes back.
    pub fn apply(&mut self, command: &Command, _at: Time) -> Reply {
        match command {
            Command::Expire => Reply::Done,
        }
    }
}
