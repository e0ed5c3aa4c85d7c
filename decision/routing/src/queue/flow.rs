//! Queue of one priority: weighted fair queueing over workspaces by virtual time.
//!
//! Requests whose target can no longer be met wait apart, and are served after all others, except
//! those of a workspace that falls behind its share: without that, a workspace with ever new
//! requests would keep the late ones of others waiting.

use std::collections::BTreeMap;

use pimentotide_model::{Deadline, RequestId, Time, WorkspaceName};

use super::Queued;

/// Requests by which a workspace may fall behind its share before its late ones are served.
const LATE_LAG: u64 = 2;

/// Position of a request within its priority.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Position {
    workspace: WorkspaceName,
    late: bool,
    key: (Time, u64),
}

#[derive(Debug)]
struct Flow<T> {
    /// Requests by target, or by deadline without one.
    items: BTreeMap<(Time, u64), Queued<T>>,
    /// Requests whose target can no longer be met, by deadline.
    late: BTreeMap<(Time, u64), Queued<T>>,
    weight: u32,
    start: u64,
    /// Cost of all its requests.
    cost: u64,
}

impl<T> Flow<T> {
    fn is_empty(&self) -> bool {
        self.items.is_empty() && self.late.is_empty()
    }

    fn len(&self) -> usize {
        self.items.len() + self.late.len()
    }

    fn list(&mut self, late: bool) -> &mut BTreeMap<(Time, u64), Queued<T>> {
        if late {
            &mut self.late
        } else {
            &mut self.items
        }
    }

    /// Moves requests whose target can no longer be met.
    fn expire(&mut self, now: Time) {
        while let Some(first) = self.items.first_entry() {
            if !first.get().request.is_late(now) {
                return;
            }
            let queued = first.remove();
            self.late.insert((queued.deadline, queued.sequence), queued);
        }
    }
}

/// Requests of one priority.
#[derive(Debug)]
pub(super) struct Class<T> {
    flows: BTreeMap<WorkspaceName, Flow<T>>,
    virtual_time: u64,
    count: usize,
}

impl<T> Default for Class<T> {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            virtual_time: 0,
            count: 0,
        }
    }
}

impl<T> Class<T> {
    /// Returns the number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds a request to the flow of its workspace.
    pub(super) fn push(&mut self, queued: Queued<T>, weight: u32) {
        let virtual_time = self.virtual_time;
        let flow = self
            .flows
            .entry(queued.workspace.clone())
            .or_insert_with(|| Flow {
                items: BTreeMap::new(),
                late: BTreeMap::new(),
                weight,
                start: virtual_time,
                cost: 0,
            });
        flow.weight = weight;
        if flow.is_empty() {
            flow.start = flow.start.max(virtual_time);
        }
        flow.cost += queued.request.cost;
        let by = queued.request.target.unwrap_or(queued.deadline);
        flow.items.insert((by, queued.sequence), queued);
        self.count += 1;
    }

    /// Re-adds a popped request and refunds its cost.
    pub(super) fn requeue(&mut self, queued: Queued<T>, weight: u32) {
        let workspace = queued.workspace.clone();
        let cost = queued.request.cost;
        self.push(queued, weight);
        if let Some(flow) = self.flows.get_mut(&workspace) {
            flow.start = flow.start.saturating_sub(cost / u64::from(weight));
        }
    }

    /// Moves requests whose target can no longer be met behind all others.
    pub(super) fn expire(&mut self, now: Time) {
        for flow in self.flows.values_mut() {
            flow.expire(now);
        }
    }

    /// Returns the position of the next request to serve.
    pub(super) fn first(&self) -> Option<Position> {
        let (on_time, late) = (self.first_of(false), self.first_of(true));
        match (on_time, late) {
            (Some(on_time), Some(late)) if self.is_deprived(&late, &on_time) => Some(late),
            (on_time, late) => on_time.or(late),
        }
    }

    /// Whether the workspace of a late request is behind its share, compared with that of another.
    fn is_deprived(&self, late: &Position, other: &Position) -> bool {
        let start = |p: &Position| self.flows.get(&p.workspace).map_or(0, |f| f.start);
        let cost = self.get(late).map_or(0, |q| q.request.cost);
        start(late) + LATE_LAG * cost < start(other)
    }

    fn first_of(&self, late: bool) -> Option<Position> {
        let firsts = self.flows.iter().filter_map(|(workspace, flow)| {
            let list = if late { &flow.late } else { &flow.items };
            let (key, _) = list.first_key_value()?;
            Some((flow.start, *key, workspace))
        });
        firsts.min().map(|(_, key, workspace)| Position {
            workspace: workspace.clone(),
            late,
            key,
        })
    }

    /// Returns the request at a position.
    pub(super) fn get(&self, position: &Position) -> Option<&Queued<T>> {
        let flow = self.flows.get(&position.workspace)?;
        let list = if position.late {
            &flow.late
        } else {
            &flow.items
        };
        list.get(&position.key)
    }

    /// Returns the position of the last request of the workspace with the most work per weight.
    pub(super) fn last(&self) -> Option<Position> {
        self.flows
            .iter()
            .filter(|(_, f)| !f.is_empty())
            .max_by_key(|(_, f)| f.cost / u64::from(f.weight))
            .and_then(|(w, f)| position_of_last(w, f))
    }

    /// Returns the last request whose target can no longer be met, of the workspace with the most
    /// work per weight.
    pub(super) fn last_late(&self) -> Option<Position> {
        self.flows
            .iter()
            .filter(|(_, f)| !f.late.is_empty())
            .max_by_key(|(_, f)| f.cost / u64::from(f.weight))
            .and_then(|(w, f)| position_of_last(w, f))
    }

    /// Returns the last request of the workspace with the most work per weight, if `workspace`
    /// would have less per weight even with `cost` more.
    pub(super) fn over_share(
        &self,
        workspace: &WorkspaceName,
        weight: u32,
        cost: u64,
    ) -> Option<Position> {
        let own = self.flows.get(workspace).map_or(0, |f| f.cost) + cost;
        let last = self.last()?;
        let flow = self.flows.get(&last.workspace)?;
        let over =
            u128::from(flow.cost) * u128::from(weight) > u128::from(own) * u128::from(flow.weight);
        (over && last.workspace != *workspace).then_some(last)
    }

    /// Removes a request without charging its workspace.
    pub(super) fn remove(&mut self, position: &Position) -> Option<Queued<T>> {
        let flow = self.flows.get_mut(&position.workspace)?;
        let queued = flow.list(position.late).remove(&position.key)?;
        flow.cost -= queued.request.cost;
        self.count -= 1;
        self.evict_idle();
        Some(queued)
    }

    /// Removes a request to serve it and charges its workspace.
    pub(super) fn serve(&mut self, position: &Position) -> Option<Queued<T>> {
        let in_turn = self.first().is_some_and(|first| first == *position);
        let cost = self.get(position)?.request.cost;
        let flow = self.flows.get_mut(&position.workspace)?;
        if in_turn {
            self.virtual_time = self.virtual_time.max(flow.start);
        }
        flow.start += cost / u64::from(flow.weight.max(1));
        self.remove(position)
    }

    /// Returns the position of the request with `id`.
    pub(super) fn find(&self, id: RequestId) -> Option<Position> {
        self.iter()
            .find(|(_, queued)| queued.id == id)
            .map(|(position, _)| position)
    }

    /// Iterates over all requests and their positions.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Position, &Queued<T>)> {
        self.flows.iter().flat_map(|(workspace, flow)| {
            let items = flow.items.iter().map(|item| (false, item));
            let late = flow.late.iter().map(|item| (true, item));
            items.chain(late).map(move |(late, (key, queued))| {
                let position = Position {
                    workspace: workspace.clone(),
                    late,
                    key: *key,
                };
                (position, queued)
            })
        })
    }

    /// Removes all requests.
    pub(super) fn into_requests(self) -> impl Iterator<Item = Queued<T>> {
        self.flows
            .into_values()
            .flat_map(|f| f.items.into_values().chain(f.late.into_values()))
    }

    /// Iterates over workspaces with queued requests: their number and first deadline.
    pub(super) fn backlog(&self) -> impl Iterator<Item = (&WorkspaceName, usize, Deadline)> {
        self.flows.iter().filter_map(|(workspace, flow)| {
            let queued = flow.items.values().chain(flow.late.values());
            let deadline = queued.map(|q| q.deadline).min()?;
            Some((workspace, flow.len(), deadline))
        })
    }

    /// Estimates the requests served before a new one of `workspace`, which is `late` or not.
    pub(super) fn ahead(&self, workspace: &WorkspaceName, weight: u32, late: bool) -> f64 {
        let count = |f: &Flow<T>| if late { f.len() } else { f.items.len() } as f64;
        let own = self.flows.get(workspace).map_or(0.0, count);
        let rounds = (own + 1.0) / f64::from(weight);
        let others: f64 = self
            .flows
            .iter()
            .filter(|(name, _)| *name != workspace)
            .map(|(_, f)| count(f).min(rounds * f64::from(f.weight)))
            .sum();
        own + others
    }

    /// Removes empty flows that are not ahead of the virtual time.
    fn evict_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, f| !f.is_empty() || f.start > virtual_time);
    }
}

/// Returns the request of a workspace that is served last.
fn position_of_last<T>(workspace: &WorkspaceName, flow: &Flow<T>) -> Option<Position> {
    let last = flow.late.last_key_value().map(|(key, _)| (true, key));
    let last = last.or_else(|| flow.items.last_key_value().map(|(key, _)| (false, key)));
    last.map(|(late, key)| Position {
        workspace: workspace.clone(),
        late,
        key: *key,
    })
}
