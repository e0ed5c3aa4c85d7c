//! Waits until a new stream may start, by the pacer of its service.

use std::time::Duration;

use pimentotide_fleet::StreamTargets;
use pimentotide_model::Time;
use tokio::time::Instant;

use super::attempt::Attempt;
use crate::lines::Paced;

/// Time between checks whether passes have become short; a fraction of one.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Attempt {
    /// Waits while the start of this stream would delay those that run.
    ///
    /// A stream that goes on at another upstream does not wait, since its caller waits already.
    pub(super) async fn pace(&self) {
        let Some(targets) = self.targets.filter(|_| self.sends == 0) else {
            return;
        };
        let now = self.state.now();
        let (start, gap) = {
            let mut state = self.state.lock();
            let pacer = state.pacer(&self.service);
            (pacer.start_at(&targets, now), pacer.latest_gap())
        };
        if start > now {
            let metrics = self.state.metrics();
            metrics.count("entry.paced", ("kind", "stream"), 1);
            pimentotide_observe::event(&Paced {
                request: &self.call.id,
                route: &self.route,
                gap_ms: gap.as_millis(),
                target_ms: targets.gap.as_millis(),
                wait_ms: start.since(now).as_millis(),
                left_ms: self.remaining().as_millis(),
            });
        }
        while let Some(left) = self.paced_for(&targets, start) {
            tokio::time::sleep(left.min(CHECK_INTERVAL)).await;
        }
    }

    /// Returns the time until `start`; `None` if the stream may start now.
    fn paced_for(&self, targets: &StreamTargets, start: Time) -> Option<Duration> {
        let now = self.state.now();
        let mut state = self.state.lock();
        let is_paced = state.pacer(&self.service).is_paced(targets, now);
        (is_paced && now < start).then(|| start.since(now))
    }

    /// Records the arrival of events of the latest send; `last` is when earlier ones came from it.
    pub(super) fn record_progress(&self, last: Option<Instant>) {
        let Some(targets) = self.targets else {
            return;
        };
        let now = self.state.now();
        let begin = self.last_sent_at().map(|at| now.since(at));
        let mut state = self.state.lock();
        let pacer = state.pacer(&self.service);
        match (last, begin) {
            (Some(last), _) => pacer.record_gap(last.elapsed(), targets.gap, now),
            (None, Some(begin)) => pacer.record_begin(begin),
            (None, None) => {}
        }
    }
}
