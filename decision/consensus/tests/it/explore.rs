//! Exhaustive search over short message interleavings among three replicas.
//!
//! From each state the search delivers or loses any message in flight, advances
//! the clock of any non-leader past its timeout with or without an election, or
//! has a leader propose. Equal states are visited once.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use pimentotide_consensus::{Event, ProposalId};

use crate::trio::{REPLICAS, State, TIMEOUT, identity, start};

/// Limits of the search.
struct Bounds {
    depth: usize,
    timeouts: u8,
    proposals: u8,
    losses: u8,
    states: usize,
}

impl State {
    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for node in &self.nodes {
            format!("{node:?}").hash(&mut hasher);
        }
        let messages: BTreeSet<String> = self.in_flight.iter().map(|m| format!("{m:?}")).collect();
        messages.hash(&mut hasher);
        (self.clocks, self.timeouts, self.proposals, self.losses).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns all states reached by one more event.
    fn successors(&self, bounds: &Bounds) -> Vec<Self> {
        let mut next = Vec::new();
        for at in 0..self.in_flight.len() {
            let mut delivered = self.clone();
            let envelope = delivered.in_flight.remove(at);
            if self.losses < bounds.losses {
                let mut lost = delivered.clone();
                lost.losses += 1;
                next.push(lost);
            }
            let to = (0..REPLICAS).find(|n| identity(*n) == envelope.to).unwrap();
            delivered.deliver_event(to, Event::Receive(envelope));
            next.push(delivered);
        }
        for number in 0..REPLICAS {
            if self.nodes[number].is_leader() {
                if self.proposals < bounds.proposals {
                    let mut proposed = self.clone();
                    proposed.proposals += 1;
                    let command = Arc::from([number as u8, self.proposals]);
                    proposed.deliver_event(number, Event::Propose(ProposalId(1), command));
                    next.push(proposed);
                }
            } else if self.timeouts < bounds.timeouts {
                let mut timed_out = self.clone();
                timed_out.timeouts += 1;
                timed_out.clocks[number] += TIMEOUT;
                next.push(timed_out.clone());
                timed_out.deliver_event(number, Event::Tick);
                next.push(timed_out);
            }
        }
        next
    }
}

/// Visits states breadth first.
///
/// Returns the number of states, the depth reached and the highest number of committed entries.
fn explore(bounds: &Bounds) -> (usize, usize, usize) {
    let mut visited = BTreeSet::new();
    let mut layer = vec![start()];
    let mut max_committed = 0;
    for depth in 0..bounds.depth {
        let mut next = Vec::new();
        for state in &layer {
            for successor in state.successors(bounds) {
                if visited.insert(successor.fingerprint()) {
                    max_committed = max_committed.max(successor.committed.len());
                    next.push(successor);
                }
            }
            if visited.len() >= bounds.states {
                return (visited.len(), depth, max_committed);
            }
        }
        layer = next;
        if layer.is_empty() {
            return (visited.len(), depth, max_committed);
        }
    }
    (visited.len(), bounds.depth, max_committed)
}

#[test]
fn every_interleaving_of_one_election_and_one_proposal_is_safe() {
    let visited = explore(&Bounds {
        depth: 40,
        timeouts: 1,
        proposals: 1,
        losses: 0,
        states: 40_000,
    });
    insta::assert_debug_snapshot!(visited);
}

#[test]
fn every_short_interleaving_of_rival_elections_is_safe() {
    let visited = explore(&Bounds {
        depth: 9,
        timeouts: 2,
        proposals: 1,
        losses: 0,
        states: 100_000,
    });
    insta::assert_debug_snapshot!(visited);
}
