//! Membership as the app maintains it, with the same rules and intervals.

use std::time::Duration;

use pimentotide_consensus::{
    Change, Event, Member, Moment, Node, ProposalId, Reject, RoleKind, Status,
};
use pimentotide_fleet::{MemberView, Repair, RepairOptions, repair};
use pimentotide_model::InstanceName;

use super::Cluster;

/// Time between checks.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two requests for the release of a vote.
pub(super) const RELEASE_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a host that is stopped ends though its vote is not released; half of the grace period.
pub(super) const RELEASE_LIMIT: Duration = Duration::from_secs(4);

/// A replica that asks to join.
#[derive(Clone)]
pub(crate) struct Joining {
    name: InstanceName,
    member: Member,
}

fn options(max_losses: usize) -> RepairOptions {
    RepairOptions {
        max_silence: Duration::from_secs(6),
        surplus_silence: Duration::from_secs(1),
        max_losses,
    }
}

/// Returns the leader's view of all members.
fn views(status: &Status) -> Vec<MemberView> {
    let members = status.config.members().map(|(name, member)| MemberView {
        name: name.clone(),
        disk: member.disk,
        voter: status.config.voters.contains_key(name),
        silent_for: status
            .peers
            .iter()
            .find(|p| p.name == *name)
            .map_or(Duration::ZERO, |p| p.silent_for),
    });
    members.collect()
}

impl Cluster {
    /// Removes what is silent, or asks to join.
    pub(super) fn check_members(&mut self, host: usize) {
        let Some(status) = self.status(host) else {
            return;
        };
        if status.role == RoleKind::Leader {
            if !status.config.learners.is_empty() || status.config.voters.len() > 2 * self.loss + 1
            {
                let arbiters = self.live_arbiters();
                self.deliver_event(host, Event::Arbiters(arbiters));
            }
            if let Some(Repair::Remove(name)) = repair(&views(&status), None, &options(self.loss)) {
                self.change(host, Change::Remove(name));
            }
            return;
        }
        if status.leader.is_some() && status.config.is_member(&status.identity) {
            return;
        }
        // The app asks all seeds and members; those that do not lead forward the request.
        let leader = (0..self.hosts.len()).find(|n| {
            let node = self.node(*n).filter(|_| self.is_reachable(host, *n));
            node.is_some_and(Node::is_leader)
        });
        if let Some(leader) = leader {
            let (disk, address) = (status.identity.disk, self.hosts[host].address);
            let joining = Joining {
                name: status.identity.name,
                member: Member { disk, address },
            };
            self.admit(leader, joining);
        }
    }

    /// Adds the replica, after the removal of its former identity.
    pub(super) fn admit(&mut self, leader: usize, joining: Joining) {
        let Some(status) = self.status(leader) else {
            return;
        };
        let requester = Some((&joining.name, joining.member.disk));
        match repair(&views(&status), requester, &options(self.loss)) {
            Some(Repair::Remove(name)) => {
                let id = self.change(leader, Change::Remove(name));
                if let Some(process) = &mut self.hosts[leader].process {
                    let accepted = process.proposals.values().any(|(_, other)| *other == id);
                    if accepted {
                        process.joining.insert(id, joining);
                    }
                }
            }
            Some(Repair::Add(name)) => {
                self.change(leader, Change::Add(name, joining.member));
            }
            None => {}
        }
    }

    /// Asks for the release of the vote of a host that is stopped, and ends the host once it is not needed.
    ///
    /// Returns whether the host has ended.
    pub(super) fn release_vote(&mut self, host: usize) -> bool {
        let overdue = self.hosts[host].stops_at.is_some_and(|t| self.time >= t);
        let votes = self.node(host).is_some_and(|n| {
            let status = n.config().is_member(&n.hard().identity);
            status || n.leader().is_some()
        });
        if overdue || !votes {
            self.end(host);
            return true;
        }
        let leads = |n: &usize| self.node(*n).is_some_and(Node::is_leader);
        let leader = (0..self.hosts.len())
            .filter(leads)
            .find(|n| *n == host || self.is_reachable(host, *n));
        let Some(leader) = leader else {
            return false;
        };
        let name = self.hosts[host].name.clone();
        let id = self.change(leader, Change::Release(name, 2 * self.loss + 1));
        let answer = self.rejected.get(&id);
        let done = matches!(answer, Some(Reject::NotMember(_) | Reject::TooFewVoters(_)));
        if done {
            self.end(host);
        }
        done
    }

    fn change(&mut self, leader: usize, change: Change) -> ProposalId {
        let id = self.next_proposal();
        self.deliver_event(leader, Event::Change(id, change));
        id
    }

    pub(crate) fn status(&self, host: usize) -> Option<Status> {
        let at = Moment {
            now: self.time,
            wall: self.time,
        };
        Some(self.node(host)?.status(at))
    }

    /// Returns whether a leader reports exactly the hosts that are left as voters, under their disks.
    pub(crate) fn is_repaired(&self) -> bool {
        let Some(status) = self.leader().and_then(|n| self.status(n)) else {
            return false;
        };
        let config = &status.config;
        let live: Vec<_> = self.hosts.iter().filter(|h| !h.gone).collect();
        let all_vote = live.iter().all(|h| config.is_voter(h.identity()));
        status.config_committed && all_vote && config.members().count() == live.len()
    }
}
