//! At-most-once claims, recorded outcomes, stream assembly and crash suspicion.

use pimentotide_model::Time;
use serde::{Deserialize, Serialize};

/// Change to the journal of claims, replicated before it takes effect.
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

/// Claims and outcomes of non-idempotent requests, equal on every replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Journal {}

impl Journal {
    /// Applies one committed command; `at` never goes back.
    pub fn apply(&mut self, command: &Command, _at: Time) -> Reply {
        match command {
            Command::Expire => Reply::Done,
        }
    }
}
