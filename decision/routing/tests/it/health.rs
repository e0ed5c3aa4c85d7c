//! Ejection by failures and stalls, its limit, and recovery by probes.

use std::time::Duration;

use pimentotide_model::{Time, UpstreamName};
use pimentotide_routing::{AttemptOutcome, Decision, Finished, HealthState, Placement, Placer};
use proptest::prelude::*;

use crate::fixture::{at, meta, placer, rng};

const COUNT: usize = 12;

fn end(outcome: AttemptOutcome) -> Finished {
    Finished {
        outcome,
        first_token: Some(Duration::from_millis(80)),
        total: Duration::from_millis(400),
        tokens: 16,
        cached: None,
    }
}

fn names() -> Vec<UpstreamName> {
    (0..COUNT)
        .map(|i| UpstreamName::from(format!("u{i:02}")))
        .collect()
}

/// Places a request on `upstream` by excluding all others.
fn place_on(placer: &mut Placer, upstream: &UpstreamName, now: Time) -> Option<Decision> {
    let tried: Vec<_> = names().into_iter().filter(|n| n != upstream).collect();
    match placer.place(&meta(1, "w"), &tried, now, &mut rng()) {
        Placement::Chosen(decision) => Some(decision),
        _ => None,
    }
}

fn ejected(placer: &Placer) -> usize {
    names()
        .iter()
        .filter(|n| matches!(placer.health(n), Some(HealthState::Ejected { .. })))
        .count()
}

#[test]
fn failures_eject_and_successful_probes_restore() {
    let mut placer = placer(COUNT);
    let up = names().remove(3);
    for _ in 0..3 {
        let decision = place_on(&mut placer, &up, at(1)).expect("placed");
        placer.finish(
            decision.ticket,
            &meta(1, "w"),
            &end(AttemptOutcome::Failed),
            at(2),
        );
    }
    assert_eq!(
        placer.health(&up),
        Some(HealthState::Ejected { until: at(502) })
    );
    assert!(place_on(&mut placer, &up, at(501)).is_none());
    let mut now = at(502);
    for _ in 0..3 {
        let probe = place_on(&mut placer, &up, now).expect("probe");
        assert!(
            place_on(&mut placer, &up, now).is_none(),
            "one probe at a time"
        );
        now += Duration::from_millis(400);
        placer.finish(probe.ticket, &meta(1, "w"), &end(AttemptOutcome::Good), now);
    }
    assert_eq!(placer.health(&up), Some(HealthState::Healthy));
}

#[test]
fn upstream_that_never_answers_is_ejected() {
    let mut placer = placer(COUNT);
    let up = names().remove(5);
    let _stalled = place_on(&mut placer, &up, at(0)).expect("placed");
    let active = place_on(&mut placer, &names()[4], at(0)).expect("placed");
    placer.progress(&active.ticket, at(1_500));
    assert!(placer.check_stalls(at(1_900)).is_empty());
    assert_eq!(placer.check_stalls(at(2_000)), [up]);
}

#[test]
fn failed_zone_may_be_ejected_as_a_whole() {
    let mut placer = placer(COUNT);
    for up in names().iter().step_by(3) {
        let _stalled = place_on(&mut placer, up, at(0)).expect("placed");
    }
    assert_eq!(placer.check_stalls(at(2_000)).len(), 4);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    #[test]
    fn at_most_half_are_ejected(failing in prop::collection::vec(0..COUNT, 1..200)) {
        let mut placer = placer(COUNT);
        for index in failing {
            let up = names().remove(index);
            if let Some(decision) = place_on(&mut placer, &up, at(1)) {
                placer.finish(decision.ticket, &meta(1, "w"), &end(AttemptOutcome::Failed), at(2));
            }
            prop_assert!(ejected(&placer) <= COUNT / 2);
        }
    }
}
