//! What a node reports about itself.

use derive_more::Display;
use pimentotide_model::{InstanceName, Term};
use serde::{Deserialize, Serialize};

use crate::{ClusterId, Config, Identity, Index, LogId};

/// Role of a replica.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleKind {
    /// Member of no log yet, or no longer.
    #[display("outsider")]
    Outsider,
    /// Receives the log and does not vote.
    #[display("learner")]
    Learner,
    /// Follows a leader.
    #[display("follower")]
    Follower,
    /// Stands for election.
    #[display("candidate")]
    Candidate,
    /// Leads.
    #[display("leader")]
    Leader,
    /// Out of action after a failure of its disk.
    #[display("failed")]
    Failed,
}

/// What a leader knows of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the member.
    pub name: InstanceName,
    /// Last position that it has synced.
    pub matched: Index,
    /// Entries that it lacks.
    pub lag: u64,
    /// Whether it answered within the shortest election time.
    #[serde(rename = "heard")]
    pub reachable: bool,
    /// Whether it answers under the identity of another disk.
    #[serde(rename = "lost")]
    pub disk_replaced: bool,
}

/// What a node reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the replica.
    pub identity: Identity,
    /// Log that it belongs to.
    pub cluster: Option<ClusterId>,
    /// Role.
    pub role: RoleKind,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<Identity>,
    /// Whether it leads and holds a valid lease.
    pub lease: bool,
    /// Last entry.
    pub last: LogId,
    /// Last position synced on its own disk.
    pub durable: Index,
    /// Last committed position known.
    pub commit: Index,
    /// Position of the newest snapshot.
    pub compacted: Index,
    /// Members in force.
    pub config: Config,
    /// Whether the members in force are committed.
    #[serde(rename = "settled")]
    pub config_committed: bool,
    /// What it knows of the other members, if it leads.
    pub peers: Vec<PeerStatus>,
}
