//! Queue of one priority: weighted fair queueing over workspaces by virtual time.

use std::collections::BTreeMap;

use pimentotide_model::{Deadline, RequestId, WorkspaceName};

use super::Queued;

/// Virtual time that one request costs a workspace of weight 1.
const REQUEST_COST: u64 = 1 << 20;

/// Position of a request within its priority.
#[derive(Clone, Debug)]
pub(super) struct Position {
    workspace: WorkspaceName,
    key: (Deadline, u64),
}

#[derive(Debug)]
struct Flow<T> {
    items: BTreeMap<(Deadline, u64), Queued<T>>,
    weight: u32,
    start: u64,
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
                weight,
                start: virtual_time,
            });
        flow.weight = weight;
        if flow.items.is_empty() {
            flow.start = flow.start.max(virtual_time);
        }
        flow.items
            .insert((queued.deadline, queued.sequence), queued);
        self.count += 1;
    }

    /// Re-adds a popped request and refunds its cost.
    pub(super) fn requeue(&mut self, queued: Queued<T>, weight: u32) {
        let workspace = queued.workspace.clone();
        self.push(queued, weight);
        if let Some(flow) = self.flows.get_mut(&workspace) {
            flow.start = flow.start.saturating_sub(REQUEST_COST / u64::from(weight));
        }
    }

    /// Returns the position of the next request to serve.
    fn first(&self) -> Option<Position> {
        self.flows
            .iter()
            .filter_map(|(w, f)| f.items.first_key_value().map(|(key, _)| (f.start, *key, w)))
            .min()
            .map(|(_, key, workspace)| Position {
                workspace: workspace.clone(),
                key,
            })
    }

    /// Returns the position of the last request of the workspace with the most requests per weight.
    pub(super) fn last(&self) -> Option<Position> {
        self.flows
            .iter()
            .filter(|(_, f)| !f.items.is_empty())
            .max_by_key(|(_, f)| f.items.len() as u64 * REQUEST_COST / u64::from(f.weight))
            .and_then(|(w, f)| position_of_last(w, f))
    }

    /// Returns the last request of the workspace with the most requests per weight, if
    /// `workspace` would have fewer per weight even with one more.
    pub(super) fn over_share(&self, workspace: &WorkspaceName, weight: u32) -> Option<Position> {
        let own = self.flows.get(workspace).map_or(0, |f| f.items.len()) as u64 + 1;
        let last = self.last()?;
        let flow = self.flows.get(&last.workspace)?;
        let queued = flow.items.len() as u64;
        let over = queued * u64::from(weight) > own * u64::from(flow.weight);
        (over && last.workspace != *workspace).then_some(last)
    }

    /// Removes a request without charging its workspace.
    pub(super) fn remove(&mut self, position: &Position) -> Option<Queued<T>> {
        let flow = self.flows.get_mut(&position.workspace)?;
        let queued = flow.items.remove(&position.key)?;
        self.count -= 1;
        self.evict_idle();
        Some(queued)
    }

    /// Removes the next request to serve and charges its workspace.
    pub(super) fn pop(&mut self) -> Option<Queued<T>> {
        let position = self.first()?;
        let flow = self.flows.get_mut(&position.workspace)?;
        self.virtual_time = self.virtual_time.max(flow.start);
        flow.start += REQUEST_COST / u64::from(flow.weight.max(1));
        self.remove(&position)
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
            flow.items.iter().map(move |(key, queued)| {
                let position = Position {
                    workspace: workspace.clone(),
                    key: *key,
                };
                (position, queued)
            })
        })
    }

    /// Iterates over workspaces with queued requests: their number and first deadline.
    pub(super) fn backlog(&self) -> impl Iterator<Item = (&WorkspaceName, usize, Deadline)> {
        self.flows.iter().filter_map(|(workspace, flow)| {
            let ((deadline, _), _) = flow.items.first_key_value()?;
            Some((workspace, flow.items.len(), *deadline))
        })
    }

    /// Estimates the requests served before a new one of `workspace`.
    pub(super) fn ahead(&self, workspace: &WorkspaceName, weight: u32) -> f64 {
        let own = self.flows.get(workspace).map_or(0, |f| f.items.len()) as f64;
        let rounds = (own + 1.0) / f64::from(weight);
        let others: f64 = self
            .flows
            .iter()
            .filter(|(name, _)| *name != workspace)
            .map(|(_, f)| (f.items.len() as f64).min(rounds * f64::from(f.weight)))
            .sum();
        own + others
    }

    /// Removes empty flows that are not ahead of the virtual time.
    fn evict_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, f| !f.items.is_empty() || f.start > virtual_time);
    }
}

fn position_of_last<T>(workspace: &WorkspaceName, flow: &Flow<T>) -> Option<Position> {
    flow.items.last_key_value().map(|(key, _)| Position {
        workspace: workspace.clone(),
        key: *key,
    })
}
