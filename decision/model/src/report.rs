//! What upstreams and their agents tell the rest of the deployment.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, Fence, GroupName, Incarnation, ModelName, Revision, ServiceKind, ServiceName,
    UpstreamName, VersionName, ZoneName,
};

/// How much of its full load an upstream can bear.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Warmth {
    /// Just started: bears only the initial allowance.
    #[default]
    #[display("cold")]
    Cold,
    /// Allowance grows with completions.
    #[display("warming")]
    Warming,
    /// Bears its full limit.
    #[display("warm")]
    Warm,
}

/// What an agent announces about its upstream; changes seldom.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Start that this announcement belongs to.
    pub incarnation: Incarnation,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Address of the agent, `IP:PORT`.
    pub address: String,
    /// Whether a model engine or a plain service.
    pub kind: ServiceKind,
    /// Services that a plain upstream offers.
    pub services: Vec<ServiceName>,
    /// Models loaded, with their versions.
    pub models: Vec<(ModelName, VersionName)>,
    /// Adapters loaded.
    pub adapters: Vec<AdapterName>,
    /// Most requests that the upstream runs at once when warm.
    pub capacity: u32,
    /// Group whose ranks the upstream hosts.
    pub group: Option<GroupName>,
    /// Whether the upstream is leaving and takes no new work.
    pub leaving: bool,
    /// Configuration that the agent has in force.
    pub revision: Revision,
    /// Highest fencing number seen by the agent.
    pub fence: Fence,
}

/// Load of an upstream as its agent saw it; arrives late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Start that this report belongs to.
    pub incarnation: Incarnation,
    /// Position in the agent's sequence of reports.
    pub sequence: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Requests that may run at once for now.
    pub allowance: u32,
    /// How far the upstream has warmed up.
    pub warmth: Warmth,
    /// Smoothed time to first token, microseconds.
    pub first_token: u64,
    /// Smoothed time between tokens, microseconds.
    pub token_gap: u64,
}
