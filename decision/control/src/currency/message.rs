//! Messages between a holder and the replica that it watches.

use std::time::Duration;

use pimentotide_model::{Declarations, Fence, Fingerprint, InstanceName, Revision, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::directory::{Mark, RegistryUpdate};
use crate::machine::Change;

/// Configuration that a holder has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Its revision.
    pub revision: Revision,
    /// Its digest.
    pub digest: Fingerprint,
}

/// Request for news, held by the replica until there is some.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Instance that asks.
    pub instance: InstanceName,
    /// Upstream of the agent that asks; none for an entry.
    pub upstream: Option<UpstreamName>,
    /// Configuration held; none asks for the whole.
    pub held: Option<Held>,
    /// Directory held; none asks for the whole. Agents ask for no directory.
    pub mark: Option<Mark>,
    /// Whether the directory of upstreams is asked for.
    pub directory: bool,
    /// Whether the answer is wanted at once, news or not.
    pub eager: bool,
}

/// What the holder lacks of the configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// Nothing.
    Same,
    /// Changes that follow the revision held.
    Changes(Vec<Change>),
    /// All of it.
    Whole(Declarations),
}

/// News, and the lease that they come with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Revision in force.
    pub revision: Revision,
    /// Digest of the configuration in force.
    pub digest: Fingerprint,
    /// What the holder lacks of it.
    pub update: Update,
    /// Time for which it may be acted on, counted from sending the request.
    pub lease: Duration,
    /// Lowest fencing number that the agent's upstream may still accept.
    pub floor: Fence,
    /// What the holder lacks of the directory; none if it did not ask.
    pub directory: Option<RegistryUpdate>,
}
