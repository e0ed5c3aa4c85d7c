//! Bounded fair queue of one service in one entry.
//!
//! Higher priorities go first. Within a priority, workspaces share by weighted
//! virtual time, and the requests of a workspace go by deadline. A request
//! that cannot make its deadline, judged by the rate at which the queue has
//! drained, is refused when it arrives or shed as soon as that shows, so that
//! the refusal reaches the caller while the caller can still act on it.

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

/// Shortest time after which a refused caller is told to come back.
const LEAST_RETRY: Duration = Duration::from_millis(200);
/// Longest time after which a refused caller is told to come back.
const MOST_RETRY: Duration = Duration::from_secs(30);
/// How many times its part each agent is asked for.
const OVERASK: usize = 2;

/// A request that waits.
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
    /// When it entered the queue.
    pub arrived: Time,
    /// What the entry keeps with it.
    pub item: T,
    turn: u64,
}

/// Why a request is refused or shed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedReason {
    /// The queue is full.
    #[display("queue full")]
    Full,
    /// Another workspace has less than its share of the full queue.
    #[display("over share")]
    OverShare,
    /// It would not be answered before its deadline.
    #[display("deadline")]
    Deadline,
    /// It has waited for as long as the profile allows.
    #[display("waited")]
    Waited,
}

/// A request that leaves the queue without having run.
#[derive(Clone, Debug, PartialEq)]
pub struct Shed<T> {
    /// The request.
    pub queued: Queued<T>,
    /// Why.
    pub reason: ShedReason,
    /// When asking again may help.
    pub retry: Duration,
}

impl<T> Shed<T> {
    /// Builds the failure that the caller is given.
    pub fn failure(&self) -> Failure {
        let detail = format!("not queued any more: {}", self.reason);
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
    next: u64,
}

impl<T> FairQueue<T> {
    /// Opens an empty queue.
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
            next: 0,
        }
    }

    /// Puts other bounds and shares in force.
    pub fn set_policy(&mut self, policy: QueuePolicy, shares: BTreeMap<WorkspaceName, u32>) {
        self.policy = policy;
        self.shares = shares;
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Takes a request in; returns those shed, which may be the request itself.
    pub fn push(&mut self, meta: &RequestMeta, item: T, now: Time) -> Vec<Shed<T>> {
        self.next += 1;
        let queued = Queued {
            id: meta.id,
            workspace: meta.workspace.clone(),
            priority: meta.priority,
            deadline: meta.deadline,
            arrived: now,
            item,
            turn: self.next,
        };
        let wait = self.expected_wait(&queued.workspace, queued.priority);
        if let Some(reason) = self.hopeless(&queued, wait, now) {
            return vec![self.shed(queued, reason, wait)];
        }
        if self.count < self.policy.bound as usize {
            self.insert(queued, now);
            return Vec::new();
        }
        vec![self.displace(queued, wait, now)]
    }

    /// Takes out the request that goes next.
    pub fn pop(&mut self, now: Time) -> Option<Queued<T>> {
        let mut class = self.classes.first_entry()?;
        let queued = class.get_mut().pop()?;
        if class.get().is_empty() {
            class.remove();
        }
        self.count -= 1;
        self.drain.left(self.count > 0, now);
        Some(queued)
    }

    /// Puts a request back at the front after a refusal that was "not run".
    pub fn requeue(&mut self, queued: Queued<T>, now: Time) {
        self.drain.undo(now);
        let weight = self.weight(&queued.workspace);
        self.count += 1;
        self.classes
            .entry(Reverse(queued.priority))
            .or_default()
            .requeue(queued, weight);
    }

    /// Takes out a request whose caller went away.
    pub fn cancel(&mut self, id: RequestId) -> Option<Queued<T>> {
        let found = self
            .classes
            .iter()
            .find_map(|(key, class)| class.find(id).map(|position| (*key, position)))?;
        self.remove(found.0, &found.1)
    }

    /// Sheds all requests that can no longer be answered in time.
    pub fn shed_late(&mut self, now: Time) -> Vec<Shed<T>> {
        if self.count > 0 {
            self.drain.advance(now);
        }
        let typical = self.drain.interval();
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
        let wait = typical * u32::try_from(self.count).unwrap_or(u32::MAX);
        late.into_iter()
            .filter_map(|(key, position, reason)| {
                let queued = self.remove(key, &position)?;
                Some(self.shed(queued, reason, wait))
            })
            .collect()
    }

    /// Tells the queue how long an answer takes once a request is sent.
    pub fn observe_answer(&mut self, taken: Duration) {
        self.drain.observe_answer(taken);
    }

    /// Demand to state to each of `agents`: one line a workspace and priority.
    ///
    /// Each agent is asked for more than its part, because not all have room.
    pub fn demand(&self, agents: usize, now: Time) -> EntryDemand {
        let mut demand = EntryDemand::new();
        for (Reverse(priority), class) in &self.classes {
            for (workspace, count, deadline) in class.backlog() {
                demand.push(Demand {
                    service: self.service.clone(),
                    workspace: workspace.clone(),
                    priority: *priority,
                    remaining: deadline.since(now),
                    count: part(count, agents),
                });
            }
        }
        demand
    }

    /// Time that a request of `workspace` would wait if it came now.
    pub fn expected_wait(&self, workspace: &WorkspaceName, priority: Priority) -> Duration {
        let Some(interval) = self.drain.known_interval() else {
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
            self.drain.entered(now);
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

    /// Why a request that would wait for `wait` cannot be answered in time.
    fn hopeless(&self, queued: &Queued<T>, wait: Duration, now: Time) -> Option<ShedReason> {
        if now + wait + self.drain.answer_time() >= queued.deadline {
            return Some(ShedReason::Deadline);
        }
        (wait >= self.policy.wait).then_some(ShedReason::Waited)
    }

    /// Makes room in a full queue for `queued`, or sheds it.
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
        let Some(taken) = victim.and_then(|v| self.remove(key, &v)) else {
            return self.shed(queued, ShedReason::Full, wait);
        };
        self.insert(queued, now);
        self.shed(taken, ShedReason::OverShare, wait)
    }

    /// Sheds a request, with the time in which the queue ahead of it drains.
    fn shed(&self, queued: Queued<T>, reason: ShedReason, wait: Duration) -> Shed<T> {
        Shed {
            queued,
            reason,
            retry: wait.clamp(LEAST_RETRY, MOST_RETRY),
        }
    }
}

/// Requests out of `count` that one of `agents` is asked to take.
fn part(count: usize, agents: usize) -> u32 {
    let part = (count * OVERASK).div_ceil(agents.max(1));
    u32::try_from(part.min(count)).unwrap_or(u32::MAX)
}
