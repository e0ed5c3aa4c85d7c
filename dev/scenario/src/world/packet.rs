//! What travels between processes.

use pimentotide_consensus::{Envelope, Index};
use pimentotide_control::currency::{WatchAnswer, WatchRequest};
use pimentotide_control::directory::{Report, ReportAnswer};
use pimentotide_control::{Command, Response};
use pimentotide_experts::{Message, Peer};
use pimentotide_model::{Incarnation, LoadReport};
use pimentotide_outcome::{ClaimRef, Finding, LedgerEpoch, NotRun, Piece, Place};
use pimentotide_routing::{Admission, Refusal};

use super::NodeId;

/// One message.
#[derive(Clone, Debug)]
pub(super) enum Parcel {
    Consensus(Box<Envelope>),
    ReadAsk(u64),
    ReadDone(u64, Option<Index>),
    WatchAsk(u64, Box<WatchRequest>),
    WatchDone(u64, Option<Box<WatchAnswer>>),
    Report((Incarnation, u64), Box<Report>),
    Heard((Incarnation, u64), ReportAnswer),
    Load(LoadReport, LedgerEpoch),
    Propose(u64, Box<Command>),
    Proposed(u64, Proposed),
    Work(Box<Work>),
    Answer(u64, u32, WorkAnswer),
    Inquire(u64, u64, ClaimRef, Place),
    Found(u64, u64, Finding),
    Ranks(Peer, Box<Message>),
}

/// What became of a proposal at one replica.
#[derive(Clone, Debug)]
pub(super) enum Proposed {
    Applied(Response),
    /// It has no effect; this replica leads, as far as known.
    Rejected(Option<NodeId>),
    /// It may have an effect.
    Unknown,
}

/// One send of a request to an agent.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) flight: u64,
    pub(super) attempt: u32,
    pub(super) name: String,
    pub(super) content: String,
    pub(super) from: u64,
    pub(super) admission: Admission,
    pub(super) claim: Option<(ClaimRef, Place)>,
}

/// What an agent answers to a send.
#[derive(Clone, Debug)]
pub(super) enum WorkAnswer {
    Refused(Box<Refusal>),
    NotRun(NotRun),
    Piece(Piece<String>),
    /// Answer of a request that runs once, whole.
    Finished(std::sync::Arc<pimentotide_outcome::Outcome>),
    /// The engine died while it ran the request.
    Died(Incarnation),
    /// No process listened, so nothing was sent.
    Unsent,
    /// The connection broke.
    Reset,
}
