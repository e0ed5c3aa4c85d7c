//! Messages between a lease holder and the replica that it watches.

use std::time::Duration;

use pimentotide_model::{Declarations, Fence, Fingerprint, InstanceName, Revision, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::directory::{Mark, RegistryUpdate};
use crate::machine::Change;

/// Identifies the configuration that a holder has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Digest of the configuration.
    pub digest: Fingerprint,
}

/// Long-poll request; the replica holds it until there is an update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Instance that sends the request.
    pub instance: InstanceName,
    /// Upstream of the requesting agent; `None` for an entry.
    pub upstream: Option<UpstreamName>,
    /// Configuration held; `None` requests the whole configuration.
    pub held: Option<Held>,
    /// Directory position held; `None` requests the whole directory. Agents request none.
    pub mark: Option<Mark>,
    /// Whether the directory of upstreams is requested.
    pub directory: bool,
    /// Whether to answer immediately, even without an update.
    pub eager: bool,
}

/// Part of the configuration in force that the holder lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The holder's configuration is in force.
    Same,
    /// Changes after the held revision.
    Changes(Vec<Change>),
    /// All declarations in force.
    Whole(Declarations),
}

/// Update for a holder and the lease granted with it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Revision in force.
    pub revision: Revision,
    /// Digest of the configuration in force.
    pub digest: Fingerprint,
    /// Part of the configuration that the holder lacks.
    pub update: Update,
    /// Time for which the configuration may be acted on, counted from sending the request.
    pub lease: Duration,
    /// Lowest fencing token that the agent's upstream may still accept.
    pub floor: Fence,
    /// Part of the directory that the holder lacks; `None` if it was not requested.
    pub directory: Option<RegistryUpdate>,
}
