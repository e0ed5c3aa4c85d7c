//! Automatic repair of the membership of the replicated log.
//!
//! A replica that is not a member asks to join: it is new, replaces another one,
//! was removed while partitioned, or has lost its disk. A lost disk never counts
//! again: its identity is removed before the replica joins as a learner. An
//! unreachable voter is removed only while enough voters remain, because it
//! rejoins by itself once it is reachable.

use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_consensus::DiskId;
use pimentotide_model::InstanceName;

/// Conditions for the removal of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairOptions {
    /// Time without contact after which a member may be removed.
    pub max_silence: Duration,
    /// Number of voters down to which no voter is removed.
    pub min_voters: usize,
}

/// Leader's view of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Instance of the replica.
    pub name: InstanceName,
    /// Identity of its disk; a replaced disk has another one.
    pub disk: DiskId,
    /// Whether it is a voter and not a learner.
    pub voter: bool,
    /// Time since the last contact.
    pub silent_for: Duration,
}

/// Change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Repair {
    /// Removes this member.
    Remove(InstanceName),
    /// Adds the joining replica as a learner.
    Add(InstanceName),
}

/// Returns the next membership change, for the replica `joining` if one asks to join.
pub fn repair(
    members: &[MemberView],
    joining: Option<(&InstanceName, DiskId)>,
    options: &RepairOptions,
) -> Option<Repair> {
    if let Some((name, disk)) = joining {
        return match members.iter().find(|m| m.name == *name) {
            None => Some(Repair::Add(name.clone())),
            Some(member) if member.disk != disk => Some(Repair::Remove(name.clone())),
            Some(_) => None,
        };
    }
    let is_silent = |m: &&MemberView| m.silent_for >= options.max_silence;
    if let Some(learner) = members.iter().filter(|m| !m.voter).find(is_silent) {
        return Some(Repair::Remove(learner.name.clone()));
    }
    let voters = members.iter().filter(|m| m.voter);
    if voters.clone().count() <= options.min_voters {
        return None;
    }
    let longest = voters.filter(is_silent).max_by_key(|m| m.silent_for)?;
    Some(Repair::Remove(longest.name.clone()))
}

/// Whether a replica at `address` that lists these members of the log is a member by its own view.
///
/// One that has lost its disk or was removed goes on answering, but knows no configuration until it has
/// joined again.
pub fn is_member(address: SocketAddr, members: &[SocketAddr]) -> bool {
    members.contains(&address)
}
