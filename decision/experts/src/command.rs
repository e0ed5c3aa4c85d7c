//! Commands of the replicated log and their replies.

use std::sync::Arc;

use derive_more::Display;
use pimentotide_model::{Fence, GroupName, Incarnation, InstanceName, OrderId, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::{
    Change, DecidedMap, ExpertMap, GroupState, Layout, Lease, LeaseRequest, MapError, MapId, Order,
    PlanCost, Progress,
};

/// Change to the replicated state; takes effect once it is committed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Creates a group with its first map.
    Form {
        /// Group.
        group: GroupName,
        /// Layout of the group.
        layout: Layout,
        /// First map.
        map: Arc<ExpertMap>,
    },
    /// Makes one instance the coordinator of a group.
    Take {
        /// Group.
        group: GroupName,
        /// Instance that becomes the coordinator.
        holder: InstanceName,
        /// Identifies the start of the instance; the same when the command is resent.
        nonce: u64,
    },
    /// Opens a new term for the agent of the leading rank.
    Lead {
        /// Group.
        group: GroupName,
        /// Incarnation of the leading rank's agent.
        incarnation: Incarnation,
    },
    /// Admits a rank whose agent has started; the reply holds its floor of fencing tokens.
    Admit {
        /// Group.
        group: GroupName,
        /// Fencing token of the coordinator.
        fence: Fence,
        /// Rank.
        rank: u16,
        /// Incarnation of the rank's agent.
        incarnation: Incarnation,
    },
    /// Assigns a map its identity, so that ranks can load it.
    Stage {
        /// Group.
        group: GroupName,
        /// Fencing token of the coordinator.
        fence: Fence,
        /// Map.
        map: Arc<ExpertMap>,
    },
    /// Decides that a staged map replaces the current one.
    Decide {
        /// Group.
        group: GroupName,
        /// Fencing token of the coordinator.
        fence: Fence,
        /// Map.
        id: MapId,
        /// First step that may run under the map.
        step: u64,
    },
    /// Abandons a staged map.
    Abandon {
        /// Group.
        group: GroupName,
        /// Fencing token of the coordinator.
        fence: Fence,
        /// Map.
        id: MapId,
    },
    /// Records that all ranks run under the decided map.
    Settle {
        /// Group.
        group: GroupName,
        /// Fencing token of the coordinator.
        fence: Fence,
        /// Map.
        id: MapId,
        /// Step that every rank has reached under the map.
        step: u64,
    },
    /// Sets the rate of the weights store, bytes per second.
    SetRate(u64),
    /// Leases a share of the weights store.
    Borrow(LeaseRequest),
    /// Releases a leased share.
    GiveBack(OrderId),
    /// Charges a plan to the bytes that rebalancing may move in a group.
    Spend {
        /// Group.
        group: GroupName,
        /// Bytes allowed per hour.
        hourly: u64,
        /// Plan to charge.
        plan: PlanCost,
    },
    /// Orders an upstream to change its state.
    Order {
        /// Upstream.
        upstream: UpstreamName,
        /// Identifier; the same when the order is resent.
        id: OrderId,
        /// State to reach.
        change: Change,
    },
    /// Records the final progress of an order.
    Finish {
        /// Upstream.
        upstream: UpstreamName,
        /// Identifier of the order.
        id: OrderId,
        /// Final progress.
        end: Progress,
    },
    /// Removes expired leases, and cold starts whose waiting time has expired.
    Expire,
}

/// Reason why a command was rejected; a rejected command changes no state.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The command carries an outdated fencing token.
    #[display("outdated fencing token")]
    Fenced,
    /// The group does not exist.
    #[display("unknown group")]
    UnknownGroup,
    /// The group exists with another layout.
    #[display("the group exists with another layout")]
    Exists,
    /// The maximum number of groups is reached.
    #[display("too many groups")]
    Full,
    /// Another switch has not ended.
    #[display("another switch is in flight")]
    InFlight,
    /// The map is neither staged nor decided.
    #[display("the map is not staged")]
    NotStaged,
    /// The budget is exhausted.
    #[display("the budget is exhausted")]
    Budget,
    /// The identifier belongs to another order.
    #[display("the identifier belongs to another order")]
    KeyMismatch,
    /// The map is invalid for the layout of the group.
    #[display("invalid map: {_0}")]
    BadMap(MapError),
}

/// Reply to a committed command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The command was applied.
    Done,
    /// The sender coordinates the group under this fencing token.
    Taken {
        /// Fencing token.
        fence: Fence,
        /// Current state of the group.
        group: Box<GroupState>,
    },
    /// The sender leads the steps in this term.
    Leading {
        /// Fencing token of the term.
        fence: Fence,
        /// Latest decided map.
        decided: DecidedMap,
    },
    /// The rank is admitted.
    Admitted {
        /// Rank.
        rank: u16,
        /// Incarnation of the rank's agent.
        incarnation: Incarnation,
        /// Lowest fencing token that the rank may accept.
        floor: Fence,
        /// Latest decided map.
        decided: DecidedMap,
    },
    /// The map is staged under this identity.
    Staged(MapId),
    /// The map is decided.
    Decided(DecidedMap),
    /// The map is abandoned.
    Abandoned(MapId),
    /// The switch has ended.
    Settled(MapId),
    /// The plan with this identifier is charged.
    Paid(OrderId),
    /// A share of the weights store.
    Leased(Lease),
    /// The order as committed.
    Ordered(Order),
    /// The command was rejected.
    Refused(Refusal),
}
