//! When the agents of ranks 1 to 3 take over from the coordinator.
//!
//! Failures: a killed or frozen coordinator, one refused connection, a slow pass.

use std::time::Duration;

use pimentotide_experts::{EngineReport, Membership, ProbeOutcome, StuckAction, StuckWatch};
use pimentotide_model::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn report(rank: u16, step: u64, held: Option<u64>) -> EngineReport {
    EngineReport {
        membership: Some(Membership {
            group: "g".to_owned(),
            epoch: 1,
            rank,
            open: true,
        }),
        size: 63,
        born: 0,
        running: 3,
        waiting: 0,
        used: 0,
        memory: 1,
        pace: 1.0,
        sequence: 0,
        step,
        map: 1,
        prepared: None,
        armed: None,
        held,
    }
}

#[test]
fn killed_coordinator_is_replaced_after_the_second_failed_connection() {
    let mut watch = StuckWatch::default();
    let held = report(1, 10, Some(11));
    assert_eq!(watch.observe(&held, at(0)), StuckAction::Probe);
    assert!(!watch.record_probe(ProbeOutcome::Unreachable));
    assert_eq!(watch.observe(&held, at(50)), StuckAction::Probe);
    assert!(watch.record_probe(ProbeOutcome::Unreachable));
}

#[test]
fn single_refused_connection_does_not_undo_a_healthy_switch() {
    let mut watch = StuckWatch::default();
    for (pass, outcome) in [
        (10, ProbeOutcome::Unreachable),
        (10, ProbeOutcome::Connected),
        (11, ProbeOutcome::Unreachable),
    ] {
        let held = report(1, pass, Some(pass + 1));
        assert_eq!(watch.observe(&held, at(pass)), StuckAction::Probe);
        assert!(!watch.record_probe(outcome));
    }
    // The next switch begins with no failures.
    watch.observe(&report(1, 12, None), at(100));
    watch.observe(&report(1, 40, Some(42)), at(900));
    assert!(!watch.record_probe(ProbeOutcome::Unreachable));
}

#[test]
fn frozen_coordinator_is_replaced_after_a_while_without_passes() {
    let mut watch = StuckWatch::default();
    let held = report(1, 10, Some(11));
    for ms in [0, 50, 100, 250] {
        assert_eq!(watch.observe(&held, at(ms)), StuckAction::Probe);
        assert!(!watch.record_probe(ProbeOutcome::Connected));
    }
    assert_eq!(watch.observe(&held, at(300)), StuckAction::Rescue);
}

#[test]
fn later_ranks_neither_probe_nor_interrupt_the_rescue_of_the_first() {
    for (rank, limit) in [(2, 1_800), (3, 3_300)] {
        let mut watch = StuckWatch::default();
        let held = report(rank, 10, Some(11));
        assert_eq!(watch.observe(&held, at(0)), StuckAction::Wait);
        assert_eq!(watch.observe(&held, at(limit - 1)), StuckAction::Wait);
        assert_eq!(watch.observe(&held, at(limit)), StuckAction::Rescue);
    }
    for rank in [0, 4] {
        let mut watch = StuckWatch::default();
        let held = report(rank, 10, Some(11));
        watch.observe(&held, at(0));
        assert_eq!(watch.observe(&held, at(60_000)), StuckAction::Wait);
    }
}

#[test]
fn idle_group_and_new_epoch_are_not_stuck() {
    let mut watch = StuckWatch::default();
    let mut idle = report(1, 10, None);
    idle.running = 0;
    watch.observe(&idle, at(0));
    assert_eq!(watch.observe(&idle, at(60_000)), StuckAction::Wait);
    let mut formed_again = report(1, 10, None);
    formed_again.membership.as_mut().unwrap().epoch = 2;
    assert_eq!(watch.observe(&formed_again, at(61_000)), StuckAction::Wait);
}

#[test]
fn engine_is_read_more_often_only_while_a_switch_is_under_way() {
    let mut watch = StuckWatch::default();
    watch.observe(&report(1, 10, None), at(0));
    assert!(!watch.is_alert(false) && watch.is_alert(true));
    assert_eq!(watch.interval(false), Duration::from_millis(100));
    watch.observe(&report(1, 10, Some(12)), at(50));
    assert!(watch.is_alert(false));
    assert_eq!(watch.interval(false), Duration::from_millis(50));
}
