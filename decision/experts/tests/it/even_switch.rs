//! No pass begins under two maps when orders of a switch are lost, late or unanswered.

use std::future::Future;

use futures_util::FutureExt;
use insta::assert_snapshot;
use pimentotide_experts::{Placement, Switch, SwitchEnding};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::even_group::{FaultRates, Group, SkippedChecks};

const NO_FAULTS: FaultRates = FaultRates {
    unanswered: 0,
    late: 0,
    lost: 0,
};
const FREQUENT_FAULTS: FaultRates = FaultRates {
    unanswered: 80,
    late: 120,
    lost: 60,
};

fn maps() -> (Placement, Placement) {
    let old = vec![vec![vec![0, 1], vec![2, 3], vec![4, 5]]];
    let new = vec![vec![vec![0, 2], vec![1, 3], vec![4, 5]]];
    (old, new)
}

fn switch(version: u64) -> Switch {
    let (old, new) = maps();
    Switch {
        epoch: 1,
        version,
        old,
        new,
    }
}

fn group(seed: u64, faults: FaultRates, skipped: SkippedChecks) -> Group {
    Group::new(3, &maps().0, seed, faults, skipped)
}

#[test]
fn switch_without_faults_changes_all_ranks_at_one_pass() {
    let group = group(1, NO_FAULTS, SkippedChecks::default());
    let ending = switch(7).run(&group).now_or_never().unwrap();
    group.run(20);
    let summary = format!(
        "{ending:?}\nversion {:?}, held {}, violation {:?}, longest wait {} passes",
        group.version(),
        group.is_held(),
        group.violation(),
        group.longest_wait()
    );
    assert_snapshot!(summary);
}

#[test]
fn unanswered_late_or_lost_orders_never_cause_two_maps() {
    let mut endings = std::collections::BTreeMap::new();
    for seed in 0..4_000 {
        let group = group(seed, FREQUENT_FAULTS, SkippedChecks::default());
        let mut version = 7;
        for _ in 0..3 {
            let ending = switch(version).run(&group).now_or_never().unwrap();
            *endings.entry(kind(ending)).or_insert(0_u32) += 1;
            group.run(3);
            version = group.highest().max(version) + 2;
            if group.version() != Some(0) {
                break;
            }
        }
        group.run(60);
        assert_eq!(group.violation(), None, "seed {seed}");
    }
    assert!(endings["switched"] > 1_000, "{endings:?}");
    assert!(endings["undone"] > 100, "{endings:?}");
}

fn kind(ending: SwitchEnding) -> &'static str {
    match ending {
        SwitchEnding::Switched(_) => "switched",
        SwitchEnding::NotPrepared => "not prepared",
        SwitchEnding::NotHeld => "not held",
        SwitchEnding::Undone => "undone",
        SwitchEnding::GivenUp => "given up",
    }
}

/// A coordinator hangs after each number of orders, and another one releases the group.
#[test]
fn pass_held_by_a_hanging_coordinator_is_released() {
    let mut released = 0;
    for seed in 0..600 {
        for order_limit in 0..24 {
            let group = group(seed, FREQUENT_FAULTS, SkippedChecks::default());
            group.set_order_limit(Some(order_limit));
            let ending = switch(7).run(&group).now_or_never();
            group.set_order_limit(None);
            group.run(5);
            if ending.is_none()
                && let Some(step) = group.held()
            {
                let (old, _) = maps();
                let rollback = Switch {
                    version: group.highest() + 100,
                    new: old,
                    ..switch(7)
                };
                let ending = rollback.undo(&group, step).now_or_never().unwrap();
                assert_eq!(
                    ending,
                    SwitchEnding::Undone,
                    "seed {seed}, order limit {order_limit}"
                );
                released += 1;
            }
            group.run(60);
            assert_eq!(
                group.violation(),
                None,
                "seed {seed}, order limit {order_limit}"
            );
        }
    }
    assert!(released > 500, "{released}");
}

/// Without either safety check the engines use two maps, so the tests above can fail.
#[test]
fn skipping_hold_or_fence_causes_two_maps() {
    let violations = |skipped: SkippedChecks| {
        let violating = (0..4_000).filter(|seed| {
            let group = group(*seed, FREQUENT_FAULTS, skipped);
            switch(7).run(&group).now_or_never().unwrap();
            group.run(60);
            group.violation().is_some()
        });
        violating.count()
    };
    let no_hold = SkippedChecks {
        hold: true,
        ..SkippedChecks::default()
    };
    let no_fence = SkippedChecks {
        fence: true,
        ..SkippedChecks::default()
    };
    assert!(violations(no_hold) > 0);
    assert!(violations(no_fence) > 0);
}

/// A hanging coordinator resumes while another agent undoes its switch; their orders interleave.
///
/// Guards against an incident: the old coordinator released the pass when only some
/// ranks were disarmed.
#[test]
fn resumed_coordinator_cannot_break_the_undo_of_its_switch() {
    let (mut undone, mut switched) = (0, 0);
    for seed in 0..6_000 {
        let faults = if seed % 2 == 0 {
            NO_FAULTS
        } else {
            FREQUENT_FAULTS
        };
        let group = group(seed, faults, SkippedChecks::default());
        group.delay_messages();
        let mut rng = ChaCha8Rng::seed_from_u64(seed + 1_000_000);
        let (old, _) = maps();
        let forward = switch(7);
        let rollback = Switch {
            version: 200,
            new: old,
            ..switch(7)
        };
        let mut first = Some(Box::pin(forward.run(&group)));
        let mut second = None;
        let mut context = std::task::Context::from_waker(std::task::Waker::noop());
        for _ in 0..400 {
            // The first coordinator is polled only at times, so that the second one overtakes it.
            if rng.random_range(0..3) == 0
                && let Some(running) = &mut first
                && running.as_mut().poll(&mut context).is_ready()
            {
                first = None;
            }
            if second.is_none()
                && let Some(step) = group.held()
                && rng.random_range(0..30) == 0
            {
                second = Some(Box::pin(rollback.undo(&group, step)));
            }
            if let Some(running) = &mut second
                && let std::task::Poll::Ready(ending) = running.as_mut().poll(&mut context)
            {
                undone += u32::from(ending == SwitchEnding::Undone);
                break;
            }
            if rng.random_range(0..4) == 0 {
                group.run(1);
            }
        }
        if let Some(running) = &mut first {
            for _ in 0..2_000 {
                if running.as_mut().poll(&mut context).is_ready() {
                    break;
                }
            }
        }
        group.run(80);
        switched += u32::from(group.version() == Some(7));
        assert_eq!(group.violation(), None, "seed {seed}");
    }
    assert!(
        undone > 500 && switched > 500,
        "undone {undone}, switched {switched}"
    );
}
