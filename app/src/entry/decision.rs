//! One log line for each routing decision.

use pimentotide_model::{Incarnation, RequestMeta, Revision, UpstreamName};
use serde::Serialize;

/// Where a request goes, and why.
#[derive(Clone, Debug)]
pub(super) struct Placed {
    /// Upstream that was chosen.
    pub(super) upstream: UpstreamName,
    /// Start of the upstream.
    pub(super) incarnation: Incarnation,
    /// Address of its agent.
    pub(super) agent: std::net::SocketAddr,
    /// Upstreams that were considered.
    pub(super) considered: Vec<UpstreamName>,
    /// Why this one.
    pub(super) reason: &'static str,
    /// Configuration in force.
    pub(super) revision: Revision,
}

#[derive(Serialize)]
struct Line<'a> {
    request: String,
    workspace: &'a str,
    service: &'a str,
    profile: &'a str,
    attempt: u32,
    considered: &'a [UpstreamName],
    choice: Option<&'a str>,
    reason: &'a str,
    revision: Revision,
}

/// Logs where a request goes.
pub(super) fn log_placed(meta: &RequestMeta, profile: &str, attempt: u32, placed: &Placed) {
    pimentotide_observe::event(
        "route",
        &Line {
            request: meta.id.to_string(),
            workspace: &meta.workspace,
            service: &meta.service,
            profile,
            attempt,
            considered: &placed.considered,
            choice: Some(&placed.upstream),
            reason: placed.reason,
            revision: placed.revision,
        },
    );
}

/// Logs that a request goes nowhere.
pub(super) fn log_refused(
    meta: &RequestMeta,
    profile: &str,
    attempt: u32,
    reason: &str,
    revision: Revision,
) {
    pimentotide_observe::event(
        "route",
        &Line {
            request: meta.id.to_string(),
            workspace: &meta.workspace,
            service: &meta.service,
            profile,
            attempt,
            considered: &[],
            choice: None,
            reason,
            revision,
        },
    );
}
