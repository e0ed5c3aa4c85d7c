//! Decisions of a placer, with the candidates that it compared.

use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{Failure, LoadReport, UpstreamName};
use smallvec::SmallVec;

use crate::gate::CreditId;

/// Candidates stored inline in a decision, without allocation.
pub(super) const INLINE_CANDIDATES: usize = 8;

/// An upstream that was considered.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Estimated time to the complete answer, microseconds; lower is better.
    pub score: f64,
    /// Estimated number of requests running there.
    pub load: f64,
    /// Last reported limit on concurrent requests there.
    pub allowance: u32,
    /// Blocks of the prompt expected in its cache.
    pub hit: u32,
}

/// Best candidates of a decision, best first.
pub type Candidates = SmallVec<[Candidate; INLINE_CANDIDATES]>;

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// It caches the longest prefix of the prompt.
    #[display("prefix")]
    Prefix,
    /// It has the lowest score by load, speed and distance.
    #[display("load")]
    Load,
    /// It granted a credit.
    #[display("credit")]
    Credit,
    /// It was the only candidate with room.
    #[display("only")]
    Only,
}

/// Reservation of one placed request; returned to `Placer::finish`.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a ticket counts as load until it is finished"]
pub struct Ticket(pub(super) Reservation);

impl Ticket {
    /// Returns the reservation.
    pub(super) fn into_reservation(self) -> Reservation {
        self.0
    }
}

/// Contents of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Reservation {
    pub(super) slot: u32,
    pub(super) generation: u32,
    pub(super) expected_hit: u32,
}

/// A placed request.
#[derive(Debug, PartialEq)]
pub struct Decision {
    /// Upstream that was chosen.
    pub upstream: UpstreamName,
    /// Why it was chosen.
    pub reason: Reason,
    /// Credit to send with the request, if one was redeemed.
    pub credit: Option<CreditId>,
    /// Best candidates, the chosen one first.
    pub candidates: Candidates,
    /// Ticket to return when the request ends.
    pub ticket: Ticket,
}

/// A request that has to wait until an upstream has room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Upstreams whose agents to ask for credits.
    pub upstreams: SmallVec<[UpstreamName; INLINE_CANDIDATES]>,
}

/// Result of placing a request.
#[derive(Debug, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "one is built for each request and should not allocate"
)]
pub enum Placement {
    /// The request is sent to an upstream.
    Chosen(Decision),
    /// The request waits in the queue.
    Wait(Wait),
    /// The request cannot be served.
    Refused(Failure),
}

/// How an attempt on an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// Answered completely.
    Good,
    /// Refused by the gate without having run, with the gate's load report if present.
    Refused(Option<LoadReport>),
    /// Cancelled, which does not affect the health of the upstream.
    Cancelled,
    /// The upstream failed, stalled or was unreachable.
    Failed,
}

/// End of a placed request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finished {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time from sending to the first token or the head of the answer; `None` if neither arrived.
    pub first_token: Option<Duration>,
    /// Time from sending to the end.
    pub total: Duration,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Blocks of the prompt that the engine found in its cache; `None` if not reported.
    pub cached: Option<u32>,
}
