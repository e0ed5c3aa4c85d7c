//! Orders to load, unload or change role, and the book that makes each act once.
//!
//! An order is committed in the log under its identifier before it is sent, so
//! a resent order finds the first one. The agent keeps a book of what it has
//! carried out. Orders name the state to reach, so an agent that has lost its
//! book compares the order with what its engine reports.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use derive_more::Display;
use pimentotide_model::{
    AdapterName, ErrorKind, Failure, Fence, ModelName, OrderId, UpstreamName, VersionName,
};
use serde::{Deserialize, Serialize};

/// Orders that are remembered for each upstream.
const MAX_ORDERS: usize = 32;

/// Upstreams that orders are kept for.
const MAX_UPSTREAMS: usize = 4096;

/// What an upstream does for the requests it takes.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts and answers.
    #[default]
    #[display("mixed")]
    Mixed,
    /// Prompts only.
    #[display("prefill")]
    Prefill,
    /// Answers only.
    #[display("decode")]
    Decode,
}

/// State that an order asks for.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Have this version of a model loaded, and no other version of it.
    #[display("load {_0} {_1}")]
    Load(ModelName, VersionName),
    /// Have no version of a model loaded.
    #[display("unload {_0}")]
    Unload(ModelName),
    /// Have an adapter loaded.
    #[display("load adapter {_0}")]
    LoadAdapter(AdapterName),
    /// Have an adapter unloaded.
    #[display("unload adapter {_0}")]
    UnloadAdapter(AdapterName),
    /// Have this role.
    #[display("become {_0}")]
    Become(Role),
}

/// One order to one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifier, the same when the order is resent.
    pub id: OrderId,
    /// Fencing number that the log gave it.
    pub fence: Fence,
    /// State to reach.
    pub change: Change,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Versions loaded, by model.
    pub models: BTreeMap<ModelName, VersionName>,
    /// Adapters loaded.
    pub adapters: BTreeSet<AdapterName>,
    /// Role.
    pub role: Role,
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The engine has not finished it.
    #[display("running")]
    Running,
    /// The engine is in the state asked for.
    #[display("done")]
    Done,
    /// The engine could not reach the state.
    #[display("failed")]
    Failed,
    /// A newer order asks for another state.
    #[display("superseded")]
    Superseded,
}

/// What an agent has to do with an order that it received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// Pass it to the engine.
    Act,
    /// Nothing: this is how far it has come.
    Known(Progress),
}

/// Orders of all upstreams, equal on every replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderLog {
    upstreams: BTreeMap<UpstreamName, VecDeque<(Order, Progress)>>,
}

/// Orders that one agent has carried out.
#[derive(Clone, Debug, Default)]
pub struct OrderBook {
    floor: Option<Fence>,
    entries: VecDeque<(OrderId, Progress)>,
}

impl Change {
    /// Whether both orders are about the same thing.
    fn concerns(&self, other: &Self) -> bool {
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
    /// Whether the engine is in the state that `change` asks for.
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
    /// Takes in an order under the next fencing number, or finds the one with its identifier.
    ///
    /// None if the identifier belongs to another change, or no further upstream fits.
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
        if let Some((known, _)) = orders.iter().find(|(o, _)| o.id == *id) {
            return (known.change == *change).then(|| known.clone());
        }
        for (order, progress) in orders.iter_mut() {
            if *progress == Progress::Running && order.change.concerns(change) {
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

    /// Records how an order has ended; the first ending stands.
    pub fn finish(&mut self, upstream: &UpstreamName, id: &OrderId, end: Progress) {
        let orders = self.upstreams.get_mut(upstream).into_iter().flatten();
        for (order, progress) in orders {
            if order.id == *id && *progress == Progress::Running {
                *progress = end;
            }
        }
    }

    /// Order that is to be sent to `upstream`: the oldest that has not ended.
    ///
    /// Orders go one after another, so that fencing numbers reach an agent in order.
    pub fn next_order(&self, upstream: &UpstreamName) -> Option<Order> {
        self.running(upstream).into_iter().next()
    }

    /// Orders to `upstream` that have not ended, oldest first.
    pub fn running(&self, upstream: &UpstreamName) -> Vec<Order> {
        let orders = self.upstreams.get(upstream).into_iter().flatten();
        let running = orders.filter(|(_, p)| *p == Progress::Running);
        running.map(|(order, _)| order.clone()).collect()
    }

    /// How far an order has come.
    pub fn progress(&self, upstream: &UpstreamName, id: &OrderId) -> Option<Progress> {
        let orders = self.upstreams.get(upstream)?;
        orders.iter().find(|(o, _)| o.id == *id).map(|(_, p)| *p)
    }

    /// Lowest fencing number that the agent of `upstream` accepts after a start.
    ///
    /// An order that still runs was sent last, as orders go one after another.
    pub fn floor(&self, upstream: &UpstreamName) -> Fence {
        let orders = self.upstreams.get(upstream);
        let running = self.next_order(upstream).map(|o| o.fence);
        let newest = orders.and_then(|o| o.back()).map(|(o, _)| o.fence.next());
        running.or(newest).unwrap_or_default()
    }
}

impl OrderBook {
    /// Learns the floor of fencing numbers; it only rises.
    pub fn learn_floor(&mut self, floor: Fence) {
        self.floor = self.floor.max(Some(floor));
    }

    /// Lowest fencing number that is accepted, once it has been learnt.
    pub fn floor(&self) -> Option<Fence> {
        self.floor
    }

    /// Takes in an order; an engine in the state asked for need not act.
    pub fn receive(&mut self, order: &Order, engine: &Inventory) -> Result<Receipt, Failure> {
        let Some(floor) = self.floor else {
            let detail = "the agent has not learnt the floor of fencing numbers";
            return Err(Failure::new(ErrorKind::NotCurrent, detail));
        };
        if let Some((_, progress)) = self.entries.iter().find(|(id, _)| *id == order.id) {
            return Ok(Receipt::Known(*progress));
        }
        if order.fence < floor {
            let detail = format!("fencing number {} is below {floor}", order.fence);
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
            Receipt::Known(progress)
        } else {
            Receipt::Act
        })
    }

    /// Records how the engine has carried out an order.
    pub fn finish(&mut self, id: &OrderId, end: Progress) {
        let entry = self.entries.iter_mut().find(|(known, _)| known == id);
        if let Some((_, progress)) = entry {
            *progress = end;
        }
    }
}
