//! Messages of the directory.

use pimentotide_model::{
    Announcement, Fence, Incarnation, InstanceName, Revision, UpstreamName, Warmth, ZoneName,
};
use serde::{Deserialize, Serialize};

/// Announcement and its position among those of one incarnation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Increases with each change within an incarnation.
    pub sequence: u64,
    /// What the agent announces.
    pub announcement: Announcement,
}

impl Notice {
    /// Sort key among all notices of one upstream: incarnation, then sequence.
    pub fn rank(&self) -> (Incarnation, u64) {
        (self.announcement.incarnation, self.sequence)
    }
}

/// Heartbeat of an agent whose announcement has not changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Upstream of the agent.
    pub upstream: UpstreamName,
    /// Incarnation announced.
    pub incarnation: Incarnation,
    /// Sequence announced.
    pub sequence: u64,
    /// Revision of the configuration that the agent has in force.
    pub revision: Revision,
    /// Highest fencing token accepted or received as a floor by the agent.
    pub fence: Fence,
    /// Warm-up state of the upstream.
    pub warmth: Warmth,
}

/// Heartbeat of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Name of the entry's instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Revision of the configuration that it has in force.
    pub revision: Revision,
    /// Whether its currency lease is valid.
    pub current: bool,
}

/// Report to a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// Full announcement of an agent.
    Whole {
        /// Announcement with its sequence.
        notice: Notice,
        /// Warm-up state of the upstream.
        warmth: Warmth,
    },
    /// Heartbeat of an agent whose announcement has not changed.
    Beat(Heartbeat),
    /// Heartbeat of an entry.
    Entry(Presence),
}

/// Answer to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportAnswer {
    /// The report is stored, or an equal or newer one already is.
    Kept,
    /// The replica lacks the announcement; the agent has to send it whole.
    Unknown,
    /// A newer incarnation of this upstream is known.
    Outdated {
        /// Highest incarnation known.
        highest: Incarnation,
    },
    /// The report is malformed or the directory is full.
    Refused,
}

/// Position in the directory of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Identifies one start of one replica.
    pub epoch: u64,
    /// Increases with each change of the directory.
    pub version: u64,
    /// Whether the replica has run long enough to have a report of every live upstream.
    pub settled: bool,
}

/// Upstream that was removed from the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Incarnation and sequence that were removed.
    pub rank: (Incarnation, u64),
}

/// Part of the directory that a follower lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegistryUpdate {
    /// Position after the update.
    pub mark: Mark,
    /// Whether `present` holds all upstreams.
    pub whole: bool,
    /// Upstreams added or changed.
    pub present: Vec<Notice>,
    /// Upstreams removed.
    pub gone: Vec<Departure>,
}
