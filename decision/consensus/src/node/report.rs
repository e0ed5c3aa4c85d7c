//! Status and read access to the state of a node.

use std::net::SocketAddr;

use pimentotide_model::{Term, Time};

use super::{Node, Role};
use crate::{
    Config, HardState, Identity, Index, LogId, Moment, PeerStatus, RoleKind, Status, Ticket,
};

impl Node {
    /// Returns the status of the node as of `at`.
    pub fn status(&self, at: Moment) -> Status {
        Status {
            identity: self.hard.identity.clone(),
            cluster: self.hard.cluster,
            role: self.role_kind(),
            term: self.hard.term,
            leader: self.leader.clone(),
            lease: self.leads_at(at.now),
            last: self.log.last(),
            durable: self.durable,
            commit: self.commit,
            compacted: self
                .snapshot
                .as_ref()
                .map_or(Index(0), |s| s.meta.last.index),
            log_bytes: self.log.bytes_after(self.log.base().index),
            snapshot_bytes: self.snapshot_bytes(),
            config: self.log.config().clone(),
            config_committed: self.log.config_index() <= self.commit,
            lost: self.lost_voters(),
            grants: self.granted_parts(self.log.config()).cloned().collect(),
            asking: at.now < self.next_ask,
            peers: self.peer_status(at.now),
        }
    }

    fn lost_voters(&self) -> Vec<Identity> {
        let config = self.log.config();
        let lost = self.lost.keys().filter(|who| config.is_voter(who));
        lost.cloned().collect()
    }

    fn role_kind(&self) -> RoleKind {
        let me = &self.hard.identity;
        let config = self.log.config();
        match &self.role {
            Role::Failed => RoleKind::Failed,
            Role::Leader(_) => RoleKind::Leader,
            _ if !config.is_member(me) => RoleKind::Outsider,
            _ if !config.is_voter(me) => RoleKind::Learner,
            Role::Follower => RoleKind::Follower,
            Role::PreCandidate { .. } | Role::Candidate { .. } => RoleKind::Candidate,
        }
    }

    fn peer_status(&self, now: Time) -> Vec<PeerStatus> {
        let Role::Leader(state) = &self.role else {
            return Vec::new();
        };
        let last = self.log.last().index.0;
        state
            .peers
            .values()
            .map(|p| PeerStatus {
                name: p.identity.name.clone(),
                matched: p.matched,
                lag: last.saturating_sub(p.matched.0),
                lag_bytes: p.unsent_snapshot() + self.log.bytes_after(p.matched),
                flow: p.flow_kind(),
                reachable: p
                    .acked
                    .is_some_and(|at| now < at + self.options.election_timeout),
                silent_for: p.silent_for(now),
                disk_replaced: p.disk_replaced,
            })
            .collect()
    }

    /// Returns whether this node leads the current term, with or without a lease.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether this node holds a valid leader lease at `now`.
    pub fn leads_at(&self, now: Time) -> bool {
        self.holds_lease_at(now)
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&Identity> {
        self.leader.as_ref()
    }

    /// Returns the identity, term and vote.
    pub fn hard(&self) -> &HardState {
        &self.hard
    }

    /// Returns the current term, which may not be synced yet.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Returns the commit index known to this node.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the id of the last entry, synced or not.
    pub fn last(&self) -> LogId {
        self.log.last()
    }

    /// Returns the term of the entry at `index`, if it is held.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term_at(index)
    }

    /// Returns the number of applied entries that no snapshot covers yet.
    pub fn compactable(&self) -> u64 {
        let newest = self.snapshot.as_ref().map_or(0, |s| s.meta.last.index.0);
        self.applied.0 - newest
    }

    /// Returns the size of the applied entries that no snapshot covers yet, in bytes.
    pub fn compactable_bytes(&self) -> u64 {
        self.compactable_bytes
    }

    /// Returns the size of the newest snapshot in bytes; 0 without a snapshot.
    pub fn snapshot_bytes(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.meta.size)
    }

    /// Returns the latest membership, committed or not.
    pub fn config(&self) -> &Config {
        self.log.config()
    }

    /// Returns the address of a replica that is a member, or was before a change that the log still holds.
    pub fn address_of(&self, who: &Identity) -> Option<SocketAddr> {
        self.log.member(who).map(|m| m.address)
    }

    /// Returns the ticket of the last synced write.
    pub fn synced(&self) -> Ticket {
        self.synced
    }

    /// Returns whether this node is disabled after a disk failure.
    pub fn is_failed(&self) -> bool {
        matches!(self.role, Role::Failed)
    }
}
