//! Exhaustive search over up to three delivery faults in a switch of three ranks.
//!
//! After the switch another coordinator releases the group if it is held, and
//! switches once more; late orders are applied meanwhile. No pass may begin under
//! two maps, and none may stay held.

use futures_util::FutureExt;
use pimentotide_experts::{Placement, Switch};

use crate::even_group::{FaultRates, Group, SkippedChecks};
use crate::even_script::{Script, explore};

/// Maximum number of faults in one switch.
const MAX_FAULTS: u32 = 3;
/// Distance to the held pass with which several passes begin while the ranks are armed.
const LONG_PASS_LEAD: u64 = 3;
/// Passes after which every late order has been applied.
const SETTLING_PASSES: u64 = 60;

const NO_FAULTS: FaultRates = FaultRates {
    unanswered: 0,
    late: 0,
    lost: 0,
};

fn maps() -> (Placement, Placement) {
    let old = vec![vec![vec![0, 1], vec![2, 3], vec![4, 5]]];
    let new = vec![vec![vec![0, 2], vec![1, 3], vec![4, 5]]];
    (old, new)
}

fn switch(epoch: u64, version: u64, old: &Placement, new: &Placement) -> Switch {
    Switch {
        epoch,
        version,
        old: old.clone(),
        new: new.clone(),
    }
}

/// Outcome of one script.
#[derive(Debug, Default)]
struct Outcome {
    violation: Option<String>,
    held: bool,
    switched: bool,
}

fn play(script: Script, skipped: SkippedChecks, pass_lead: u64) -> (Script, Outcome) {
    let (old, new) = maps();
    let group = Group::new(3, &old, 0, NO_FAULTS, skipped);
    group.set_pass_lead(pass_lead);
    group.use_script(script);
    // The coordinator may hang, which leaves its earlier orders in effect.
    let _ = switch(1, 7, &old, &new).run(&group).now_or_never();
    let script = group.take_script();
    group.run(5);
    if let Some(step) = group.held() {
        let version = group.highest() + 100;
        let held = if group.version() == Some(7) {
            &new
        } else {
            &old
        };
        let rollback = switch(group.epoch(), version, held, held);
        let _ = rollback.undo(&group, step).now_or_never();
    }
    group.run(2);
    let in_use = if group.version() == Some(7) {
        &new
    } else {
        &old
    };
    let next = if in_use == &old { &new } else { &old };
    let again = switch(group.epoch(), group.highest() + 200, in_use, next);
    let _ = again.run(&group).now_or_never();
    group.run(SETTLING_PASSES);
    let outcome = Outcome {
        violation: group.violation(),
        held: group.is_held(),
        switched: group.version() == Some(again.version),
    };
    (script, outcome)
}

#[test]
fn three_faults_never_cause_two_maps_or_a_held_group() {
    search(LONG_PASS_LEAD);
}

#[test]
fn three_faults_never_cause_two_maps_if_the_next_pass_is_held() {
    search(1);
}

fn search(pass_lead: u64) {
    let (mut switched, mut found) = (0, Vec::new());
    let played = explore(MAX_FAULTS, &mut |script| {
        let (script, outcome) = play(script, SkippedChecks::default(), pass_lead);
        switched += usize::from(outcome.switched);
        if outcome.violation.is_some() || outcome.held {
            found.push(format!("{script:?}: {outcome:?}"));
        }
        script
    });
    assert!(
        found.is_empty(),
        "{} of {played}: {:#?}",
        found.len(),
        &found[..found.len().min(3)]
    );
    assert!(played > 50_000, "{played}");
    assert!(switched > played / 2, "{switched} of {played}");
}

/// If engines skip any one of the safety checks, the same search finds a pass under two maps.
#[test]
fn each_safety_check_is_needed() {
    let violations_without = |skipped: SkippedChecks| {
        let mut violations = 0;
        explore(MAX_FAULTS, &mut |script| {
            if violations > 0 {
                // One violation is enough: a script without orders ends the search.
                return Script::default();
            }
            let (script, outcome) = play(script, skipped, LONG_PASS_LEAD);
            violations += usize::from(outcome.violation.is_some());
            script
        });
        violations
    };
    let hold = SkippedChecks {
        hold: true,
        ..SkippedChecks::default()
    };
    let fence = SkippedChecks {
        fence: true,
        ..SkippedChecks::default()
    };
    let epoch = SkippedChecks {
        epoch: true,
        ..SkippedChecks::default()
    };
    for (name, skipped) in [("hold", hold), ("fence", fence), ("epoch", epoch)] {
        assert!(
            violations_without(skipped) > 0,
            "no violation is found without {name}"
        );
    }
}
