//! Events that drive an attempt and actions that it requests.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{
    Failure, Fingerprint, IdempotencyKey, RequestId, ServiceName, Time, WorkspaceName,
};

use crate::{ClaimRef, Command, Finding, NotRun, Outcome, Place, Reply};

/// Non-idempotent request of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Intent {
    /// Identifier of the request, unique within the deployment.
    pub request: RequestId,
    /// Workspace of the key.
    pub workspace: WorkspaceName,
    /// Requested service.
    pub service: ServiceName,
    /// Idempotency key of the request.
    pub key: IdempotencyKey,
    /// Whether the entry generated the key.
    pub generated: bool,
    /// Digest of the request content.
    pub fingerprint: Fingerprint,
    /// Maximum number of claims made for the request.
    pub attempts: u32,
    /// Time by which the request must be answered.
    pub deadline: Time,
}

/// Input to an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An upstream was chosen.
    Chosen(Place),
    /// No upstream is available.
    NoPlace(Failure),
    /// The proposal was committed and the journal replied.
    Committed(Reply),
    /// The proposal may or may not have been committed.
    Unconfirmed,
    /// The agent returned the complete answer.
    Answered(Arc<Outcome>),
    /// The agent reported that this send did not run and never will.
    NotRun(NotRun),
    /// The connection of the send broke, or the agent has no answer.
    Broken,
    /// The agent replied to the inquiry.
    Found(Finding),
    /// The agent did not reply to the inquiry.
    Unreachable,
    /// The directory reports the agent or its ledger as permanently lost.
    Gone,
    /// The caller disconnected.
    CallerGone,
    /// The deadline of the request passed.
    DeadlinePassed,
}

/// Action for the caller of [`Attempt::on`] to carry out.
///
/// [`Attempt::on`]: crate::Attempt::on
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Choose an upstream for this attempt.
    Choose {
        /// Number of the attempt, starting at 1.
        attempt: u32,
    },
    /// Propose a command after a delay and report the result.
    Propose {
        /// Command to replicate.
        command: Box<Command>,
        /// Delay before the action.
        after: Duration,
    },
    /// Send the request to the agent exactly once.
    Send {
        /// Claim under which the request runs.
        held: ClaimRef,
        /// Where the request runs.
        place: Place,
    },
    /// Query the agent about the claim after a delay.
    Inquire {
        /// Claim in question.
        held: ClaimRef,
        /// Where the claim was to run.
        place: Place,
        /// Delay before the action.
        after: Duration,
    },
    /// Answer the caller.
    Answer(Answer),
    /// Drop the attempt; no further action follows.
    Finish,
}

/// Answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// Answer of the only run.
    Outcome(Arc<Outcome>),
    /// Failure that states whether the request ran.
    Failure(Failure),
}
