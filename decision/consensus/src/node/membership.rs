//! Membership changes, one at a time.

use pimentotide_model::InstanceName;

use super::{Node, Role};
use crate::progress::Progress;
use crate::{Action, Change, Config, Identity, Index, Payload, ProposalId, Reject};

impl Node {
    pub(super) fn change(&mut self, id: ProposalId, change: &Change) {
        match self.next_config(change) {
            Ok(config) => {
                let index = self.append_config(config);
                let term = self.hard.term;
                self.actions.push(Action::Accepted(id, index, term));
                self.replicate();
            }
            Err(reason) => self.reject(id, reason),
        }
    }

    fn next_config(&self, change: &Change) -> Result<Config, Reject> {
        if let Some(reason) = self.proposal_rejection() {
            return Err(reason);
        }
        if !self.accepts_changes() {
            return Err(Reject::ChangePending);
        }
        let config = self.log.config();
        match change {
            Change::Add(name, _) if config.member(name).is_some() => {
                Err(Reject::AlreadyMember(name.clone()))
            }
            Change::Add(name, member) => Ok(config.with_learner(name, member)),
            Change::Remove(name) if config.member(name).is_none() => {
                Err(Reject::NotMember(name.clone()))
            }
            Change::Remove(name) => self.without(name),
            Change::Release(name, _) if !config.voters.contains_key(name) => {
                // Without the record, the others may still need the vote that was released.
                Err(if self.has_committed_record() {
                    Reject::NotMember(name.clone())
                } else {
                    Reject::ChangePending
                })
            }
            Change::Release(name, min_voters) => {
                let remaining = config.voters.len() - 1;
                if remaining >= *min_voters {
                    self.without(name)
                } else if remaining + self.reachable_learners() >= *min_voters {
                    // A learner that is promoted takes the place of the voter.
                    Err(Reject::ChangePending)
                } else {
                    Err(Reject::TooFewVoters(name.clone()))
                }
            }
        }
    }

    /// Returns the membership without `name`, if a quorum of it is reachable.
    fn without(&self, name: &InstanceName) -> Result<Config, Reject> {
        let mut next = self.log.config().without(name);
        self.name_arbiters(&mut next);
        if self.reaches_quorum_of(&next) {
            Ok(next)
        } else {
            Err(Reject::WouldLoseQuorum(name.clone()))
        }
    }

    fn reachable_learners(&self) -> usize {
        let learners = self.log.config().learners.keys();
        learners.filter(|name| self.is_reachable(name)).count()
    }

    /// Returns whether the last change and an entry of this term are committed.
    pub(super) fn accepts_changes(&self) -> bool {
        self.has_committed_in_term() && self.log.config_index() <= self.commit
    }

    /// Returns whether a quorum of `config` is reachable.
    fn reaches_quorum_of(&self, config: &Config) -> bool {
        !config.voters.is_empty() && self.count_reachable(config) >= config.quorum()
    }

    /// Returns the number of voters of `config` that are reachable, with this replica.
    pub(super) fn count_reachable(&self, config: &Config) -> usize {
        let me = &self.hard.identity.name;
        let mut voters = config.voters.keys().collect::<Vec<_>>();
        voters.retain(|name| *name == me || self.is_reachable(name));
        voters.len()
    }

    /// Returns whether the peer answered within the minimum election timeout.
    pub(super) fn is_reachable(&self, name: &InstanceName) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let acked = state.peers.get(name).and_then(|p| p.acked);
        acked.is_some_and(|at| self.at.now < at + self.options.election_timeout)
    }

    /// Appends a new membership, which takes effect at once, and updates the peers.
    pub(super) fn append_config(&mut self, mut config: Config) -> Index {
        self.name_arbiters(&mut config);
        let index = self.append_entry(Payload::Config(config));
        self.update_peers();
        index
    }

    /// Tracks the members of the log and, until a change of quorums is committed, the voters before it.
    pub(super) fn update_peers(&mut self) {
        let receivers = self.receivers();
        let next = self.log.last().index.next();
        let now = self.at.now;
        if let Role::Leader(state) = &mut self.role {
            state.peers.retain(|_, p| receivers.contains(&p.identity));
            for who in receivers {
                state
                    .peers
                    .entry(who.name.clone())
                    .or_insert_with(|| Progress::new(who, next, now));
            }
        }
    }

    /// Returns the replicas to which a leader sends the log.
    pub(super) fn receivers(&self) -> Vec<Identity> {
        let me = &self.hard.identity;
        let mut receivers = self.log.config().others(me);
        if let Some(previous) = self.uncommitted_predecessor() {
            let removed = |who: &Identity| self.log.config().member(&who.name).is_none();
            receivers.extend(
                previous
                    .voter_ids()
                    .filter(|v| v.name != me.name && removed(v)),
            );
        }
        receivers
    }

    /// Promotes a learner that has caught up to voter.
    pub(super) fn promote(&mut self) {
        let Some(who) = self.ready_learner() else {
            return;
        };
        let mut config = self.log.config().promoted(&who.name);
        self.name_arbiters(&mut config);
        // A leader may act with fewer voters than a majority of the next membership.
        if !self.reaches_quorum_of(&config) {
            return;
        }
        self.append_config(config);
        self.replicate();
    }

    fn ready_learner(&self) -> Option<Identity> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if !self.accepts_changes() || state.transfer.is_some() {
            return None;
        }
        let last = self.log.last().index.0;
        let learners = &self.log.config().learners;
        state
            .peers
            .values()
            .filter(|p| learners.contains_key(&p.identity.name) && !p.disk_replaced)
            .filter(|p| self.is_reachable(&p.identity.name))
            .find(|p| {
                p.matched >= state.first
                    && p.matched.0 + self.options.max_learner_lag >= last
                    && self.log.bytes_after(p.matched) <= self.options.max_learner_lag_bytes
            })
            .map(|p| p.identity.clone())
    }
}
