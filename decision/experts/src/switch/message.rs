//! Messages of a switch between coordinator, leading rank and ranks.
//!
//! Each message states a fact and may be lost, late or sent twice: a receiver
//! takes in what is newer than what it knows and drops the rest.

use std::sync::Arc;

use pimentotide_model::{Fence, Incarnation};
use serde::{Deserialize, Serialize};

use crate::{Command, DecidedMap, ExpertMap, Load, MapId};

/// Rank whose agent leads the steps.
pub const LEADING_RANK: u16 = 0;

/// Term of the leading rank and round of grants within it; only rises.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Fencing number of the term.
    pub term: Fence,
    /// Round of grants.
    pub round: u32,
}

/// Steps that all ranks run under one map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// First step.
    pub first: u64,
    /// Step after the last.
    pub end: u64,
    /// Map.
    pub map: MapId,
}

/// Place that a message goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Peer {
    /// Coordinator of the group, wherever it is.
    Coordinator,
    /// Leader of the steps.
    Leader,
    /// Agent of a rank.
    Rank(u16),
}

/// What a coordinator orders; carries a fencing number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MapOrder {
    /// Load the weights of a map.
    Stage {
        /// Identity.
        id: MapId,
        /// Content.
        map: Arc<ExpertMap>,
        /// What this rank has to load.
        loads: Vec<Load>,
    },
    /// Free the weights of a map that will not be used any more.
    Discard {
        /// Identity.
        id: MapId,
    },
    /// A map is decided; goes to the leader of the steps.
    Decided(DecidedMap),
}

/// What a rank's agent knows of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankStatus {
    /// Rank.
    pub rank: u16,
    /// Start of the agent.
    pub incarnation: Incarnation,
    /// Grants that the agent honours.
    pub epoch: Epoch,
    /// Last step started.
    pub step: u64,
    /// Map of the last step.
    pub active: Option<MapId>,
    /// Maps whose weights are in place.
    pub ready: Vec<MapId>,
    /// Maps whose weights are being loaded.
    pub loading: Vec<MapId>,
    /// Map whose weights the rank cannot load.
    pub failed: Option<MapId>,
    /// Lowest fencing number that the agent accepts, once it has learnt it.
    pub floor: Option<Fence>,
}

/// Message between two machines of a switch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Coordinator to rank or leader.
    Order {
        /// Fencing number of the coordinator.
        fence: Fence,
        /// Order.
        order: MapOrder,
    },
    /// Coordinator to a rank that has started.
    Welcome {
        /// Start that asked.
        incarnation: Incarnation,
        /// Lowest fencing number to accept.
        floor: Fence,
    },
    /// Rank to coordinator and to leader.
    Status(RankStatus),
    /// Leader to rank: closes all older epochs.
    Open {
        /// New epoch.
        epoch: Epoch,
        /// Map that its first steps run under.
        decided: DecidedMap,
    },
    /// Leader to rank: steps of an epoch that have not ended everywhere.
    Grants {
        /// Epoch.
        epoch: Epoch,
        /// Steps with their maps, without gaps.
        grants: Vec<Grant>,
    },
}

/// What a machine of a switch asks its shell to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send(Peer, Message),
    /// Have a command committed and the reply brought back.
    Submit(Command),
    /// Load weights, then report them loaded.
    Load {
        /// Map.
        id: MapId,
        /// Content.
        map: Arc<ExpertMap>,
        /// What to load; all of the rank's experts if none.
        loads: Option<Vec<Load>>,
    },
    /// Free the staged weights of a map.
    Free(MapId),
    /// Give up the step that runs.
    Abort(u64),
    /// Run a step.
    Run {
        /// Epoch that granted the step.
        epoch: Epoch,
        /// Step.
        step: u64,
        /// Map.
        map: MapId,
    },
}
