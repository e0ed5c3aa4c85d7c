//! Right to pass one request on, held while it runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{RequestId, Time};
use pimentotide_routing::{Completed, Outcome, Permit as GatePermit};
use tokio::sync::Notify;

use super::core::Core;

/// Right to pass one request on; gives its place back when dropped.
pub(super) struct Permit {
    core: Arc<Core>,
    id: RequestId,
    inner: Option<GatePermit>,
    outcome: Outcome,
    since: Time,
    first: Option<Duration>,
    last: Time,
    pieces: u32,
    /// Address of the upstream.
    pub(super) engine: SocketAddr,
    /// Wakes when the entry gives the request up.
    pub(super) cancel: Arc<Notify>,
}

impl Permit {
    pub(super) fn new(
        core: Arc<Core>,
        id: RequestId,
        inner: GatePermit,
        engine: SocketAddr,
        cancel: Arc<Notify>,
    ) -> Self {
        let since = core.now();
        Self {
            core,
            id,
            inner: Some(inner),
            outcome: Outcome::Cancelled,
            since,
            first: None,
            last: since,
            pieces: 0,
            engine,
            cancel,
        }
    }

    /// Notes a piece of the answer.
    pub(super) fn progress(&mut self) {
        self.last = self.core.now();
        self.pieces += 1;
        if self.first.is_none() {
            self.first = Some(self.last.since(self.since));
            if let Some(permit) = &self.inner {
                self.core.first_token(permit);
            }
        }
    }

    /// Sets how the request ended; cancelled unless set.
    pub(super) fn ended(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Mean time between pieces; none if there were fewer than two.
    fn gap(&self) -> Option<Duration> {
        let first = self.since + self.first?;
        let gaps = self.pieces.checked_sub(1).filter(|n| *n > 0)?;
        Some(self.last.since(first) / gaps)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let done = Completed {
            outcome: self.outcome,
            first_token: self.first,
            token_gap: self.gap(),
        };
        if let Some(permit) = self.inner.take() {
            self.core.complete(self.id, permit, done);
        }
    }
}
