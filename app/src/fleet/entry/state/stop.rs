//! Stop of an entry: which requests it still accepts, and when none is left.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_fleet::{StopPhase, accepts_requests, stop_phase};

use super::EntryState;

impl EntryState {
    /// Tracks a request from its head on, while the guard exists.
    pub(in super::super) fn track_received(&self) -> Arc<()> {
        self.received.clone()
    }

    /// Whether any request is being received, runs or is being answered.
    fn has_requests(&self) -> bool {
        Arc::strong_count(&self.received) > 1 || self.open_requests() > 0
    }

    pub(in super::super) fn stop(&self) {
        self.stopped_at.get_or_init(|| self.now());
        self.stopped.notify_waiters();
    }

    /// Returns the phase of the stop, and wakes waiting requests once they are to be refused.
    pub(in super::super) fn continue_stop(&self) -> StopPhase {
        let open = usize::from(self.has_requests());
        let phase = stop_phase(self.stopped_for().unwrap_or_default(), open, self.grace);
        if phase != StopPhase::Accepting {
            self.started.notify_waiters();
            self.notify_waiting();
        }
        phase
    }

    /// Ends all requests that are still open.
    pub(in super::super) fn end_requests(&self) {
        self.ended.notify_waiters();
    }

    /// Waits until requests are ended; counts from the call, not from the first poll.
    pub(in super::super) fn until_ended(&self) -> impl Future<Output = ()> {
        self.ended.notified()
    }

    /// Waits for the signal to stop, up to `limit`.
    pub(in super::super) async fn wait_for_stop(&self, limit: Duration) {
        // The caller continues after the signal and after the timeout alike.
        let _ = tokio::time::timeout(limit, self.stopped.notified()).await;
    }

    /// Time since the signal to stop.
    fn stopped_for(&self) -> Option<Duration> {
        self.stopped_at.get().map(|at| self.now().since(*at))
    }

    pub(in super::super) fn is_stopping(&self) -> bool {
        self.stopped_at.get().is_some()
    }

    /// Whether new requests are refused.
    ///
    /// Decided by the clock for each request, since the task that stops the entry may run late.
    pub(in super::super) fn is_refusing(&self) -> bool {
        let stopped_for = self.stopped_for();
        stopped_for.is_some_and(|elapsed| !accepts_requests(elapsed, self.grace))
    }
}
