//! Simulated client that proposes and reads, and operator that maintains the membership.

use std::time::Duration;

use pimentotide_consensus::{Change, Event, Member, Node, ProposalId};
use rand::RngExt;

use super::{Item, OPERATOR_INTERVAL, World};

impl World {
    /// Proposes or reads at a random host if it is a leader.
    pub(super) fn run_client(&mut self) {
        let wait = self.rng.random_range(500..10_000);
        self.schedule(Duration::from_micros(wait), Item::Client);
        let host = self.rng.random_range(0..self.hosts.len());
        let leads = self.node(host).is_some_and(Node::is_leader);
        if !leads || self.hosts[host].paused_until > self.time {
            return;
        }
        self.command += 1;
        let id = ProposalId(self.command);
        if self.rng.random_bool(0.3) {
            self.check.read_requested(id);
            self.deliver_event(host, Event::Read(id));
        } else {
            let command: Vec<u8> = self.command.to_le_bytes().to_vec();
            self.check.proposed(id, &command);
            self.deliver_event(host, Event::Propose(id, command.into()));
        }
    }

    /// Requests one membership change towards the wanted members.
    pub(super) fn run_operator(&mut self) {
        self.schedule(OPERATOR_INTERVAL, Item::Operate);
        let Some(leader) = self.leader() else {
            return;
        };
        let Some(change) = self.next_change(leader) else {
            return;
        };
        self.command += 1;
        self.counts.changes += 1;
        self.deliver_event(leader, Event::Change(ProposalId(self.command), change));
    }

    fn next_change(&self, leader: usize) -> Option<Change> {
        let config = self.node(leader)?.config();
        for (n, host) in self.hosts.iter().enumerate() {
            let disk = host.process.as_ref().map(|p| p.node.hard().identity.disk);
            let member = config.member(&host.name);
            let replaced = member.is_some_and(|m| disk.is_some_and(|d| d != m.disk));
            if n != leader && member.is_some() && (replaced || !self.wanted[n]) {
                return Some(Change::Remove(host.name.clone()));
            }
            if let Some(disk) = disk
                && member.is_none()
                && self.wanted[n]
            {
                let address = host.address;
                return Some(Change::Add(host.name.clone(), Member { disk, address }));
            }
        }
        None
    }

    /// Returns whether exactly the wanted hosts vote, under their current disks.
    pub(crate) fn has_wanted_members(&self) -> bool {
        let Some(config) = self.leader().and_then(|n| self.node(n)).map(Node::config) else {
            return false;
        };
        self.hosts.iter().enumerate().all(|(n, host)| {
            let identity = host.process.as_ref().map(|p| &p.node.hard().identity);
            let votes = identity.is_some_and(|i| config.is_voter(i));
            votes == self.wanted[n]
        })
    }
}
