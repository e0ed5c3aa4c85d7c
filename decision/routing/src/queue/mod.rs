//! Bounded fair queue of one service in one entry.
//!
//! Higher priorities are served first. Within a priority, workspaces share by
//! weighted virtual time, and each workspace's requests are served by deadline.
//! A request that would miss its deadline at the observed drain rate is refused
//! on arrival, or shed as soon as that is predicted, so that the refusal reaches
//! the caller while it can still act on it.

mod drain;
mod flow;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{
    Deadline, ErrorKind, Failure, Priority, QueuePolicy, RequestId, RequestMeta, ServiceName, Time,
    WorkspaceName,
};

use crate::gate::{Demand, EntryDemand};
use drain::Drain;
use flow::{Class, Position};

/// Shortest retry-after time of a shed request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest retry-after time of a shed request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Demand reported to each agent, as a multiple of its even share.
const DEMAND_FACTOR: usize = 2;

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct Queued<T> {
    /// Identifier of the request.
    pub id: RequestId,
    /// Workspace on whose behalf it waits.
    pub workspace: WorkspaceName,
    /// Priority of the request.
    pub priority: Priority,
    /// Time by which it must be answered.
    pub deadline: Deadline,
    /// Time at which it entered the queue.
    pub arrived: Time,
    /// Caller's data, returned with the request.
    pub item: T,
    sequence: u64,
}

/// Why a request is refused or shed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedReason {
    /// The queue is full.
    #[display("queue full")]
    Full,
    /// The queue is full, and a request of higher priority or of a workspace with fewer
    /// requests per weight replaced this one.
    #[display("over share")]
    OverShare,
    /// The request would miss its deadline.
    #[display("deadline")]
    Deadline,
    /// The wait reaches the limit of the profile.
    #[display("waited")]
    Waited,
}

/// A request refused or shed without having run.
#[derive(Clone, Debug, PartialEq)]
pub struct Shed<T> {
    /// Request that was shed.
    pub queued: Queued<T>,
    /// Why it was shed.
    pub reason: ShedReason,
    /// Time after which the caller may retry.
    pub retry: Duration,
}

impl<T> Shed<T> {
    /// Builds the failure to return to the caller.
    pub fn failure(&self) -> Failure {
        let detail = format!("shed from the queue: {}", self.reason);
        Failure::new(ErrorKind::Overloaded, detail).with_retry(self.retry)
    }
}

/// Fair queue of one service in one entry.
#[derive(Debug)]
pub struct FairQueue<T> {
    service: ServiceName,
    policy: QueuePolicy,
    shares: BTreeMap<WorkspaceName, u32>,
    classes: BTreeMap<Reverse<Priority>, Class<T>>,
    count: usize,
    drain: Drain,
    next_sequence: u64,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn open(
        service: ServiceName,
        policy: QueuePolicy,
        shares: BTreeMap<WorkspaceName, u32>,
    ) -> Self {
        Self {
            service,
            policy,
            shares,
            classes: BTreeMap::new(),
            count: 0,
            drain: Drain::default(),
            next_sequence: 0,
        }
    }

    /// Replaces the policy and the shares; queued requests stay.
    pub fn set_policy(&mut self, policy: QueuePolicy, shares: BTreeMap<WorkspaceName, u32>) {
        self.policy = policy;
        self.shares = shares;
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Enqueues a request; returns those shed, which may include the request itself.
    pub fn push(&mut self, meta: &RequestMeta, item: T, now: Time) -> Vec<Shed<T>> {
        self.next_sequence += 1;
        let queued = Queued {
            id: meta.id,
            workspace: meta.workspace.clone(),
            priority: meta.priority,
            deadline: meta.deadline,
            arrived: now,
            item,
            sequence: self.next_sequence,
        };
        let wait = self.expected_wait(&queued.workspace, queued.priority);
        if let Some(reason) = self.late_reason(&queued, wait, now) {
            return vec![self.shed(queued, reason, wait)];
        }
        if self.count < self.policy.bound as usize {
            self.insert(queued, now);
            return Vec::new();
        }
        vec![self.displace(queued, wait, now)]
    }

    /// Removes and returns the next request to serve.
    pub fn pop(&mut self, now: Time) -> Option<Queued<T>> {
        let mut class = self.classes.first_entry()?;
        let queued = class.get_mut().pop()?;
        if class.get().is_empty() {
            class.remove();
        }
        self.count -= 1;
        self.drain.record_departure(self.count > 0, now);
        Some(queued)
    }

    /// Puts a request back at its former position after a refusal that was "not run".
    pub fn requeue(&mut self, queued: Queued<T>, now: Time) {
        self.drain.undo_departure(now);
        let weight = self.weight(&queued.workspace);
        self.count += 1;
        self.classes
            .entry(Reverse(queued.priority))
            .or_default()
            .requeue(queued, weight);
    }

    /// Removes a request that its caller cancelled.
    pub fn cancel(&mut self, id: RequestId) -> Option<Queued<T>> {
        let found = self
            .classes
            .iter()
            .find_map(|(key, class)| class.find(id).map(|position| (*key, position)))?;
        self.remove(found.0, &found.1)
    }

    /// Sheds all requests that would miss their deadline or have waited too long.
    pub fn shed_late(&mut self, now: Time) -> Vec<Shed<T>> {
        if self.count > 0 {
            self.drain.advance(now);
        }
        let interval = self.drain.interval();
        let mut late = Vec::new();
        for (key, class) in &self.classes {
            for (position, queued) in class.iter() {
                let waited = now.since(queued.arrived) >= self.policy.wait;
                let missed = now + self.drain.answer_time() >= queued.deadline;
                if missed {
                    late.push((*key, position, ShedReason::Deadline));
                } else if waited {
                    late.push((*key, position, ShedReason::Waited));
                }
            }
        }
        let wait = interval * u32::try_from(self.count).unwrap_or(u32::MAX);
        late.into_iter()
            .filter_map(|(key, position, reason)| {
                let queued = self.remove(key, &position)?;
                Some(self.shed(queued, reason, wait))
            })
            .collect()
    }

    /// Records the time from sending a request to its answer.
    pub fn observe_answer(&mut self, taken: Duration) {
        self.drain.observe_answer(taken);
    }

    /// Returns the demand to report to each of `agents`, one per workspace and priority.
    ///
    /// The count exceeds an even share per agent, because some agents have no room.
    pub fn demand(&self, agents: usize, now: Time) -> EntryDemand {
        let mut demand = EntryDemand::new();
        for (Reverse(priority), class) in &self.classes {
            for (workspace, count, deadline) in class.backlog() {
                demand.push(Demand {
                    service: self.service.clone(),
                    workspace: workspace.clone(),
                    priority: *priority,
                    remaining: deadline.since(now),
                    count: demand_per_agent(count, agents),
                });
            }
        }
        demand
    }

    /// Estimates the wait of a request that arrives now; zero until the drain rate is measured.
    pub fn expected_wait(&self, workspace: &WorkspaceName, priority: Priority) -> Duration {
        let Some(interval) = self.drain.measured_interval() else {
            return Duration::ZERO;
        };
        let mut ahead = 0.0;
        for (Reverse(other), class) in &self.classes {
            if *other > priority {
                ahead += class.len() as f64;
            } else if *other == priority {
                ahead += class.ahead(workspace, self.weight(workspace));
            }
        }
        interval.mul_f64(ahead)
    }

    fn weight(&self, workspace: &WorkspaceName) -> u32 {
        self.shares.get(workspace).copied().unwrap_or(1).max(1)
    }

    fn insert(&mut self, queued: Queued<T>, now: Time) {
        let weight = self.weight(&queued.workspace);
        if self.count == 0 {
            self.drain.start_backlog(now);
        }
        self.count += 1;
        self.classes
            .entry(Reverse(queued.priority))
            .or_default()
            .push(queued, weight);
    }

    fn remove(&mut self, key: Reverse<Priority>, position: &Position) -> Option<Queued<T>> {
        let class = self.classes.get_mut(&key)?;
        let queued = class.remove(position);
        if class.is_empty() {
            self.classes.remove(&key);
        }
        self.count -= usize::from(queued.is_some());
        queued
    }

    /// Returns why a request with the expected `wait` would be late, if it would.
    fn late_reason(&self, queued: &Queued<T>, wait: Duration, now: Time) -> Option<ShedReason> {
        if now + wait + self.drain.answer_time() >= queued.deadline {
            return Some(ShedReason::Deadline);
        }
        (wait >= self.policy.wait).then_some(ShedReason::Waited)
    }

    /// Evicts a request from a full queue in favour of `queued`, or sheds `queued`.
    fn displace(&mut self, queued: Queued<T>, wait: Duration, now: Time) -> Shed<T> {
        let Some((key, class)) = self.classes.last_key_value() else {
            return self.shed(queued, ShedReason::Full, wait);
        };
        let key = *key;
        let weight = self.weight(&queued.workspace);
        let victim = match key.0.cmp(&queued.priority) {
            std::cmp::Ordering::Less => class.last(),
            std::cmp::Ordering::Equal => class.over_share(&queued.workspace, weight),
            std::cmp::Ordering::Greater => None,
        };
        let Some(evicted) = victim.and_then(|v| self.remove(key, &v)) else {
            return self.shed(queued, ShedReason::Full, wait);
        };
        self.insert(queued, now);
        self.shed(evicted, ShedReason::OverShare, wait)
    }

    /// Builds the shed request, with the expected drain time as retry-after.
    fn shed(&self, queued: Queued<T>, reason: ShedReason, wait: Duration) -> Shed<T> {
        Shed {
            queued,
            reason,
            retry: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}

/// Returns the part of `count` to request from each of `agents`.
fn demand_per_agent(count: usize, agents: usize) -> u32 {
    let demand = (count * DEMAND_FACTOR).div_ceil(agents.max(1));
    u32::try_from(demand.min(count)).unwrap_or(u32::MAX)
}
