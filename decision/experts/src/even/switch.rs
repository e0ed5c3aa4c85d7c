//! Moves all ranks of a group from one expert map to another between two passes.
//!
//! No pass may begin while two ranks use different maps, although any order may
//! stay unanswered and be carried out seconds later. The order of steps:
//!
//! 1. Every rank prepares the map. Its version is higher than any before and is
//!    the fencing number of all orders of the switch, so an order of an earlier
//!    switch is refused from here on.
//! 2. The own rank holds back a pass that has not begun. Until it lets go, that
//!    pass begins nowhere.
//! 3. Every rank is armed for that pass.
//! 4. If all have confirmed, the pass is let go: all switch as it begins.
//! 5. Otherwise the pass is held back again under a newer version, which shuts
//!    older coordinators out, and every rank is disarmed and prepares the old map
//!    under that version. An arming still under way then names a version that is no longer
//!    prepared and a fencing number that is too low, so it can not be carried
//!    out any more. Only when all have confirmed is the pass let go.
//!
//! Each order names the epoch of the group. If a rank is lost the group is
//! formed anew with the first map and nothing armed or held.

use std::future::Future;
use std::time::Duration;

use derive_more::Display;
use futures_util::future::join_all;

use super::{EngineOrder, EngineReport, FencedOrder, OrderAnswer, Placement};

/// Rank of the coordinator, which holds passes back.
const OWN: usize = 0;
/// Passes between the last one begun and the one that is held back.
const LEAD: u64 = 3;
/// Attempts to hold a pass back before it begins.
const HOLD_ATTEMPTS: u32 = 3;
/// Attempts to have an order answered by all ranks.
const ORDER_ATTEMPTS: u32 = 3;
/// Pause between attempts.
const PAUSE: Duration = Duration::from_millis(40);
/// Looks whether all experts are in place, before a map is given up.
const PREPARE_LOOKS: u32 = 60;
/// Pause between these looks.
const PREPARE_PAUSE: Duration = Duration::from_millis(80);
/// Attempts to undo a switch before the coordinator starts over.
const UNDO_ATTEMPTS: u32 = 200;

/// Ranks of one group.
pub trait Ranks {
    /// Number of ranks.
    fn size(&self) -> usize;

    /// Report of a rank, if it answers.
    fn report(&self, rank: usize) -> impl Future<Output = Option<EngineReport>>;

    /// Gives an order; none if it is not known whether it was or will be carried out.
    fn order(&self, rank: usize, order: FencedOrder) -> impl Future<Output = Option<OrderAnswer>>;

    /// Waits.
    fn pause(&self, length: Duration) -> impl Future<Output = ()>;
}

/// How a switch ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Ending {
    /// All ranks switch at this pass.
    #[display("switching at pass {_0}")]
    Switched(u64),
    /// A rank did not take the map or did not get its experts in time.
    #[display("not prepared")]
    NotPrepared,
    /// No pass could be held back.
    #[display("not held")]
    NotHeld,
    /// Not all ranks could be armed; all were disarmed.
    #[display("undone")]
    Undone,
    /// The group was formed anew, or could not be reached.
    #[display("given up")]
    GivenUp,
}

/// Maps of a switch.
#[derive(Clone, Debug)]
pub struct Switch {
    /// Epoch of the group.
    pub epoch: u64,
    /// Version of the new map; the next one is used to undo it.
    pub version: u64,
    /// Map in use.
    pub old: Placement,
    /// Map to use.
    pub new: Placement,
}

/// Experts by layer and rank, in the order that engines expect.
fn prepare(version: u64, placement: &Placement) -> EngineOrder {
    EngineOrder::Prepare {
        version,
        experts: placement.clone(),
    }
}

impl Switch {
    fn fenced(&self, order: EngineOrder) -> FencedOrder {
        FencedOrder {
            order,
            epoch: self.epoch,
            fence: self.version,
        }
    }

    /// Carries the switch out.
    pub async fn run<R>(&self, ranks: &R) -> Ending
    where
        R: Ranks,
    {
        if !self.prepare_all(ranks).await {
            return Ending::NotPrepared;
        }
        let step = match self.hold(ranks).await {
            Held::At(step) => step,
            Held::No => return Ending::NotHeld,
            Held::Unknown(step) => {
                self.let_go(ranks, step).await;
                return Ending::NotHeld;
            }
        };
        let arm = EngineOrder::Arm {
            version: self.version,
            step,
        };
        if self.order_all(ranks, &arm).await {
            self.let_go(ranks, step).await;
            return Ending::Switched(step);
        }
        self.back().undo(ranks, step).await
    }

    async fn prepare_all<R>(&self, ranks: &R) -> bool
    where
        R: Ranks,
    {
        let order = prepare(self.version, &self.new);
        if !self.order_all(ranks, &order).await {
            return false;
        }
        let mut open: Vec<usize> = (0..ranks.size()).collect();
        for _ in 0..PREPARE_LOOKS {
            ranks.pause(PREPARE_PAUSE).await;
            let reports = join_all(open.iter().map(|rank| ranks.report(*rank))).await;
            if reports.iter().flatten().any(|r| self.is_over(r)) {
                return false;
            }
            let lacks = |r: &Option<EngineReport>| {
                r.as_ref().is_none_or(|r| r.prepared != Some(self.version))
            };
            let left = open.iter().zip(&reports).filter(|(_, r)| lacks(r));
            open = left.map(|(rank, _)| *rank).collect();
            if open.is_empty() {
                return true;
            }
        }
        false
    }

    /// Whether the group is no longer the one that the switch is for.
    fn is_over(&self, report: &EngineReport) -> bool {
        let membership = report.membership.as_ref();
        membership.is_none_or(|m| m.epoch != self.epoch || !m.open)
    }

    async fn hold<R>(&self, ranks: &R) -> Held
    where
        R: Ranks,
    {
        for _ in 0..HOLD_ATTEMPTS {
            let Some(report) = ranks.report(OWN).await else {
                continue;
            };
            let step = report.step + LEAD;
            let hold = self.fenced(EngineOrder::Hold { step });
            match ranks.order(OWN, hold).await {
                Some(OrderAnswer::Accepted) => return Held::At(step),
                Some(_) => {}
                None => return Held::Unknown(step),
            }
        }
        Held::No
    }

    /// Gives all ranks an order until each has accepted it; false if one does not.
    async fn order_all<R>(&self, ranks: &R, order: &EngineOrder) -> bool
    where
        R: Ranks,
    {
        let mut open: Vec<usize> = (0..ranks.size()).collect();
        for attempt in 0..ORDER_ATTEMPTS {
            if attempt > 0 {
                ranks.pause(PAUSE).await;
            }
            let orders = open
                .iter()
                .map(|rank| ranks.order(*rank, self.fenced(order.clone())));
            let answers = join_all(orders).await;
            let mut left = Vec::new();
            for (rank, answer) in open.into_iter().zip(answers) {
                match answer {
                    Some(OrderAnswer::Accepted) => {}
                    Some(_) if attempt == 0 => return false,
                    // After an attempt without an answer a refusal may mean that it was carried out.
                    Some(_) => left.push(rank),
                    None => left.push(rank),
                }
            }
            open = left;
            if open.is_empty() {
                return true;
            }
        }
        false
    }

    /// Lets the pass go until the own rank confirms that it holds nothing back.
    async fn let_go<R>(&self, ranks: &R, step: u64)
    where
        R: Ranks,
    {
        for _ in 0..UNDO_ATTEMPTS {
            let answer = ranks
                .order(OWN, self.fenced(EngineOrder::Go { step }))
                .await;
            if matches!(answer, Some(OrderAnswer::Accepted | OrderAnswer::Fenced)) {
                return;
            }
            let report = ranks.report(OWN).await;
            if report.is_some_and(|r| r.held.is_none() || self.is_over(&r)) {
                return;
            }
            ranks.pause(PAUSE).await;
        }
    }

    /// The switch back to the old map, under a version that outranks this one.
    fn back(&self) -> Self {
        Self {
            version: self.version + 1,
            new: self.old.clone(),
            ..self.clone()
        }
    }

    /// Makes sure that no rank can leave the map in use, and lets the pass go.
    ///
    /// The version of this switch has to be higher than any before, and its new
    /// map the one in use. Also for a pass that an earlier coordinator left held.
    pub async fn undo<R>(&self, ranks: &R, step: u64) -> Ending
    where
        R: Ranks,
    {
        if !self.take_over(ranks, step).await {
            return Ending::GivenUp;
        }
        let mut open: Vec<usize> = (0..ranks.size()).collect();
        for _ in 0..UNDO_ATTEMPTS {
            let settled = join_all(open.iter().map(|rank| self.settle(ranks, *rank))).await;
            if settled.contains(&Settled::Over) {
                return Ending::GivenUp;
            }
            let left = open
                .iter()
                .zip(&settled)
                .filter(|(_, s)| **s != Settled::Yes);
            open = left.map(|(rank, _)| *rank).collect();
            if open.is_empty() {
                self.let_go(ranks, step).await;
                return Ending::Undone;
            }
            ranks.pause(PAUSE).await;
        }
        Ending::GivenUp
    }

    /// Holds the pass back under this version, which shuts every older coordinator out.
    ///
    /// Only then may a rank be disarmed: otherwise an older one could let the pass go
    /// meanwhile. Fails if the pass has begun or a newer coordinator has taken over.
    async fn take_over<R>(&self, ranks: &R, step: u64) -> bool
    where
        R: Ranks,
    {
        for _ in 0..UNDO_ATTEMPTS {
            let hold = self.fenced(EngineOrder::Hold { step });
            match ranks.order(OWN, hold).await {
                Some(answer) => return answer == OrderAnswer::Accepted,
                None => ranks.pause(PAUSE).await,
            }
        }
        false
    }

    /// Disarms one rank and has it prepare the map in use under this version.
    async fn settle<R>(&self, ranks: &R, rank: usize) -> Settled
    where
        R: Ranks,
    {
        let Some(report) = ranks.report(rank).await else {
            return Settled::No;
        };
        if self.is_over(&report) {
            return Settled::Over;
        }
        if let Some(version) = report.armed {
            let disarm = self.fenced(EngineOrder::Disarm { version });
            ranks.order(rank, disarm).await;
        } else if report.prepared == Some(self.version) {
            return Settled::Yes;
        }
        let order = self.fenced(prepare(self.version, &self.new));
        match ranks.order(rank, order).await {
            Some(OrderAnswer::Accepted) => Settled::Yes,
            // Another coordinator has taken over.
            Some(OrderAnswer::Fenced) => Settled::Over,
            Some(OrderAnswer::Refused) | None => Settled::No,
        }
    }
}

/// Whether a pass is held back.
enum Held {
    /// This one is.
    At(u64),
    /// None is.
    No,
    /// This one may be, now or later.
    Unknown(u64),
}

/// Whether a rank can still switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Settled {
    /// It cannot.
    Yes,
    /// It may.
    No,
    /// Its group was formed anew.
    Over,
}
