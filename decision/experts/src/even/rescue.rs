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
        let mut disarmed = BTreeSet::new();
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
            match self.disarm_fenced(ranks, &fenced, &mut disarmed).await {
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
    ///
    /// `disarmed` are the ranks and versions for which that is confirmed: a rank that is fenced
    /// off is not armed again.
    async fn disarm_fenced<R>(
        &self,
        ranks: &R,
        fenced: &BTreeSet<usize>,
        disarmed: &mut BTreeSet<(usize, u64)>,
    ) -> DisarmOutcome
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
            match self.disarm(ranks, group, &versions, disarmed).await {
                DisarmOutcome::Disarmed => {}
                outcome => return outcome,
            }
        }
        if others.len() + 1 == ranks.size() {
            DisarmOutcome::Disarmed
        } else {
            DisarmOutcome::Pending
        }
    }

    /// Disarms ranks for all versions at once, as far as that is not confirmed yet.
    async fn disarm<R>(
        &self,
        ranks: &R,
        group: &[usize],
        versions: &BTreeSet<u64>,
        disarmed: &mut BTreeSet<(usize, u64)>,
    ) -> DisarmOutcome
    where
        R: Ranks,
    {
        let pending = versions.iter().map(|version| {
            let pending = group
                .iter()
                .filter(|r| !disarmed.contains(&(**r, *version)));
            (*version, pending.copied().collect::<Vec<usize>>())
        });
        let pending: Vec<(u64, Vec<usize>)> = pending.filter(|(_, r)| !r.is_empty()).collect();
        let answers = pending.iter().map(|(version, pending)| async move {
            let disarm = self.fenced(EngineOrder::Disarm { version: *version });
            ranks.orders(pending, &disarm).await
        });
        let answers = join_all(answers).await;
        let mut outcome = DisarmOutcome::Disarmed;
        for ((version, pending), answers) in pending.iter().zip(answers) {
            for (rank, answer) in pending.iter().zip(answers) {
                match answer {
                    Some(OrderAnswer::Fenced) => return DisarmOutcome::Superseded,
                    // A refusal means that the version is in use, so that the rank is not armed
                    // for it.
                    Some(OrderAnswer::Accepted | OrderAnswer::Refused) => {
                        disarmed.insert((*rank, *version));
                    }
                    None => outcome = DisarmOutcome::Pending,
                }
            }
        }
        outcome
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
