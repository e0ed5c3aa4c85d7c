//! What entries ask of a replica, and what it tells them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use pimentotide_consensus::DiskId;
use pimentotide_fleet::Record;
use pimentotide_model::{InstanceName, ZoneName};
use serde::{Deserialize, Serialize};

use super::beacon::AgentBeacon;

/// Method by which entries follow the shared state.
pub(super) const FOLLOW: &str = "fleet_follow";
/// Method by which a replica asks to become a member.
pub(super) const JOIN: &str = "fleet_join";

/// Method by which agents learn of the other processes.
pub(super) const PROCESSES: &str = "fleet_processes";

/// What an entry knows already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Seen {
    /// Position of the configuration.
    pub(super) declared: u64,
    /// Position of the last change to zones or upstreams.
    pub(super) revision: u64,
}

/// State that was current when the question was asked, or later.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct News {
    /// Configuration, if the entry has another.
    pub(super) declared: Option<Document>,
    /// Zones and upstreams, if the entry has others.
    pub(super) fleet: Option<Fleet>,
    /// Addresses of the replicas for calls.
    pub(super) replicas: Vec<SocketAddr>,
    /// Addresses of the entries that take callers.
    pub(super) entries: Vec<SocketAddr>,
    /// Entries among which limits are divided; zero before any was recorded.
    pub(super) recorded: usize,
}

/// Configuration as the operator sent it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Document {
    /// Position in the log.
    pub(super) index: u64,
    /// Text.
    pub(super) text: String,
}

/// Zones and upstreams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Fleet {
    /// Position of their last change.
    pub(super) revision: u64,
    /// Zones out of service.
    pub(super) closed: BTreeSet<ZoneName>,
    /// Upstreams.
    pub(super) upstreams: Vec<Record>,
}

/// A replica that asks to become a member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Joining {
    /// Name.
    pub(super) name: InstanceName,
    /// Address for calls.
    pub(super) address: SocketAddr,
    /// Identity of its disk.
    pub(super) disk: DiskId,
}

/// Processes that are alive.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Processes {
    /// Addresses of the replicas for calls.
    pub(super) replicas: Vec<SocketAddr>,
    /// Addresses of the entries for callers.
    pub(super) entries: Vec<SocketAddr>,
    /// Agents.
    pub(super) agents: Vec<AgentBeacon>,
    /// Room of each rank for experts, if the configuration has an engine.
    pub(super) shape: Option<Shape>,
}

/// Room of each rank for experts, in each layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Shape {
    /// Experts that a rank holds, at most.
    pub(super) places: usize,
    /// Experts new to a rank in one change, at most.
    pub(super) spare: usize,
}
