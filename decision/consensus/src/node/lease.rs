//! Leader lease, linearizable reads and leadership transfer.

use pimentotide_model::Time;

use super::leader::{PendingRead, Transfer};
use super::quorum::UsableGrants;
use super::{Durability, Node, Role};
use crate::{Action, Identity, Message, ProposalId, Reject};

impl Node {
    /// Latest time such that a quorum answered messages sent then or later.
    ///
    /// Voters without an answer count with `missing`.
    fn quorum_acked(&self, now: Time, missing: Option<Time>, usable: UsableGrants) -> Option<Time> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let me = &self.hard.identity;
        let acked = |who: &Identity| {
            if who.name == me.name {
                return Some(now);
            }
            let peer = state.peers.get(&who.name).filter(|p| p.identity == *who);
            peer.and_then(|p| p.acked).or(missing)
        };
        self.quorum_value(&state.lost, usable, acked).flatten()
    }

    /// Time of the last contact with a quorum; the election counts as contact.
    pub(super) fn quorum_contact(&self) -> Time {
        let Role::Leader(state) = &self.role else {
            return Time::ZERO;
        };
        self.quorum_acked(self.at.now, Some(state.elected), UsableGrants::All)
            .unwrap_or(state.elected)
    }

    /// Returns whether the lease is valid, so that no other replica can have been elected.
    pub(super) fn holds_lease(&self) -> bool {
        self.holds_lease_at(self.at.now)
    }

    /// Returns whether the lease is valid at `now`.
    pub(super) fn holds_lease_at(&self, now: Time) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let transferred = state.transfer.as_ref().is_some_and(|t| t.requested);
        let lease = self.options.lease();
        let valid = self
            .quorum_acked(now, None, UsableGrants::Acting)
            .is_some_and(|acked| now < acked + lease);
        valid && !transferred
    }

    pub(super) fn read(&mut self, id: ProposalId) {
        let requested_at = self.at.now;
        let leader = self.leader.clone();
        match &mut self.role {
            Role::Leader(state) if state.transfer.is_some() => {
                self.reject(id, Reject::Transferring);
            }
            Role::Leader(state) => {
                state.reads.push(PendingRead { id, requested_at });
                self.serve_reads();
            }
            _ => self.reject(id, Reject::NotLeader(leader)),
        }
    }

    /// Releases reads under a valid lease, or once a quorum answered a message sent later.
    pub(super) fn serve_reads(&mut self) {
        if !self.has_committed_in_term() {
            return;
        }
        let leased = self.holds_lease();
        let acked = self.quorum_acked(self.at.now, None, UsableGrants::Acting);
        let commit = self.commit;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let (ready, waiting) = std::mem::take(&mut state.reads)
            .into_iter()
            .partition::<Vec<_>, _>(|r| leased || acked.is_some_and(|a| a > r.requested_at));
        state.reads = waiting;
        for read in ready {
            self.actions.push(Action::ReadReady(read.id, commit));
        }
    }

    /// Starts a leadership transfer to the most up-to-date voter.
    pub(super) fn transfer(&mut self) {
        let deadline = self.at.now + self.options.election_timeout;
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
            deadline,
            requested: false,
        });
        for read in std::mem::take(&mut state.reads) {
            self.reject(read.id, Reject::Transferring);
        }
        self.continue_transfer();
    }

    /// Asks the successor to start an election once it has the complete log.
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
        if ready && !transfer.requested {
            transfer.requested = true;
            self.send(&target, Message::TimeoutNow, Durability::Hard);
        }
    }

    /// Asks the most up-to-date voter to start an election, without waiting for its log.
    pub(super) fn transfer_now(&mut self) {
        if let Some(target) = self.successor() {
            self.send(&target, Message::TimeoutNow, Durability::Hard);
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
            .filter(|p| config.is_voter(&p.identity) && !p.disk_replaced)
            .max_by_key(|p| (p.matched, p.acked))
            .map(|p| p.identity.clone())
    }
}
