//! Crashes of an upstream are distinguished from lost connections.
//!
//! Guards against a crash that is missed because an announcement sent before the
//! crash is received after the request broke.

use pimentotide_model::Incarnation;
use pimentotide_outcome::Liveness;

const OLD: Incarnation = Incarnation(7);
const NEW: Incarnation = Incarnation(8);

/// Returns the verdict after each incarnation announced after a break.
fn verdicts(announced: &[Incarnation]) -> Vec<Option<bool>> {
    let mut liveness = Liveness::default();
    liveness.record_announcement(OLD);
    let at_break = liveness;
    let after = announced.iter().map(|incarnation| {
        liveness.record_announcement(*incarnation);
        liveness.has_crashed(at_break, OLD)
    });
    after.collect()
}

#[test]
fn announcement_sent_before_the_crash_does_not_rule_it_out() {
    assert_eq!(verdicts(&[OLD, NEW]), [None, Some(true)]);
}

#[test]
fn newer_incarnation_proves_a_crash() {
    assert_eq!(verdicts(&[NEW]), [Some(true)]);
}

#[test]
fn second_announcement_of_the_same_incarnation_rules_out_a_crash() {
    assert_eq!(verdicts(&[OLD, OLD]), [None, Some(false)]);
}

#[test]
fn newer_incarnation_announced_before_the_break_was_noticed_proves_a_crash() {
    let mut liveness = Liveness::default();
    liveness.record_announcement(NEW);
    assert_eq!(liveness.has_crashed(liveness, OLD), Some(true));
}
