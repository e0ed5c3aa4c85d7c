//! Quorums of elections, commits and leases.
//!
//! A quorum is a majority of the voters. Two additions let the log survive a voter that ended for good
//! together with a lost disk, before the membership is repaired:
//!
//! - **Half of an even number of voters** is a quorum if a voter of the other half is proved lost. Its
//!   instance proves that when it answers a message to its former identity under a new one, and an
//!   identity that is lost never votes or acknowledges again. Half of the voters intersects each majority.
//!   Two disjoint halves can't both be quorums, since a leader counts only losses that were proved to it
//!   before its term began: each half would have acted after the loss of a member of the other one.
//! - **Both memberships** have to give a quorum while the latest change of voters is not known to be
//!   committed, because half of one membership need not intersect a majority of the next one.
//!
//! A membership that names arbiters has other quorums besides [`Config::quorum`] of its voters:
//!
//! - **Each part that a majority of its arbiters granted.** Arbiters grant only parts that intersect.
//! - **Voters with a proof**, if each part without them that could be granted has a voter that is proved lost.
//!
//! A part and voters with a proof may be disjoint. They never both act: a part needs each of its voters, and acts
//! only once the others have been silent for [`Options::grant_silence`](crate::Options). A proof counts
//! only if the disk was lost sooner than that after the last entry of the candidate, so that the part had not
//! acted before, and cannot act any more.
//!
//! A commit index is not stored, so a replica that restarts has to see in its log that a change of voters
//! was committed: a leader appends a second no-op in its term then, or the next change of members.

use std::collections::BTreeSet;

use super::Node;
use super::loss::Losses;
use crate::{Config, Identity, Payload};

/// Grants that count for a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UsableGrants {
    /// None.
    None,
    /// Those of parts to which this leader has had all other voters silent for long enough.
    Acting,
    /// All.
    All,
}

impl Node {
    /// Returns whether `votes` are a quorum, if these voters are lost.
    pub(super) fn is_quorum(
        &self,
        votes: &BTreeSet<Identity>,
        lost: &Losses,
        usable: UsableGrants,
    ) -> bool {
        self.quorum_value(lost, usable, |who| votes.contains(who)) == Some(true)
    }

    /// Returns the highest value that a quorum of voters reaches.
    pub(super) fn quorum_value<T, F>(
        &self,
        lost: &Losses,
        usable: UsableGrants,
        value: F,
    ) -> Option<T>
    where
        T: Ord + Copy,
        F: Fn(&Identity) -> T,
    {
        let config = self.log.config();
        match self.uncommitted_predecessor() {
            None => self.highest(config, Some(lost), usable, &value),
            Some(previous) => {
                // Half does not intersect each majority of a membership that differs.
                let latest = self.highest(config, None, usable, &value)?;
                Some(latest.min(self.highest(previous, Some(lost), usable, &value)?))
            }
        }
    }

    /// Returns the membership before the latest change of voters or arbiters, if that is not known to be committed.
    pub(super) fn uncommitted_predecessor(&self) -> Option<&Config> {
        let (changed, previous) = self.log.last_quorum_change()?;
        let known = changed <= self.commit || self.log.commit_record(changed).is_some();
        (!known).then_some(previous)
    }

    /// Appends a no-op after a committed change of quorums, as the record of its commit.
    pub(super) fn mark_committed(&mut self) {
        let Some((changed, _)) = self.log.last_quorum_change() else {
            return;
        };
        if changed <= self.commit && self.log.commit_record(changed).is_none() {
            self.append_entry(Payload::Noop);
            self.replicate();
        }
    }

    /// Returns whether the record that the latest change of voters is committed is itself committed.
    pub(super) fn has_committed_record(&self) -> bool {
        self.log.last_quorum_change().is_none_or(|(changed, _)| {
            let record = self.log.commit_record(changed);
            record.is_some_and(|index| index <= self.commit)
        })
    }

    /// Returns the highest value that a quorum of this membership reaches.
    fn highest<T, F>(
        &self,
        config: &Config,
        lost: Option<&Losses>,
        usable: UsableGrants,
        value: &F,
    ) -> Option<T>
    where
        T: Ord + Copy,
        F: Fn(&Identity) -> T,
    {
        let is_lost = |who: &Identity| lost.is_some_and(|lost| lost.contains(who));
        let values = config.voter_ids().map(|v| value(&v));
        let by_size = nth(values.collect(), config.quorum());
        let present = config.voter_ids().filter(|v| !is_lost(v));
        let present: Vec<T> = present.map(|v| value(&v)).collect();
        let by_proof = proof_quorum(config, present.len()).and_then(|count| nth(present, count));
        let by_grant = self
            .granted_parts(config)
            .filter(|part| self.is_usable(part, config, usable))
            .filter_map(|part| part.iter().map(value).min());
        by_size.max(by_proof).max(by_grant.max())
    }
}

/// Returns the value that this number of the highest values reach.
fn nth<T>(mut values: Vec<T>, count: usize) -> Option<T>
where
    T: Ord + Copy,
{
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(count.checked_sub(1)?).copied()
}

/// Returns the number of voters that are a quorum if only `present` of all are not proved lost.
fn proof_quorum(config: &Config, present: usize) -> Option<usize> {
    let count = config.voters.len();
    if present == count {
        None
    } else if config.arbiters.is_some() {
        // Too few of the others are left to be granted.
        let least = config.min_grant();
        Some(least.max((present + 1).saturating_sub(least)))
    } else {
        count.is_multiple_of(2).then_some(count / 2)
    }
}
