//! Messages between processes.

use pimentotide_consensus::{Envelope, Index};
use pimentotide_control::currency::{WatchAnswer, WatchRequest};
use pimentotide_control::directory::{Report, ReportAnswer};
use pimentotide_control::{Command, Response};
use pimentotide_experts::{Message, Peer};
use pimentotide_model::{Incarnation, LoadReport};
use pimentotide_outcome::{ClaimRef, Finding, LedgerEpoch, NotRun, Piece, Place};
use pimentotide_routing::{Admission, Refusal};

use super::NodeId;

/// A message; numbers identify the call, session or request that it belongs to.
#[derive(Clone, Debug)]
pub(super) enum Packet {
    Consensus(Box<Envelope>),
    ReadRequest(u64),
    ReadResponse(u64, Option<Index>),
    WatchRequest(u64, Box<WatchRequest>),
    WatchResponse(u64, Option<Box<WatchAnswer>>),
    Report((Incarnation, u64), Box<Report>),
    ReportAnswer((Incarnation, u64), ReportAnswer),
    Load(LoadReport, LedgerEpoch),
    Propose(u64, Box<Command>),
    Proposed(u64, Proposed),
    Work(Box<Work>),
    Answer(u64, u32, WorkAnswer),
    Inquire(u64, u64, ClaimRef, Place),
    Found(u64, u64, Finding),
    Ranks(Peer, Box<Message>),
}

/// Result of a proposal at one replica.
#[derive(Clone, Debug)]
pub(super) enum Proposed {
    Applied(Response),
    /// The proposal has no effect; names the leader if the replica has one.
    Rejected(Option<NodeId>),
    /// The proposal may have taken effect.
    Unknown,
}

/// One attempt of a request, sent to an agent.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) request: u64,
    pub(super) attempt: u32,
    pub(super) name: String,
    pub(super) content: String,
    pub(super) from: u64,
    pub(super) admission: Admission,
    pub(super) claim: Option<(ClaimRef, Place)>,
}

/// Answer of an agent to an attempt.
#[derive(Clone, Debug)]
pub(super) enum WorkAnswer {
    Refused(Box<Refusal>),
    NotRun(NotRun),
    Piece(Piece<String>),
    /// Complete answer of a request that runs at most once.
    Finished(std::sync::Arc<pimentotide_outcome::Outcome>),
    /// The engine crashed while it ran the request.
    EngineCrashed(Incarnation),
    /// The connection was refused, so nothing was sent.
    Unsent,
    /// The connection broke.
    Reset,
}
