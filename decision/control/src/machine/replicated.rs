//! The replicated state as the state machine of the consensus log.

use pimentotide_consensus::{Index, Machine as Replicated, RestoreError};
use pimentotide_model::Time;

use super::state::Machine;

impl Replicated for Machine {
    fn apply(&mut self, _index: Index, time: Time, command: &[u8]) -> Vec<u8> {
        self.apply_bytes(time, command)
    }

    fn snapshot(&self) -> Vec<u8> {
        // Continuing without a snapshot would compact the log and lose the state.
        Machine::snapshot(self).expect("every type of the state can be encoded")
    }

    fn restore(&mut self, state: &[u8]) -> Result<(), RestoreError> {
        Machine::restore(self, state).map_err(|e| RestoreError {
            detail: e.to_string(),
        })
    }
}
