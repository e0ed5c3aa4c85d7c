//! Messages of a switch between coordinator, leader and ranks.
//!
//! Each message holds state and may be lost, delayed or duplicated: a receiver
//! applies newer state and ignores the rest.

use std::sync::Arc;

use pimentotide_model::{Fence, Incarnation};
use serde::{Deserialize, Serialize};

use crate::{Command, DecidedMap, ExpertMap, Load, MapId};

/// Rank whose agent leads the steps.
pub const LEADING_RANK: u16 = 0;

/// Term of the leader and round of grants within it; never decreases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Fencing token of the term.
    pub term: Fence,
    /// Round of grants, from 1.
    pub round: u32,
}

/// Range of steps that all ranks run under one map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// First step.
    pub first: u64,
    /// End, exclusive.
    pub end: u64,
    /// Map that the steps run under.
    pub map: MapId,
}

/// Destination of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Peer {
    /// Current coordinator of the group.
    Coordinator,
    /// Leader of the steps.
    Leader,
    /// Agent of a rank.
    Rank(u16),
}

/// Order of a coordinator, sent with its fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MapOrder {
    /// Load the weights of a map.
    Stage {
        /// Identity.
        id: MapId,
        /// Content.
        map: Arc<ExpertMap>,
        /// Experts that this rank has to load.
        loads: Vec<Load>,
    },
    /// Free the weights of a map that is no longer used.
    Discard {
        /// Identity.
        id: MapId,
    },
    /// A map is decided; sent to the leader.
    Decided(DecidedMap),
}

/// Status that a rank's agent reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankStatus {
    /// Rank.
    pub rank: u16,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Newest epoch received; grants of other epochs are ignored.
    pub epoch: Epoch,
    /// Last step started.
    pub step: u64,
    /// Map of the last step.
    pub active: Option<MapId>,
    /// Maps whose weights are in place.
    pub ready: Vec<MapId>,
    /// Maps whose weights are being loaded.
    pub loading: Vec<MapId>,
    /// Map whose weights failed to load last.
    pub failed: Option<MapId>,
    /// Lowest fencing token that the agent accepts; `None` until received after a start.
    pub floor: Option<Fence>,
}

/// Message between two state machines of a switch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Coordinator to rank or leader.
    Order {
        /// Fencing token of the coordinator.
        fence: Fence,
        /// Order.
        order: MapOrder,
    },
    /// Coordinator to a rank that has started.
    Welcome {
        /// Incarnation of the agent that the floor applies to.
        incarnation: Incarnation,
        /// Lowest fencing token to accept.
        floor: Fence,
    },
    /// Rank to coordinator and to leader.
    Status(RankStatus),
    /// Leader to rank: opens an epoch and closes all older ones.
    Open {
        /// New epoch.
        epoch: Epoch,
        /// Map that the first steps of the epoch run under.
        decided: DecidedMap,
    },
    /// Leader to rank: steps of an epoch that some rank has not finished.
    Grants {
        /// Epoch.
        epoch: Epoch,
        /// Ranges of steps without gaps between them.
        grants: Vec<Grant>,
    },
}

/// Side effect that a state machine of a switch requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send(Peer, Message),
    /// Commit a command in the log and return the reply.
    Submit(Command),
    /// Load weights, then report the result.
    Load {
        /// Map.
        id: MapId,
        /// Content.
        map: Arc<ExpertMap>,
        /// Experts to load; all of the rank's experts if `None`.
        loads: Option<Vec<Load>>,
    },
    /// Free the staged weights of a map.
    Free(MapId),
    /// Abort this step, which is running.
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
