//! Automatic repair of the membership of the replicated log.
//!
//! A replica that is not a member asks to join: it is new, replaces another one,
//! was removed while partitioned, or has lost its disk. A lost disk never counts
//! again: its identity is removed before the replica joins as a learner. An
//! unreachable voter is removed only while enough voters remain, because it
//! rejoins by itself once it is reachable.
//!
//! An unreachable voter still counts for the quorum. More voters than the losses ask for mean that
//! instances are being replaced, and each that is replaced may end without notice beside the
//! stated losses. The log bears that only while no other voter is silent, so that a silent
//! one is removed after a short time.

use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_consensus::DiskId;
use pimentotide_model::InstanceName;

/// Conditions for the removal of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairOptions {
    /// Time without contact after which a learner may be removed.
    pub max_silence: Duration,
    /// Time without contact after which a voter may be removed, as long as enough voters remain.
    pub surplus_silence: Duration,
    /// Number of voters whose loss at once the log has to bear.
    pub max_losses: usize,
}

impl RepairOptions {
    /// Returns the number of voters down to which no voter is removed.
    pub fn min_voters(&self) -> usize {
        2 * self.max_losses + 1
    }
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
    let mut learners = members.iter().filter(|m| !m.voter);
    if let Some(learner) = learners.find(|m| m.silent_for >= options.max_silence) {
        return Some(Repair::Remove(learner.name.clone()));
    }
    let voters: Vec<&MemberView> = members.iter().filter(|m| m.voter).collect();
    if voters.len() <= options.min_voters() {
        return None;
    }
    let silent = voters
        .iter()
        .filter(|v| v.silent_for >= options.surplus_silence);
    let longest = silent.max_by_key(|v| v.silent_for)?;
    Some(Repair::Remove(longest.name.clone()))
}

/// Whether a replica at `address` that lists these members of the log is a member by its own view.
///
/// One that has lost its disk or was removed goes on answering, but knows no configuration until it has
/// joined again.
pub fn is_member(address: SocketAddr, members: &[SocketAddr]) -> bool {
    members.contains(&address)
}
