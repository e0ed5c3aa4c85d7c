//! Replicas that ask to join by themselves, and a leader that removes silent members.

use std::time::Duration;

use pimentotide_consensus::{Change, Event, Member, ProposalId};

use super::{Item, OPERATOR_INTERVAL, World};

/// Time without contact after which a learner or a surplus voter is removed.
pub(crate) const MAX_SILENCE: Duration = Duration::from_secs(6);
/// Number of voters down to which none is removed.
const MIN_VOTERS: usize = 3;

impl World {
    /// Leaves the membership to the replicas instead of the operator.
    pub(crate) fn repair_itself(&mut self) {
        self.repairs = true;
    }

    /// Has the leader make the next change of the membership.
    pub(super) fn run_repair(&mut self) {
        self.schedule(OPERATOR_INTERVAL, Item::Operate);
        let Some(leader) = self.leader() else {
            return;
        };
        let change = self.next_removal(leader).or_else(|| self.next_join(leader));
        if let Some(change) = change {
            self.command += 1;
            self.counts.changes += 1;
            self.deliver_event(leader, Event::Change(ProposalId(self.command), change));
        }
    }

    fn next_removal(&self, leader: usize) -> Option<Change> {
        let status = self
            .node(leader)?
            .status(self.hosts[leader].moment(self.time));
        let voters = &status.config.voters;
        let mut silent = status.peers.iter().filter(|p| p.silent_for >= MAX_SILENCE);
        let removed =
            silent.find(|p| !voters.contains_key(&p.name) || voters.len() > MIN_VOTERS)?;
        Some(Change::Remove(removed.name.clone()))
    }

    /// Returns the change that adds a replica which has no leader or is not a member by its own log.
    fn next_join(&self, leader: usize) -> Option<Change> {
        let config = self.node(leader)?.config();
        let joining = self.hosts.iter().enumerate().find(|(n, host)| {
            let asks = self.node(*n).is_some_and(|node| {
                let member = node.config().is_member(&node.hard().identity);
                !(node.is_failed() || member && node.leader().is_some())
            });
            asks && self.wanted[*n]
                && !self.network.is_blocked(*n, leader)
                && config.member(&host.name).is_none()
        });
        let (n, host) = joining?;
        let member = Member {
            disk: self.node(n)?.hard().identity.disk,
            address: host.address,
        };
        Some(Change::Add(host.name.clone(), member))
    }
}
