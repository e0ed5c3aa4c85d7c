//! Log line of each routing decision.

use pimentotide_model::{RequestMeta, Revision};

use super::placing::Placed;
use crate::lines::{Considered, Routed};

/// Logs the placement of a request.
pub(super) fn log_placed(meta: &RequestMeta, profile: &str, attempt: u32, placed: &Placed) {
    let considered = placed.candidates.iter().map(|c| Considered {
        upstream: &c.upstream,
        score_us: c.score as u64,
        load: c.load as u64,
        allowance: c.allowance,
        cached_blocks: c.hit,
    });
    let line = Routed {
        considered: considered.collect(),
        choice: Some(&placed.upstream),
        reason: placed.reason.to_string(),
        waited_ms: placed.waited.as_millis(),
        revision: placed.revision,
        ..line(meta, profile, attempt)
    };
    pimentotide_observe::event(&line);
}

/// Logs that a request was not placed.
pub(super) fn log_refused(
    meta: &RequestMeta,
    profile: &str,
    attempt: u32,
    reason: &str,
    revision: Revision,
) {
    let refused = Routed {
        reason: reason.to_owned(),
        revision,
        ..line(meta, profile, attempt)
    };
    pimentotide_observe::event(&refused);
}

fn line<'a>(meta: &'a RequestMeta, profile: &'a str, attempt: u32) -> Routed<'a> {
    Routed {
        request: meta.id.to_string(),
        workspace: &meta.workspace,
        service: &meta.service,
        profile,
        priority: meta.priority.0,
        attempt,
        considered: Vec::new(),
        choice: None,
        reason: String::new(),
        waited_ms: 0,
        revision: Revision::default(),
    }
}
