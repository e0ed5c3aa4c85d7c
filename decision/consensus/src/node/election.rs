//! Pre-votes, elections and changes of role.
//!
//! A replica that has just started rejects candidates for an election timeout, because it may have
//! extended a leader's lease before. After a failure of all replicas this only delays service: if every
//! voter answers a pre-vote, none of them leads, and none has had contact with a leader since its start,
//! then no lease can be valid. Such an election is announced as one, and a voter takes part only while
//! that still holds for itself; one that a leader has contacted meanwhile rejects it. Votes are bound to
//! their term as in any election.

use std::collections::BTreeSet;

use pimentotide_model::Term;

use super::quorum::UsableGrants;
use super::{Durability, ElectionReason, Node, Role};
use crate::{Identity, LogId, Message, Reject};

impl Node {
    pub(super) fn tick_election(&mut self) {
        let me = self.hard.identity.clone();
        if !self.log.config().is_voter(&me) {
            // A leader that has removed this replica no longer contacts it.
            if self.at.now >= self.election_deadline {
                self.leader = None;
            }
            return;
        }
        let alone = self.log.config().voters.len() == 1;
        if alone && !matches!(self.role, Role::Candidate { .. }) {
            self.campaign(ElectionReason::Timeout);
        } else if self.at.now >= self.election_deadline {
            self.start_pre_vote();
        }
    }

    fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        self.leader = None;
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([self.hard.identity.clone()]),
            unled: BTreeSet::new(),
        };
        let last = self.log.last();
        let term = self.hard.term.next();
        for peer in self.other_voters() {
            self.send_in(term, &peer, Message::PreVote { last }, Durability::Hard);
        }
    }

    /// Starts an election in a new term.
    pub(super) fn campaign(&mut self, reason: ElectionReason) {
        self.reset_election_deadline();
        self.leader = None;
        self.hard.term = self.hard.term.next();
        self.hard.vote = Some(self.hard.identity.clone());
        self.save_hard();
        self.role = Role::Candidate {
            lost: self.counted_losses(),
            by_grant: reason == ElectionReason::Grant,
            granted: BTreeSet::new(),
            // This node's vote does not count before it is synced.
            ticket: self.ticket(Durability::Hard),
        };
        let last = self.log.last();
        for peer in self.other_voters() {
            let request = match reason {
                ElectionReason::Restart => Message::RestartVote { last },
                ElectionReason::Grant => Message::GrantVote { last },
                ElectionReason::Timeout | ElectionReason::Transfer => Message::Vote {
                    last,
                    transfer: reason == ElectionReason::Transfer,
                },
            };
            self.send(&peer, request, Durability::Hard);
        }
    }

    pub(super) fn count_own_vote(&mut self) {
        let me = self.hard.identity.clone();
        if let Role::Candidate {
            granted, ticket, ..
        } = &mut self.role
            && *ticket <= self.synced
        {
            granted.insert(me);
            self.count_votes();
        }
    }

    pub(super) fn on_pre_vote(&mut self, from: &Identity, term: Term, last: LogId) {
        let eligible = term > self.hard.term && last >= self.log.last();
        if eligible && self.is_unled() {
            self.send_in(term, from, Message::Unled, Durability::Hard);
            return;
        }
        let granted = eligible && !self.supports_leader();
        let reply_term = if granted { term } else { self.hard.term };
        self.send_in(
            reply_term,
            from,
            Message::PreVoteReply { granted },
            Durability::Hard,
        );
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: Identity, term: Term, granted: bool) {
        if !granted {
            if term > self.hard.term {
                self.become_follower(term, None);
            }
            return;
        }
        let Role::PreCandidate { granted: votes, .. } = &mut self.role else {
            return;
        };
        if term != self.hard.term.next() {
            return;
        }
        votes.insert(from);
        self.count_pre_votes();
    }

    pub(super) fn on_unled(&mut self, from: Identity, term: Term) {
        if let Role::PreCandidate { unled, .. } = &mut self.role
            && term == self.hard.term.next()
        {
            unled.insert(from);
            self.count_pre_votes();
        }
    }

    pub(super) fn count_pre_votes(&mut self) {
        let Role::PreCandidate { granted, unled } = &self.role else {
            return;
        };
        let voters = self.other_voters();
        let mut others = voters.iter();
        let lost = self.counted_losses();
        if self.is_quorum(granted, &lost, UsableGrants::None) && !self.is_unled() {
            self.campaign(ElectionReason::Timeout);
        } else if self.permits_grants() && self.is_quorum(granted, &lost, UsableGrants::All) {
            self.campaign(ElectionReason::Grant);
        } else if others.all(|v| granted.contains(v) || unled.contains(v)) {
            self.campaign(ElectionReason::Restart);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        from: &Identity,
        term: Term,
        last: LogId,
        reason: ElectionReason,
    ) {
        let blocked = match reason {
            ElectionReason::Timeout => self.supports_leader(),
            ElectionReason::Transfer => false,
            ElectionReason::Restart => self.supports_leader() && !self.is_unled(),
            ElectionReason::Grant => !self.permits_grants(),
        };
        if blocked || term < self.hard.term {
            self.send(
                from,
                Message::VoteReply { granted: false },
                Durability::Hard,
            );
            return;
        }
        if term > self.hard.term {
            self.become_follower(term, None);
        }
        let available = self.hard.vote.as_ref().is_none_or(|v| v == from);
        let granted = available && last >= self.log.last();
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(from.clone());
            self.save_hard();
        }
        if granted {
            self.reset_election_deadline();
            if reason != ElectionReason::Grant {
                // The candidate may lead by now, with an entry that others have.
                self.silent_since = self.at.now;
            }
        }
        self.send(from, Message::VoteReply { granted }, Durability::Hard);
    }

    pub(super) fn on_vote_reply(&mut self, from: Identity, granted: bool) {
        if let Role::Candidate { granted: votes, .. } = &mut self.role
            && granted
        {
            votes.insert(from);
            self.count_votes();
        }
    }

    pub(super) fn count_votes(&mut self) {
        let Role::Candidate {
            granted,
            lost,
            by_grant,
            ..
        } = &self.role
        else {
            return;
        };
        let usable = if *by_grant {
            UsableGrants::All
        } else {
            UsableGrants::None
        };
        if self.is_quorum(granted, lost, usable) {
            self.become_leader();
        }
    }

    /// Starts an election at once on request of the leader of this term.
    pub(super) fn on_timeout_now(&mut self, from: &Identity) {
        let from_leader = self.leader.as_ref() == Some(from);
        if from_leader && self.log.config().is_voter(&self.hard.identity) {
            self.campaign(ElectionReason::Transfer);
        }
    }

    /// Becomes a follower in `term`, ending leadership if this node is the leader.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<Identity>) {
        if matches!(self.role, Role::Leader(_)) {
            self.end_leadership(&Reject::NotLeader(leader.clone()));
            self.reset_election_deadline();
        }
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.save_hard();
        }
        self.role = Role::Follower;
        self.leader = leader;
    }

    /// Returns whether another candidate must be rejected.
    ///
    /// A leader holds its lease only because its followers reject other candidates
    /// for the minimum election timeout after each contact.
    fn supports_leader(&self) -> bool {
        match &self.role {
            Role::Leader(_) => self.holds_lease(),
            _ => self.at.now < self.leader_contact + self.options.election_timeout,
        }
    }

    /// Returns whether only its recent start keeps this node from voting.
    pub(super) fn is_unled(&self) -> bool {
        !self.led && !matches!(self.role, Role::Leader(_)) && self.supports_leader()
    }

    /// Returns the voters whose answers count, except this node.
    fn other_voters(&self) -> BTreeSet<Identity> {
        let mut voters: BTreeSet<Identity> = self.log.config().voter_ids().collect();
        if let Some(previous) = self.uncommitted_predecessor() {
            voters.extend(previous.voter_ids());
        }
        voters.remove(&self.hard.identity);
        voters
    }
}
