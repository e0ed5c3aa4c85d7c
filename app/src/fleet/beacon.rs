//! Beacons with which processes announce themselves.
//!
//! Entries and agents send them as datagrams to every replica, so that each
//! replica has all of them without asking another one. A lost beacon is
//! replaced by the next.

use std::net::SocketAddr;

use derive_more::From;
use pimentotide_model::ZoneName;
use serde::{Deserialize, Serialize};

use super::unix_millis;

/// Maximum size of an encoded beacon.
pub(super) const MAX_BEACON_BYTES: usize = 512;

/// Announcement of one process.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Beacon {
    /// From an entry.
    Entry(EntryBeacon),
    /// From an agent.
    Agent(AgentBeacon),
    /// From an agent whose engine is slow, or was until recently.
    Slow(SlowBeacon),
}

/// State that an entry announces to the replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EntryBeacon {
    /// Address for callers.
    pub(super) callers: SocketAddr,
    /// Whether the directory may list this entry.
    pub(super) accepting: bool,
    /// Whether the process is shutting down.
    pub(super) stopping: bool,
    /// Version of this beacon.
    pub(super) order: BeaconVersion,
}

/// State that an agent announces to the replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AgentBeacon {
    /// Address for calls.
    pub(super) calls: SocketAddr,
    /// Address of its engine.
    pub(super) engine: SocketAddr,
    /// Availability zone of the instance.
    pub(super) zone: ZoneName,
    /// Seat of its engine; `None` outside a group.
    pub(super) seat: Option<Seat>,
    /// Version of this beacon.
    pub(super) order: BeaconVersion,
}

/// Pace that an agent announces to the replicas while its engine is slow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SlowBeacon {
    /// Address for calls.
    pub(super) calls: SocketAddr,
    /// Address of its engine.
    pub(super) engine: SocketAddr,
    /// Time per unit of work of its engine relative to a normal one, percent.
    pub(super) pace: u16,
    /// Version of this beacon.
    pub(super) order: BeaconVersion,
}

/// Rank of an engine within one epoch of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct Seat {
    /// Name of the group.
    pub(super) group: String,
    /// Counts how often the group was formed.
    pub(super) epoch: u64,
    /// Rank within the group, from 0.
    pub(super) rank: u16,
}

/// Order of a beacon among those of one address; later beacons compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct BeaconVersion {
    /// Start of the process, ms since the Unix epoch.
    pub(super) born: u64,
    /// Beacons sent since the start.
    pub(super) sequence: u64,
}

impl BeaconVersion {
    /// Returns the version that precedes the first beacon of a process starting now.
    pub(super) fn start() -> Self {
        Self {
            born: unix_millis(),
            sequence: 0,
        }
    }

    /// Advances to the next beacon and returns its version.
    pub(super) fn advance(&mut self) -> Self {
        self.sequence += 1;
        *self
    }
}
