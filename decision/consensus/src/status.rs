//! Status of a node.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{InstanceName, Term};
use serde::{Deserialize, Serialize};

use crate::{ClusterId, Config, Identity, Index, LogId};

/// Role of a replica in the log.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleKind {
    /// Not a member of the log.
    #[display("outsider")]
    Outsider,
    /// Receives the log but does not vote.
    #[display("learner")]
    Learner,
    /// Voter that follows a leader.
    #[display("follower")]
    Follower,
    /// Requests votes or pre-votes.
    #[display("candidate")]
    Candidate,
    /// Leads the current term.
    #[display("leader")]
    Leader,
    /// Disabled after a disk failure.
    #[display("failed")]
    Failed,
}

/// How a leader sends the log to a member.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowKind {
    /// One message at a time until the logs match.
    #[default]
    #[display("probe")]
    Probe,
    /// Pipelined entries.
    #[display("entries")]
    Entries,
    /// A snapshot.
    #[display("snapshot")]
    Snapshot,
}

/// Progress of one member, as tracked by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the member.
    pub name: InstanceName,
    /// Last index that matches and is synced.
    pub matched: Index,
    /// Entries by which it lags behind the leader.
    pub lag: u64,
    /// Bytes that are still to be sent: entries, and what is left of a snapshot.
    #[serde(default)]
    pub lag_bytes: u64,
    /// How the log is sent to it.
    #[serde(default)]
    pub flow: FlowKind,
    /// Whether it answered within the minimum election timeout.
    #[serde(rename = "heard")]
    pub reachable: bool,
    /// Time since it was sent the newest message that it answered, or since this leader added it.
    #[serde(default)]
    pub silent_for: Duration,
    /// Whether it refused a message because its disk was replaced.
    #[serde(rename = "lost")]
    pub disk_replaced: bool,
}

/// Status of a node at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the replica.
    pub identity: Identity,
    /// Log that it belongs to; `None` before the first contact with a leader.
    pub cluster: Option<ClusterId>,
    /// Role in the current term.
    pub role: RoleKind,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<Identity>,
    /// Whether it is the leader and holds a valid lease.
    pub lease: bool,
    /// Id of the last entry, synced or not.
    pub last: LogId,
    /// Last index synced on its own disk.
    pub durable: Index,
    /// Commit index known to the node.
    pub commit: Index,
    /// Index of the newest snapshot; 0 without a snapshot.
    pub compacted: Index,
    /// Size of the entries that are held in memory, in bytes.
    #[serde(default)]
    pub log_bytes: u64,
    /// Size of the newest snapshot in bytes; 0 without a snapshot.
    #[serde(default)]
    pub snapshot_bytes: u64,
    /// Latest membership, committed or not.
    pub config: Config,
    /// Whether the latest membership is committed.
    #[serde(rename = "settled")]
    pub config_committed: bool,
    /// Voters whose disks are proved lost.
    #[serde(default)]
    pub lost: Vec<Identity>,
    /// Parts of the voters to which a majority of the arbiters has granted that they act.
    #[serde(default)]
    pub grants: Vec<BTreeSet<Identity>>,
    /// Whether it has asked the arbiters for a grant a moment ago.
    #[serde(default)]
    pub asking: bool,
    /// Progress of the other members; empty unless it is the leader.
    pub peers: Vec<PeerStatus>,
}
