//! Log lines of the decisions on one request.

use serde::Serialize;

/// A request sent to an upstream.
#[derive(Serialize)]
pub(super) struct Placed<'a> {
    pub(super) request: &'a str,
    pub(super) route: &'a str,
    pub(super) upstream: &'a str,
    pub(super) send: u32,
    pub(super) outstanding: f64,
    pub(super) candidates: usize,
    pub(super) left_ms: u128,
}

/// A send that ended without a complete answer.
#[derive(Serialize)]
pub(super) struct Interrupted<'a> {
    pub(super) request: &'a str,
    pub(super) upstream: &'a str,
    pub(super) ended: String,
    pub(super) events: u64,
    pub(super) next: String,
    pub(super) after_ms: u128,
}

/// A request that is answered.
#[derive(Serialize)]
pub(super) struct Answered<'a> {
    pub(super) request: &'a str,
    pub(super) upstream: &'a str,
    pub(super) status: u16,
    pub(super) sends: u32,
    pub(super) events: u64,
    pub(super) after_ms: u128,
}

/// A request that is refused or given up.
#[derive(Serialize)]
pub(super) struct Refused<'a> {
    pub(super) request: &'a str,
    pub(super) path: &'a str,
    pub(super) kind: String,
    pub(super) ran: String,
    pub(super) detail: &'a str,
    pub(super) retry_ms: Option<u128>,
    pub(super) after_ms: u128,
}
