//! Release of a group whose coordinator's instance froze in the middle of a switch.
//!
//! While it is frozen, neither the coordinator nor its rank answers. It resumes after
//! or during the rescue and goes on where it was. Every order of the switch is tried.
//! The instance of another rank may be frozen as well, with an order on its way to it;
//! once it resumes, what it reports to others is outdated for a while.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use pimentotide_experts::{
    EngineReport, FencedOrder, OrderAnswer, Placement, Ranks, Switch, SwitchEnding,
};

use crate::even_group::{FaultRates, Group, SkippedChecks};

const NO_FAULTS: FaultRates = FaultRates {
    unanswered: 0,
    late: 0,
    lost: 0,
};
/// More orders than a switch of the tested groups sends.
const MAX_ORDERS: u32 = 40;
/// More polls than a rescue takes.
const MAX_POLLS: u32 = 40;

/// Access of the rescuing process to the ranks.
struct Rescuer<'a> {
    group: &'a Group,
    frozen: &'a std::cell::Cell<bool>,
    /// Rank whose reports are outdated: they show it as it was before the switch.
    outdated: Option<usize>,
}

impl Rescuer<'_> {
    fn is_frozen(&self, rank: usize) -> bool {
        rank == 0 && self.frozen.get() || self.group.is_frozen(rank)
    }

    /// Lets the other process run, as every message does.
    async fn transit(&self) {
        let mut sent = false;
        std::future::poll_fn(|_| {
            if std::mem::replace(&mut sent, true) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }
}

impl Ranks for Rescuer<'_> {
    fn size(&self) -> usize {
        self.group.size()
    }

    fn pass_lead(&self) -> u64 {
        self.group.pass_lead()
    }

    async fn report(&self, rank: usize) -> Option<EngineReport> {
        self.transit().await;
        if self.is_frozen(rank) {
            return None;
        }
        let mut report = self.group.report(rank).await?;
        if self.outdated == Some(rank) {
            report.armed = None;
        }
        Some(report)
    }

    async fn current_report(&self, rank: usize) -> Option<EngineReport> {
        let report = self.report(rank).await;
        report.filter(|_| self.outdated != Some(rank))
    }

    async fn order(&self, rank: usize, order: FencedOrder) -> Option<OrderAnswer> {
        self.transit().await;
        if self.is_frozen(rank) {
            return None;
        }
        Some(self.group.deliver(rank, &order))
    }

    async fn pause(&self, length: Duration) {
        self.transit().await;
        self.group.pause(length).await;
    }
}

fn placements(ranks: usize) -> (Placement, Placement) {
    let old: Vec<Vec<u16>> = (0..ranks as u16).map(|r| vec![2 * r, 2 * r + 1]).collect();
    let mut new = old.clone();
    new[0][1] = 3;
    new[1][1] = 1;
    (vec![old], vec![new])
}

/// How a run ended.
#[derive(Debug, Default)]
struct Outcome {
    held_at_freeze: bool,
    released_while_frozen: bool,
    /// Whether all other ranks were armed when the coordinator froze.
    all_armed: bool,
    held_at_end: bool,
    violation: Option<String>,
}

/// Freezes the coordinator before its order number `orders`, and resumes it after `polls` polls of
/// the rescue. The last rank is frozen with it if `second`, from the order to hold a pass on.
fn play(ranks: usize, pass_lead: u64, orders: u32, polls: u32, second: bool) -> Outcome {
    let (old, new) = placements(ranks);
    let group = Group::new(ranks, &old, 0, NO_FAULTS, SkippedChecks::default());
    group.set_pass_lead(pass_lead);
    group.set_order_limit(Some(orders));
    let frozen = std::cell::Cell::new(true);
    let switch = Switch {
        epoch: 1,
        version: 7,
        old,
        new,
    };
    let mut context = Context::from_waker(Waker::noop());
    let last = ranks - 1;
    if second {
        // The orders to prepare the map come first, one for each rank.
        group.freeze_rank_after(last, ranks as u32);
    }
    let mut coordinator = pin!(switch.run(&group));
    let mut finished = coordinator.as_mut().poll(&mut context).is_ready();
    let armed = group.armed();
    let mut outcome = Outcome {
        held_at_freeze: group.is_held(),
        all_armed: armed[1..].iter().all(Option::is_some),
        ..Outcome::default()
    };
    let Some(step) = group.held().filter(|_| !finished) else {
        outcome.violation = group.violation();
        return outcome;
    };
    let rescuer = Rescuer {
        group: &group,
        frozen: &frozen,
        outdated: second.then_some(last),
    };
    let rescue = Switch {
        version: 107,
        ..switch.clone()
    };
    let mut rescue = pin!(rescue.rescue(&rescuer, step));
    let mut ending: Option<SwitchEnding> = None;
    for poll in 0..polls + 4 * MAX_POLLS {
        if poll == polls {
            outcome.released_while_frozen = !group.is_held();
            frozen.set(false);
            group.resume_rank();
            group.set_order_limit(None);
        }
        if ending.is_none()
            && let Poll::Ready(ended) = rescue.as_mut().poll(&mut context)
        {
            ending = Some(ended);
        }
        group.run(1);
        if poll >= polls && !finished {
            finished = coordinator.as_mut().poll(&mut context).is_ready();
        }
    }
    group.run(20);
    outcome.held_at_end = group.is_held();
    outcome.violation = group.violation();
    outcome
}

#[test]
fn group_is_released_without_the_frozen_instance_at_every_order_but_the_last_two() {
    let (mut groups, mut held, mut waited) = (0, 0, 0);
    for ranks in 2..=4 {
        for pass_lead in [1, 3] {
            groups += 1;
            for orders in 0..MAX_ORDERS {
                let outcome = play(ranks, pass_lead, orders, MAX_POLLS, false);
                let at = format!("{ranks} ranks, lead {pass_lead}, order {orders}: {outcome:?}");
                assert!(outcome.violation.is_none(), "{at}");
                if !outcome.held_at_freeze {
                    continue;
                }
                held += 1;
                // Only with all others armed may the frozen rank be armed as well.
                assert_eq!(outcome.released_while_frozen, !outcome.all_armed, "{at}");
                waited += usize::from(outcome.all_armed);
            }
        }
    }
    // The order to arm the coordinator's own rank, and the one to release the pass.
    assert_eq!(waited, 2 * groups, "of {held}");
    assert!(held > waited, "{held}");
}

#[test]
fn coordinator_that_resumes_during_the_rescue_never_causes_two_maps() {
    for ranks in 2..=4 {
        for pass_lead in [1, 3] {
            for orders in 0..MAX_ORDERS {
                for polls in 0..MAX_POLLS {
                    let outcome = play(ranks, pass_lead, orders, polls, false);
                    let at = format!("{ranks} ranks, order {orders}, poll {polls}: {outcome:?}");
                    assert!(outcome.violation.is_none() && !outcome.held_at_end, "{at}");
                }
            }
        }
    }
}

#[test]
fn second_frozen_instance_whose_reports_are_outdated_never_causes_two_maps() {
    let mut held = 0;
    for ranks in 3..=4 {
        for pass_lead in [1, 3] {
            for orders in 0..MAX_ORDERS {
                for polls in 0..MAX_POLLS {
                    let outcome = play(ranks, pass_lead, orders, polls, true);
                    let at = format!("{ranks} ranks, order {orders}, poll {polls}: {outcome:?}");
                    assert!(outcome.violation.is_none() && !outcome.held_at_end, "{at}");
                    held += usize::from(outcome.held_at_freeze);
                }
            }
        }
    }
    assert!(held > 0);
}
