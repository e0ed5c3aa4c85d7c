//! Each check reports the violations of its guarantee and accepts what the guarantee allows.

use insta::assert_snapshot;
use pimentotide_soak::{
    Bounds, Call, Disturbance, Evacuation, History, Kind, Order, Outcome, Run, Target, violations,
};

fn call(id: u64, kind: Kind, outcome: Outcome) -> Call {
    Call {
        id,
        kind,
        entry: 0,
        sent: 10_000,
        ended: 10_500,
        outcome,
    }
}

fn run(upstream: &str, at: u64) -> Run {
    Run {
        upstream: upstream.to_owned(),
        at,
    }
}

fn disturbed(planned: bool, target: Target) -> Disturbance {
    Disturbance {
        name: "something",
        target,
        planned,
        from: 8_000,
        until: 9_000,
    }
}

fn order(version: u64, sent: u64, acked: u64) -> Order {
    Order {
        version,
        serial: version,
        sent,
        acked: Some(acked),
    }
}

fn history(calls: Vec<Call>) -> History {
    History {
        calls,
        reads: vec![(11_200, 100)],
        healed: 11_000,
        recovered: Some(11_500),
        ..History::default()
    }
}

fn violation_lines(history: &History) -> String {
    let violations = violations(history, &Bounds::default());
    let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn history_within_all_guarantees_has_no_violation() {
    let mut history = history(vec![
        call(1, Kind::Once, Outcome::Whole),
        call(2, Kind::Repeatable, Outcome::Whole),
        call(3, Kind::Stream, Outcome::Refused(503)),
        call(4, Kind::Parity(true), Outcome::Whole),
        call(5, Kind::Parity(false), Outcome::Refused(404)),
        call(6, Kind::Repeatable, Outcome::Broken),
    ]);
    history.runs.insert(1, vec![run("u1", 10_100)]);
    history
        .runs
        .insert(2, vec![run("u1", 10_100), run("u2", 10_200)]);
    history.orders = vec![order(7, 1_000, 1_200)];
    history.disturbances = vec![disturbed(false, Target::Entry(0))];
    history.stops = vec![(1_000, 4_000, Some(0))];
    history.reads = vec![(2_000, 7)];
    assert_eq!(violation_lines(&history), "");
}

#[test]
fn excess_runs_false_refusals_and_wrong_answers_are_violations() {
    let mut history = history(vec![
        call(1, Kind::Once, Outcome::Whole),
        call(2, Kind::Repeatable, Outcome::Whole),
        call(3, Kind::Stream, Outcome::Refused(503)),
        call(4, Kind::Stream, Outcome::Wrong("another".to_owned())),
    ]);
    history.runs.insert(1, vec![run("u1", 1), run("u2", 2)]);
    history
        .runs
        .insert(2, vec![run("u1", 1), run("u2", 2), run("u3", 3)]);
    history.runs.insert(3, vec![run("u1", 1)]);
    assert_snapshot!(violation_lines(&history), @r"
    request 1 ran 2 times; at most one run is allowed
    request 2 ran 3 times, more than its allowed attempts
    request 3 was refused with 503 (not run) although it had run
    request 4 got a wrong answer: another
    ");
}

#[test]
fn interrupted_call_is_a_violation_unless_a_fault_is_near() {
    let mut history = history(vec![call(1, Kind::Once, Outcome::Broken)]);
    history.disturbances = vec![disturbed(true, Target::Entry(0))];
    assert_snapshot!(violation_lines(&history), @"request 1 at entry 0 was interrupted at 10500 ms without a fault");
    history
        .disturbances
        .push(disturbed(false, Target::Upstream(1)));
    assert_eq!(violation_lines(&history), "");
}

#[test]
fn call_that_crosses_a_close_may_be_interrupted_unless_it_was_forwarded() {
    let mut crossing = call(1, Kind::Once, Outcome::Broken);
    crossing.ended = crossing.sent + 150;
    let mut history = history(vec![crossing]);
    assert_eq!(violation_lines(&history), "");
    history.runs.insert(1, vec![run("u1", 10_100)]);
    assert_snapshot!(violation_lines(&history), @"request 1 at entry 0 was interrupted at 10150 ms without a fault");
}

#[test]
fn configuration_not_in_force_in_time_is_a_violation() {
    let mut history = history(vec![
        call(1, Kind::Parity(true), Outcome::Whole),
        call(2, Kind::Parity(false), Outcome::Refused(404)),
    ]);
    history.orders = vec![order(7, 1_000, 1_200), order(8, 5_000, 5_200)];
    history.reads = vec![(6_000, 7), (5_100, 7)];
    assert_snapshot!(violation_lines(&history), @r"
    request 1 at 10000 ms was not handled by version 8 or a newer one
    request 2 at 10000 ms was not handled by version 8 or a newer one
    a read at 6000 ms returned version 7 after 8 had been acknowledged
    ");
    // A newer version that was sent but not yet acknowledged may already be in force.
    history.orders.push(order(9, 9_900, 12_000));
    history.reads.clear();
    assert_eq!(violation_lines(&history), "");
}

#[test]
fn key_that_is_accepted_too_late_or_refused_too_early_is_a_violation() {
    let mut history = history(vec![
        call(1, Kind::Keyed(7), Outcome::Whole),
        call(2, Kind::Keyed(9), Outcome::Refused(401)),
    ]);
    history.runs.insert(1, vec![run("u1", 10_100)]);
    history.orders = vec![order(8, 1_000, 1_200), order(9, 4_000, 4_900)];
    assert_snapshot!(violation_lines(&history), @r"
    request 1 ran at 10100 ms with a key that version 9 no longer has
    request 2 at 10000 ms was refused although version 9 and newer ones have its key
    ");
    // The entry need not have the newest version yet, but the key is gone in time everywhere.
    history.disturbances = vec![disturbed(false, Target::Entry(0))];
    assert_snapshot!(violation_lines(&history), @"request 1 ran at 10100 ms with a key that version 9 no longer has");
    history.orders[1].acked = Some(5_100);
    assert_eq!(violation_lines(&history), "");
}

#[test]
fn invalid_configuration_that_is_accepted_is_a_violation() {
    let mut history = history(Vec::new());
    history.orders = vec![order(7, 1_000, 1_200)];
    history.invalid = vec![(8, 400), (10, 200), (12, 0)];
    history.reads = vec![(2_000, 7), (3_000, 12)];
    assert_snapshot!(violation_lines(&history), @r"
    the invalid version 10 was accepted
    the invalid version 12 was accepted
    ");
}

#[test]
fn request_at_a_draining_upstream_is_a_violation_unless_control_is_disturbed() {
    let mut history = history(vec![call(1, Kind::Repeatable, Outcome::Whole)]);
    history.runs.insert(1, vec![run("u1.1", 10_100)]);
    history.drains = vec![("u1.1".to_owned(), 7_500)];
    assert_snapshot!(violation_lines(&history), @"request 1 reached draining upstream u1.1 600 ms after the limit");
    history.disturbances = vec![disturbed(false, Target::Control(2))];
    assert_eq!(violation_lines(&history), "");
}

#[test]
fn missing_recovery_and_failed_stops_are_violations() {
    let mut history = history(Vec::new());
    history.recovered = None;
    history.stops = vec![(1_000, 7_000, Some(0)), (1_000, 2_000, None)];
    assert_snapshot!(violation_lines(&history), @r"
    no request was served within 12000 ms after the last fault
    an entry exited 6000 ms after its stop signal with code Some(0)
    an entry exited 1000 ms after its stop signal with code None
    ");
}

/// Guards against an evacuation that no check sees fail, and against false alarms: within the limit,
/// after it was taken back, in another zone and beside a disturbance.
#[test]
fn requests_in_an_evacuated_zone_are_reported() {
    let mut seen = history(vec![call(1, Kind::Once, Outcome::Whole)]);
    seen.runs.insert(1, vec![run("u1", 10_100)]);
    seen.zones.insert("u1".to_owned(), "z2");
    let evacuated = |acked, withdrawn| Evacuation {
        zone: "z2",
        acked,
        withdrawn,
    };
    seen.evacuations = vec![
        evacuated(None, None),
        evacuated(Some(5_000), Some(10_200)),
        evacuated(Some(9_000), None),
    ];
    assert_eq!(
        violation_lines(&seen),
        "request 1 reached u1 in an evacuated zone 100 ms after the limit"
    );
    let mut allowed = seen.clone();
    allowed.evacuations[1].acked = Some(5_100);
    assert_eq!(violation_lines(&allowed), "");
    let mut allowed = seen.clone();
    allowed.evacuations[1].withdrawn = Some(10_000);
    assert_eq!(violation_lines(&allowed), "");
    let mut allowed = seen.clone();
    allowed.zones.insert("u1".to_owned(), "z1");
    assert_eq!(violation_lines(&allowed), "");
    seen.disturbances = vec![disturbed(false, Target::Control(1))];
    assert_eq!(violation_lines(&seen), "");
    // One replica that is disturbed at a time delays the effect, for a while.
    seen.evacuations = vec![evacuated(Some(50), None)];
    assert_eq!(
        violation_lines(&seen),
        "request 1 reached u1 in an evacuated zone 50 ms after the limit"
    );
    seen.disturbances.push(disturbed(false, Target::Control(2)));
    assert_eq!(violation_lines(&seen), "");
}

/// Guards against a check of configurations that no longer applies while most replicas are paused.
#[test]
fn configuration_may_be_late_by_a_bound_without_a_majority() {
    let mut seen = history(vec![call(1, Kind::Parity(true), Outcome::Whole)]);
    seen.orders = vec![order(1, 100, 200), order(2, 4_000, 4_100)];
    let late = "request 1 at 10000 ms was not handled by version 2 or a newer one";
    assert_eq!(violation_lines(&seen), late);
    let paused = Disturbance {
        name: "pause all but",
        ..disturbed(false, Target::Control(1))
    };
    seen.disturbances = vec![paused];
    assert_eq!(violation_lines(&seen), "");
    seen.orders[1].acked = Some(2_900);
    assert_eq!(violation_lines(&seen), late);
}

#[test]
fn control_without_a_leader_in_time_is_a_violation() {
    let mut history = history(Vec::new());
    history.disturbances = vec![
        disturbed(false, Target::Control(1)),
        Disturbance {
            from: 30_000,
            until: 31_000,
            ..disturbed(false, Target::All)
        },
    ];
    history.reads = vec![(20_900, 1), (42_900, 1)];
    assert_eq!(violation_lines(&history), "");
    history.reads = vec![(22_000, 1), (44_000, 1)];
    assert_snapshot!(violation_lines(&history), @r"
    no leader within 12000 ms after the replicas were back at 9000 ms
    no leader within 12000 ms after the replicas were back at 31000 ms
    ");
    history.orders = vec![order(1, 500, 20_000), order(2, 500, 40_000)];
    history.reads.clear();
    assert_eq!(violation_lines(&history), "");
}

#[test]
fn leader_is_not_due_while_replicas_are_disturbed_again() {
    let mut history = history(Vec::new());
    let again = Disturbance {
        from: 20_000,
        until: 26_000,
        ..disturbed(false, Target::Control(0))
    };
    history.disturbances = vec![disturbed(false, Target::Control(1)), again];
    history.reads = vec![(37_000, 1)];
    assert_eq!(violation_lines(&history), "");
    history.reads.clear();
    assert_snapshot!(violation_lines(&history), @"no leader within 12000 ms after the replicas were back at 26000 ms");
}

#[test]
fn final_configuration_that_cannot_be_read_is_a_violation() {
    let mut history = history(Vec::new());
    history.unread = true;
    assert_snapshot!(violation_lines(&history), @"the final configuration could not be read");
}

/// Guards against a request that arrives late in the grace period of a stop and is cut.
#[test]
fn request_that_is_cut_late_in_a_stop_is_a_violation() {
    let stop = |until| Disturbance {
        from: 6_800,
        until,
        ..disturbed(true, Target::Entry(0))
    };
    let mut history = history(vec![call(1, Kind::Slow, Outcome::Broken)]);
    history.disturbances = vec![stop(10_500)];
    history.stops = vec![(6_800, 10_500, Some(0))];
    assert_snapshot!(violation_lines(&history), @"request 1 at entry 0 was interrupted at 10500 ms without a fault");
    history.calls[0].outcome = Outcome::Refused(503);
    assert_eq!(violation_lines(&history), "");
}
