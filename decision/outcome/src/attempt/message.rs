//! What an attempt is told and what it has the shell carry out.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{
    Failure, Fingerprint, IdempotencyKey, RequestId, ServiceName, Time, WorkspaceName,
};

use crate::{ClaimRef, Command, Finding, NotRun, Outcome, Place, Reply};

/// What a caller wants done once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Intent {
    /// Identifier of the request, unique in the deployment.
    pub request: RequestId,
    /// Workspace of the key.
    pub workspace: WorkspaceName,
    /// Service that is asked.
    pub service: ServiceName,
    /// Key of the request.
    pub key: IdempotencyKey,
    /// Whether the entry made the key up.
    pub generated: bool,
    /// Digest of the content.
    pub fingerprint: Fingerprint,
    /// Most claims that it makes.
    pub attempts: u32,
    /// Time by which it must be answered.
    pub deadline: Time,
}

/// What the shell tells the attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An upstream was chosen.
    Chosen(Place),
    /// No upstream can be chosen.
    NoPlace(Failure),
    /// The proposal was committed, with this reply.
    Committed(Reply),
    /// The proposal may or may not have been committed.
    Unconfirmed,
    /// The agent returned the whole answer.
    Answered(Arc<Outcome>),
    /// The agent returned its true refusal of this send.
    NotRun(NotRun),
    /// The connection of the send broke, or the agent knows no answer.
    Broken,
    /// The agent answered the inquiry.
    Found(Finding),
    /// The agent did not answer the inquiry.
    Unreachable,
    /// The directory says that the agent or its memory is gone for good.
    Gone,
    /// The caller went away.
    CallerGone,
    /// The deadline of the request passed.
    DeadlinePassed,
}

/// What the shell carries out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Choose an upstream for this attempt.
    Choose {
        /// Attempt, from 1.
        attempt: u32,
    },
    /// Propose a command after a pause, and tell what came of it.
    Propose {
        /// Command to replicate.
        command: Box<Command>,
        /// Pause before it.
        after: Duration,
    },
    /// Send the request to the agent, once.
    Send {
        /// Claim that it runs under.
        held: ClaimRef,
        /// Where it runs.
        place: Place,
    },
    /// Ask the agent about the claim after a pause.
    Inquire {
        /// Claim in question.
        held: ClaimRef,
        /// Where it was to run.
        place: Place,
        /// Pause before it.
        after: Duration,
    },
    /// Answer the caller.
    Answer(Answer),
    /// Nothing is left to do.
    Finish,
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The answer of the one run.
    Outcome(Arc<Outcome>),
    /// A failure with the truth about having run.
    Failure(Failure),
}
