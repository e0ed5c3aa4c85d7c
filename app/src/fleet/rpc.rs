//! RPC methods of the control replicas and their messages.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pimentotide_consensus::DiskId;
use pimentotide_fleet::{CrashReport, Delta, LimitReport, Record, SlowEngine, UpstreamDelta};
use pimentotide_model::{Fingerprint, InstanceName, ZoneName};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::beacon::AgentBeacon;

/// Method with which entries follow the shared state by long polling.
pub(super) const FOLLOW: &str = "fleet_follow";
/// Method with which entries report crashes and limits of upstreams, and sound runs of suspected contents.
pub(super) const REPORT: &str = "fleet_report";
/// Method with which a replica requests to become a member.
pub(super) const JOIN: &str = "fleet_join";
/// Method with which agents read the list of processes; takes the group whose agents to list, or none.
pub(super) const PROCESSES: &str = "fleet_processes";

/// Positions in the log up to which an entry has the shared state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SeenRevisions {
    /// Position of the configuration.
    pub(super) declared: u64,
    /// Position of the last change to zones or upstreams.
    pub(super) revision: u64,
    /// Position of the last change to suspected contents; `None` from entries that do not follow them.
    #[serde(default)]
    pub(super) suspects: Option<u64>,
    /// Position of the last change to limits; `None` from entries that do not follow them.
    #[serde(default)]
    pub(super) limits: Option<u64>,
    /// Whether the entry takes deltas from what it has; omitted unless it does.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) changes: bool,
}

/// Shared state, at least as recent as the request for it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct StateUpdate {
    /// Configuration; `None` if the entry has it already or receives a delta.
    pub(super) declared: Option<Document>,
    /// Delta to the configuration; only for entries that take deltas.
    #[serde(default)]
    pub(super) delta: Option<Delta>,
    /// Zones and upstreams; `None` if the entry has them already or receives a delta.
    pub(super) fleet: Option<FleetView>,
    /// Delta to the zones and upstreams; only for entries that take deltas.
    #[serde(default)]
    pub(super) upstreams: Option<UpstreamDelta>,
    /// Compact encoding of the suspected and refused contents; `None` if the entry has them already.
    #[serde(default)]
    pub(super) suspects: Option<String>,
    /// Compact encoding of the limits of upstreams; `None` if the entry has them already.
    #[serde(default)]
    pub(super) limits: Option<String>,
    /// Addresses of the replicas for calls.
    pub(super) replicas: Vec<SocketAddr>,
    /// Addresses of the entries that callers may use.
    pub(super) entries: Vec<SocketAddr>,
    /// Number of entries that share the limits; zero until recorded.
    pub(super) recorded: usize,
    /// Engines slower than normal.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) slow: Vec<SlowEngine>,
}

/// [`StateUpdate`] as a replica sends it: the configuration is encoded once for all entries.
#[derive(Clone, Debug, Serialize)]
pub(super) struct EncodedUpdate {
    /// Encoded [`Document`]; `None` if the entry has it already or receives a delta.
    pub(super) declared: Option<Arc<RawValue>>,
    /// Encoded [`Delta`]; only for entries that take deltas.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) delta: Option<Arc<RawValue>>,
    /// Zones and upstreams; `None` if the entry has them already or receives a delta.
    pub(super) fleet: Option<FleetView>,
    /// Delta to the zones and upstreams; only for entries that take deltas.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) upstreams: Option<UpstreamDelta>,
    /// Compact encoding of the suspected and refused contents; `None` if the entry has them already.
    pub(super) suspects: Option<String>,
    /// Compact encoding of the limits of upstreams; `None` if the entry has them already.
    pub(super) limits: Option<String>,
    /// Addresses of the replicas for calls.
    pub(super) replicas: Vec<SocketAddr>,
    /// Addresses of the entries that callers may use.
    pub(super) entries: Vec<SocketAddr>,
    /// Number of entries that share the limits; zero until recorded.
    pub(super) recorded: usize,
    /// Engines slower than normal.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) slow: Vec<SlowEngine>,
}

/// Configuration in the form in which the operator sent it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Document {
    /// Its position in the log.
    pub(super) index: u64,
    /// YAML text.
    pub(super) text: String,
}

/// Zones and upstreams at one position of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct FleetView {
    /// Position of the last change to them.
    pub(super) revision: u64,
    /// Zones out of service.
    pub(super) closed: BTreeSet<ZoneName>,
    /// Records of all upstreams.
    pub(super) upstreams: Vec<Record>,
}

/// Observations of an entry that all entries share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EntryReports {
    /// Crashes with what ran there.
    pub(super) crashes: Vec<CrashReport>,
    /// Suspected contents and parts that ran soundly.
    pub(super) sound: Vec<Fingerprint>,
    /// Limits that upstreams name or no longer name.
    #[serde(default)]
    pub(super) limits: Vec<LimitReport>,
}

/// Request of a replica to become a member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct JoinRequest {
    /// Name of the replica.
    pub(super) name: InstanceName,
    /// Address for calls.
    pub(super) address: SocketAddr,
    /// Identity of its disk.
    pub(super) disk: DiskId,
    /// Whether another replica has passed the request on to the leader.
    #[serde(default)]
    pub(super) forwarded: bool,
}

/// Processes that are alive by their beacons, and the expert capacity of ranks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Processes {
    /// Addresses of the replicas for calls.
    pub(super) replicas: Vec<SocketAddr>,
    /// Latest beacon of each agent of the requested group.
    pub(super) agents: Vec<AgentBeacon>,
    /// Expert capacity of each rank; `None` unless the configuration has an engine with experts.
    pub(super) shape: Option<RankCapacity>,
}

/// Expert capacity of a rank, per layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RankCapacity {
    /// Maximum experts that a rank holds.
    pub(super) places: usize,
    /// Maximum experts added to a rank in one change.
    pub(super) spare: usize,
    /// Time in which a rank receives one expert.
    pub(super) copy_time: Duration,
}
