//! Time that a group stands still, in virtual time.
//!
//! Failure: the coordinator of 63 ranks is killed in the middle of a switch.

use std::time::Duration;

use futures_util::future::{Either, select};
use pimentotide_experts::{Placement, ProbeOutcome, Ranks, StuckAction, StuckWatch, Switch};
use pimentotide_model::Time;

use crate::even_timed::{RANKS, TimedGroup, TimedRanks};

/// Time from the death of a coordinator to the next pass; callers bear 0.7 s.
const MAX_RESCUE: Duration = Duration::from_millis(300);
/// Time between reads of the engine's report by its agent while nothing calls for more.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which an agent remembers the last order.
const ORDER_MEMORY: Duration = Duration::from_secs(2);
/// Time until a connection to a dead process fails.
const REFUSED_AFTER: Duration = Duration::from_millis(5);
/// Time until a killed agent runs again.
const RESTART: Duration = Duration::from_millis(500);

fn placements() -> (Placement, Placement) {
    let experts = |rank: u16| vec![2 * rank, 2 * rank + 1];
    let old: Vec<Vec<u16>> = (0..RANKS as u16).map(experts).collect();
    let mut new = old.clone();
    new[0][1] = 3;
    new[1][1] = 1;
    (vec![old], vec![new])
}

fn switch() -> Switch {
    let (old, new) = placements();
    Switch {
        epoch: 1,
        version: 7,
        old,
        new,
    }
}

/// Whether the agent of rank 0 accepts connections.
fn is_up(group: &TimedGroup) -> bool {
    let killed = group.killed_at.get();
    killed.is_none_or(|at| group.clock.now() - at >= RESTART)
}

/// Watches the engine of rank 1 as its agent does, and releases the group once it stands still.
async fn watch(group: &TimedGroup, start: Duration) {
    let ranks = TimedRanks::new(group, 1);
    let mut stuck = StuckWatch::default();
    let mut report = ranks.report(1).await.unwrap();
    let mut polled_at = group.clock.now();
    group.clock.sleep(start).await;
    loop {
        // The switch begins at once, and its first orders pass through this agent.
        let ordered = group.clock.now() < ORDER_MEMORY;
        group.clock.sleep(stuck.interval(ordered)).await;
        if stuck.is_alert(ordered) || group.clock.now() - polled_at >= REPORT_INTERVAL {
            report = ranks.report(1).await.unwrap();
            polled_at = group.clock.now();
        }
        let now = Time::ZERO + group.clock.now();
        match stuck.observe(&report, now) {
            StuckAction::Wait => continue,
            StuckAction::Probe => {
                group.clock.sleep(REFUSED_AFTER).await;
                let outcome = if is_up(group) {
                    ProbeOutcome::Connected
                } else {
                    ProbeOutcome::Unreachable
                };
                if !stuck.record_probe(outcome) {
                    continue;
                }
            }
            StuckAction::Rescue => {}
        }
        let report = ranks.report(1).await.unwrap();
        let Some(step) = report.held else {
            continue;
        };
        let rescue = Switch {
            version: 107,
            ..switch()
        };
        rescue.rescue(&ranks, step).await;
    }
}

/// Kills the coordinator before its order number `orders`; returns the time to the next pass.
fn standstill(orders: u32, start: Duration) -> Duration {
    let group = TimedGroup::new(&placements().0);
    group.orders_left.set(Some(orders));
    let clock = &group.clock;
    let released = clock.run(async {
        let change = switch();
        let ranks = TimedRanks::new(&group, 0);
        let coordinator = async {
            change.run(&ranks).await;
            panic!("the coordinator was not killed");
        };
        let next_pass = async {
            while group.killed_at.get().is_none() {
                clock.sleep(Duration::from_millis(1)).await;
            }
            // The passes before the held one still begin.
            let held = group.engines.held().expect("no pass is held");
            while group.step().await < held {
                clock.sleep(Duration::from_millis(1)).await;
                assert!(clock.now() < Duration::from_secs(20), "never released");
            }
            clock.now()
        };
        let mut agents = Box::pin(futures_util::future::join3(
            coordinator,
            watch(&group, start),
            group.run_passes(),
        ));
        let next_pass = std::pin::pin!(next_pass);
        match select(next_pass, &mut agents).await {
            Either::Left((released, _)) => released,
            Either::Right(_) => unreachable!("agents run forever"),
        }
    });
    assert_eq!(group.engines.violation(), None);
    released - group.killed_at.get().unwrap()
}

#[test]
fn group_runs_again_soon_after_its_coordinator_is_killed() {
    let mut longest = Duration::ZERO;
    // The orders to prepare and the one to hold come first; the last two find all others armed.
    let first = RANKS as u32 + 1;
    for orders in [
        first,
        first + 1,
        first + 30,
        first + 61,
        first + 62,
        first + 63,
    ] {
        for start in (0..200).step_by(40).map(Duration::from_millis) {
            longest = longest.max(standstill(orders, start));
        }
    }
    assert!(longest <= MAX_RESCUE, "{longest:?}");
}
