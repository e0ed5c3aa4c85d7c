//! A leader's own state, its proposals and its timers.

use std::collections::BTreeMap;
use std::sync::Arc;

use pimentotide_model::{InstanceName, Time};

use super::{Node, Role};
use crate::progress::Progress;
use crate::{Action, Entry, Identity, Index, LogId, Payload, ProposalId, Reject};

/// What a leader keeps for its term.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    /// When the term was won.
    pub(super) elected: Time,
    /// Lowest time for entries of the term.
    pub(super) stamp: Time,
    /// Position of the first entry of the term.
    pub(super) first: Index,
    /// The other members.
    pub(super) peers: BTreeMap<InstanceName, Progress>,
    /// Reads that wait for proof of leadership.
    pub(super) reads: Vec<PendingRead>,
    /// When heartbeats leave next.
    pub(super) beat: Time,
    /// Handover under way.
    pub(super) transfer: Option<Transfer>,
}

/// A read that waits for proof of leadership.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    pub(super) id: ProposalId,
    pub(super) asked: Time,
}

/// A handover of leadership.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub(super) target: Identity,
    pub(super) until: Time,
    /// Whether the target was told to stand; the lease is void from then on.
    pub(super) told: bool,
}

impl Node {
    /// Takes up leadership of the current term.
    pub(super) fn lead(&mut self) {
        let now = self.at.now;
        let next = self.log.last().index.next();
        let others = self.log.config().others(&self.hard.identity);
        let peers = others
            .into_iter()
            .map(|who| (who.name.clone(), Progress::new(who, next)))
            .collect();
        self.role = Role::Leader(Box::new(Leadership {
            elected: now,
            stamp: self.log.stamp().max(self.at.wall),
            first: next,
            peers,
            reads: Vec::new(),
            beat: now,
            transfer: None,
        }));
        self.leader = Some(self.hard.identity.clone());
        self.assembly = None;
        self.append_own(Payload::Noop);
        self.tick_leader();
    }

    /// Ends leadership without a new term being known.
    pub(super) fn end_leadership(&mut self, reason: &Reject) {
        let Role::Leader(state) = std::mem::replace(&mut self.role, Role::Follower) else {
            return;
        };
        for read in state.reads {
            self.reject(read.id, reason.clone());
        }
    }

    pub(super) fn step_down(&mut self) {
        let term = self.hard.term;
        self.follow(term, None);
    }

    pub(super) fn tick_leader(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let overdue = state
            .transfer
            .as_ref()
            .is_some_and(|t| self.at.now >= t.until);
        let deaf = self.at.now >= self.quorum_heard() + self.options.election_timeout;
        if overdue || deaf {
            self.step_down();
            return;
        }
        self.beat();
        self.resend();
        self.serve_reads();
    }

    pub(super) fn propose(&mut self, id: ProposalId, command: Arc<[u8]>) {
        if let Some(reason) = self.refuses_proposals() {
            self.reject(id, reason);
            return;
        }
        let index = self.append_own(Payload::Command(command));
        let term = self.hard.term;
        self.actions.push(Action::Accepted(id, index, term));
        self.replicate();
    }

    /// Why proposals are not taken now.
    pub(super) fn refuses_proposals(&self) -> Option<Reject> {
        let Role::Leader(state) = &self.role else {
            return Some(Reject::NotLeader(self.leader.clone()));
        };
        let settled = self.at.now >= state.elected + self.options.election_timeout;
        let waiting = self.log.last().index.0 - self.commit.0;
        if state.transfer.is_some() {
            Some(Reject::Transferring)
        } else if settled && !self.holds_lease() {
            Some(Reject::NoQuorum)
        } else if waiting >= self.options.max_uncommitted {
            Some(Reject::Overloaded)
        } else {
            None
        }
    }

    /// Appends an entry of the current term and returns its position.
    pub(super) fn append_own(&mut self, payload: Payload) -> Index {
        let index = self.log.last().index.next();
        let time = self.stamp();
        let id = LogId {
            term: self.hard.term,
            index,
        };
        self.save_entry(Entry { id, time, payload });
        index
    }

    /// Time for the next entry: rises with the leader's own clock, never steps back.
    fn stamp(&self) -> Time {
        let last = self.log.stamp();
        match &self.role {
            Role::Leader(state) => last.max(state.stamp + self.at.now.since(state.elected)),
            _ => last,
        }
    }

    /// Commits what a quorum has synced, if the newest of it is of the current term.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let config = self.log.config();
        let mut matched = Vec::with_capacity(config.voters.len());
        for (name, member) in &config.voters {
            if *name == self.hard.identity.name {
                matched.push(self.durable);
            } else if let Some(peer) = state.peers.get(name) {
                let known = peer.identity.disk == member.disk;
                matched.push(if known { peer.matched } else { Index(0) });
            }
        }
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(config.quorum() - 1).copied() else {
            return;
        };
        if self.log.term_at(index) != Some(self.hard.term) {
            return;
        }
        self.commit_to(index);
        self.after_commit();
    }

    fn after_commit(&mut self) {
        let settled = self.log.config_index() <= self.commit;
        let left = !self.log.config().is_voter(&self.hard.identity);
        if settled && left {
            // The others learn of the commit before the removed leader falls silent.
            self.send_heartbeats();
            self.hand_over_at_once();
            self.step_down();
            return;
        }
        self.serve_reads();
        self.promote();
    }

    /// Whether an entry of the current term is committed.
    pub(super) fn is_established(&self) -> bool {
        match &self.role {
            Role::Leader(state) => self.commit >= state.first,
            _ => false,
        }
    }
}
