//! Queue of the requests to one service that an entry holds until an upstream can begin them.
//!
//! Sets the terms on which a [`FairQueue`] orders and bounds them: priority rank, target, work
//! and memory. The queue is lost with its entry, together with the connections of its callers.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::{Priority, QueuePolicy, RequestId, ServiceName, Time, WorkspaceName};
use pimentotide_routing::{FairQueue, QueueBounds, QueueRequest, Queued, REQUEST_COST, Shed};

use crate::priority::LOWEST_RANK;

/// Maximum number of requests that wait.
///
/// Half of the connections that an entry accepts: while a group forms, all callers of an entry may wait.
pub const MAX_QUEUED: u32 = 1_024;
/// Maximum size of the bodies of all waiting requests together.
pub const MAX_QUEUED_BYTES: u64 = 4 << 20;
/// While several ranks wait, one in this many admissions is the request that has waited longest.
pub const OLDEST_IN: u32 = 10;
/// Part of the time left to its deadline that a request waits at most.
const MAX_WAIT_RATIO: f64 = 0.5;
/// Part of the time until its caller would abandon it that a stream waits at most; its first event
/// needs the rest.
const ABANDON_RATIO: f64 = 0.7;
/// Part of a target within which a sent request is expected to begin; the rest may pass before.
pub const BEGIN_RATIO: f64 = 0.5;
/// Bound of the queue's policy, which the wait of each request stays below.
const POLICY_WAIT: Duration = Duration::from_secs(3_600);
/// Work of a request without a token count.
const DEFAULT_WORK: u64 = 1_024;
/// Largest work that is counted.
const MAX_WORK: u64 = 1 << 20;
/// Work of one answer token in prompt tokens; prompts are processed in parallel.
const ANSWER_TOKEN_WORK: u64 = 10;
/// Largest number of answer tokens that is assumed without a hint; stated maxima are rarely used.
const MAX_ASSUMED_ANSWER: u64 = 256;

/// Returns the work of a request with this number of prompt tokens and maximum number of answer
/// tokens, of which the caller expects `hint`.
pub fn request_work(tokens: Option<(u64, u64)>, hint: Option<u64>) -> u64 {
    let Some((prompt, max_answer)) = tokens else {
        return DEFAULT_WORK;
    };
    let answer = hint.unwrap_or(max_answer.min(MAX_ASSUMED_ANSWER));
    let work = prompt.saturating_add(answer.saturating_mul(ANSWER_TOKEN_WORK));
    work.clamp(1, MAX_WORK)
}

/// What limits the wait of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// Time at which its caller began to wait.
    pub since: Time,
    /// Time without an event after which its caller leaves; `None` if it waits until its deadline.
    pub abandon_after: Option<Duration>,
    /// Time by which it must be answered.
    pub deadline: Time,
}

impl WaitLimits {
    /// Returns the end of a wait that begins now.
    ///
    /// A refused caller has to have time left to return, and one that abandons its stream has not been
    /// told when.
    pub fn end(&self, now: Time) -> Time {
        let latest = now + self.deadline.since(now).mul_f64(MAX_WAIT_RATIO);
        let abandoned = self
            .abandon_after
            .map(|time| self.since + time.mul_f64(ABANDON_RATIO));
        abandoned.map_or(latest, |end| end.min(latest))
    }
}

/// Terms on which a request waits.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionTerms {
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Whether it was sent before.
    pub resend: bool,
    /// Workspace whose share it uses; `None` on routes without keys.
    pub workspace: Option<WorkspaceName>,
    /// Time by which it is to be sent to meet its target; `None` if it has none.
    pub target: Option<Time>,
    /// Time by which it must be sent.
    pub deadline: Time,
    /// Work by [`request_work`].
    pub work: u64,
    /// Size of its body.
    pub bytes: u64,
    /// Time at which it began to wait.
    pub arrived: Time,
    /// Time at which its wait ends.
    pub until: Time,
}

/// Requests of one priority rank that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankBacklog {
    /// Priority rank.
    pub rank: u8,
    /// Number of requests.
    pub count: usize,
    /// Time for which the first of them has waited.
    pub oldest: Duration,
}

/// Requests to one service that wait.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    queue: FairQueue<T>,
    next_id: u128,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue.
    pub fn new(service: ServiceName) -> Self {
        let policy = QueuePolicy {
            bound: MAX_QUEUED,
            wait: POLICY_WAIT,
        };
        let bounds = QueueBounds {
            bytes: Some(MAX_QUEUED_BYTES),
            oldest_in: Some(OLDEST_IN),
        };
        Self {
            queue: FairQueue::open(service, policy, BTreeMap::new()).with_bounds(bounds),
            next_id: 0,
        }
    }

    /// Returns the identifier for the next request.
    pub fn next_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id)
    }

    /// Enqueues a request; returns those refused for it, which may include the request itself.
    pub fn push(
        &mut self,
        id: RequestId,
        terms: AdmissionTerms,
        item: T,
        now: Time,
    ) -> Vec<Shed<T>> {
        self.queue.push_request(queue_request(id, terms), item, now)
    }

    /// Estimates the number of requests that are admitted before one on these terms.
    pub fn ahead(&self, terms: AdmissionTerms, now: Time) -> u64 {
        self.queue.ahead(&queue_request(RequestId(0), terms), now) as u64
    }

    /// Returns the next request to admit.
    pub fn peek(&mut self, now: Time) -> Option<&Queued<T>> {
        self.queue.peek(now)
    }

    /// Removes and returns the next request to admit.
    pub fn pop(&mut self, now: Time) -> Option<Queued<T>> {
        self.queue.pop(now)
    }

    /// Removes a request whose caller disconnected.
    pub fn cancel(&mut self, id: RequestId) -> Option<Queued<T>> {
        self.queue.cancel(id)
    }

    /// Removes the requests whose wait has ended or that would miss their deadline.
    pub fn shed_late(&mut self, now: Time) -> Vec<Shed<T>> {
        self.queue.shed_late(now)
    }

    /// Removes and returns the requests for which `is_taken` holds.
    pub fn take_where<F>(&mut self, is_taken: F) -> Vec<Queued<T>>
    where
        F: Fn(&Queued<T>) -> bool,
    {
        self.queue.take_where(is_taken)
    }

    /// Removes and returns all requests.
    pub fn take_all(&mut self) -> Vec<Queued<T>> {
        self.queue.take_all()
    }

    /// Returns the time at which the first wait ends.
    pub fn next_due(&self) -> Option<Time> {
        self.queue.next_due()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Lists the ranks of which requests wait.
    pub fn backlog(&self, now: Time) -> impl Iterator<Item = RankBacklog> {
        self.queue.backlog().map(move |b| RankBacklog {
            rank: rank_of(b.priority),
            count: b.count,
            oldest: now.since(b.oldest),
        })
    }
}

fn queue_request(id: RequestId, terms: AdmissionTerms) -> QueueRequest {
    QueueRequest {
        id,
        workspace: terms.workspace.unwrap_or_else(|| WorkspaceName::from("")),
        priority: Priority(LOWEST_RANK - terms.rank.min(LOWEST_RANK)),
        resend: terms.resend,
        target: terms.target,
        deadline: terms.deadline,
        wait: Some(terms.until.since(terms.arrived)),
        cost: terms.work.clamp(1, MAX_WORK) * (REQUEST_COST / DEFAULT_WORK),
        bytes: terms.bytes,
        arrived: terms.arrived,
    }
}

/// Returns the rank that a queue's priority stands for.
fn rank_of(priority: Priority) -> u8 {
    LOWEST_RANK.saturating_sub(priority.0)
}
