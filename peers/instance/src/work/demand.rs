//! Demand that an entry states to an agent, and what the agent answers.

use pimentotide_model::{Incarnation, InstanceName, LoadReport};
use pimentotide_outcome::LedgerEpoch;
use pimentotide_routing::{CreditId, EntryDemand, Grant};
use serde::{Deserialize, Serialize};

/// Requests that wait in an entry; empty withdraws what was stated before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandOrder {
    /// Entry that asks.
    pub entry: InstanceName,
    /// What waits there.
    pub demand: EntryDemand,
    /// Credits that the entry has no use for.
    pub returned: Vec<CreditId>,
}

/// Credits granted, as soon as there are some.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandAnswer {
    /// Credits for the entry that asked.
    pub grants: Vec<Grant>,
}

/// Request for what an agent knows of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsOrder {
    /// Start of the upstream that the entry knows.
    pub incarnation: Incarnation,
    /// Last cache event that the entry has.
    pub sequence: u64,
}

/// What an agent knows of its upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Memory of claims that the agent has.
    pub epoch: LedgerEpoch,
    /// Load.
    pub report: LoadReport,
    /// Cache events that follow, oldest first; some may be missing.
    pub events: Vec<BlockEvent>,
}

/// One change of the upstream's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockEvent {
    /// Position in the upstream's sequence of events, from 1.
    pub sequence: u64,
    /// Whether the block is stored rather than evicted.
    pub stored: bool,
    /// Hash of the block.
    pub block: u64,
}
