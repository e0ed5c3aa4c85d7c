//! Requests in the queue and the reasons for which they are shed.

use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{
    Deadline, ErrorKind, Failure, Priority, RequestId, RequestMeta, Time, WorkspaceName,
};

/// Virtual time that a request of unit cost takes from a workspace of weight 1.
pub const REQUEST_COST: u64 = 1 << 20;

/// Attributes by which a request is queued.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Workspace on whose behalf it waits.
    pub workspace: WorkspaceName,
    /// Priority of the request.
    pub priority: Priority,
    /// Whether it is sent again, and so precedes first sends of its priority.
    pub resend: bool,
    /// Time by which it must leave the queue to meet its target; `None` if it has none.
    pub target: Option<Time>,
    /// Time by which it must be answered.
    pub deadline: Deadline,
    /// Longest wait, if it is shorter than that of the policy.
    pub wait: Option<Duration>,
    /// Virtual time that it takes from its workspace.
    pub cost: u64,
    /// Memory that it occupies while it waits.
    pub bytes: u64,
    /// Time at which it began to wait.
    pub arrived: Time,
}

impl QueueRequest {
    /// Returns a request of unit cost, without a target.
    pub fn new(meta: &RequestMeta, now: Time) -> Self {
        Self {
            id: meta.id,
            workspace: meta.workspace.clone(),
            priority: meta.priority,
            resend: false,
            target: None,
            deadline: meta.deadline,
            wait: None,
            cost: REQUEST_COST,
            bytes: 0,
            arrived: now,
        }
    }

    /// Whether its target can no longer be met.
    pub(super) fn is_late(&self, now: Time) -> bool {
        self.target.is_some_and(|target| target < now)
    }

    /// Returns its longest wait under a policy.
    pub(super) fn max_wait(&self, policy: Duration) -> Duration {
        self.wait.map_or(policy, |wait| wait.min(policy))
    }
}

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
    pub(super) request: QueueRequest,
    pub(super) sequence: u64,
}

impl<T> Queued<T> {
    pub(super) fn new(request: QueueRequest, item: T, sequence: u64) -> Self {
        Self {
            id: request.id,
            workspace: request.workspace.clone(),
            priority: request.priority,
            deadline: request.deadline,
            arrived: request.arrived,
            item,
            request,
            sequence,
        }
    }
}

/// Why a request is refused or shed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedReason {
    /// The queue is full.
    #[display("queue full")]
    Full,
    /// The queue is full, and a request of higher priority, one whose target can still be met, or
    /// one of a workspace below its share replaced this one.
    #[display("over share")]
    OverShare,
    /// The request would miss its deadline.
    #[display("deadline")]
    Deadline,
    /// The wait reaches the limit of the profile or of the request.
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
