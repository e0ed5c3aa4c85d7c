//! Moves streams away from slow upstreams, and tells which streams may be moved.
//!
//! Everything that a move needs is taken under one lock, before the stream is abandoned at the
//! slow upstream: a retry from the budget and a place at another upstream. Without them the stream
//! stays where it is.

use std::time::Duration;

use pimentotide_fleet::{Admission, Relief, RouteKind, SlowEngine, may_relieve};
use tokio::sync::watch;

use super::attempt::{Attempt, Destination};
use super::state::{EntryState, Inner};
use crate::lines::{StreamKept, UpstreamSlow};

/// Time after which a stream that has to stay at a slow upstream is considered again.
///
/// Budget and room for some of the streams return within it.
const RELIEF_INTERVAL: Duration = Duration::from_millis(200);

impl EntryState {
    /// Applies the list of slow engines and logs the changes.
    pub(super) fn apply_slow(&self, inner: &mut Inner, slow: &[SlowEngine]) {
        let changes = inner.balancer.set_slow(slow);
        for change in &changes {
            pimentotide_observe::event(&UpstreamSlow {
                upstream: change.upstream.to_string(),
                pace: change.pace,
                avoided: change.avoided,
            });
        }
        let has_slow = inner.balancer.has_slow();
        self.slow_changes().send_if_modified(|before| {
            let differs = std::mem::replace(before, has_slow) != has_slow;
            differs || !changes.is_empty()
        });
    }
}

impl Attempt {
    /// Waits until the stream can leave its upstream because that is slow; returns its next one.
    pub(super) async fn until_relieved(&self) -> Destination {
        let mut changes: watch::Receiver<bool> = self.state.slow_changes().subscribe();
        loop {
            let has_slow = *changes.borrow_and_update();
            if has_slow && let Some(next) = self.relieve() {
                return next;
            }
            // A change and the end of the wait both lead to another look.
            let changed = changes.changed();
            let failed = if has_slow {
                let waited = tokio::time::timeout(RELIEF_INTERVAL, changed).await;
                waited.is_ok_and(|changed| changed.is_err())
            } else {
                changed.await.is_err()
            };
            if failed {
                // The sender is part of the state of this attempt, so that this is not reached.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Takes a retry from the budget and a place at another upstream; `None` if the stream stays.
    fn relieve(&self) -> Option<Destination> {
        if self.kind != RouteKind::Streaming {
            return None;
        }
        let ticket = self.last_ticket()?;
        let mut policy = self.policy;
        policy.crashing = self.state.is_refused(&self.digests);
        let now = self.state.now();
        let request = self.choice_request();
        let mut state = self.state.lock();
        if !state.check_lease(now) {
            return None;
        }
        let reason = match state.balancer.relief(ticket, &request, now) {
            Relief::Unneeded => return None,
            Relief::NoRoom => Some("no other upstream has room".to_owned()),
            Relief::Possible if state.gate(&self.service).admit(now) != Admission::Send => {
                Some("all upstreams refuse requests".to_owned())
            }
            Relief::Possible => {
                let spend = || state.budget.spend(&self.service, now);
                let limit = may_relieve(&policy, now, spend).err();
                limit.map(|l| l.to_string())
            }
        };
        if let Some(reason) = reason {
            drop(state);
            self.record_kept(&reason);
            return None;
        }
        let choice = state.balancer.choose(&request, now, &mut rand::rng());
        drop(state);
        choice.ok().map(|choice| self.destination(choice))
    }

    /// Whether the stream may go on at another upstream.
    pub(super) fn may_move(&self) -> bool {
        let mut policy = self.policy;
        policy.crashing = self.state.is_refused(&self.digests);
        let now = self.state.now();
        let mut state = self.state.lock();
        may_relieve(&policy, now, || state.budget.allows(&self.service, now)).is_ok()
    }

    /// Records once for each send that a stream stays at a slow upstream.
    fn record_kept(&self, reason: &str) {
        let Some(upstream) = self.first_kept() else {
            return;
        };
        self.state
            .metrics()
            .count("entry.streams_kept", ("scope", "slow"), 1);
        pimentotide_observe::event(&StreamKept {
            request: &self.call.id,
            upstream: &upstream,
            reason,
            after_ms: self.elapsed_ms(),
        });
    }
}
