//! What a replica tells about itself.

use std::net::SocketAddr;

use pimentotide_consensus::{Index, Status};
use pimentotide_model::{InstanceName, Term};
use serde::{Deserialize, Serialize};

/// State of a replica's disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiskHealth {
    /// Writes are synced.
    Good,
    /// A write failed or took too long; the replica is out of action.
    Failed(String),
}

/// What a replica tells about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its part in the log.
    pub log: Status,
    /// Address at which the other replicas reach it.
    pub address: SocketAddr,
    /// Last position applied to the machine.
    pub applied: Index,
    /// State of its disk.
    pub disk: DiskHealth,
}

/// Who leads, as far as a replica knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderView {
    /// Term.
    pub term: Term,
    /// Leader and its address.
    pub leader: Option<(InstanceName, SocketAddr)>,
    /// Whether it is this replica.
    pub here: bool,
}
