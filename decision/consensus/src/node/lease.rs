//! Leader lease, reads and handover of leadership.

use pimentotide_model::Time;

use super::leader::{PendingRead, Transfer};
use super::{Need, Node, Role};
use crate::{Action, Identity, Message, ProposalId, Reject};

impl Node {
    /// Newest time such that a quorum answered messages sent then or later.
    fn quorum_acked(&self, now: Time, missing: Option<Time>) -> Option<Time> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let config = self.log.config();
        let mut acked = Vec::with_capacity(config.voters.len());
        for (name, member) in &config.voters {
            if *name == self.hard.identity.name {
                acked.push(Some(now));
            } else {
                let peer = state.peers.get(name);
                let known = peer.filter(|p| p.identity.disk == member.disk);
                acked.push(known.and_then(|p| p.acked).or(missing));
            }
        }
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked.get(config.quorum() - 1).copied().flatten()
    }

    /// When a quorum was heard last, counting from the election.
    pub(super) fn quorum_heard(&self) -> Time {
        let Role::Leader(state) = &self.role else {
            return Time::ZERO;
        };
        self.quorum_acked(self.at.now, Some(state.elected))
            .unwrap_or(state.elected)
    }

    /// Whether no other replica can have been elected yet.
    pub(super) fn holds_lease(&self) -> bool {
        self.holds_lease_at(self.at.now)
    }

    /// Whether no other replica can have been elected by `now`.
    pub(super) fn holds_lease_at(&self, now: Time) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let told = state.transfer.as_ref().is_some_and(|t| t.told);
        let lease = self.options.lease();
        let valid = self
            .quorum_acked(now, None)
            .is_some_and(|acked| now < acked + lease);
        valid && !told
    }

    pub(super) fn read(&mut self, id: ProposalId) {
        let asked = self.at.now;
        let leader = self.leader.clone();
        match &mut self.role {
            Role::Leader(state) if state.transfer.is_some() => {
                self.reject(id, Reject::Transferring);
            }
            Role::Leader(state) => {
                state.reads.push(PendingRead { id, asked });
                self.serve_reads();
            }
            _ => self.reject(id, Reject::NotLeader(leader)),
        }
    }

    /// Releases reads under the lease, or after a quorum answered a later message.
    pub(super) fn serve_reads(&mut self) {
        if !self.is_established() {
            return;
        }
        let leased = self.holds_lease();
        let acked = self.quorum_acked(self.at.now, None);
        let commit = self.commit;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let (ready, waiting) = std::mem::take(&mut state.reads)
            .into_iter()
            .partition::<Vec<_>, _>(|r| leased || acked.is_some_and(|a| a > r.asked));
        state.reads = waiting;
        for read in ready {
            self.actions.push(Action::ReadReady(read.id, commit));
        }
    }

    /// Starts to hand over to the voter that has most of the log.
    pub(super) fn transfer(&mut self) {
        let until = self.at.now + self.options.election_timeout;
        let Some(target) = self.successor() else {
            return;
        };
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if state.transfer.is_some() {
            return;
        }
        state.transfer = Some(Transfer {
            target,
            until,
            told: false,
        });
        for read in std::mem::take(&mut state.reads) {
            self.reject(read.id, Reject::Transferring);
        }
        self.continue_transfer();
    }

    /// Tells the successor to stand once it has the whole log.
    pub(super) fn continue_transfer(&mut self) {
        let last = self.log.last().index;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut state.transfer else {
            return;
        };
        let target = transfer.target.clone();
        let ready = state
            .peers
            .get(&target.name)
            .is_some_and(|p| p.matched == last);
        if ready && !transfer.told {
            transfer.told = true;
            self.send(&target, Message::TimeoutNow, Need::Hard);
        }
    }

    /// Tells the best successor to stand, without waiting for its log.
    pub(super) fn hand_over_at_once(&mut self) {
        if let Some(target) = self.successor() {
            self.send(&target, Message::TimeoutNow, Need::Hard);
        }
    }

    fn successor(&self) -> Option<Identity> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let config = self.log.config();
        state
            .peers
            .values()
            .filter(|p| config.is_voter(&p.identity) && !p.lost)
            .max_by_key(|p| (p.matched, p.acked))
            .map(|p| p.identity.clone())
    }
}
