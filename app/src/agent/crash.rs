//! Tells the death of the upstream from the failure of one request.

use std::sync::Arc;
use std::time::Duration;

use pimentotide_control::Command;
use pimentotide_instance::work::WorkOrder;
use pimentotide_model::{Failure, Incarnation};
use pimentotide_outcome::{Crash, Liveness, Witness};
use tokio::sync::OnceCell;

use super::core::Core;
use super::slot::Death;

/// Time after which an upstream that says nothing counts as dead.
const SIGN_OF_LIFE: Duration = Duration::from_secs(1);

/// Time allowed for recording a crash.
const CRASH_TIMEOUT: Duration = Duration::from_secs(2);

impl Core {
    /// Tells the death of the upstream from the failure of one request.
    ///
    /// A death is committed before the failure is told, so that nothing that ran
    /// on the upstream is tried again unobserved.
    pub(super) async fn explain(&self, order: &WorkOrder, failure: Failure) -> Failure {
        let Some((crash, once)) = self.crash_at(order.incarnation) else {
            return failure;
        };
        if !self.has_died(order.incarnation).await {
            return failure;
        }
        once.get_or_init(|| self.report_crash(crash)).await;
        failure
    }

    /// Crash that a broken connection may mean, and whether it has been reported.
    fn crash_at(&self, incarnation: Incarnation) -> Option<(Crash, Arc<OnceCell<()>>)> {
        let mut inner = self.lock();
        let suspects = inner.running.values().map(|w| w.fingerprint);
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort_unstable();
        suspects.dedup();
        let slot = inner.slot.as_mut()?;
        if slot.death.incarnation < incarnation {
            slot.death = Death {
                incarnation,
                ..Death::default()
            };
        }
        // Until the death is reported, all that ran then is still running.
        if !slot.death.reported.initialized() {
            slot.death.suspects = suspects;
        }
        let crash = Crash {
            upstream: self.options().upstream.clone(),
            incarnation,
            zone: Some(self.options().zone.clone()),
            witness: Witness::Agent,
            suspects: slot.death.suspects.clone(),
        };
        Some((crash, Arc::clone(&slot.death.reported)))
    }

    /// Whether the upstream has died, judged by what it announces from now on.
    async fn has_died(&self, incarnation: Incarnation) -> bool {
        let mut life = self.life();
        let at_break = *life.borrow_and_update();
        let told = |latest: &Liveness| latest.has_crashed(at_break, incarnation);
        let decided = life.wait_for(|latest| told(latest).is_some());
        match tokio::time::timeout(SIGN_OF_LIFE, decided).await {
            Ok(Ok(latest)) => told(&latest).unwrap_or(true),
            // Silence for that long, or no announcement to come.
            Ok(Err(_)) | Err(_) => true,
        }
    }

    async fn report_crash(&self, crash: Crash) {
        log::warn!(
            "upstream {} died while it ran {} contents",
            crash.upstream,
            crash.suspects.len()
        );
        let Some(control) = &self.options().control else {
            return;
        };
        let command = Command::Outcome(pimentotide_outcome::Command::Crash(crash));
        if let Err(e) = control.submit(&command, CRASH_TIMEOUT).await {
            log::error!("the crash of the upstream was not recorded: {e}");
        }
    }
}
