//! Reports of the engine of a rank, and orders about its expert map.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Rank of an engine in its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Name of the group.
    pub group: String,
    /// Number of times that the group has been formed.
    pub epoch: u64,
    /// Rank of the engine, from 0.
    pub rank: u16,
    /// Whether the group is running.
    pub open: bool,
}

/// State of an engine, as it reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Rank in its group; `None` outside a group.
    pub membership: Option<Membership>,
    /// Number of ranks in the group.
    pub size: u16,
    /// Start time of the engine, ms since the Unix epoch.
    pub born: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Tokens cached in memory.
    pub used: u64,
    /// Capacity of the memory, tokens.
    pub memory: u64,
    /// Time per unit of work relative to an engine of normal speed.
    pub pace: f64,
    /// Number of orders accepted since the start.
    pub sequence: u64,
    /// Last pass begun.
    pub step: u64,
    /// Version of the expert map in use.
    pub map: u64,
    /// Map version whose experts are loaded.
    pub prepared: Option<u64>,
    /// Map version to switch to at a coming pass.
    pub armed: Option<u64>,
    /// Pass that is held.
    pub held: Option<u64>,
}

/// Number of times that a rank's requests chose each expert since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PickedExperts {
    /// Epoch of the group.
    pub epoch: u64,
    /// Choices by expert, layer after layer.
    pub counts: Vec<u64>,
}

/// Experts that a rank holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldExperts {
    /// Version of the map.
    pub version: u64,
    /// Experts by layer.
    pub experts: Vec<Vec<u16>>,
}

/// Order to an engine about its expert map or its next pass.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineOrder {
    /// Loads the experts that the map places on this rank.
    #[display("prepare {version}")]
    Prepare {
        /// Version of the map.
        version: u64,
        /// Experts by layer and rank.
        experts: Vec<Vec<Vec<u16>>>,
    },
    /// Switches to a prepared map when a pass begins.
    #[display("arm {version} at {step}")]
    Arm {
        /// Version of the map.
        version: u64,
        /// Pass.
        step: u64,
    },
    /// Cancels an `Arm` order.
    #[display("disarm {version}")]
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Prevents the group from beginning a pass.
    #[display("hold {step}")]
    Hold {
        /// Pass.
        step: u64,
    },
    /// Releases a pass that is held.
    #[display("go {step}")]
    Go {
        /// Pass.
        step: u64,
    },
}

/// Order with the epoch and fencing token that guard against late delivery.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Order.
    pub order: EngineOrder,
    /// Epoch of the group; an engine in another epoch refuses the order.
    pub epoch: u64,
    /// Fencing token; an engine that has received a higher one rejects the order.
    pub fence: u64,
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The order is in progress, or its effect is already in place.
    #[display("accepted")]
    Accepted,
    /// The order does not fit the state of the engine.
    #[display("refused")]
    Refused,
    /// The engine has received a higher fencing token.
    #[display("fenced")]
    Fenced,
}
