//! Time that a group stands still, in virtual time.
//!
//! Failures: the coordinator of 63 ranks is killed in the middle of a switch; an engine leaves
//! one in three orders unanswered and applies them 2 to 12 s later.

use std::time::Duration;

use futures_util::future::{Either, select};
use pimentotide_experts::{
    Placement, ProbeOutcome, Ranks, StuckAction, StuckWatch, Switch, SwitchEnding,
};
use pimentotide_model::Time;

use crate::even_timed::{PASS, RANKS, TimedGroup, TimedRanks};

/// Time from the death of a coordinator to the next pass; callers bear 0.7 s.
const MAX_RESCUE: Duration = Duration::from_millis(300);
/// Time between reads of the engine's report by its agent while nothing calls for more.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which an agent remembers the last order.
const ORDER_MEMORY: Duration = Duration::from_secs(2);
/// Time until a connection to a crashed process fails.
const REFUSED_AFTER: Duration = Duration::from_millis(5);
/// Time until a killed agent runs again.
const RESTART: Duration = Duration::from_millis(500);

/// The same while an engine leaves orders unanswered.
const MAX_UNANSWERED_RESCUE: Duration = Duration::from_millis(700);
/// Time for which passes may not begin in 95 of 100 switches with such an engine.
const MAX_UNANSWERED_WAIT: Duration = Duration::from_millis(80);

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
fn standstill(orders: u32, start: Duration, unreliable: Option<(usize, u64)>) -> Duration {
    let group = TimedGroup::new(&placements().0, unreliable.map_or(0, |(_, seed)| seed));
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
            group.unreliable.set(unreliable.map(|(rank, _)| rank));
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
            longest = longest.max(standstill(orders, start, None));
        }
    }
    assert!(longest <= MAX_RESCUE, "{longest:?}");
}

#[test]
fn rescue_is_soon_over_although_an_engine_leaves_orders_unanswered() {
    let orders = RANKS as u32 + 31;
    let mut times: Vec<Duration> = [0, 1, 40]
        .into_iter()
        .flat_map(|rank| (0..20).map(move |seed| (rank, seed)))
        .map(|unreliable| standstill(orders, Duration::ZERO, Some(unreliable)))
        .collect();
    times.sort_unstable();
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    assert!(
        median <= MAX_RESCUE && longest <= MAX_UNANSWERED_RESCUE,
        "median {median:?}, longest {longest:?}"
    );
}

/// Runs a switch beside passes, with an engine that leaves orders unanswered.
///
/// Returns how it ended, when, and for how long passes could not begin.
fn timed_switch(unreliable: usize, seed: u64) -> (SwitchEnding, Duration, Duration) {
    let group = TimedGroup::new(&placements().0, seed);
    group.unreliable.set(Some(unreliable));
    let ended = group.clock.run(async {
        let change = switch();
        let ranks = TimedRanks::new(&group, 0);
        let coordinator = async {
            let ending = change.run(&ranks).await;
            (ending, group.clock.now())
        };
        let coordinator = std::pin::pin!(coordinator);
        let passes = std::pin::pin!(group.run_passes());
        let (ended, passes) = match select(coordinator, passes).await {
            Either::Left(ended) => ended,
            Either::Right(_) => unreachable!("passes run forever"),
        };
        // Long enough for every late order.
        let rest = std::pin::pin!(group.clock.sleep(Duration::from_secs(13)));
        select(rest, passes).await;
        ended
    });
    assert_eq!(group.engines.violation(), None);
    assert!(!group.engines.is_held());
    (ended.0, ended.1, group.waited.get())
}

#[test]
fn unanswered_orders_hold_a_pass_no_longer_than_needed() {
    let runs = [0, 1, 40].into_iter();
    let runs = runs.flat_map(|rank| (0..100).map(move |seed| timed_switch(rank, seed)));
    let (mut waits, mut times, mut failed) = (Vec::new(), Vec::new(), 0);
    for (ending, time, waited) in runs {
        failed += u32::from(!matches!(ending, SwitchEnding::Switched(_)));
        waits.push(waited);
        times.push(time);
    }
    waits.sort_unstable();
    times.sort_unstable();
    let at = |sorted: &[Duration], percent: usize| sorted[sorted.len() * percent / 100];
    let summary = format!(
        "waits: median {:?}, 95 in 100 {:?}, longest {:?}; switch: median {:?}, 95 in 100 {:?}; {failed} failed",
        at(&waits, 50),
        at(&waits, 95),
        waits[waits.len() - 1],
        at(&times, 50),
        at(&times, 95),
    );
    assert_eq!(failed, 0, "{summary}");
    assert!(at(&waits, 95) <= MAX_UNANSWERED_WAIT, "{summary}");
}

/// Time from the start of a switch to the first pass with the new map, and for which passes waited.
fn time_in_force(lead: u64, start: Duration) -> (Duration, Duration) {
    let group = TimedGroup::new(&placements().0, 0);
    group.pass.set(2 * PASS);
    let in_force = group.clock.run(async {
        let change = switch();
        let mut ranks = TimedRanks::new(&group, 0);
        ranks.lead = lead;
        let coordinator = async {
            group.clock.sleep(start).await;
            change.run(&ranks).await;
            while group.engines.version() != Some(change.version) {
                group.clock.sleep(Duration::from_millis(1)).await;
            }
            group.clock.now() - start
        };
        let coordinator = std::pin::pin!(coordinator);
        let passes = std::pin::pin!(group.run_passes());
        match select(coordinator, passes).await {
            Either::Left((time, _)) => time,
            Either::Right(_) => unreachable!("passes run forever"),
        }
    });
    assert_eq!(group.engines.violation(), None);
    (in_force, group.waited.get())
}

/// Load pattern: passes take twice as long until the switch.
#[test]
fn pass_held_one_ahead_puts_the_map_in_force_earlier_and_costs_less_than_a_pass() {
    let mean = |lead: u64| {
        let starts = (0..110).step_by(5).map(Duration::from_millis);
        let times: Vec<(Duration, Duration)> = starts.map(|s| time_in_force(lead, s)).collect();
        let count = times.len() as u32;
        let in_force: Duration = times.iter().map(|t| t.0).sum();
        let waited: Duration = times.iter().map(|t| t.1).sum();
        (in_force / count, waited / count)
    };
    let (early, late) = (mean(1), mean(2));
    assert!(early.0 + PASS <= late.0, "{early:?}, {late:?}");
    assert!(early.1 <= PASS / 2, "{early:?}, {late:?}");
}
