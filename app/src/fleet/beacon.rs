//! Beacons by which entries tell all replicas that they take callers.
//!
//! Sent as datagrams to every replica, so that each knows all entries without
//! asking another replica. A lost one is made up for by the next.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Largest beacon, bytes.
pub(super) const MAX_BEACON_BYTES: usize = 512;

/// What an entry tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Beacon {
    /// Address for callers.
    pub(super) callers: SocketAddr,
    /// Availability zone.
    pub(super) zone: String,
    /// Whether callers may be sent there.
    pub(super) accepting: bool,
    /// Whether the process is about to end.
    pub(super) stopping: bool,
    /// Start of the process, ms of the Unix epoch.
    pub(super) born: u64,
    /// Number of the beacon since the start.
    pub(super) sequence: u64,
}
