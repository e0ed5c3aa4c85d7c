//! All short interleavings of messages among three replicas.
//!
//! From each state the search takes every message under way, in any order, or
//! loses it, lets any replica time out and stand or merely forget the last
//! leader, or has a leader propose; equal states are visited once.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use pimentotide_consensus::{Event, ProposalId};

use crate::trio::{REPLICAS, State, TIMEOUT, identity, start};

/// Bounds of the search.
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
        let messages: BTreeSet<String> = self.under_way.iter().map(|m| format!("{m:?}")).collect();
        messages.hash(&mut hasher);
        (self.clocks, self.timeouts, self.proposals, self.losses).hash(&mut hasher);
        hasher.finish()
    }

    /// All states that one more event leads to.
    fn successors(&self, bounds: &Bounds) -> Vec<Self> {
        let mut next = Vec::new();
        for at in 0..self.under_way.len() {
            let mut taken = self.clone();
            let envelope = taken.under_way.remove(at);
            if self.losses < bounds.losses {
                let mut lost = taken.clone();
                lost.losses += 1;
                next.push(lost);
            }
            let to = (0..REPLICAS).find(|n| identity(*n) == envelope.to).unwrap();
            taken.tell(to, Event::Receive(envelope));
            next.push(taken);
        }
        for number in 0..REPLICAS {
            if self.nodes[number].is_leader() {
                if self.proposals < bounds.proposals {
                    let mut proposed = self.clone();
                    proposed.proposals += 1;
                    let command = Arc::from([number as u8, self.proposals]);
                    proposed.tell(number, Event::Propose(ProposalId(1), command));
                    next.push(proposed);
                }
            } else if self.timeouts < bounds.timeouts {
                let mut late = self.clone();
                late.timeouts += 1;
                late.clocks[number] += TIMEOUT;
                next.push(late.clone());
                late.tell(number, Event::Tick);
                next.push(late);
            }
        }
        next
    }
}

/// Visits states breadth first; returns how many, and at which depth the search ended.
fn explore(bounds: &Bounds) -> (usize, usize, usize) {
    let mut seen = BTreeSet::new();
    let mut layer = vec![start()];
    let mut most = 0;
    for depth in 0..bounds.depth {
        let mut next = Vec::new();
        for state in &layer {
            for successor in state.successors(bounds) {
                if seen.insert(successor.fingerprint()) {
                    most = most.max(successor.committed.len());
                    next.push(successor);
                }
            }
            if seen.len() >= bounds.states {
                return (seen.len(), depth, most);
            }
        }
        layer = next;
        if layer.is_empty() {
            return (seen.len(), depth, most);
        }
    }
    (seen.len(), bounds.depth, most)
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
