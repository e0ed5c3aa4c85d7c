//! Decided maps and fencing tokens: state machine of the replicated log.
//!
//! A map is staged, then either decided or abandoned, exactly once: the log
//! orders the commands of competing coordinators and rejects those with an
//! outdated fencing token. A map's content is in the log before any rank loads
//! it, so a new coordinator can finish or abandon the switch.

use std::collections::BTreeMap;
use std::sync::Arc;

use pimentotide_model::{Fence, GroupName, Incarnation, InstanceName, OrderId, Time, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::{Budget, Change, Command, ExpertMap, Layout, MapId, OrderLog, Refusal, Reply};

/// Maximum number of groups.
const MAX_GROUPS: usize = 64;

/// Map that ranks run under from its step on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecidedMap {
    /// Identity.
    pub id: MapId,
    /// Content.
    pub map: Arc<ExpertMap>,
    /// First step that may run under the map.
    pub step: u64,
    /// Whether every rank has run a step under the map.
    pub settled: bool,
}

/// Map that ranks load, not decided yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StagedMap {
    /// Identity.
    pub id: MapId,
    /// Content.
    pub map: Arc<ExpertMap>,
    /// Time at which it was staged.
    pub at: Time,
}

/// Coordinator of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Holder {
    name: InstanceName,
    nonce: u64,
    fence: Fence,
}

/// Replicated state of one group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupState {
    /// Nodes, slots and sizes of the group.
    pub layout: Layout,
    /// Latest decided map.
    pub decided: DecidedMap,
    /// Map that ranks load to replace it, if a switch is in flight.
    pub staged: Option<StagedMap>,
    /// Predecessor of the decided map, until the latter is settled.
    pub previous: Option<MapId>,
    last: MapId,
    holder: Option<Holder>,
    leader: Option<(Incarnation, Fence)>,
}

/// Replicated state of all groups, the budget and the orders; equal on every replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Decisions {
    fence: Fence,
    groups: BTreeMap<GroupName, GroupState>,
    budget: Budget,
    orders: OrderLog,
}

impl Decisions {
    /// Applies one committed command; `at` must not decrease.
    pub fn apply(&mut self, command: &Command, at: Time) -> Reply {
        match command {
            Command::Form { group, layout, map } => self.form(group, layout, map),
            Command::Take {
                group,
                holder,
                nonce,
            } => self.take(group, holder, *nonce),
            Command::Lead { group, incarnation } => self.lead(group, *incarnation),
            Command::Admit {
                group,
                fence,
                rank,
                incarnation,
            } => self.fenced(group, *fence, |g| g.admit(*rank, *incarnation, *fence)),
            Command::Stage { group, fence, map } => {
                self.fenced(group, *fence, |g| g.stage(map, at))
            }
            Command::Decide {
                group,
                fence,
                id,
                step,
            } => self.fenced(group, *fence, |g| g.decide(*id, *step)),
            Command::Abandon { group, fence, id } => self.fenced(group, *fence, |g| g.abandon(*id)),
            Command::Settle {
                group, fence, id, ..
            } => self.fenced(group, *fence, |g| g.settle(*id)),
            Command::SetRate(rate) => {
                self.budget.set_rate(*rate);
                Reply::Done
            }
            Command::Borrow(request) => match self.budget.lease(request, at) {
                Some(lease) => Reply::Leased(lease),
                None => Reply::Refused(Refusal::Budget),
            },
            Command::GiveBack(id) => {
                self.budget.release(id);
                Reply::Done
            }
            Command::Spend {
                group,
                hourly,
                plan,
            } => match self.budget.spend(group, *hourly, plan, at) {
                true => Reply::Paid(plan.id.clone()),
                false => Reply::Refused(Refusal::Budget),
            },
            Command::Order {
                upstream,
                id,
                change,
            } => self.order(upstream, id, change),
            Command::Finish { upstream, id, end } => {
                self.orders.finish(upstream, id, *end);
                Reply::Done
            }
            Command::Expire => {
                self.budget.expire(at);
                Reply::Done
            }
        }
    }

    /// Budget of the weights store.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Orders to upstreams.
    pub fn orders(&self) -> &OrderLog {
        &self.orders
    }

    /// Looks up a group.
    pub fn group(&self, name: &GroupName) -> Option<&GroupState> {
        self.groups.get(name)
    }

    /// All groups by name.
    pub fn groups(&self) -> &BTreeMap<GroupName, GroupState> {
        &self.groups
    }

    /// Highest fencing token assigned.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    fn order(&mut self, upstream: &UpstreamName, id: &OrderId, change: &Change) -> Reply {
        let next = self.fence.next();
        let Some(order) = self.orders.place(upstream, id, change, next) else {
            return Reply::Refused(Refusal::KeyMismatch);
        };
        self.fence = self.fence.max(order.fence);
        Reply::Ordered(order)
    }

    fn form(&mut self, name: &GroupName, layout: &Layout, map: &Arc<ExpertMap>) -> Reply {
        if let Some(group) = self.groups.get(name) {
            return match group.layout == *layout {
                true => Reply::Done,
                false => Reply::Refused(Refusal::Exists),
            };
        }
        if self.groups.len() >= MAX_GROUPS {
            return Reply::Refused(Refusal::Full);
        }
        if let Err(error) = map.check(layout) {
            return Reply::Refused(Refusal::BadMap(error));
        }
        self.groups
            .insert(name.clone(), GroupState::new(layout, map));
        Reply::Done
    }

    fn take(&mut self, name: &GroupName, holder: &InstanceName, nonce: u64) -> Reply {
        let Some(group) = self.groups.get_mut(name) else {
            return Reply::Refused(Refusal::UnknownGroup);
        };
        let resent = |h: &&Holder| h.name == *holder && h.nonce == nonce;
        let fence = match group.holder.as_ref().filter(resent) {
            Some(current) => current.fence,
            None => {
                self.fence = self.fence.next();
                group.holder = Some(Holder {
                    name: holder.clone(),
                    nonce,
                    fence: self.fence,
                });
                self.fence
            }
        };
        Reply::Taken {
            fence,
            group: Box::new(group.clone()),
        }
    }

    fn lead(&mut self, name: &GroupName, incarnation: Incarnation) -> Reply {
        let Some(group) = self.groups.get_mut(name) else {
            return Reply::Refused(Refusal::UnknownGroup);
        };
        let fence = match group.leader {
            Some((current, _)) if current > incarnation => return Reply::Refused(Refusal::Fenced),
            Some((current, fence)) if current == incarnation => fence,
            _ => {
                self.fence = self.fence.next();
                group.leader = Some((incarnation, self.fence));
                self.fence
            }
        };
        Reply::Leading {
            fence,
            decided: group.decided.clone(),
        }
    }

    fn fenced<F>(&mut self, name: &GroupName, fence: Fence, change: F) -> Reply
    where
        F: FnOnce(&mut GroupState) -> Reply,
    {
        match self.groups.get_mut(name) {
            None => Reply::Refused(Refusal::UnknownGroup),
            Some(group) if group.is_held_under(fence) => change(group),
            Some(_) => Reply::Refused(Refusal::Fenced),
        }
    }
}

impl GroupState {
    fn new(layout: &Layout, map: &Arc<ExpertMap>) -> Self {
        let first = MapId(1);
        Self {
            layout: layout.clone(),
            decided: DecidedMap {
                id: first,
                map: Arc::clone(map),
                step: 0,
                settled: true,
            },
            staged: None,
            previous: None,
            last: first,
            holder: None,
            leader: None,
        }
    }

    /// Whether a rank may still need the map; true for identities not assigned here yet.
    pub fn needs(&self, id: MapId) -> bool {
        let staged = self.staged.as_ref().map(|s| s.id);
        id == self.decided.id || Some(id) == staged || Some(id) == self.previous || id > self.last
    }

    /// Highest identity assigned.
    pub(crate) fn last_id(&self) -> MapId {
        self.last
    }

    /// Records a map that the log has staged.
    pub(crate) fn record_staged(&mut self, staged: StagedMap) {
        self.last = self.last.max(staged.id);
        self.staged = Some(staged);
    }

    fn is_held_under(&self, fence: Fence) -> bool {
        self.holder.as_ref().is_some_and(|h| h.fence == fence)
    }

    fn admit(&self, rank: u16, incarnation: Incarnation, floor: Fence) -> Reply {
        Reply::Admitted {
            rank,
            incarnation,
            floor,
            decided: self.decided.clone(),
        }
    }

    fn stage(&mut self, map: &Arc<ExpertMap>, at: Time) -> Reply {
        match &self.staged {
            Some(staged) if staged.map == *map => return Reply::Staged(staged.id),
            Some(_) => return Reply::Refused(Refusal::InFlight),
            None if !self.decided.settled => return Reply::Refused(Refusal::InFlight),
            None => {}
        }
        if let Err(error) = map.check(&self.layout) {
            return Reply::Refused(Refusal::BadMap(error));
        }
        self.last = MapId(self.last.0 + 1);
        self.staged = Some(StagedMap {
            id: self.last,
            map: Arc::clone(map),
            at,
        });
        Reply::Staged(self.last)
    }

    fn decide(&mut self, id: MapId, step: u64) -> Reply {
        if self.decided.id == id {
            return Reply::Decided(self.decided.clone());
        }
        let Some(staged) = self.staged.take_if(|s| s.id == id) else {
            return Reply::Refused(Refusal::NotStaged);
        };
        self.previous = Some(self.decided.id);
        self.decided = DecidedMap {
            id,
            map: staged.map,
            step,
            settled: false,
        };
        Reply::Decided(self.decided.clone())
    }

    fn abandon(&mut self, id: MapId) -> Reply {
        if self.decided.id == id {
            return Reply::Decided(self.decided.clone());
        }
        self.staged.take_if(|s| s.id == id);
        Reply::Abandoned(id)
    }

    fn settle(&mut self, id: MapId) -> Reply {
        if self.decided.id != id {
            return Reply::Refused(Refusal::NotStaged);
        }
        self.decided.settled = true;
        self.previous = None;
        Reply::Settled(id)
    }
}
