//! Messages of the directory.

use pimentotide_model::{
    Announcement, Fence, Incarnation, InstanceName, Revision, UpstreamName, Warmth, ZoneName,
};
use serde::{Deserialize, Serialize};

/// Announcement and its place among those of one incarnation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Rises with each change within an incarnation.
    pub sequence: u64,
    /// What the agent announces.
    pub announcement: Announcement,
}

impl Notice {
    /// Order among all notices of one upstream.
    pub fn rank(&self) -> (Incarnation, u64) {
        (self.announcement.incarnation, self.sequence)
    }
}

/// Sign of life of an agent whose announcement has not changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Upstream of the agent.
    pub upstream: UpstreamName,
    /// Incarnation announced.
    pub incarnation: Incarnation,
    /// Sequence announced.
    pub sequence: u64,
    /// Configuration that the agent has in force.
    pub revision: Revision,
    /// Highest fencing number seen by the agent.
    pub fence: Fence,
    /// How far the upstream has warmed up.
    pub warmth: Warmth,
}

/// Sign of life of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Configuration that it has in force.
    pub revision: Revision,
    /// Whether its lease on being current holds.
    pub current: bool,
}

/// Report to a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// All that an agent announces.
    Whole {
        /// Announcement.
        notice: Notice,
        /// How far the upstream has warmed up.
        warmth: Warmth,
    },
    /// An agent is alive and unchanged.
    Beat(Heartbeat),
    /// An entry is alive.
    Entry(Presence),
}

/// Answer to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportAnswer {
    /// Kept.
    Kept,
    /// The replica lacks the announcement; send it whole.
    Unknown,
    /// A newer incarnation of this upstream is known.
    Outdated {
        /// Highest incarnation known.
        highest: Incarnation,
    },
    /// Malformed, or one too many.
    Refused,
}

/// Position in the directory of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Start of the replica.
    pub epoch: u64,
    /// Rises with each change.
    pub version: u64,
    /// Whether the replica had run long enough to know every living upstream.
    pub settled: bool,
}

/// An upstream that is no longer in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Incarnation and sequence that have gone.
    pub rank: (Incarnation, u64),
}

/// What a follower of the directory lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegistryUpdate {
    /// Position that the update leads to.
    pub mark: Mark,
    /// Whether `present` holds all upstreams.
    pub whole: bool,
    /// Upstreams announced or changed.
    pub present: Vec<Notice>,
    /// Upstreams gone.
    pub gone: Vec<Departure>,
}
