//! Admission, slow start, credits and refusals of one gate.

use std::time::Duration;

use pimentotide_model::{ErrorKind, Incarnation, InstanceName, Priority, Revision, Time, Warmth};
use pimentotide_routing::{Completed, GatePolicy, HealthSignal, Outcome};

use crate::fixture::{
    admission, announcement, at, declarations, demand, gate, good, profile, warm, zone_out,
};

fn kind_of(result: Result<pimentotide_routing::Permit, pimentotide_routing::Refusal>) -> ErrorKind {
    result.expect_err("refused").kind
}

#[test]
fn refusals_report_their_kind() {
    let announced = announcement(0, 8);
    let request = admission("e1", "w");
    let mut kinds = Vec::new();

    let mut out_of_service = gate();
    out_of_service.set_policy(
        GatePolicy::of(&zone_out(declarations(profile()), "accra-a"), &announced),
        8,
        at(1),
    );
    kinds.push(("zone out", kind_of(out_of_service.admit(&request, at(2)))));

    let mut draining = gate();
    draining.drain();
    kinds.push(("leaving", kind_of(draining.admit(&request, at(2)))));

    let mut full = gate();
    let _held = full.admit(&request, at(2)).expect("admitted");
    kinds.push(("full", kind_of(full.admit(&request, at(2)))));

    let mut changed = gate();
    let mut other = profile();
    other.concurrency = Some(4);
    let mut declared = declarations(other);
    declared.revision = Revision(5);
    changed.set_policy(GatePolicy::of(&declared, &announced), 8, at(1));
    kinds.push(("stale", kind_of(changed.admit(&request, at(2)))));

    let settings = pimentotide_routing::GateSettings {
        incarnation: Incarnation(1),
        capacity: 8,
        policy: GatePolicy::of(&declarations(profile()), &announced),
    };
    let mut unleased = pimentotide_routing::Gate::open(settings, at(0));
    kinds.push(("no lease", kind_of(unleased.admit(&request, at(2)))));
    unleased.renew(at(10));
    assert!(unleased.admit(&request, at(9)).is_ok());
    kinds.push(("lease lapsed", kind_of(unleased.admit(&request, at(11)))));
    insta::assert_debug_snapshot!(kinds);
}

#[test]
fn unrelated_revisions_cause_no_refusals() {
    let mut gate = gate();
    let announced = announcement(0, 8);
    let elsewhere = zone_out(declarations(profile()), "tema-c");
    gate.set_policy(GatePolicy::of(&elsewhere, &announced), 8, at(1));
    assert!(gate.admit(&admission("e1", "w"), at(2)).is_ok());
}

#[test]
fn allowance_grows_with_completions_and_falls_on_signals() {
    let mut gate = gate();
    let mut trace = Vec::new();
    let mut now = at(0);
    for _ in 0..12 {
        now += Duration::from_millis(300);
        let permits: Vec<_> = (0..gate.allowance())
            .filter_map(|_| gate.admit(&admission("e1", "w"), now).ok())
            .collect();
        for permit in permits {
            gate.complete(permit, good(), now);
        }
        trace.push(format!("{now} good: {}", gate.allowance()));
    }
    gate.observe(HealthSignal::Overload, now);
    trace.push(format!("overload: {}", gate.allowance()));
    gate.observe(HealthSignal::Cold, now);
    trace.push(format!(
        "cold: {} {}",
        gate.allowance(),
        gate.report().warmth
    ));
    now += Duration::from_secs(60);
    gate.tick(now);
    trace.push(format!("a minute idle: {}", gate.allowance()));
    insta::assert_debug_snapshot!(trace);
}

#[test]
fn slow_first_tokens_halve_then_restart_the_allowance() {
    let mut gate = gate();
    let mut now = warm(&mut gate);
    assert_eq!(gate.report().warmth, Warmth::Warm);
    let slow = Completed {
        first_token: Some(Duration::from_secs(2)),
        ..good()
    };
    let permits: Vec<_> = (0..2)
        .filter_map(|_| gate.admit(&admission("e1", "w"), now).ok())
        .collect();
    now += Duration::from_secs(2);
    let mut allowances = Vec::new();
    for permit in permits {
        gate.complete(permit, slow, now);
        allowances.push(gate.allowance());
    }
    assert_eq!(allowances, [4, 1]);
}

#[test]
fn overdue_first_tokens_lower_the_allowance() {
    let mut gate = gate();
    let now = warm(&mut gate);
    let _permits: Vec<_> = (0..3)
        .filter_map(|_| gate.admit(&admission("e1", "w"), now).ok())
        .collect();
    gate.tick(now + Duration::from_secs(1));
    assert_eq!(gate.allowance(), 4);
}

#[test]
fn work_of_an_old_incarnation_counts_until_it_ends() {
    let mut gate = gate();
    let now = warm(&mut gate);
    let old: Vec<_> = (0..3)
        .filter_map(|_| gate.admit(&admission("e1", "w"), now).ok())
        .collect();
    gate.restart(Incarnation(2), now);
    assert_eq!(
        kind_of(gate.admit(&admission("e1", "w"), now)),
        ErrorKind::Overloaded
    );
    let failed = Completed {
        outcome: Outcome::Failed,
        ..good()
    };
    for permit in old {
        gate.complete(permit, failed, now);
    }
    assert!(gate.admit(&admission("e1", "w"), now).is_ok());
}

#[test]
fn freed_slots_are_granted_by_priority_share_and_deadline() {
    let mut gate = gate();
    let now = warm(&mut gate);
    let permits: Vec<_> = (0..8)
        .filter_map(|_| gate.admit(&admission("e1", "large"), now).ok())
        .collect();
    let soon = Duration::from_secs(1);
    let late = Duration::from_secs(9);
    let mut urgent = demand("large", late, 1);
    urgent.priority = Priority(200);
    gate.demand(&name("e1"), vec![demand("large", soon, 6)], now);
    gate.demand(&name("e2"), vec![demand("small", late, 1)], now);
    gate.demand(&name("e3"), vec![urgent], now);
    gate.demand(&name("e4"), vec![demand("large", late, 1)], now);
    let mut order = Vec::new();
    for permit in permits {
        for grant in gate.complete(permit, good(), now) {
            order.push(grant.entry.to_string());
        }
    }
    assert_eq!(order, ["e3", "e2", "e1", "e1", "e1", "e1", "e1", "e1"]);
}

#[test]
fn unused_credits_expire_and_returned_ones_are_granted_again() {
    let mut gate = gate();
    let now = warm(&mut gate);
    let soon = Duration::from_secs(1);
    let grants = gate.demand(&name("e1"), vec![demand("w", soon, 8)], now);
    assert_eq!(grants.len(), 8);
    gate.demand(&name("e2"), vec![demand("w", soon, 2)], now);
    let regranted = gate.return_credit(grants[0].credit, now);
    assert_eq!(regranted[0].entry, name("e2"));
    let later = now + Duration::from_millis(250);
    let after_expiry = gate.tick(later);
    assert_eq!(after_expiry.len(), 1);
    assert_eq!(gate.report().running, 1);
    assert_eq!(gate.next_expiry(), Some(later + Duration::from_millis(200)));
}

#[test]
fn gate_is_drained_after_the_last_completion() {
    let mut gate = gate();
    let permit = gate.admit(&admission("e1", "w"), at(0)).expect("admitted");
    gate.drain();
    assert!(!gate.is_drained());
    gate.complete(permit, good(), at(5));
    assert!(gate.is_drained());
    gate.resume(at(6));
    assert!(
        gate.admit(&admission("e1", "w"), Time::from_millis(6))
            .is_ok()
    );
}

fn name(entry: &str) -> InstanceName {
    InstanceName::from(entry)
}
