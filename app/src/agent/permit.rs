//! Permit to forward one request, held while it runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{RequestId, Time};
use pimentotide_routing::{Completed, Outcome, Permit as GatePermit};
use tokio::sync::Notify;

use super::core::Core;

/// Permit to forward one request; frees its slot when dropped.
pub(super) struct Permit {
    core: Arc<Core>,
    id: RequestId,
    inner: Option<GatePermit>,
    outcome: Outcome,
    admitted_at: Time,
    /// Time from admission to the first piece.
    first_token: Option<Duration>,
    last_piece: Time,
    pieces: u32,
    /// Address of the upstream.
    pub(super) engine: SocketAddr,
    /// Notified when the entry cancels the request.
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
        let admitted_at = core.now();
        Self {
            core,
            id,
            inner: Some(inner),
            outcome: Outcome::Cancelled,
            admitted_at,
            first_token: None,
            last_piece: admitted_at,
            pieces: 0,
            engine,
            cancel,
        }
    }

    /// Records a piece of the answer.
    pub(super) fn record_piece(&mut self) {
        self.last_piece = self.core.now();
        self.pieces += 1;
        if self.first_token.is_none() {
            self.first_token = Some(self.last_piece.since(self.admitted_at));
            if let Some(permit) = &self.inner {
                self.core.first_token(permit);
            }
        }
    }

    /// Sets the outcome of the request; cancelled unless set.
    pub(super) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Mean time between pieces; `None` for fewer than two.
    fn mean_gap(&self) -> Option<Duration> {
        let first = self.admitted_at + self.first_token?;
        let gaps = self.pieces.checked_sub(1).filter(|n| *n > 0)?;
        Some(self.last_piece.since(first) / gaps)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let done = Completed {
            outcome: self.outcome,
            first_token: self.first_token,
            token_gap: self.mean_gap(),
        };
        if let Some(permit) = self.inner.take() {
            self.core.complete(self.id, permit, done);
        }
    }
}
