//! Bounded fair queue of one service in one entry.
//!
//! Higher priorities are served first. Within a priority, workspaces share by
//! weighted virtual time, and each workspace's requests are served by deadline.
//! Requests with a target come before those that can no longer meet theirs.
//! A request that would miss its deadline at the observed drain rate is refused
//! on arrival, or shed as soon as that is predicted, so that the refusal reaches
//! the caller while it can still act on it.

mod drain;
mod flow;
mod request;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::{
    Priority, QueuePolicy, RequestId, RequestMeta, ServiceName, Time, WorkspaceName,
};

use crate::gate::{Demand, EntryDemand};
use drain::Drain;
use flow::{Class, Position};

pub use request::{QueueRequest, Queued, REQUEST_COST, Shed, ShedReason};

/// Shortest retry-after time of a shed request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest retry-after time of a shed request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Demand reported to each agent, as a multiple of its even share.
const DEMAND_FACTOR: usize = 2;

/// Order of the classes of requests: by priority, and second sends before first ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClassKey {
    priority: Reverse<Priority>,
    first_send: bool,
}

impl ClassKey {
    fn of(request: &QueueRequest) -> Self {
        Self {
            priority: Reverse(request.priority),
            first_send: !request.resend,
        }
    }
}

/// Bounds of a queue beyond those of its policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueBounds {
    /// Maximum memory of all queued requests together; `None` if it is not limited.
    pub bytes: Option<u64>,
    /// While several priorities wait, one in this many requests served is the one that has waited
    /// longest; `None` if the order is strict.
    pub oldest_in: Option<u32>,
}

/// Requests of one priority that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Priority of the requests.
    pub priority: Priority,
    /// Number of requests.
    pub count: usize,
    /// Time at which the first of them began to wait.
    pub oldest: Time,
}

/// Fair queue of one service in one entry.
#[derive(Debug)]
pub struct FairQueue<T> {
    service: ServiceName,
    policy: QueuePolicy,
    shares: BTreeMap<WorkspaceName, u32>,
    bounds: QueueBounds,
    classes: BTreeMap<ClassKey, Class<T>>,
    count: usize,
    bytes: u64,
    /// Requests served since the one that had waited longest, while several classes wait.
    passed_over: u32,
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
            bounds: QueueBounds::default(),
            classes: BTreeMap::new(),
            count: 0,
            bytes: 0,
            passed_over: 0,
            drain: Drain::default(),
            next_sequence: 0,
        }
    }

    /// Sets further bounds.
    pub fn with_bounds(mut self, bounds: QueueBounds) -> Self {
        self.bounds = bounds;
        self
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
        self.push_request(QueueRequest::new(meta, now), item, now)
    }

    /// Enqueues a request by all its attributes; returns those shed, which may include it.
    pub fn push_request(&mut self, request: QueueRequest, item: T, now: Time) -> Vec<Shed<T>> {
        self.next_sequence += 1;
        self.expire(now);
        let wait = self.request_wait(&request, now);
        let queued = Queued::new(request, item, self.next_sequence);
        if let Some(reason) = self.late_reason(&queued, wait, now) {
            return vec![self.shed(queued, reason, wait)];
        }
        if self.has_room(&queued.request) {
            self.insert(queued, now);
            return Vec::new();
        }
        self.displace(queued, wait, now)
    }

    /// Returns the next request to serve.
    pub fn peek(&mut self, now: Time) -> Option<&Queued<T>> {
        let (key, position) = self.next(now)?;
        self.classes.get(&key)?.get(&position)
    }

    /// Removes and returns the next request to serve.
    pub fn pop(&mut self, now: Time) -> Option<Queued<T>> {
        let (key, position) = self.next(now)?;
        let oldest = self.oldest();
        let several = self.classes.len() > 1;
        let class = self.classes.get_mut(&key)?;
        let queued = class.serve(&position)?;
        if class.is_empty() {
            self.classes.remove(&key);
        }
        if several && oldest != Some((key, position)) {
            self.passed_over += 1;
        } else {
            self.passed_over = 0;
        }
        self.count -= 1;
        self.bytes -= queued.request.bytes;
        self.drain.record_departure(self.count > 0, now);
        Some(queued)
    }

    /// Puts a request back at its former position after a refusal that was "not run".
    pub fn requeue(&mut self, queued: Queued<T>, now: Time) {
        self.drain.undo_departure(now);
        let weight = self.weight(&queued.workspace);
        self.count += 1;
        self.bytes += queued.request.bytes;
        self.classes
            .entry(ClassKey::of(&queued.request))
            .or_default()
            .requeue(queued, weight);
    }

    /// Removes and returns the requests for which `is_taken` holds, without charging their workspaces.
    pub fn take_where<F>(&mut self, is_taken: F) -> Vec<Queued<T>>
    where
        F: Fn(&Queued<T>) -> bool,
    {
        let requests = self.classes.iter().flat_map(|(key, class)| {
            let taken = class.iter().filter(|(_, queued)| is_taken(queued));
            taken.map(|(position, _)| (*key, position))
        });
        let taken: Vec<(ClassKey, Position)> = requests.collect();
        let taken = taken.into_iter();
        taken
            .filter_map(|(key, position)| self.remove(key, &position))
            .collect()
    }

    /// Removes and returns all requests.
    pub fn take_all(&mut self) -> Vec<Queued<T>> {
        self.count = 0;
        self.bytes = 0;
        let classes = std::mem::take(&mut self.classes);
        classes
            .into_values()
            .flat_map(Class::into_requests)
            .collect()
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
                let max_wait = queued.request.max_wait(self.policy.wait);
                let waited = now.since(queued.arrived) >= max_wait;
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
        for (key, class) in &self.classes {
            for (workspace, count, deadline) in class.backlog() {
                demand.push(Demand {
                    service: self.service.clone(),
                    workspace: workspace.clone(),
                    priority: key.priority.0,
                    remaining: deadline.since(now),
                    count: demand_per_agent(count, agents),
                });
            }
        }
        demand
    }

    /// Returns the time at which the first request reaches its deadline or the limit of its wait.
    pub fn next_due(&self) -> Option<Time> {
        let requests = self.classes.values().flat_map(Class::iter);
        let dues = requests.map(|(_, queued)| {
            let max_wait = queued.request.max_wait(self.policy.wait);
            queued.deadline.min(queued.arrived + max_wait)
        });
        dues.min()
    }

    /// Lists the priorities of which requests wait.
    pub fn backlog(&self) -> impl Iterator<Item = Backlog> {
        self.classes.iter().filter_map(|(key, class)| {
            Some(Backlog {
                priority: key.priority.0,
                count: class.len(),
                oldest: class.iter().map(|(_, queued)| queued.arrived).min()?,
            })
        })
    }

    /// Estimates the wait of a request that arrives now; zero until the drain rate is measured.
    pub fn expected_wait(&self, workspace: &WorkspaceName, priority: Priority) -> Duration {
        let key = ClassKey {
            priority: Reverse(priority),
            first_send: true,
        };
        self.wait_behind(self.ahead_in(key, workspace, false))
    }

    /// Estimates the number of requests that are served before one that arrives now.
    pub fn ahead(&self, request: &QueueRequest, now: Time) -> f64 {
        let key = ClassKey::of(request);
        self.ahead_in(key, &request.workspace, request.is_late(now))
    }

    fn request_wait(&self, request: &QueueRequest, now: Time) -> Duration {
        self.wait_behind(self.ahead(request, now))
    }

    fn wait_behind(&self, ahead: f64) -> Duration {
        let interval = self.drain.measured_interval().unwrap_or_default();
        interval.mul_f64(ahead)
    }

    fn ahead_in(&self, key: ClassKey, workspace: &WorkspaceName, late: bool) -> f64 {
        let mut ahead = 0.0;
        for (other, class) in &self.classes {
            if *other < key {
                ahead += class.len() as f64;
            } else if *other == key {
                ahead += class.ahead(workspace, self.weight(workspace), late);
            }
        }
        ahead
    }

    fn expire(&mut self, now: Time) {
        for class in self.classes.values_mut() {
            class.expire(now);
        }
    }

    /// Returns the class and position of the next request to serve.
    fn next(&mut self, now: Time) -> Option<(ClassKey, Position)> {
        self.expire(now);
        let turn = self.bounds.oldest_in;
        if self.classes.len() > 1 && turn.is_some_and(|turn| self.passed_over + 1 >= turn) {
            return self.oldest();
        }
        let (key, class) = self.classes.first_key_value()?;
        Some((*key, class.first()?))
    }

    /// Returns the class and position of the request that has waited longest.
    fn oldest(&self) -> Option<(ClassKey, Position)> {
        let requests = self.classes.iter().flat_map(|(key, class)| {
            let queued = class.iter();
            queued.map(|(position, q)| ((q.arrived, q.sequence), *key, position))
        });
        let oldest = requests.min_by_key(|(since, ..)| *since);
        oldest.map(|(_, key, position)| (key, position))
    }

    /// Whether a request fits into the bounds.
    fn has_room(&self, request: &QueueRequest) -> bool {
        let has_bytes = self
            .bounds
            .bytes
            .is_none_or(|bound| self.bytes + request.bytes <= bound);
        self.count < self.policy.bound as usize && has_bytes
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
        self.bytes += queued.request.bytes;
        self.classes
            .entry(ClassKey::of(&queued.request))
            .or_default()
            .push(queued, weight);
    }

    fn remove(&mut self, key: ClassKey, position: &Position) -> Option<Queued<T>> {
        let class = self.classes.get_mut(&key)?;
        let queued = class.remove(position)?;
        if class.is_empty() {
            self.classes.remove(&key);
        }
        self.count -= 1;
        self.bytes -= queued.request.bytes;
        Some(queued)
    }

    /// Returns why a request with the expected `wait` would be late, if it would.
    fn late_reason(&self, queued: &Queued<T>, wait: Duration, now: Time) -> Option<ShedReason> {
        if now + wait + self.drain.answer_time() >= queued.deadline {
            return Some(ShedReason::Deadline);
        }
        let waited = now.since(queued.arrived) + wait;
        (waited >= queued.request.max_wait(self.policy.wait)).then_some(ShedReason::Waited)
    }

    /// Evicts requests from a full queue in favour of `queued`, or sheds `queued`.
    fn displace(&mut self, queued: Queued<T>, wait: Duration, now: Time) -> Vec<Shed<T>> {
        let mut evicted = Vec::new();
        while !self.has_room(&queued.request) {
            let victim = self.victim(&queued, now);
            match victim.and_then(|(key, position)| self.remove(key, &position)) {
                Some(victim) => evicted.push(victim),
                None => {
                    for victim in evicted {
                        self.insert(victim, now);
                    }
                    return vec![self.shed(queued, ShedReason::Full, wait)];
                }
            }
        }
        self.insert(queued, now);
        let evicted = evicted.into_iter();
        evicted
            .map(|victim| self.shed(victim, ShedReason::OverShare, wait))
            .collect()
    }

    /// Returns the request that gives way to `queued`, if one does.
    fn victim(&self, queued: &Queued<T>, now: Time) -> Option<(ClassKey, Position)> {
        let (key, class) = self.classes.last_key_value()?;
        let weight = self.weight(&queued.workspace);
        let cost = queued.request.cost;
        let victim = match key.cmp(&ClassKey::of(&queued.request)) {
            std::cmp::Ordering::Greater => class.last(),
            std::cmp::Ordering::Equal => {
                let over = class.over_share(&queued.workspace, weight, cost);
                over.or_else(|| class.last_late().filter(|_| !queued.request.is_late(now)))
            }
            std::cmp::Ordering::Less => None,
        };
        victim.map(|position| (*key, position))
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
