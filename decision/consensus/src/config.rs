//! Membership of the replicated log and changes to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::Display;
use pimentotide_model::{InstanceName, Term};
use serde::{Deserialize, Serialize};

use crate::{DiskId, Identity, Index, LogId};

/// Start of the stored names of arbiters.
const ARBITER_PREFIX: &str = "arbiter/";

/// A member of the replicated log, identified by its disk, or an arbiter, identified by its start.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{disk} at {address}")]
pub struct Member {
    /// Identity of its disk, or of the start of an arbiter.
    pub disk: DiskId,
    /// Address at which the replicas reach it.
    pub address: SocketAddr,
}

/// Processes without a log that decide which voters may act where no majority is left.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Arbiters {
    /// Id of the entry that named them.
    pub ballot: LogId,
    /// Address and identity of the start of each.
    pub members: BTreeMap<InstanceName, Member>,
}

/// Membership from one log entry on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "StoredConfig", into = "StoredConfig")]
pub struct Config {
    /// Members that vote.
    pub voters: BTreeMap<InstanceName, Member>,
    /// Members that receive the log but do not vote yet.
    pub learners: BTreeMap<InstanceName, Member>,
    /// Arbiters of this membership; `None` unless it has surplus voters.
    pub arbiters: Option<Arbiters>,
}

/// [`Config`] as it is stored and sent, in the format of versions without arbiters.
#[derive(Serialize, Deserialize)]
struct StoredConfig {
    voters: BTreeMap<InstanceName, Member>,
    /// Learners, and arbiters under names that hold the ballot.
    learners: BTreeMap<InstanceName, Member>,
}

impl From<Config> for StoredConfig {
    fn from(config: Config) -> Self {
        let mut learners = config.learners;
        if let Some(Arbiters { ballot, members }) = config.arbiters {
            let LogId { term, index } = ballot;
            learners.extend(members.into_iter().map(|(name, member)| {
                let stored = format!("{ARBITER_PREFIX}{term}/{index}/{name}");
                (InstanceName::from(stored), member)
            }));
        }
        Self {
            voters: config.voters,
            learners,
        }
    }
}

impl From<StoredConfig> for Config {
    fn from(stored: StoredConfig) -> Self {
        let mut config = Self {
            voters: stored.voters,
            ..Self::default()
        };
        for (name, member) in stored.learners {
            let Some((ballot, arbiter)) = parse_arbiter(&name) else {
                config.learners.insert(name, member);
                continue;
            };
            let members = BTreeMap::new();
            let arbiters = config.arbiters.get_or_insert(Arbiters { ballot, members });
            arbiters.members.insert(arbiter, member);
        }
        config
    }
}

/// Returns the ballot and the name that the stored name of an arbiter holds.
fn parse_arbiter(stored: &InstanceName) -> Option<(LogId, InstanceName)> {
    let mut parts = stored.as_str().strip_prefix(ARBITER_PREFIX)?.splitn(3, '/');
    let term = Term(parts.next()?.parse().ok()?);
    let index = Index(parts.next()?.parse().ok()?);
    Some((LogId { term, index }, InstanceName::from(parts.next()?)))
}

/// A change to the members.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner, which is promoted to voter once it has caught up.
    #[display("add {_0} ({_1})")]
    Add(InstanceName, Member),
    /// Removes a voter or learner.
    #[display("remove {_0}")]
    Remove(InstanceName),
    /// Removes a voter that is about to stop, if at least this number of voters remain.
    ///
    /// Rejected with [`NotMember`](crate::Reject::NotMember) only once a quorum has stored that the removal
    /// is committed, so that the others need the voter no more.
    #[display("release {_0} if {_1} voters remain")]
    Release(InstanceName, usize),
}

impl Config {
    /// Returns the number of voters that are a quorum without a grant.
    ///
    /// A majority. With arbiters, each such quorum also intersects each part that may get a grant.
    pub fn quorum(&self) -> usize {
        let count = self.voters.len();
        match self.arbiters {
            None => count / 2 + 1,
            Some(_) => count - self.min_grant() + 1,
        }
    }

    /// Returns the number of voters to which arbiters may grant that they act.
    pub fn min_grant(&self) -> usize {
        self.voters.len() / 2
    }

    /// Returns whether the voters and the arbiters are those of `other`.
    pub(crate) fn has_quorums_of(&self, other: &Self) -> bool {
        self.voters == other.voters && self.arbiters == other.arbiters
    }

    /// Returns whether `who` is a voter with this disk identity.
    pub fn is_voter(&self, who: &Identity) -> bool {
        self.voters
            .get(&who.name)
            .is_some_and(|m| m.disk == who.disk)
    }

    /// Returns whether `who` is a voter or learner with this disk identity.
    pub fn is_member(&self, who: &Identity) -> bool {
        self.member(&who.name).is_some_and(|m| m.disk == who.disk)
    }

    /// Returns the voter or learner called `name`.
    pub fn member(&self, name: &InstanceName) -> Option<&Member> {
        self.voters.get(name).or_else(|| self.learners.get(name))
    }

    /// Iterates over all members, voters first.
    pub fn members(&self) -> impl Iterator<Item = (&InstanceName, &Member)> {
        self.voters.iter().chain(self.learners.iter())
    }

    /// Iterates over the identities of the voters.
    pub(crate) fn voter_ids(&self) -> impl Iterator<Item = Identity> {
        self.voters.iter().map(|(name, m)| Identity {
            name: name.clone(),
            disk: m.disk,
        })
    }

    /// Returns the identities of all members except `me`, compared by name.
    pub fn others(&self, me: &Identity) -> Vec<Identity> {
        self.members()
            .filter(|(name, _)| **name != me.name)
            .map(|(name, m)| Identity {
                name: name.clone(),
                disk: m.disk,
            })
            .collect()
    }

    /// Returns the membership with the learner `name` promoted to voter, and no arbiters.
    pub fn promoted(&self, name: &InstanceName) -> Self {
        let mut next = self.clone();
        if let Some(member) = next.learners.remove(name) {
            next.voters.insert(name.clone(), member);
            next.arbiters = None;
        }
        next
    }

    /// Returns the membership without `name`, and no arbiters if it was a voter.
    pub fn without(&self, name: &InstanceName) -> Self {
        let mut next = self.clone();
        next.learners.remove(name);
        if next.voters.remove(name).is_some() {
            next.arbiters = None;
        }
        next
    }

    /// Returns the membership with `name` added as a learner.
    pub fn with_learner(&self, name: &InstanceName, member: &Member) -> Self {
        let mut next = self.clone();
        next.learners.insert(name.clone(), member.clone());
        next
    }
}
