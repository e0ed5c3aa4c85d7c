//! Beacons by which processes tell others that they are there.
//!
//! Sent as datagrams: entries and agents to every replica, so that each replica
//! knows all of them without asking another one, and agents to every entry. A
//! lost one is made up for by the next.

use std::net::SocketAddr;

use derive_more::From;
use serde::{Deserialize, Serialize};

use super::unix_millis;

/// Largest beacon, bytes.
pub(super) const MAX_BEACON_BYTES: usize = 512;

/// What a process tells.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Beacon {
    /// An entry is there.
    Entry(EntryBeacon),
    /// An agent is there.
    Agent(AgentBeacon),
}

/// What an entry tells replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EntryBeacon {
    /// Address for callers.
    pub(super) callers: SocketAddr,
    /// Whether callers may be sent there.
    pub(super) accepting: bool,
    /// Whether the process is about to end.
    pub(super) stopping: bool,
    /// Place among the beacons of this address.
    pub(super) order: Order,
}

/// What an agent tells replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AgentBeacon {
    /// Address for calls.
    pub(super) calls: SocketAddr,
    /// Address of its engine.
    pub(super) engine: SocketAddr,
    /// Place of its engine in a group.
    pub(super) seat: Option<Seat>,
    /// Place among the beacons of this address.
    pub(super) order: Order,
}

/// Place of an engine in a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct Seat {
    /// Group.
    pub(super) group: String,
    /// Number of times that the group was formed.
    pub(super) epoch: u64,
    /// Rank.
    pub(super) rank: u16,
}

/// Place of a beacon among those of one sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct Order {
    /// Start of the process, ms of the Unix epoch.
    pub(super) born: u64,
    /// Number since the start.
    pub(super) sequence: u64,
}

impl Order {
    /// Place before the first beacon of a process that starts now.
    pub(super) fn start() -> Self {
        Self {
            born: unix_millis(),
            sequence: 0,
        }
    }

    /// Place of the next beacon.
    pub(super) fn advance(&mut self) -> Self {
        self.sequence += 1;
        *self
    }
}
