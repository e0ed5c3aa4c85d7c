//! The machine that the log drives, and the bookkeeping of its answers.

use std::collections::BTreeMap;

use derive_more::Display;
use pimentotide_model::{Term, Time};

use crate::{Entry, Index, Payload, ProposalId};

/// A deterministic machine driven by the log.
///
/// Equal commands in equal order must lead to equal answers and equal states on
/// every replica.
pub trait Machine {
    /// Applies the command at `index` and returns the answer to whoever proposed it.
    ///
    /// `time` was set by the leader and never goes back from one entry to the next.
    fn apply(&mut self, index: Index, time: Time, command: &[u8]) -> Vec<u8>;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state.
    fn restore(&mut self, state: &[u8]) -> Result<(), RestoreError>;
}

/// The bytes are not a state of the machine.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("the snapshot cannot be read: {detail}")]
pub struct RestoreError {
    /// What is wrong with the bytes.
    pub detail: String,
}

impl std::error::Error for RestoreError {}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was applied at this position with this answer.
    Applied(Index, Vec<u8>),
    /// Another entry took its position; it will never be applied.
    Replaced,
    /// A snapshot jumped over its position; whether it was applied is not known.
    Unknown,
}

/// Applies committed entries in order and matches the answers with proposals.
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

    /// The machine.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Last position applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Notes that a proposal stands at `index` in `term`; returns one that it replaced.
    pub fn accept(&mut self, id: ProposalId, index: Index, term: Term) -> Option<ProposalId> {
        self.waiting.insert(index, (term, id)).map(|(_, old)| old)
    }

    /// Applies an entry; returns what became of the proposal that stood there.
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

    /// Replaces the machine's state as of `last`; returns proposals whose outcome is unknown.
    pub fn restore(
        &mut self,
        last: Index,
        state: &[u8],
    ) -> Result<Vec<(ProposalId, Outcome)>, RestoreError> {
        self.machine.restore(state)?;
        self.applied = last;
        let later = self.waiting.split_off(&last.next());
        let jumped = std::mem::replace(&mut self.waiting, later);
        Ok(jumped
            .into_values()
            .map(|(_, id)| (id, Outcome::Unknown))
            .collect())
    }

    /// Gives up on a proposal, whose outcome stays unknown to whoever waits.
    pub fn abandon(&mut self, id: ProposalId) {
        self.waiting.retain(|_, (_, other)| *other != id);
    }
}
