//! What a placer decides, with what it weighed.

use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{Failure, LoadReport, UpstreamName};
use smallvec::SmallVec;

use crate::gate::CreditId;

/// Candidates kept in a decision, which needs no allocation for them.
pub(super) const INLINE_CANDIDATES: usize = 8;

/// An upstream that was weighed.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Estimated time to the whole answer, microseconds; lower is better.
    pub score: f64,
    /// Requests that run there, as estimated.
    pub load: f64,
    /// Requests that may run there at once, as last reported.
    pub allowance: u32,
    /// Blocks of the prompt believed to be cached there.
    pub hit: u32,
}

/// Best candidates that were weighed, best first.
pub type Candidates = SmallVec<[Candidate; INLINE_CANDIDATES]>;

/// Why the chosen upstream was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// It holds the longest part of the prompt.
    #[display("prefix")]
    Prefix,
    /// It has the lowest score by load and speed.
    #[display("load")]
    Load,
    /// It granted a credit.
    #[display("credit")]
    Credit,
    /// It was the only candidate with room.
    #[display("only")]
    Only,
}

/// Booking of one placed request; given back by `Placer::finish`.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a ticket counts as load until it is finished"]
pub struct Ticket(pub(super) Booking);

impl Ticket {
    /// Gives the booking up to whoever ends it.
    pub(super) fn into_booking(self) -> Booking {
        self.0
    }
}

/// What a ticket stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Booking {
    pub(super) slot: u32,
    pub(super) generation: u32,
    pub(super) believed: u32,
}

/// A placed request.
#[derive(Debug, PartialEq)]
pub struct Decision {
    /// Upstream that was chosen.
    pub upstream: UpstreamName,
    /// Why.
    pub reason: Reason,
    /// Credit to send along.
    pub credit: Option<CreditId>,
    /// Best candidates that were weighed, best first.
    pub candidates: Candidates,
    /// Booking to give back at the end.
    pub ticket: Ticket,
}

/// A request that has to wait for a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Upstreams whose agents should be asked for credits.
    pub upstreams: SmallVec<[UpstreamName; INLINE_CANDIDATES]>,
}

/// What becomes of a request.
#[derive(Debug, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "one is built for each request and should not allocate"
)]
pub enum Placement {
    /// It goes to an upstream.
    Chosen(Decision),
    /// It waits in the queue.
    Wait(Wait),
    /// It cannot be served.
    Refused(Failure),
}

/// How a placed request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// Answered in full.
    Good,
    /// Refused by the gate as "not run", with its load.
    Refused(Option<LoadReport>),
    /// Cancelled, which says nothing of the upstream.
    Cancelled,
    /// The upstream failed, stalled or could not be reached.
    Failed,
}

/// End of a placed request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finished {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from sending to the first token or to the head of the answer.
    pub first_token: Option<Duration>,
    /// Time from sending to the end.
    pub total: Duration,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Blocks of the prompt that the engine found in its cache, if it says so.
    pub cached: Option<u32>,
}
