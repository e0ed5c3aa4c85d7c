//! Queries of an entry to an agent: credits for its demand, load and cache events.

use pimentotide_model::{Incarnation, InstanceName, LoadReport};
use pimentotide_outcome::LedgerEpoch;
use pimentotide_routing::{CreditId, EntryDemand, Grant};
use serde::{Deserialize, Serialize};

/// Demand of one entry; replaces the previous one, and an empty one withdraws it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandOrder {
    /// Entry that sends the demand.
    pub entry: InstanceName,
    /// Requests queued in the entry.
    pub demand: EntryDemand,
    /// Unused credits that the entry returns.
    pub returned: Vec<CreditId>,
}

/// Answer to a demand; empty if no credit was granted before the timeout.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandAnswer {
    /// Credits granted to the entry.
    pub grants: Vec<Grant>,
}

/// Request for the load and the new cache events of an agent's upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// Incarnation of the upstream that `sequence` refers to.
    pub incarnation: Incarnation,
    /// Sequence number of the last cache event that the entry received.
    pub sequence: u64,
}

/// Load and cache events of an agent's upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamUpdate {
    /// Epoch of the agent's claim ledger.
    pub epoch: LedgerEpoch,
    /// Load of the upstream.
    pub report: LoadReport,
    /// Cache events after the requested one, oldest first; some may be missing.
    pub events: Vec<BlockEvent>,
}

/// Change of one block in the upstream's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockEvent {
    /// Position in the upstream's sequence of events, from 1.
    pub sequence: u64,
    /// `true` if the block was stored, `false` if it was evicted.
    pub stored: bool,
    /// Hash of the block.
    pub block: u64,
}
