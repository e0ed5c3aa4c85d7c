//! Log lines about one request.

use std::sync::Arc;

use log::Level;
use pimentotide_model::Revision;
use pimentotide_observe::Line;
use serde::Serialize;

/// Routing decision of an entry that places requests through agents.
#[derive(Default, Serialize)]
pub struct Routed<'a> {
    /// Id of the request.
    pub request: String,
    /// Name of the workspace.
    pub workspace: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Name of the profile.
    pub profile: &'a str,
    /// Priority, limited by the profile.
    pub priority: u8,
    /// Number of the attempt.
    pub attempt: u32,
    /// Candidate upstreams with their scores.
    pub considered: Vec<Considered<'a>>,
    /// Chosen upstream; `None` if the request is not sent.
    pub choice: Option<&'a str>,
    /// Reason for the choice.
    pub reason: String,
    /// Time in the queue, ms.
    pub waited_ms: u128,
    /// Revision of the declarations used for the decision.
    pub revision: Revision,
}

/// Candidate upstream of a routing decision.
#[derive(Default, Serialize)]
pub struct Considered<'a> {
    /// Name of the upstream.
    pub upstream: &'a str,
    /// Expected time to the first token, µs.
    pub score_us: u64,
    /// Estimated number of in-flight requests.
    pub load: u64,
    /// Maximum number of in-flight requests.
    pub allowance: u32,
    /// Blocks of the prompt in its cache, as tracked by the entry.
    pub cached_blocks: u32,
}

/// A request is sent to an upstream.
#[derive(Default, Serialize)]
pub struct Placed<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Name of the upstream.
    pub upstream: &'a str,
    /// Number of the send, from 1.
    pub send: u32,
    /// Estimated number of in-flight requests at the upstream.
    pub outstanding: f64,
    /// Number of candidate upstreams.
    pub candidates: usize,
    /// Version of the configuration used for routing.
    pub version: u64,
    /// Time since the configuration was last confirmed, ms.
    pub age_ms: u128,
    /// Time left until the deadline of the caller or the route, ms.
    pub left_ms: u128,
}

/// A request waits in the entry for its turn.
#[derive(Default, Serialize)]
pub struct Queued<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Estimated number of requests that are admitted before it.
    pub ahead: u64,
    /// Number of requests to the service that wait.
    pub waiting: usize,
    /// Reason why none of them is sent.
    pub reason: String,
    /// Time left until the deadline of the caller or the route, ms.
    pub left_ms: u128,
}

/// A send ended without a complete answer.
#[derive(Default, Serialize)]
pub struct Interrupted<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Name of the upstream.
    pub upstream: &'a str,
    /// Kind of failure.
    pub ended: String,
    /// Events forwarded to the caller so far.
    pub events: u64,
    /// Next step: another send, or an answer to the caller.
    pub next: String,
    /// Limit that prevents another send; empty if none does.
    pub reason: &'a str,
    /// Time since the request arrived, ms.
    pub after_ms: u128,
}

/// A stream stays at a slow upstream because something that a move needs is missing.
#[derive(Default, Serialize)]
pub struct StreamKept<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Name of the upstream.
    pub upstream: &'a str,
    /// What is missing.
    pub reason: &'a str,
    /// Time since the request arrived, ms.
    pub after_ms: u128,
}

/// An answer of an upstream says that it is leaving, asks for a backoff or changes its limit.
#[derive(Default, Serialize)]
pub struct UpstreamSignal<'a> {
    /// Id of the request that was answered.
    pub request: &'a str,
    /// Name of the upstream.
    pub upstream: &'a str,
    /// `leaving`, `backoff` or `limit`.
    pub signal: &'static str,
    /// Length of a backoff, ms.
    pub for_ms: Option<u128>,
    /// Limit for all entries together, requests per second; `None` if the upstream names none any more.
    pub per_second: Option<f64>,
}

/// An upstream crashed while it ran requests of this entry.
#[derive(Default, Serialize)]
pub struct UpstreamCrashed {
    /// Name of the upstream.
    pub upstream: String,
    /// Start of the upstream, ms since the Unix epoch.
    pub born: u64,
    /// Number of requests of this entry that broke off.
    pub running: usize,
    /// These requests, or the first of them.
    pub requests: Vec<SuspectRequest>,
}

/// Request that broke off when its upstream crashed.
#[derive(Default, Serialize)]
pub struct SuspectRequest {
    /// Id of the request.
    pub request: String,
    /// Digest of its content, equal for repeats.
    pub content: String,
    /// Identifiers of the prompt's parts that other requests may share.
    pub parts: Vec<Arc<str>>,
    /// Events that the upstream had sent.
    pub events: u64,
}

/// A stream to the caller is aborted.
#[derive(Default, Serialize)]
pub struct BrokenOff<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Events forwarded to the caller.
    pub events: u64,
    /// Error kind.
    pub kind: String,
    /// Description of the error.
    pub detail: &'a str,
    /// Time since the request arrived, ms.
    pub after_ms: u128,
}

/// A request is answered by an upstream.
#[derive(Default, Serialize)]
pub struct Answered<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Upstream that answered.
    pub upstream: &'a str,
    /// HTTP status forwarded to the caller.
    pub status: u16,
    /// Number of sends.
    pub sends: u32,
    /// Events forwarded to the caller.
    pub events: u64,
    /// Time since the request arrived, ms.
    pub after_ms: u128,
}

/// A request is refused or fails.
#[derive(Default, Serialize)]
pub struct Refused<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Request path.
    pub path: &'a str,
    /// Error kind.
    pub kind: String,
    /// Whether the request has run.
    pub ran: String,
    /// Description of the error.
    pub detail: &'a str,
    /// Delay after which the caller may retry, ms.
    pub retry_ms: Option<u128>,
    /// Version of the configuration used for the decision; `None` before the first one.
    pub version: Option<u64>,
    /// Time since the configuration was last confirmed, ms.
    pub age_ms: u128,
    /// Time since the request arrived, ms.
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

impl Line for Queued<'_> {
    const EVENT: &'static str = "queued";
    const ROUTINE: bool = true;
}

impl Line for Interrupted<'_> {
    const EVENT: &'static str = "interrupted";
}

impl Line for StreamKept<'_> {
    const EVENT: &'static str = "stream_kept";
}

impl Line for UpstreamSignal<'_> {
    const EVENT: &'static str = "upstream_signal";
}

impl Line for UpstreamCrashed {
    const EVENT: &'static str = "upstream_crashed";
    const LEVEL: Level = Level::Warn;
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
