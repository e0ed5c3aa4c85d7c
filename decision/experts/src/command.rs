//! Commands of the replicated log and the replies to them.

use std::sync::Arc;

use derive_more::Display;
use pimentotide_model::{Fence, GroupName, Incarnation, InstanceName, OrderId, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::{
    Change, DecidedMap, ExpertMap, GroupState, Layout, Lease, LeaseRequest, MapError, MapId, Order,
    PlanCost, Progress,
};

/// Change to the decided maps, replicated before it takes effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Brings a group into being with its first map.
    Form {
        /// Group.
        group: GroupName,
        /// Shape of the group.
        layout: Layout,
        /// First map.
        map: Arc<ExpertMap>,
    },
    /// Makes one instance the coordinator of a group.
    Take {
        /// Group.
        group: GroupName,
        /// Instance that coordinates from now on.
        holder: InstanceName,
        /// Number that is the same when the command is resent.
        nonce: u64,
    },
    /// Opens a new term of the rank that leads the steps.
    Lead {
        /// Group.
        group: GroupName,
        /// Start of the leading rank's agent.
        incarnation: Incarnation,
    },
    /// Tells a rank that has started the floor of fencing numbers.
    Admit {
        /// Group.
        group: GroupName,
        /// Fencing number of the coordinator.
        fence: Fence,
        /// Rank.
        rank: u16,
        /// Start of the rank's agent.
        incarnation: Incarnation,
    },
    /// Gives a map an identity, so that ranks may load it.
    Stage {
        /// Group.
        group: GroupName,
        /// Fencing number of the coordinator.
        fence: Fence,
        /// Map.
        map: Arc<ExpertMap>,
    },
    /// Decides that a staged map follows the one in force.
    Decide {
        /// Group.
        group: GroupName,
        /// Fencing number of the coordinator.
        fence: Fence,
        /// Map.
        id: MapId,
        /// First step that may run under the map.
        step: u64,
    },
    /// Gives up a staged map.
    Abandon {
        /// Group.
        group: GroupName,
        /// Fencing number of the coordinator.
        fence: Fence,
        /// Map.
        id: MapId,
    },
    /// Records that all ranks run under the decided map.
    Settle {
        /// Group.
        group: GroupName,
        /// Fencing number of the coordinator.
        fence: Fence,
        /// Map.
        id: MapId,
        /// Step that all ranks have run under it.
        step: u64,
    },
    /// Sets the rate of the weights store, bytes in a second.
    SetRate(u64),
    /// Leases a share of the weights store.
    Borrow(LeaseRequest),
    /// Gives a share back.
    GiveBack(OrderId),
    /// Takes bytes out of what rebalancing may move in a group.
    Spend {
        /// Group.
        group: GroupName,
        /// Bytes allowed in an hour.
        hourly: u64,
        /// Plan to pay for.
        plan: PlanCost,
    },
    /// Orders an upstream into another state.
    Order {
        /// Upstream.
        upstream: UpstreamName,
        /// Identifier, the same when the order is resent.
        id: OrderId,
        /// State to reach.
        change: Change,
    },
    /// Records how an order has ended.
    Finish {
        /// Upstream.
        upstream: UpstreamName,
        /// Identifier of the order.
        id: OrderId,
        /// How it has ended.
        end: Progress,
    },
    /// Drops what is past its window.
    Expire,
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The command carries an old fencing number.
    #[display("old fencing number")]
    Fenced,
    /// The group does not exist.
    #[display("unknown group")]
    UnknownGroup,
    /// The group exists with another shape.
    #[display("the group exists")]
    Exists,
    /// No further group fits.
    #[display("no room")]
    Full,
    /// Another switch has not ended.
    #[display("a switch is in flight")]
    InFlight,
    /// The map is neither staged nor decided.
    #[display("the map is not staged")]
    NotStaged,
    /// There is nothing left of the budget.
    #[display("the budget is used up")]
    Budget,
    /// The identifier belongs to another order.
    #[display("the identifier belongs to another order")]
    KeyMismatch,
    /// The map does not fit the group.
    #[display("the map does not fit: {_0}")]
    BadMap(MapError),
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Nothing to tell.
    Done,
    /// The sender coordinates the group under this fencing number.
    Taken {
        /// Fencing number.
        fence: Fence,
        /// Group as it stands.
        group: Box<GroupState>,
    },
    /// The sender leads the steps under this number.
    Leading {
        /// Fencing number of the term.
        fence: Fence,
        /// Map decided last.
        decided: DecidedMap,
    },
    /// The rank belongs to the group.
    Admitted {
        /// Rank.
        rank: u16,
        /// Start of the rank's agent.
        incarnation: Incarnation,
        /// Fencing numbers below this one are refused.
        floor: Fence,
        /// Map decided last.
        decided: DecidedMap,
    },
    /// The map has this identity.
    Staged(MapId),
    /// The map is decided.
    Decided(DecidedMap),
    /// The map is abandoned.
    Abandoned(MapId),
    /// The switch has ended.
    Settled(MapId),
    /// The plan of this identifier is paid for.
    Paid(OrderId),
    /// A share of the weights store.
    Leased(Lease),
    /// The order as it is committed.
    Ordered(Order),
    /// The command changed nothing.
    Refused(Refusal),
}
