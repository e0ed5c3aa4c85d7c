//! A rank whose engine carries out orders about its expert map, and what it tells.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Place of an engine in its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Group.
    pub group: String,
    /// Number of times that the group was formed.
    pub epoch: u64,
    /// Rank.
    pub rank: u16,
    /// Whether the group runs.
    pub open: bool,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Place in its group, if it is in one.
    pub membership: Option<Membership>,
    /// Ranks of the group.
    pub size: u16,
    /// Start of the engine, ms of the Unix epoch.
    pub born: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Tokens held in memory.
    pub used: u64,
    /// Tokens that fit into the memory.
    pub memory: u64,
    /// Time of its work relative to an ordinary engine.
    pub pace: f64,
    /// Orders accepted since the start.
    pub sequence: u64,
    /// Last pass begun.
    pub step: u64,
    /// Version of the expert map in use.
    pub map: u64,
    /// Version whose experts are in place.
    pub prepared: Option<u64>,
    /// Version that it will switch to.
    pub armed: Option<u64>,
    /// Pass that is held back.
    pub held: Option<u64>,
}

/// How often a rank's requests chose each expert since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PickedExperts {
    /// Epoch of the group.
    pub epoch: u64,
    /// Times chosen, layer after layer.
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

/// Order to an engine about its expert map.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineOrder {
    /// Copies the experts that the map needs here.
    #[display("prepare {version}")]
    Prepare {
        /// Version of the map.
        version: u64,
        /// Experts by layer and rank.
        experts: Vec<Vec<Vec<u16>>>,
    },
    /// Switches to a prepared map as a pass begins.
    #[display("arm {version} at {step}")]
    Arm {
        /// Version of the map.
        version: u64,
        /// Pass.
        step: u64,
    },
    /// Takes an arming back.
    #[display("disarm {version}")]
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Keeps the group from beginning a pass.
    #[display("hold {step}")]
    Hold {
        /// Pass.
        step: u64,
    },
    /// Lets the group begin a pass that is held back.
    #[display("go {step}")]
    Go {
        /// Pass.
        step: u64,
    },
}

/// An order with what protects it from being carried out in another state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Order.
    pub order: EngineOrder,
    /// Epoch of the group that it is meant for.
    pub epoch: u64,
    /// Fencing number; an engine that has seen a higher one refuses.
    pub fence: u64,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// It has begun, or what it asks for holds.
    #[display("accepted")]
    Accepted,
    /// It does not fit the engine's state.
    #[display("refused")]
    Refused,
    /// A higher fencing number was seen.
    #[display("fenced")]
    Fenced,
}
