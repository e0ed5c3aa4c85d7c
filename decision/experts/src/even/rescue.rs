//! Releases a group whose coordinator failed while a pass was held.
//!
//! The rescuing process raises the fencing token of all ranks that it reaches,
//! disarms them and releases the pass. It need not reach the coordinator's rank: the
//! coordinator arms that one only after all others have confirmed that they are
//! armed. If one of the others is unarmed and fenced off, that never happens.
//!
//! An engine's report to another instance is outdated, so only current reports
//! count, and a rank is disarmed whatever it reports.

use std::collections::BTreeSet;

use futures_util::future::join_all;

use super::switch::{COORDINATOR_RANK, MAX_UNDO_ATTEMPTS, RETRY_INTERVAL};
use super::{Ending, EngineOrder, EngineReport, OrderAnswer, Ranks, Switch};

impl Switch {
    /// Releases a pass that a failed coordinator left held, under a version above all others.
    ///
    /// Works without an answer of the coordinator's rank, as long as one of the other
    /// ranks is not armed. Requires engines that enforce fencing tokens.
    pub async fn rescue<R>(&self, ranks: &R, step: u64) -> Ending
    where
        R: Ranks,
    {
        if !self.take_over(ranks, step).await {
            return Ending::GivenUp;
        }
        let mut fenced: BTreeSet<usize> = BTreeSet::new();
        for _ in 0..MAX_UNDO_ATTEMPTS {
            let unfenced: Vec<usize> = (0..ranks.size()).filter(|r| !fenced.contains(r)).collect();
            // No rank has this version, so that the order only raises the fencing token.
            let fence = self.fenced(EngineOrder::Disarm {
                version: self.version,
            });
            let answers = ranks.orders(&unfenced, &fence).await;
            if answers.contains(&Some(OrderAnswer::Fenced)) {
                return Ending::GivenUp;
            }
            let accepted = unfenced
                .iter()
                .zip(&answers)
                .filter(|(_, a)| **a == Some(OrderAnswer::Accepted));
            fenced.extend(accepted.map(|(rank, _)| *rank));
            match self.disarm_fenced(ranks, &fenced).await {
                DisarmOutcome::Disarmed => {
                    self.release(ranks, step).await;
                    return Ending::Undone;
                }
                DisarmOutcome::Pending => ranks.pause(RETRY_INTERVAL).await,
                DisarmOutcome::Superseded => return Ending::GivenUp,
            }
        }
        Ending::GivenUp
    }

    /// Disarms the ranks that are fenced off, if the coordinator can no longer arm its own.
    async fn disarm_fenced<R>(&self, ranks: &R, fenced: &BTreeSet<usize>) -> DisarmOutcome
    where
        R: Ranks,
    {
        let all: Vec<usize> = fenced.iter().copied().collect();
        let reports = ranks.current_reports(&all).await;
        if reports.iter().flatten().any(|r| self.is_stale(r)) {
            return DisarmOutcome::Superseded;
        }
        // Either its rank is fenced off, or it can no longer get all confirmations that it needs.
        let coordinator_stopped = fenced.contains(&COORDINATOR_RANK)
            || reports.iter().flatten().any(|r| r.armed.is_none());
        let versions = armable_versions(reports.iter().flatten());
        if !coordinator_stopped || versions.is_empty() {
            return DisarmOutcome::Pending;
        }
        // The coordinator's rank comes first.
        let (first, others): (Vec<usize>, Vec<usize>) =
            all.iter().partition(|rank| **rank == COORDINATOR_RANK);
        for group in [&first, &others] {
            // All versions at once: the order among them does not matter.
            let answers = versions.iter().map(|version| async move {
                let disarm = self.fenced(EngineOrder::Disarm { version: *version });
                ranks.orders(group, &disarm).await
            });
            let answers = join_all(answers).await.concat();
            if answers.contains(&Some(OrderAnswer::Fenced)) {
                return DisarmOutcome::Superseded;
            }
            // A refusal means that the version is in use, so that no rank is armed for it.
            if answers.contains(&None) {
                return DisarmOutcome::Pending;
            }
        }
        if others.len() + 1 == ranks.size() {
            DisarmOutcome::Disarmed
        } else {
            DisarmOutcome::Pending
        }
    }
}

/// Returns the versions that ranks of the group may be armed for, by the reports of some of them.
///
/// All ranks have prepared the same version before the first is armed, and a rank that
/// was disarmed since has prepared the version after it.
fn armable_versions<'a, I>(reports: I) -> BTreeSet<u64>
where
    I: IntoIterator<Item = &'a EngineReport>,
{
    let seen = reports.into_iter().flat_map(|r| [r.armed, r.prepared]);
    let seen = seen.flatten();
    seen.flat_map(|version| [version.saturating_sub(1), version])
        .collect()
}

/// Outcome of disarming the ranks that are fenced off.
enum DisarmOutcome {
    /// No rank is armed, nor will be.
    Disarmed,
    /// A rank may be armed.
    Pending,
    /// The group was formed again.
    Superseded,
}
