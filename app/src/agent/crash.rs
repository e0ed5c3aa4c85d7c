//! Distinguishes a crash of the upstream from the failure of one request.
//!
//! A crash is committed to the log before the failure is returned, so that no
//! request that ran on the upstream is retried before it is a suspect.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_control::Command;
use pimentotide_instance::work::WorkOrder;
use pimentotide_model::{Failure, Incarnation};
use pimentotide_outcome::{Crash, Liveness, Witness};
use tokio::sync::OnceCell;

use super::core::Core;
use super::slot::SuspectedCrash;

/// Time without an announcement after which an upstream counts as crashed.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of committing a crash.
const CRASH_TIMEOUT: Duration = Duration::from_secs(2);

impl Core {
    /// Reports a crash if the upstream crashed, then returns `failure`.
    pub(super) async fn report_if_crashed(&self, order: &WorkOrder, failure: Failure) -> Failure {
        let Some((crash, reported)) = self.suspected_crash(order.incarnation) else {
            return failure;
        };
        if !self.has_crashed(order.incarnation).await {
            return failure;
        }
        reported.get_or_init(|| self.report_crash(crash)).await;
        failure
    }

    /// Returns the crash that a broken connection may indicate, and its report cell.
    fn suspected_crash(&self, incarnation: Incarnation) -> Option<(Crash, Arc<OnceCell<()>>)> {
        let mut inner = self.lock();
        let suspects = inner.running.values().map(|w| w.fingerprint);
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort_unstable();
        suspects.dedup();
        let slot = inner.slot.as_mut()?;
        if slot.suspected.incarnation < incarnation {
            slot.suspected = SuspectedCrash {
                incarnation,
                ..SuspectedCrash::default()
            };
        }
        // Until the crash is reported, every request that ran at the crash is still in `running`.
        if !slot.suspected.reported.initialized() {
            slot.suspected.suspects = suspects;
        }
        let crash = Crash {
            upstream: self.options().upstream.clone(),
            incarnation,
            zone: Some(self.options().zone.clone()),
            witness: Witness::Agent,
            suspects: slot.suspected.suspects.clone(),
        };
        Some((crash, Arc::clone(&slot.suspected.reported)))
    }

    /// Whether the upstream has crashed, according to its next announcements.
    async fn has_crashed(&self, incarnation: Incarnation) -> bool {
        let mut liveness = self.liveness();
        let at_break = *liveness.borrow_and_update();
        let verdict = |latest: &Liveness| latest.has_crashed(at_break, incarnation);
        let decided = liveness.wait_for(|latest| verdict(latest).is_some());
        match tokio::time::timeout(LIVENESS_TIMEOUT, decided).await {
            Ok(Ok(latest)) => verdict(&latest).unwrap_or(true),
            // No announcement within the timeout, or the channel is closed.
            Ok(Err(_)) | Err(_) => true,
        }
    }

    async fn report_crash(&self, crash: Crash) {
        log::warn!(
            "upstream {} crashed while running {} distinct requests",
            crash.upstream,
            crash.suspects.len()
        );
        let Some(control) = &self.options().control else {
            return;
        };
        let command = Command::Outcome(pimentotide_outcome::Command::Crash(crash));
        if let Err(e) = control.submit(&command, CRASH_TIMEOUT).await {
            log::error!("recording the crash of the upstream failed: {e}");
        }
    }
}
