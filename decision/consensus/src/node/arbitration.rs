//! Requests to the arbiters, and what follows from their grants.
//!
//! A part of the voters is asked for that is no quorum by itself: by a replica whose pre-vote these voters
//! granted, or by a leader that they answer. A leader that acts by a grant removes surplus voters that are
//! unreachable, so that a majority is left.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pimentotide_model::{InstanceName, Time};

use super::quorum::UsableGrants;
use super::{Node, Role};
use crate::{Action, Arbiters, Config, GrantRequest, Identity, LogId, Member, Payload};

/// Entries that a leader appends at least in the time of silence after which a grant is used.
const BEATS: u32 = 12;

/// Arbiters that granted a part of the voters that it acts, by ballot and part.
pub(super) type Grants = BTreeMap<LogId, BTreeMap<BTreeSet<Identity>, BTreeSet<InstanceName>>>;

impl Node {
    /// Returns the parts of the voters to which a majority of the arbiters granted that they act.
    pub(super) fn granted_parts<'a>(
        &'a self,
        config: &'a Config,
    ) -> impl Iterator<Item = &'a BTreeSet<Identity>> {
        let arbiters = config.arbiters.as_ref();
        let grants = arbiters.and_then(|a| Some((a, self.grants.get(&a.ballot)?)));
        grants.into_iter().flat_map(|(arbiters, parts)| {
            let majority = arbiters.members.len() / 2 + 1;
            let granted = parts.iter().filter(move |(_, by)| by.len() >= majority);
            granted.map(|(part, _)| part)
        })
    }

    /// Memberships that have to give a quorum.
    pub(super) fn quorum_configs(&self) -> impl Iterator<Item = &Config> {
        let latest = std::iter::once(self.log.config());
        latest.chain(self.uncommitted_predecessor())
    }

    /// Sets the processes that this replica names as arbiters when it leads.
    pub(super) fn set_arbiters(&mut self, members: BTreeMap<InstanceName, Member>) {
        self.arbiters = members;
        self.renew_arbiters();
    }

    /// Names arbiters in a membership that is about to be appended, if it has surplus voters.
    ///
    /// Keeps those of the latest membership where the voters stay and too few are reachable for a change.
    pub(super) fn name_arbiters(&self, config: &mut Config) {
        let latest = self.log.config();
        let kept = latest.arbiters.as_ref();
        let kept = kept.filter(|_| config.voters == latest.voters).cloned();
        config.arbiters = None;
        if config.voters.len() <= self.options.min_voters {
            return;
        }
        let named = latest.arbiters.as_ref().map(|a| &a.members);
        let members = Some(&self.arbiters).filter(|m| !m.is_empty()).or(named);
        let Some(members) = members.cloned() else {
            return;
        };
        if kept.as_ref().is_some_and(|a| a.members == members) {
            config.arbiters = kept;
            return;
        }
        let ballot = LogId {
            term: self.hard.term,
            index: self.log.last().index.next(),
        };
        config.arbiters = Some(Arbiters { ballot, members });
        // More voters are a quorum with arbiters than without.
        if self.count_reachable(config) < config.quorum() {
            config.arbiters = kept;
        }
    }

    /// Appends the membership with the arbiters that are to be named, if those named differ.
    pub(super) fn renew_arbiters(&mut self) {
        let leads = matches!(&self.role, Role::Leader(state) if state.transfer.is_none());
        let has_surplus = self.log.config().voters.len() > self.options.min_voters;
        if !leads || !has_surplus || self.arbiters.is_empty() || !self.accepts_changes() {
            return;
        }
        let mut config = self.log.config().clone();
        self.name_arbiters(&mut config);
        if config.arbiters != self.log.config().arbiters {
            self.append_config(config);
            self.replicate();
        }
    }

    /// Asks the arbiters for a grant to the voters that are present, if they need one.
    pub(super) fn ask_arbiters(&mut self) {
        if self.at.now < self.next_ask {
            return;
        }
        let present = match &self.role {
            Role::PreCandidate { granted, .. } => granted.clone(),
            // Time is left for the answer before the leader steps down.
            Role::Leader(_) => self.reachable_voters(self.options.election_timeout / 2),
            Role::Follower | Role::Candidate { .. } | Role::Failed => return,
        };
        if self.is_quorum(&present, &self.losses(), UsableGrants::None) {
            return;
        }
        let committed = self.uncommitted_predecessor().is_none();
        let requests: Vec<_> = self
            .quorum_configs()
            .filter_map(|config| self.grant_request(config, &present, committed))
            .collect();
        if requests.is_empty() {
            return;
        }
        self.next_ask = self.at.now + self.options.resend_timeout;
        for (arbiters, request) in requests {
            self.actions.push(Action::Ask { arbiters, request });
        }
    }

    /// Returns the request for the voters of `config` that are present, unless it is needless or futile.
    fn grant_request(
        &self,
        config: &Config,
        present: &BTreeSet<Identity>,
        committed: bool,
    ) -> Option<(BTreeMap<InstanceName, Member>, GrantRequest)> {
        let arbiters = config.arbiters.as_ref()?;
        let voters = present.iter().filter(|v| config.is_voter(v));
        let part: BTreeSet<Identity> = voters.cloned().collect();
        let is_granted = self.granted_parts(config).any(|g| g.is_subset(&part));
        if is_granted || part.len() < config.min_grant() || part.len() >= config.quorum() {
            return None;
        }
        let request = GrantRequest {
            cluster: self.hard.cluster?,
            ballot: arbiters.ballot,
            committed,
            voters: config.voters.clone(),
            part,
        };
        Some((arbiters.members.clone(), request))
    }

    /// Counts a grant of an arbiter that is named in a membership which has to give a quorum.
    pub(super) fn on_granted(
        &mut self,
        ballot: LogId,
        arbiter: &Identity,
        part: BTreeSet<Identity>,
    ) {
        let named = self.quorum_configs().any(|config| {
            config.arbiters.as_ref().is_some_and(|a| {
                let member = a.members.get(&arbiter.name);
                a.ballot == ballot && member.is_some_and(|m| m.disk == arbiter.disk)
            })
        });
        if !named {
            return;
        }
        let current: BTreeSet<LogId> = self
            .quorum_configs()
            .filter_map(|config| Some(config.arbiters.as_ref()?.ballot))
            .collect();
        self.grants.retain(|ballot, _| current.contains(ballot));
        let parts = self.grants.entry(ballot).or_default();
        parts.entry(part).or_default().insert(arbiter.name.clone());
        self.count_pre_votes();
        self.count_votes();
        self.advance_commit();
    }

    /// Removes unreachable surplus voters if this leader acts by a grant or a proof.
    pub(super) fn remove_absent(&mut self) {
        let config = self.log.config();
        if config.arbiters.is_none() || !self.accepts_changes() {
            return;
        }
        let present = self.reachable_voters(self.options.election_timeout);
        let acts = self.is_quorum(&present, &self.losses(), UsableGrants::Acting);
        if !acts || present.len() >= config.quorum() {
            return;
        }
        let absent = config.voter_ids().filter(|who| !present.contains(who));
        let mut absent: Vec<Identity> = absent.collect();
        // One whose disk is not lost may come back and vote.
        absent.sort_by_key(|who| (!self.lost.contains_key(who), self.last_answer(who)));
        let surplus = config.voters.len().saturating_sub(self.options.min_voters);
        let mut next = config.clone();
        for who in absent.iter().take(surplus) {
            next = next.without(&who.name);
        }
        self.name_arbiters(&mut next);
        if next.voters.len() < config.voters.len() && present.len() >= next.quorum() {
            self.append_config(next);
            self.replicate();
        }
    }

    /// Returns this replica and the voters that answered a message sent within `span`.
    fn reachable_voters(&self, span: Duration) -> BTreeSet<Identity> {
        let me = &self.hard.identity;
        let answered = |who: &Identity| {
            self.last_answer(who)
                .is_some_and(|at| self.at.now < at + span)
        };
        self.quorum_configs()
            .flat_map(Config::voter_ids)
            .filter(|who| who == me || answered(who))
            .collect()
    }

    /// Returns when this leader sent the newest message that the voter answered.
    fn last_answer(&self, who: &Identity) -> Option<Time> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let peer = state.peers.get(&who.name).filter(|p| p.identity == *who);
        peer.and_then(|p| p.acked)
    }

    /// Returns whether a part that was granted may act now.
    pub(super) fn is_usable(
        &self,
        part: &BTreeSet<Identity>,
        config: &Config,
        usable: UsableGrants,
    ) -> bool {
        match (usable, &self.role) {
            (UsableGrants::All, _) => true,
            (UsableGrants::Acting, Role::Leader(state)) => {
                let first = if state.by_grant {
                    None
                } else {
                    Some(state.elected)
                };
                let mut others = config.voter_ids().filter(|who| !part.contains(who));
                others.all(|who| {
                    let since = self.last_answer(&who).max(first);
                    since.is_none_or(|at| self.at.now >= at + self.options.grant_silence)
                })
            }
            (UsableGrants::Acting | UsableGrants::None, _) => false,
        }
    }

    /// Returns whether this replica has neither led nor followed a leader for so long that a granted part may
    /// act.
    pub(super) fn permits_grants(&self) -> bool {
        let follows = !matches!(self.role, Role::Leader(_));
        follows && self.at.now >= self.silent_since + self.options.grant_silence
    }

    /// Returns whether entries are withheld from a voter that is silent, which may act by a proof once it has
    /// a recent entry.
    pub(super) fn withholds_entries(&self, who: &Identity) -> bool {
        let mut configs = self.quorum_configs();
        let votes = configs.any(|c| c.arbiters.is_some() && c.is_voter(who));
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let is_silent = state.peers.get(&who.name).is_some_and(|p| {
            let unanswered = state.by_grant && p.acked.is_none();
            unanswered || p.silent_for(self.at.now) >= self.options.election_timeout
        });
        votes && is_silent
    }

    /// Keeps the last entry recent while there are arbiters, and lets a granted part act in time.
    pub(super) fn tick_arbitrated(&mut self) {
        if !self.quorum_configs().any(|c| c.arbiters.is_some()) {
            return;
        }
        self.advance_commit();
        let Role::Leader(state) = &self.role else {
            return;
        };
        let time = state.min_time + self.at.now.since(state.elected);
        let is_due = time >= self.log.last_time() + self.options.grant_silence / BEATS;
        if is_due && self.holds_lease() && self.accepts_changes() {
            self.append_entry(Payload::Noop);
            self.replicate();
        }
    }
}
