//! State of a leader, its proposals, its timers and the commit index.

use std::collections::BTreeMap;
use std::sync::Arc;

use pimentotide_model::{InstanceName, Time};

use super::loss::Losses;
use super::quorum::UsableGrants;
use super::{Node, Role};
use crate::progress::Progress;
use crate::{Action, Entry, Identity, Index, LogId, Payload, ProposalId, Reject};

/// State of a leader, kept for one term.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    /// Time of the election.
    pub(super) elected: Time,
    /// Minimum time of entries of the term.
    pub(super) min_time: Time,
    /// Index of the first entry of the term.
    pub(super) first: Index,
    /// Progress of the other members.
    pub(super) peers: BTreeMap<InstanceName, Progress>,
    /// Reads that wait for a lease or for a newer quorum acknowledgement.
    pub(super) reads: Vec<PendingRead>,
    /// Time of the next heartbeats.
    pub(super) next_heartbeat: Time,
    /// Leadership transfer in progress.
    pub(super) transfer: Option<Transfer>,
    /// Voters that were proved lost before the election.
    pub(super) lost: Losses,
    /// Whether it was elected by a grant, after each voter had checked the silence of the others.
    pub(super) by_grant: bool,
}

/// A read that waits for a lease or for a newer quorum acknowledgement.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    pub(super) id: ProposalId,
    pub(super) requested_at: Time,
}

/// A leadership transfer.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub(super) target: Identity,
    pub(super) deadline: Time,
    /// Whether the target was asked to start an election, which voids the lease.
    pub(super) requested: bool,
}

impl Node {
    /// Becomes the leader of the current term.
    pub(super) fn become_leader(&mut self) {
        let now = self.at.now;
        let next = self.log.last().index.next();
        let peers = self.receivers();
        let peers = peers
            .into_iter()
            .map(|who| (who.name.clone(), Progress::new(who, next, now)))
            .collect();
        let lost = self.losses();
        let by_grant = matches!(self.role, Role::Candidate { by_grant: true, .. });
        self.role = Role::Leader(Box::new(Leadership {
            elected: now,
            min_time: self.log.last_time().max(self.at.wall),
            first: next,
            peers,
            reads: Vec::new(),
            next_heartbeat: now,
            transfer: None,
            lost,
            by_grant,
        }));
        self.leader = Some(self.hard.identity.clone());
        self.incoming = None;
        self.append_entry(Payload::Noop);
        self.tick_leader();
    }

    /// Ends leadership and rejects pending reads; the term stays.
    pub(super) fn end_leadership(&mut self, reason: &Reject) {
        let Role::Leader(state) = std::mem::replace(&mut self.role, Role::Follower) else {
            return;
        };
        self.silent_since = self.at.now;
        for read in state.reads {
            self.reject(read.id, reason.clone());
        }
    }

    pub(super) fn step_down(&mut self) {
        let term = self.hard.term;
        self.become_follower(term, None);
    }

    pub(super) fn tick_leader(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let overdue = state
            .transfer
            .as_ref()
            .is_some_and(|t| self.at.now >= t.deadline);
        let isolated = self.at.now >= self.quorum_contact() + self.options.election_timeout;
        if overdue || isolated {
            self.step_down();
            return;
        }
        self.tick_arbitrated();
        self.renew_arbiters();
        self.heartbeat_if_due();
        self.resend();
        self.serve_reads();
    }

    pub(super) fn propose(&mut self, id: ProposalId, command: Arc<[u8]>) {
        if let Some(reason) = self.proposal_rejection() {
            self.reject(id, reason);
            return;
        }
        let index = self.append_entry(Payload::Command(command));
        let term = self.hard.term;
        self.actions.push(Action::Accepted(id, index, term));
        self.replicate();
    }

    /// Reason for which proposals are rejected now, if any.
    pub(super) fn proposal_rejection(&self) -> Option<Reject> {
        let Role::Leader(state) = &self.role else {
            return Some(Reject::NotLeader(self.leader.clone()));
        };
        let grace_over = self.at.now >= state.elected + self.options.election_timeout;
        let uncommitted = self.log.last().index.0 - self.commit.0;
        if state.transfer.is_some() {
            Some(Reject::Transferring)
        } else if grace_over && !self.holds_lease() {
            Some(Reject::NoQuorum)
        } else if uncommitted >= self.options.max_uncommitted {
            Some(Reject::Overloaded)
        } else {
            None
        }
    }

    /// Appends an entry of the current term and returns its index.
    pub(super) fn append_entry(&mut self, payload: Payload) -> Index {
        let index = self.log.last().index.next();
        let time = self.next_time();
        let id = LogId {
            term: self.hard.term,
            index,
        };
        self.save_entry(Entry { id, time, payload });
        index
    }

    /// Time of the next entry: advances with the leader's monotonic clock and never decreases.
    fn next_time(&self) -> Time {
        let last = self.log.last_time();
        match &self.role {
            Role::Leader(state) => last.max(state.min_time + self.at.now.since(state.elected)),
            _ => last,
        }
    }

    /// Commits entries that a quorum has synced, if the last of them is of the current term.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let me = &self.hard.identity;
        let matched = |who: &Identity| match state.peers.get(&who.name) {
            _ if who.name == me.name => self.durable,
            Some(peer) if peer.identity == *who => peer.matched,
            Some(_) | None => Index(0),
        };
        let Some(index) = self.quorum_value(&state.lost, UsableGrants::Acting, matched) else {
            return;
        };
        if self.log.term_at(index) != Some(self.hard.term) {
            return;
        }
        self.commit_to(index);
        self.after_commit();
    }

    fn after_commit(&mut self) {
        let committed = self.log.config_index() <= self.commit;
        if committed {
            self.update_peers();
        }
        let removed = !self.log.config().is_voter(&self.hard.identity);
        if committed && removed {
            // The others receive the commit index before the removed leader stops sending.
            self.send_heartbeats();
            self.transfer_now();
            self.step_down();
            return;
        }
        self.serve_reads();
        self.remove_absent();
        self.renew_arbiters();
        self.promote();
        self.mark_committed();
    }

    /// Returns whether an entry of the current term is committed.
    pub(super) fn has_committed_in_term(&self) -> bool {
        match &self.role {
            Role::Leader(state) => self.commit >= state.first,
            _ => false,
        }
    }
}
