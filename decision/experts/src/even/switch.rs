//! Switches all ranks of a group from one expert map to another between two passes.
//!
//! No pass may begin while two ranks use different maps, although any order may
//! stay unanswered and take effect seconds later. The protocol:
//!
//! 1. Every rank prepares the map. Its version is higher than any before and is
//!    the fencing token of all orders of the switch, so orders of an earlier
//!    switch are rejected from here on.
//! 2. One rank holds a pass that has not begun. Until the pass is released, it
//!    begins on no rank. That rank is not on the coordinator's instance, so that
//!    others can release the pass if that instance fails.
//! 3. Every rank is armed for that pass, the holder and then the coordinator's own
//!    one last.
//! 4. If all have confirmed, the pass is released and all switch when it begins.
//! 5. Otherwise the pass is held again under a newer version, which fences off
//!    older coordinators, and every rank is disarmed and prepares the old map
//!    under that version. A delayed `Arm` order then names a version that is no
//!    longer prepared and carries an outdated fencing token, so it has no effect.
//!    The pass is released only when all ranks have confirmed.
//!
//! If the coordinator fails while a pass is held, another process releases it (see
//! the module `rescue`). It relies on the order in which ranks are armed and, in an
//! undo, disarmed: the coordinator's own rank last, and first.
//!
//! Each order names the epoch of the group. When a rank is lost, the group is
//! formed again with the initial map, and nothing is armed or held.

use std::collections::BTreeMap;
use std::future::Future;
use std::time::Duration;

use derive_more::Display;
use futures_util::future::join_all;

use super::{EngineOrder, EngineReport, FencedOrder, OrderAnswer, Placement};

/// Rank on the coordinator's instance.
pub(super) const COORDINATOR_RANK: usize = 0;
/// Attempts to hold a pass before it begins.
const MAX_HOLD_ATTEMPTS: u32 = 3;
/// Attempts to get an order accepted by all ranks.
const MAX_ORDER_ATTEMPTS: u32 = 3;
/// Delay between attempts.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Polls for loaded experts before the map is abandoned.
const MAX_PREPARE_POLLS: u32 = 240;
/// Delay between these polls.
const PREPARE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Attempts at each step of an undo or release before the coordinator starts over.
pub(super) const MAX_UNDO_ATTEMPTS: u32 = 400;

/// Ranks of one group.
pub trait Ranks {
    /// Number of ranks in the group.
    fn size(&self) -> usize;

    /// Rank at which passes are held; not the coordinator's unless there is no other.
    fn holder(&self) -> usize {
        usize::from(self.size() > 1)
    }

    /// Distance from the last pass begun to the pass that is held.
    ///
    /// Passes before that one run while the ranks are armed; the group waits for the rest.
    fn pass_lead(&self) -> u64;

    /// Requests the report of a rank, possibly outdated; `None` if it does not answer.
    fn report(&self, rank: usize) -> impl Future<Output = Option<EngineReport>>;

    /// Requests the report of a rank as of now; `None` if there is no answer or it may be outdated.
    fn current_report(&self, rank: usize) -> impl Future<Output = Option<EngineReport>>;

    /// Requests the reports of several ranks as of now, in their order.
    fn current_reports(&self, ranks: &[usize]) -> impl Future<Output = Vec<Option<EngineReport>>> {
        join_all(ranks.iter().map(|rank| self.current_report(*rank)))
    }

    /// Sends an order; `None` if the outcome is unknown, as it may still take effect later.
    fn order(&self, rank: usize, order: FencedOrder) -> impl Future<Output = Option<OrderAnswer>>;

    /// Requests the reports of several ranks, in their order.
    fn reports(&self, ranks: &[usize]) -> impl Future<Output = Vec<Option<EngineReport>>> {
        join_all(ranks.iter().map(|rank| self.report(*rank)))
    }

    /// Sends the same order to several ranks and returns the answers in their order.
    fn orders(
        &self,
        ranks: &[usize],
        order: &FencedOrder,
    ) -> impl Future<Output = Vec<Option<OrderAnswer>>> {
        join_all(ranks.iter().map(|rank| self.order(*rank, order.clone())))
    }

    /// Sleeps for `length`.
    fn pause(&self, length: Duration) -> impl Future<Output = ()>;
}

/// Outcome of a switch.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Ending {
    /// All ranks switch at this pass.
    #[display("switching at pass {_0}")]
    Switched(u64),
    /// A rank refused the map or did not load its experts in time.
    #[display("not prepared")]
    NotPrepared,
    /// No pass could be held.
    #[display("not held")]
    NotHeld,
    /// Not all ranks could be armed; all were disarmed and the old map is in use.
    #[display("undone")]
    Undone,
    /// The undo failed: the group was formed again, was unreachable or has a newer coordinator.
    #[display("given up")]
    GivenUp,
}

/// Switch of a group from one map to another.
#[derive(Clone, Debug)]
pub struct Switch {
    /// Epoch of the group that all orders are fenced to.
    pub epoch: u64,
    /// Version of the new map; `version + 1` is used to undo the switch.
    pub version: u64,
    /// Map in use, restored if the switch fails.
    pub old: Placement,
    /// Map to switch to.
    pub new: Placement,
}

/// Returns the order to prepare `placement`, by layer and rank as engines expect it.
fn prepare(version: u64, placement: &Placement) -> EngineOrder {
    EngineOrder::Prepare {
        version,
        experts: placement.clone(),
    }
}

impl Switch {
    pub(super) fn fenced(&self, order: EngineOrder) -> FencedOrder {
        FencedOrder {
            order,
            epoch: self.epoch,
            fence: self.version,
        }
    }

    /// Runs the protocol to its outcome.
    pub async fn run<R>(&self, ranks: &R) -> Ending
    where
        R: Ranks,
    {
        if !self.prepare_all(ranks).await {
            return Ending::NotPrepared;
        }
        let step = match self.hold(ranks).await {
            HoldOutcome::Held(step) => step,
            HoldOutcome::NotHeld => return Ending::NotHeld,
            HoldOutcome::Unknown(step) => {
                self.release(ranks, step).await;
                return Ending::NotHeld;
            }
        };
        let arm = EngineOrder::Arm {
            version: self.version,
            step,
        };
        if self.arm_all(ranks, &arm).await {
            self.release(ranks, step).await;
            return Ending::Switched(step);
        }
        self.rollback().undo(ranks, step).await
    }

    /// Arms the holder after the other ranks, and the coordinator's rank last.
    ///
    /// While the holder is not armed, others can release the group if the coordinator fails.
    async fn arm_all<R>(&self, ranks: &R, arm: &EngineOrder) -> bool
    where
        R: Ranks,
    {
        let last = [ranks.holder(), COORDINATOR_RANK];
        let others = (0..ranks.size()).filter(|rank| !last.contains(rank));
        self.order_all(ranks, others.collect(), arm).await
            && self.order_all(ranks, vec![ranks.holder()], arm).await
            && self.order_all(ranks, vec![COORDINATOR_RANK], arm).await
    }

    async fn prepare_all<R>(&self, ranks: &R) -> bool
    where
        R: Ranks,
    {
        let order = prepare(self.version, &self.new);
        if !self
            .order_all(ranks, (0..ranks.size()).collect(), &order)
            .await
        {
            return false;
        }
        let mut pending: Vec<usize> = (0..ranks.size()).collect();
        for _ in 0..MAX_PREPARE_POLLS {
            ranks.pause(PREPARE_POLL_INTERVAL).await;
            let reports = ranks.reports(&pending).await;
            if reports.iter().flatten().any(|r| self.is_stale(r)) {
                return false;
            }
            let is_unprepared = |r: &Option<EngineReport>| {
                r.as_ref().is_none_or(|r| r.prepared != Some(self.version))
            };
            let remaining = pending
                .iter()
                .zip(&reports)
                .filter(|(_, r)| is_unprepared(r));
            pending = remaining.map(|(rank, _)| *rank).collect();
            if pending.is_empty() {
                return true;
            }
        }
        false
    }

    /// Whether the group has left the epoch of the switch or is not running.
    pub(super) fn is_stale(&self, report: &EngineReport) -> bool {
        let membership = report.membership.as_ref();
        membership.is_none_or(|m| m.epoch != self.epoch || !m.open)
    }

    async fn hold<R>(&self, ranks: &R) -> HoldOutcome
    where
        R: Ranks,
    {
        for _ in 0..MAX_HOLD_ATTEMPTS {
            let Some(report) = ranks.report(COORDINATOR_RANK).await else {
                continue;
            };
            let step = report.step + ranks.pass_lead();
            let hold = self.fenced(EngineOrder::Hold { step });
            match ranks.order(ranks.holder(), hold).await {
                Some(OrderAnswer::Accepted) => return HoldOutcome::Held(step),
                Some(_) => {}
                None => return HoldOutcome::Unknown(step),
            }
        }
        HoldOutcome::NotHeld
    }

    /// Sends an order to the `pending` ranks until each has accepted it; false if one does not.
    async fn order_all<R>(&self, ranks: &R, mut pending: Vec<usize>, order: &EngineOrder) -> bool
    where
        R: Ranks,
    {
        for attempt in 0..MAX_ORDER_ATTEMPTS {
            if attempt > 0 {
                ranks.pause(RETRY_INTERVAL).await;
            }
            let answers = ranks.orders(&pending, &self.fenced(order.clone())).await;
            let mut remaining = Vec::new();
            for (rank, answer) in pending.into_iter().zip(answers) {
                match answer {
                    Some(OrderAnswer::Accepted) => {}
                    Some(_) if attempt == 0 => return false,
                    // After an unanswered attempt, a refusal may mean that the order took effect.
                    Some(_) => remaining.push(rank),
                    None => remaining.push(rank),
                }
            }
            pending = remaining;
            if pending.is_empty() {
                return true;
            }
        }
        false
    }

    /// Releases the pass, and retries until its holder confirms that it holds none.
    pub(super) async fn release<R>(&self, ranks: &R, step: u64)
    where
        R: Ranks,
    {
        for _ in 0..MAX_UNDO_ATTEMPTS {
            let answer = ranks
                .order(ranks.holder(), self.fenced(EngineOrder::Go { step }))
                .await;
            if matches!(answer, Some(OrderAnswer::Accepted | OrderAnswer::Fenced)) {
                return;
            }
            let report = ranks.current_report(ranks.holder()).await;
            if report.is_some_and(|r| r.held.is_none() || self.is_stale(&r)) {
                return;
            }
            ranks.pause(RETRY_INTERVAL).await;
        }
    }

    /// Version under which the switch is undone if it fails.
    pub fn rollback_version(&self) -> u64 {
        self.version + 1
    }

    /// Returns the switch back to the old map, under a higher version.
    fn rollback(&self) -> Self {
        Self {
            version: self.rollback_version(),
            new: self.old.clone(),
            ..self.clone()
        }
    }

    /// Ensures that no rank can leave the map in use, and releases the pass.
    ///
    /// The version of this switch has to be higher than any before, and its new
    /// map the one in use. Also releases a pass that an earlier coordinator left held.
    pub async fn undo<R>(&self, ranks: &R, step: u64) -> Ending
    where
        R: Ranks,
    {
        if !self.take_over(ranks, step).await {
            return Ending::GivenUp;
        }
        let others = (0..ranks.size()).filter(|rank| *rank != COORDINATOR_RANK);
        if self.restore_all(ranks, vec![COORDINATOR_RANK]).await
            && self.restore_all(ranks, others.collect()).await
        {
            self.release(ranks, step).await;
            return Ending::Undone;
        }
        Ending::GivenUp
    }

    /// Restores the map in use on the `pending` ranks; false if that fails or is superseded.
    async fn restore_all<R>(&self, ranks: &R, mut pending: Vec<usize>) -> bool
    where
        R: Ranks,
    {
        for _ in 0..MAX_UNDO_ATTEMPTS {
            let outcomes = self.restore(ranks, &pending).await;
            if outcomes.contains(&RestoreOutcome::Superseded) {
                return false;
            }
            let remaining = pending
                .iter()
                .zip(&outcomes)
                .filter(|(_, s)| **s != RestoreOutcome::Restored);
            pending = remaining.map(|(rank, _)| *rank).collect();
            if pending.is_empty() {
                return true;
            }
            ranks.pause(RETRY_INTERVAL).await;
        }
        false
    }

    /// Holds the pass under this version, which fences off every older coordinator.
    ///
    /// Only then may a rank be disarmed: otherwise an older coordinator could release
    /// the pass meanwhile. Fails if the pass has begun or a newer coordinator has taken over.
    pub(super) async fn take_over<R>(&self, ranks: &R, step: u64) -> bool
    where
        R: Ranks,
    {
        for _ in 0..MAX_UNDO_ATTEMPTS {
            let hold = self.fenced(EngineOrder::Hold { step });
            match ranks.order(ranks.holder(), hold).await {
                Some(answer) => return answer == OrderAnswer::Accepted,
                None => ranks.pause(RETRY_INTERVAL).await,
            }
        }
        false
    }

    /// Disarms these ranks and orders them to prepare the map in use under this version.
    async fn restore<R>(&self, ranks: &R, pending: &[usize]) -> Vec<RestoreOutcome>
    where
        R: Ranks,
    {
        let reports = ranks.reports(pending).await;
        let mut outcomes = vec![RestoreOutcome::Pending; pending.len()];
        let mut armed: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        let mut unprepared = Vec::new();
        for (position, report) in reports.iter().enumerate() {
            let Some(report) = report else {
                continue;
            };
            if self.is_stale(report) {
                outcomes[position] = RestoreOutcome::Superseded;
                return outcomes;
            }
            if let Some(version) = report.armed {
                armed.entry(version).or_default().push(pending[position]);
            } else if report.prepared == Some(self.version) {
                outcomes[position] = RestoreOutcome::Restored;
                continue;
            }
            unprepared.push(position);
        }
        for (version, armed) in armed {
            let disarm = self.fenced(EngineOrder::Disarm { version });
            // A rank that is still armed refuses the next order.
            ranks.orders(&armed, &disarm).await;
        }
        let order = self.fenced(prepare(self.version, &self.new));
        let ordered: Vec<usize> = unprepared.iter().map(|p| pending[*p]).collect();
        let answers = ranks.orders(&ordered, &order).await;
        for (position, answer) in unprepared.into_iter().zip(answers) {
            outcomes[position] = match answer {
                Some(OrderAnswer::Accepted) => RestoreOutcome::Restored,
                // Another coordinator has taken over.
                Some(OrderAnswer::Fenced) => RestoreOutcome::Superseded,
                Some(OrderAnswer::Refused) | None => RestoreOutcome::Pending,
            };
        }
        outcomes
    }
}

/// Outcome of holding a pass.
enum HoldOutcome {
    /// This pass is held.
    Held(u64),
    /// No pass is held.
    NotHeld,
    /// The order was not answered: this pass may be held, now or later.
    Unknown(u64),
}

/// Outcome of restoring the map in use on one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestoreOutcome {
    /// The rank can no longer switch.
    Restored,
    /// The rank may still switch.
    Pending,
    /// The group was formed again, or a newer coordinator has taken over.
    Superseded,
}
