//! Decision of an arbiter: which voters may act where no majority of them is left.
//!
//! An arbiter takes no part in the log and stores nothing. It grants a part of the voters of a membership
//! that it acts, if this part intersects each part to which it granted the same before. Two parts that
//! each have a grant of a majority of the arbiters thus intersect, as quorums have to. The grants are
//! bound to the start of the process, whose identity the log holds: after a restart it is another arbiter.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use pimentotide_model::InstanceName;
use serde::{Deserialize, Serialize};

use crate::{ClusterId, Config, DiskId, Identity, LogId, Member};

/// Maximum number of memberships whose grants are held; more requests are denied.
const MAX_BALLOTS: usize = 1_024;

/// Request that a part of the voters acts without the others.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Log that the voters belong to.
    pub cluster: ClusterId,
    /// Id of the entry that named the arbiters.
    pub ballot: LogId,
    /// Whether that entry is known to be committed, so that earlier ballots are void.
    pub committed: bool,
    /// All voters of the membership.
    pub voters: BTreeMap<InstanceName, Member>,
    /// Voters that are to act.
    pub part: BTreeSet<Identity>,
}

/// Reason for which a request is denied.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Denial {
    /// Too few voters, or others than those of the membership.
    #[display("the part is no part of the voters that may act")]
    Invalid,
    /// Other voters may act, none of which is in the part.
    #[display("a part without any of these voters may act")]
    Conflict,
    /// A later ballot is committed.
    #[display("the ballot is over")]
    Outdated,
    /// Too many ballots are open.
    #[display("too many ballots")]
    Full,
}

impl GrantRequest {
    /// Iterates over the voters that are not to act.
    pub fn absent(&self) -> impl Iterator<Item = (Identity, &Member)> {
        let identities = self.voters.iter().map(|(name, member)| {
            let (name, disk) = (name.clone(), member.disk);
            (Identity { name, disk }, member)
        });
        identities.filter(|(who, _)| !self.part.contains(who))
    }

    fn is_valid(&self) -> bool {
        let config = Config {
            voters: self.voters.clone(),
            ..Config::default()
        };
        self.part.len() >= config.min_grant().max(1) && self.part.iter().all(|v| config.is_voter(v))
    }
}

/// Arbiter of one start of a process.
#[derive(Clone, Debug)]
pub struct Arbiter {
    start: DiskId,
    /// Parts that may act, by ballot.
    granted: BTreeMap<(ClusterId, LogId), BTreeSet<BTreeSet<Identity>>>,
    /// Highest ballot that is known to be committed.
    committed: BTreeMap<ClusterId, LogId>,
}

impl Arbiter {
    /// Starts without grants, under the identity of this start.
    pub fn new(start: DiskId) -> Self {
        Self {
            start,
            granted: BTreeMap::new(),
            committed: BTreeMap::new(),
        }
    }

    /// Returns the identity of this start.
    pub fn start(&self) -> DiskId {
        self.start
    }

    /// Returns whether the part was granted the same before.
    pub fn has_granted(&self, request: &GrantRequest) -> bool {
        let granted = self.granted.get(&(request.cluster, request.ballot));
        granted.is_some_and(|parts| parts.contains(&request.part))
    }

    /// Grants the request if the part intersects all that were granted before.
    ///
    /// # Errors
    ///
    /// Fails if the part may not act, or the ballot is over.
    pub fn decide(&mut self, request: &GrantRequest) -> Result<(), Denial> {
        let GrantRequest {
            cluster, ballot, ..
        } = *request;
        if !request.is_valid() {
            return Err(Denial::Invalid);
        }
        if self.committed.get(&cluster).is_some_and(|c| ballot < *c) {
            return Err(Denial::Outdated);
        }
        if request.committed && self.committed.insert(cluster, ballot) != Some(ballot) {
            self.granted
                .retain(|(c, b), _| *c != cluster || *b >= ballot);
        }
        let key = (cluster, ballot);
        if self.granted.len() >= MAX_BALLOTS && !self.granted.contains_key(&key) {
            return Err(Denial::Full);
        }
        let parts = self.granted.entry(key).or_default();
        if parts.iter().any(|part| part.is_disjoint(&request.part)) {
            return Err(Denial::Conflict);
        }
        parts.insert(request.part.clone());
        Ok(())
    }
}
