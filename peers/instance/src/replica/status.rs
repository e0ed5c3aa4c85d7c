//! Status reports of a replica.

use std::net::SocketAddr;

use pimentotide_consensus::{Index, Status};
use pimentotide_model::{InstanceName, Term};
use serde::{Deserialize, Serialize};

/// Health of a replica's disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiskHealth {
    /// No write has failed.
    Good,
    /// A write failed or timed out, or a snapshot could not be restored; the
    /// replica no longer takes part in the log.
    Failed(String),
}

/// Status of a replica, as `replica_status` returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Status of its log.
    pub log: Status,
    /// Address at which it accepts messages of other replicas.
    pub address: SocketAddr,
    /// Last position applied to the machine.
    pub applied: Index,
    /// Health of its disk.
    pub disk: DiskHealth,
    /// Addresses of the replicas that have sent it messages.
    #[serde(default)]
    pub senders: Vec<SocketAddr>,
}

/// Leader as seen by one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderView {
    /// Current term of the replica.
    pub term: Term,
    /// Name and address of the leader; `None` while either is unknown.
    pub leader: Option<(InstanceName, SocketAddr)>,
    /// Whether this replica is the leader.
    pub here: bool,
}
