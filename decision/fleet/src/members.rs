//! Keeps the members of the replicated log complete without an operator.
//!
//! A replica that is no member asks to join: it is new, it replaces another
//! one, it was removed while it was cut off, or its disk was lost. A disk that
//! was lost never counts again: its old identity is removed before the replica
//! joins as a learner. A voter that stays silent is removed only while enough
//! others remain, because it joins again by itself when it is back.

use std::time::Duration;

use pimentotide_consensus::DiskId;
use pimentotide_model::InstanceName;

/// When a voter is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairOptions {
    /// Silence after which a voter may be removed.
    pub max_silence: Duration,
    /// Fewest voters that must remain.
    pub min_voters: usize,
}

/// One member as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Name.
    pub name: InstanceName,
    /// Identity of its disk.
    pub disk: DiskId,
    /// Whether it votes.
    pub voter: bool,
    /// Time since it was last heard of.
    pub silent_for: Duration,
}

/// Change of the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Repair {
    /// Removes a member.
    Remove(InstanceName),
    /// Adds the replica that asked.
    Add(InstanceName),
}

/// Decides on the next change, for `joining` if a replica asks to join.
pub fn repair(
    members: &[MemberView],
    joining: Option<(&InstanceName, DiskId)>,
    options: &RepairOptions,
) -> Option<Repair> {
    if let Some((name, disk)) = joining {
        return match members.iter().find(|m| m.name == *name) {
            None => Some(Repair::Add(name.clone())),
            Some(held) if held.disk != disk => Some(Repair::Remove(name.clone())),
            Some(_) => None,
        };
    }
    let silent = |m: &&MemberView| m.silent_for >= options.max_silence;
    if let Some(learner) = members.iter().filter(|m| !m.voter).find(silent) {
        return Some(Repair::Remove(learner.name.clone()));
    }
    let voters = members.iter().filter(|m| m.voter);
    if voters.clone().count() <= options.min_voters {
        return None;
    }
    let longest = voters.filter(silent).max_by_key(|m| m.silent_for)?;
    Some(Repair::Remove(longest.name.clone()))
}
