//! Orders to load, unload or change role, each carried out once.
//!
//! An order is committed in the log under its identifier before it is sent, so
//! a resent order resolves to the first one. The agent records the orders that it
//! has accepted. An order names a target state, so an agent that lost its records
//! in a restart compares the order with the state that its engine reports.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use derive_more::Display;
use pimentotide_model::{
    AdapterName, ErrorKind, Failure, Fence, ModelName, OrderId, UpstreamName, VersionName,
};
use serde::{Deserialize, Serialize};

/// Maximum number of orders kept for each upstream.
const MAX_ORDERS: usize = 32;

/// Maximum number of upstreams with orders.
const MAX_UPSTREAMS: usize = 4096;

/// Phases of a request that an upstream runs.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    #[display("mixed")]
    Mixed,
    /// Prefill of prompts only.
    #[display("prefill")]
    Prefill,
    /// Decode of answers only.
    #[display("decode")]
    Decode,
}

/// Target state of an order.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// This version of a model is loaded, and no other version of it.
    #[display("load {_0} {_1}")]
    Load(ModelName, VersionName),
    /// No version of the model is loaded.
    #[display("unload {_0}")]
    Unload(ModelName),
    /// The adapter is loaded.
    #[display("load adapter {_0}")]
    LoadAdapter(AdapterName),
    /// The adapter is not loaded.
    #[display("unload adapter {_0}")]
    UnloadAdapter(AdapterName),
    /// The upstream has this role.
    #[display("become {_0}")]
    Become(Role),
}

/// Order to one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifier; the same when the order is resent.
    pub id: OrderId,
    /// Fencing token that the log assigned.
    pub fence: Fence,
    /// Target state.
    pub change: Change,
}

/// State reported by an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Versions loaded, by model.
    pub models: BTreeMap<ModelName, VersionName>,
    /// Adapters loaded.
    pub adapters: BTreeSet<AdapterName>,
    /// Current role.
    pub role: Role,
}

/// Progress of an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The engine has not finished it.
    #[display("running")]
    Running,
    /// The engine is in the target state.
    #[display("done")]
    Done,
    /// The engine failed to reach the target state.
    #[display("failed")]
    Failed,
    /// A newer order on the same subject replaced it.
    #[display("superseded")]
    Superseded,
}

/// Outcome of receiving an order at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The order has to be passed to the engine.
    Execute,
    /// The order needs no action and has this progress.
    Recorded(Progress),
}

/// Orders of all upstreams, equal on every replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderLog {
    upstreams: BTreeMap<UpstreamName, VecDeque<(Order, Progress)>>,
}

/// Orders that one agent has accepted since its start.
#[derive(Clone, Debug, Default)]
pub struct AcceptedOrders {
    floor: Option<Fence>,
    entries: VecDeque<(OrderId, Progress)>,
}

impl Change {
    /// Whether both changes affect the same model, the same adapter or the role.
    fn conflicts_with(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Load(a, _) | Self::Unload(a), Self::Load(b, _) | Self::Unload(b)) => a == b,
            (
                Self::LoadAdapter(a) | Self::UnloadAdapter(a),
                Self::LoadAdapter(b) | Self::UnloadAdapter(b),
            ) => a == b,
            (Self::Become(_), Self::Become(_)) => true,
            _ => false,
        }
    }
}

impl Inventory {
    /// Whether the engine is in the target state of `change`.
    pub fn meets(&self, change: &Change) -> bool {
        match change {
            Change::Load(model, version) => self.models.get(model) == Some(version),
            Change::Unload(model) => !self.models.contains_key(model),
            Change::LoadAdapter(adapter) => self.adapters.contains(adapter),
            Change::UnloadAdapter(adapter) => !self.adapters.contains(adapter),
            Change::Become(role) => self.role == *role,
        }
    }
}

impl OrderLog {
    /// Adds an order under the fencing token `next`, or finds the one with its identifier.
    ///
    /// Supersedes running orders on the same subject. `None` if the identifier belongs
    /// to another change, or the maximum number of upstreams is reached.
    pub fn place(
        &mut self,
        upstream: &UpstreamName,
        id: &OrderId,
        change: &Change,
        next: Fence,
    ) -> Option<Order> {
        if self.upstreams.len() >= MAX_UPSTREAMS && !self.upstreams.contains_key(upstream) {
            return None;
        }
        let orders = self.upstreams.entry(upstream.clone()).or_default();
        if let Some((first, _)) = orders.iter().find(|(o, _)| o.id == *id) {
            return (first.change == *change).then(|| first.clone());
        }
        for (order, progress) in orders.iter_mut() {
            if *progress == Progress::Running && order.change.conflicts_with(change) {
                *progress = Progress::Superseded;
            }
        }
        let order = Order {
            id: id.clone(),
            fence: next,
            change: change.clone(),
        };
        orders.push_back((order.clone(), Progress::Running));
        while orders.len() > MAX_ORDERS {
            orders.pop_front();
        }
        Some(order)
    }

    /// Records the final progress of an order; only the first one counts.
    pub fn finish(&mut self, upstream: &UpstreamName, id: &OrderId, end: Progress) {
        let orders = self.upstreams.get_mut(upstream).into_iter().flatten();
        for (order, progress) in orders {
            if order.id == *id && *progress == Progress::Running {
                *progress = end;
            }
        }
    }

    /// Order to send to `upstream`: the oldest running one.
    ///
    /// Orders are sent one at a time, so that fencing tokens reach an agent in order.
    pub fn next_order(&self, upstream: &UpstreamName) -> Option<Order> {
        self.running(upstream).into_iter().next()
    }

    /// Running orders to `upstream`, oldest first.
    pub fn running(&self, upstream: &UpstreamName) -> Vec<Order> {
        let orders = self.upstreams.get(upstream).into_iter().flatten();
        let running = orders.filter(|(_, p)| *p == Progress::Running);
        running.map(|(order, _)| order.clone()).collect()
    }

    /// Progress of an order; `None` if it is unknown or no longer stored.
    pub fn progress(&self, upstream: &UpstreamName, id: &OrderId) -> Option<Progress> {
        let orders = self.upstreams.get(upstream)?;
        orders.iter().find(|(o, _)| o.id == *id).map(|(_, p)| *p)
    }

    /// Lowest fencing token that the agent of `upstream` accepts after a start.
    ///
    /// Orders are sent one at a time, so the oldest running order was sent last.
    pub fn floor(&self, upstream: &UpstreamName) -> Fence {
        let orders = self.upstreams.get(upstream);
        let running = self.next_order(upstream).map(|o| o.fence);
        let newest = orders.and_then(|o| o.back()).map(|(o, _)| o.fence.next());
        running.or(newest).unwrap_or_default()
    }
}

impl AcceptedOrders {
    /// Raises the floor of fencing tokens; a lower value has no effect.
    pub fn raise_floor(&mut self, floor: Fence) {
        self.floor = self.floor.max(Some(floor));
    }

    /// Lowest fencing token that is accepted; `None` until received after a start.
    pub fn floor(&self) -> Option<Fence> {
        self.floor
    }

    /// Accepts an order; it is done at once if the engine is in the target state.
    ///
    /// # Errors
    ///
    /// Fails with `NotCurrent` until the floor of fencing tokens is received, and with
    /// `Fenced` if the order's token is below it.
    pub fn receive(&mut self, order: &Order, engine: &Inventory) -> Result<Receipt, Failure> {
        let Some(floor) = self.floor else {
            let detail = "the agent has not received its floor of fencing tokens";
            return Err(Failure::new(ErrorKind::NotCurrent, detail));
        };
        if let Some((_, progress)) = self.entries.iter().find(|(id, _)| *id == order.id) {
            return Ok(Receipt::Recorded(*progress));
        }
        if order.fence < floor {
            let detail = format!("fencing token {} is below the floor {floor}", order.fence);
            return Err(Failure::new(ErrorKind::Fenced, detail));
        }
        self.floor = Some(order.fence);
        let met = engine.meets(&order.change);
        let progress = if met {
            Progress::Done
        } else {
            Progress::Running
        };
        self.entries.push_back((order.id.clone(), progress));
        while self.entries.len() > MAX_ORDERS {
            self.entries.pop_front();
        }
        Ok(if met {
            Receipt::Recorded(progress)
        } else {
            Receipt::Execute
        })
    }

    /// Records the final progress of an order.
    pub fn finish(&mut self, id: &OrderId, end: Progress) {
        let entry = self.entries.iter_mut().find(|(entry, _)| entry == id);
        if let Some((_, progress)) = entry {
            *progress = end;
        }
    }
}
