//! Lines on one request.

use pimentotide_model::Revision;
use pimentotide_observe::Line;
use serde::Serialize;

/// Routing decision of an entry that places requests through agents.
#[derive(Default, Serialize)]
pub struct Routed<'a> {
    /// Request.
    pub request: String,
    /// Workspace.
    pub workspace: &'a str,
    /// Service.
    pub service: &'a str,
    /// Profile.
    pub profile: &'a str,
    /// Priority.
    pub priority: u8,
    /// Number of the attempt.
    pub attempt: u32,
    /// Upstreams that were considered.
    pub considered: Vec<Considered<'a>>,
    /// Upstream chosen; none if the request goes nowhere.
    pub choice: Option<&'a str>,
    /// Why.
    pub reason: String,
    /// Time in the queue, ms.
    pub waited_ms: u128,
    /// Revision of the declarations that decided.
    pub revision: Revision,
}

/// Upstream that was considered.
#[derive(Default, Serialize)]
pub struct Considered<'a> {
    /// Upstream.
    pub upstream: &'a str,
    /// Expected time to the first token, µs.
    pub score_us: u64,
    /// Requests thought to be there.
    pub load: u64,
    /// Requests that it may be given.
    pub allowance: u32,
    /// Blocks of the prompt that it holds.
    pub cached_blocks: u32,
}

/// A request sent to an upstream.
#[derive(Default, Serialize)]
pub struct Placed<'a> {
    /// Request.
    pub request: &'a str,
    /// Route.
    pub route: &'a str,
    /// Upstream.
    pub upstream: &'a str,
    /// Number of the send.
    pub send: u32,
    /// Requests thought to be at the upstream.
    pub outstanding: f64,
    /// Upstreams among which it was chosen.
    pub candidates: usize,
    /// Version of the configuration that routed it.
    pub version: u64,
    /// Time since that was last confirmed, ms.
    pub age_ms: u128,
    /// Time left until the caller or the route gives up, ms.
    pub left_ms: u128,
}

/// A send that ended without a complete answer.
#[derive(Default, Serialize)]
pub struct Interrupted<'a> {
    /// Request.
    pub request: &'a str,
    /// Upstream.
    pub upstream: &'a str,
    /// How it ended.
    pub ended: String,
    /// Events passed on so far.
    pub events: u64,
    /// What follows.
    pub next: String,
    /// Why not another send, if none follows.
    pub reason: &'a str,
    /// Time since the request came, ms.
    pub after_ms: u128,
}

/// A stream that is broken off for good.
#[derive(Default, Serialize)]
pub struct BrokenOff<'a> {
    /// Request.
    pub request: &'a str,
    /// Events passed on.
    pub events: u64,
    /// Error kind.
    pub kind: String,
    /// What happened.
    pub detail: &'a str,
    /// Time since the request came, ms.
    pub after_ms: u128,
}

/// A request that is answered.
#[derive(Default, Serialize)]
pub struct Answered<'a> {
    /// Request.
    pub request: &'a str,
    /// Upstream that answered.
    pub upstream: &'a str,
    /// Status passed on.
    pub status: u16,
    /// Sends that it took.
    pub sends: u32,
    /// Events passed on.
    pub events: u64,
    /// Time since the request came, ms.
    pub after_ms: u128,
}

/// A request that is refused or given up.
#[derive(Default, Serialize)]
pub struct Refused<'a> {
    /// Request.
    pub request: &'a str,
    /// Path.
    pub path: &'a str,
    /// Error kind.
    pub kind: String,
    /// Whether it has run.
    pub ran: String,
    /// What happened.
    pub detail: &'a str,
    /// When the caller is told to come back, ms.
    pub retry_ms: Option<u128>,
    /// Version of the configuration that decided; none if there was none.
    pub version: Option<u64>,
    /// Time since that was last confirmed, ms.
    pub age_ms: u128,
    /// Time since the request came, ms.
    pub after_ms: u128,
}

impl Line for Routed<'_> {
    const EVENT: &'static str = "route";
    const ROUTINE: bool = true;
}

impl Line for Placed<'_> {
    const EVENT: &'static str = "placed";
    const ROUTINE: bool = true;
}

impl Line for Interrupted<'_> {
    const EVENT: &'static str = "interrupted";
}

impl Line for BrokenOff<'_> {
    const EVENT: &'static str = "broken_off";
}

impl Line for Answered<'_> {
    const EVENT: &'static str = "answered";
    const ROUTINE: bool = true;
}

impl Line for Refused<'_> {
    const EVENT: &'static str = "refused";
}
