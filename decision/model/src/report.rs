//! Announcements and load reports that agents send about their upstreams.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, Fence, GroupName, Incarnation, ModelName, Revision, ServiceKind, ServiceName,
    UpstreamName, VersionName, ZoneName,
};

/// Warm-up state of an upstream.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Warmth {
    /// Just started: limited to the initial allowance.
    #[default]
    #[display("cold")]
    Cold,
    /// The allowance grows with completions.
    #[display("warming")]
    Warming,
    /// Accepts load up to its full limit.
    #[display("warm")]
    Warm,
}

/// Attributes of an upstream that its agent announces; they change rarely.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Incarnation of the upstream process that this announcement describes.
    pub incarnation: Incarnation,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Address of the agent, `IP:PORT`.
    pub address: String,
    /// Whether the upstream is a model engine or a plain service.
    pub kind: ServiceKind,
    /// Services that a plain upstream offers.
    pub services: Vec<ServiceName>,
    /// Models loaded, with their versions.
    pub models: Vec<(ModelName, VersionName)>,
    /// Adapters loaded.
    pub adapters: Vec<AdapterName>,
    /// Maximum concurrent requests when warm.
    pub capacity: u32,
    /// Group whose ranks the upstream hosts, if any.
    pub group: Option<GroupName>,
    /// Whether the upstream is shutting down and accepts no new work.
    pub leaving: bool,
    /// Revision of the configuration that the agent applies.
    pub revision: Revision,
    /// Highest fencing token that the agent has received.
    pub fence: Fence,
}

/// Load of an upstream as measured by its agent; stale by the time it is received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the upstream process that this report describes.
    pub incarnation: Incarnation,
    /// Position in the agent's sequence of reports.
    pub sequence: u64,
    /// Requests in flight.
    pub running: u32,
    /// Requests queued inside the engine.
    pub waiting: u32,
    /// Current limit of concurrent requests.
    pub allowance: u32,
    /// Warm-up state of the upstream.
    pub warmth: Warmth,
    /// Smoothed time to first token, microseconds.
    pub first_token: u64,
    /// Smoothed time between tokens, microseconds.
    pub token_gap: u64,
}
