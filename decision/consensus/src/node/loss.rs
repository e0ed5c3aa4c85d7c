//! Proofs that disks of voters are lost.
//!
//! An instance answers a message to its former identity under the one that it has now. The former one
//! never votes or acknowledges again.

use std::collections::BTreeSet;
use std::time::Duration;

use pimentotide_model::Time;

use super::{Durability, Node, Role};
use crate::{Action, ClusterId, Envelope, Identity, Message};

/// Identities whose disks are proved lost.
pub(super) type Losses = BTreeSet<Identity>;

impl Node {
    /// Refuses a message addressed to another disk of this replica.
    pub(super) fn refuse(&mut self, cluster: ClusterId, from: &Identity, intended: &Identity) {
        if intended.name != self.hard.identity.name {
            return;
        }
        self.actions.push(Action::Refused {
            from: from.clone(),
            intended: intended.clone(),
        });
        let refused = Message::Refused {
            intended: intended.clone(),
        };
        let replaced = Message::Replaced {
            intended: intended.clone(),
            up: self.at.now.since(self.started),
        };
        let after = self.ticket(Durability::Hard);
        for body in [refused, replaced] {
            let envelope = Envelope {
                cluster,
                from: self.hard.identity.clone(),
                to: from.clone(),
                term: self.hard.term,
                body,
            };
            self.actions.push(Action::Send { after, envelope });
        }
    }

    /// Handles the refusal of a message; returns whether `body` is one.
    pub(super) fn receive_refusal(&mut self, from: &Identity, body: &Message) -> bool {
        let (intended, up) = match body {
            Message::Refused { intended } => (intended, Duration::ZERO),
            Message::Replaced { intended, up } => (intended, *up),
            _ => return false,
        };
        if from.name == intended.name && from.disk != intended.disk {
            self.on_refused(intended, up);
        }
        true
    }

    /// Records that the disk of a voter was lost this long ago or earlier.
    pub(super) fn record_loss(&mut self, who: &Identity, ago: Duration) {
        if self.log.names_voter(who) {
            let at = Time::from_micros(self.at.wall.since(Time::ZERO + ago).as_micros() as u64);
            let latest = self.lost.entry(who.clone()).or_insert(at);
            *latest = at.min(*latest);
        }
    }

    /// Returns the losses that count in the current term.
    pub(super) fn losses(&self) -> Losses {
        match &self.role {
            Role::Candidate { lost, .. } => lost.clone(),
            Role::Leader(state) => state.lost.clone(),
            Role::Follower | Role::PreCandidate { .. } | Role::Failed => self.counted_losses(),
        }
    }

    /// Returns the losses that count in an election that begins now.
    ///
    /// With arbiters, only those from before a part of the voters can have acted by a grant since the last
    /// entry of this replica.
    pub(super) fn counted_losses(&self) -> Losses {
        // A leader appends for up to an election timeout after the last answer of a quorum, and voters notice
        // its silence as much later.
        let margin = self.options.election_timeout * 2;
        let unacted = self.options.grant_silence.saturating_sub(margin);
        let limit = if self.quorum_configs().any(|c| c.arbiters.is_some()) {
            self.log.last_time() + unacted
        } else {
            Time::MAX
        };
        let counted = self.lost.iter().filter(|(_, at)| **at <= limit);
        counted.map(|(who, _)| who.clone()).collect()
    }
}
