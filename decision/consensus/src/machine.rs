//! The replicated state machine and the matching of its results to proposals.

use std::collections::BTreeMap;

use derive_more::Display;
use pimentotide_model::{Term, Time};

use crate::{Entry, Index, Payload, ProposalId};

/// A deterministic state machine driven by the log.
///
/// The same commands in the same order must lead to the same answers and states
/// on every replica.
pub trait Machine {
    /// Applies the command at `index` and returns the answer for its proposer.
    ///
    /// `time` is set by the leader and never decreases from one entry to the next.
    fn apply(&mut self, index: Index, time: Time, command: &[u8]) -> Vec<u8>;

    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the complete state.
    ///
    /// Fails if the bytes do not decode to a state.
    fn restore(&mut self, state: &[u8]) -> Result<(), RestoreError>;
}

/// A snapshot does not decode to a state of the machine.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("the snapshot cannot be read: {detail}")]
pub struct RestoreError {
    /// What the decoder rejected.
    pub detail: String,
}

impl std::error::Error for RestoreError {}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Applied at this index with this answer.
    Applied(Index, Vec<u8>),
    /// Replaced by another entry; it will never be applied.
    Replaced,
    /// Covered by an installed snapshot; it may or may not have been applied.
    Unknown,
}

/// Applies committed entries in order and matches the answers to proposals.
pub struct Applier<M> {
    machine: M,
    applied: Index,
    waiting: BTreeMap<Index, (Term, ProposalId)>,
}

impl<M> Applier<M>
where
    M: Machine,
{
    /// Builds an applier around a machine in its initial state.
    pub fn new(machine: M) -> Self {
        Self {
            machine,
            applied: Index(0),
            waiting: BTreeMap::new(),
        }
    }

    /// Returns the machine for reads.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Registers a proposal at `index` in `term`; returns the one registered there before.
    pub fn accept(&mut self, id: ProposalId, index: Index, term: Term) -> Option<ProposalId> {
        self.waiting.insert(index, (term, id)).map(|(_, old)| old)
    }

    /// Applies an entry; returns the outcome of the proposal registered at its index.
    pub fn apply(&mut self, entry: &Entry) -> Option<(ProposalId, Outcome)> {
        let index = entry.id.index;
        debug_assert_eq!(index, self.applied.next());
        let answer = match &entry.payload {
            Payload::Command(bytes) => self.machine.apply(index, entry.time, bytes),
            Payload::Noop | Payload::Config(_) => Vec::new(),
        };
        self.applied = index;
        let (term, id) = self.waiting.remove(&index)?;
        if term == entry.id.term {
            Some((id, Outcome::Applied(index, answer)))
        } else {
            Some((id, Outcome::Replaced))
        }
    }

    /// Restores the state as of `last`; returns the covered proposals, whose outcome is unknown.
    pub fn restore(
        &mut self,
        last: Index,
        state: &[u8],
    ) -> Result<Vec<(ProposalId, Outcome)>, RestoreError> {
        self.machine.restore(state)?;
        self.applied = last;
        let later = self.waiting.split_off(&last.next());
        let covered = std::mem::replace(&mut self.waiting, later);
        Ok(covered
            .into_values()
            .map(|(_, id)| (id, Outcome::Unknown))
            .collect())
    }

    /// Removes a proposal whose caller no longer waits; its outcome is not reported.
    pub fn abandon(&mut self, id: ProposalId) {
        self.waiting.retain(|_, (_, other)| *other != id);
    }
}
