//! Operator orders: races, resent orders, the resend window and restored state.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_control::machine::{MAX_ANSWERS, MAX_RECORDS, RESEND_WINDOW};
use pimentotide_control::{Action, Command, Document, Machine, Response, Scope, Verdict};
use pimentotide_model::{AdminState, Revision, Time};
use proptest::prelude::*;

use crate::common::{accepted, action, apply, declare, drafting, order, zone};

const START: Time = Time::from_millis(1_000);

fn restored(machine: &Machine) -> Machine {
    let mut copy = Machine::default();
    copy.restore(&machine.snapshot().unwrap()).unwrap();
    copy
}

#[test]
fn racing_orders_have_one_winner_named_in_the_conflict() {
    let mut machine = Machine::default();
    let first = order("a", Some(0), zone("accra-a", AdminState::Out));
    let second = order("b", Some(0), zone("accra-b", AdminState::Out));
    assert_eq!(declare(&mut machine, START, &first), accepted(1));
    insta::assert_debug_snapshot!(declare(&mut machine, START, &second), @r#"
    Conflict {
        base: Revision(
            0,
        ),
        current: Revision(
            1,
        ),
        winner: Some(
            Record {
                revision: Revision(
                    1,
                ),
                id: OrderId(
                    "a",
                ),
                actor: "ama",
                at: Time(
                    1000000,
                ),
                summary: "zone out accra-a",
            },
        ),
    }
    "#);
    assert!(!machine.declarations().zones.contains_key("accra-b"));
}

#[test]
fn orders_against_any_revision_do_not_conflict() {
    let mut machine = Machine::default();
    let first = order("a", None, zone("accra-a", AdminState::Out));
    let second = order("b", None, zone("accra-b", AdminState::Out));
    assert_eq!(declare(&mut machine, START, &first), accepted(1));
    assert_eq!(declare(&mut machine, START, &second), accepted(2));
}

#[test]
fn future_base_revision_is_a_conflict() {
    let mut machine = Machine::default();
    let early = order("a", Some(u64::MAX), zone("accra-a", AdminState::Out));
    let verdict = declare(&mut machine, START, &early);
    assert!(matches!(verdict, Verdict::Conflict { winner: None, .. }));
}

#[test]
fn resent_order_receives_its_first_answer_after_restore() {
    let mut machine = Machine::default();
    let out = order("out", None, zone("accra-a", AdminState::Out));
    let back = order("in", None, zone("accra-a", AdminState::In));
    assert_eq!(declare(&mut machine, START, &out), accepted(1));
    assert_eq!(declare(&mut machine, START, &back), accepted(2));
    let mut machine = restored(&machine);
    let late = START + RESEND_WINDOW - Duration::from_micros(1);
    assert_eq!(declare(&mut machine, late, &out), accepted(1));
    assert_eq!(machine.revision(), Revision(2));
    assert_eq!(machine.declarations().zones["accra-a"], AdminState::In);
}

#[test]
fn resent_conflict_stays_a_conflict() {
    let mut machine = Machine::default();
    let first = order("a", Some(0), zone("accra-a", AdminState::Out));
    let second = order("b", Some(0), zone("accra-a", AdminState::In));
    declare(&mut machine, START, &first);
    let verdict = declare(&mut machine, START, &second);
    declare(
        &mut machine,
        START,
        &order("c", None, Action::Pause(Scope::All)),
    );
    assert_eq!(declare(&mut restored(&machine), START, &second), verdict);
}

#[test]
fn order_past_the_window_is_a_new_order() {
    let mut machine = Machine::default();
    let bound = order("bound", Some(0), zone("accra-a", AdminState::Out));
    let free = order("free", None, zone("accra-a", AdminState::Out));
    assert_eq!(declare(&mut machine, START, &bound), accepted(1));
    assert_eq!(declare(&mut machine, START, &free), accepted(2));
    let late = START + RESEND_WINDOW;
    assert!(matches!(
        declare(&mut machine, late, &bound),
        Verdict::Conflict { .. }
    ));
    assert_eq!(declare(&mut machine, late, &free), accepted(3));
}

#[test]
fn log_time_never_decreases() {
    let mut machine = Machine::default();
    let out = order("out", None, zone("accra-a", AdminState::Out));
    declare(&mut machine, START, &out);
    declare(
        &mut machine,
        Time::ZERO,
        &order("b", None, Action::Pause(Scope::All)),
    );
    assert_eq!(machine.now(), START);
    assert_eq!(declare(&mut machine, START, &out), accepted(1));
}

#[test]
fn same_identifier_with_other_content_is_a_mismatch() {
    let mut machine = Machine::default();
    declare(
        &mut machine,
        START,
        &order("a", None, zone("accra-a", AdminState::Out)),
    );
    let other = order("a", None, zone("accra-b", AdminState::Out));
    let verdict = declare(&mut machine, START, &other);
    assert_eq!(verdict, Verdict::Mismatch { id: "a".into() });
    assert_eq!(machine.revision(), Revision(1));
}

#[test]
fn profile_in_use_cannot_be_pruned() {
    let mut machine = Machine::default();
    declare(
        &mut machine,
        START,
        &order("a", None, apply(drafting(), false)),
    );
    let document = Document {
        services: drafting().services,
        ..Document::default()
    };
    let verdict = declare(
        &mut machine,
        START,
        &order("b", None, apply(document, true)),
    );
    insta::assert_debug_snapshot!(verdict, @r#"
    Invalid {
        faults: [
            Fault {
                path: [
                    "services",
                    "draft",
                    "profile",
                ],
                message: "profile \"drafting\" does not exist",
            },
        ],
    }
    "#);
    assert!(machine.declarations().profiles.contains_key("drafting"));
}

#[test]
fn answers_and_history_are_bounded() {
    let mut machine = Machine::default();
    let count = MAX_ANSWERS + 10;
    for i in 0..count {
        let name = format!("o{i}");
        declare(
            &mut machine,
            START,
            &order(&name, None, zone("a", AdminState::Out)),
        );
    }
    assert_eq!(machine.history().count(), MAX_RECORDS);
    let newest = order(&format!("o{}", count - 1), None, zone("a", AdminState::Out));
    assert_eq!(
        declare(&mut machine, START, &newest),
        accepted(count as u64)
    );
    let dropped = order("o0", Some(0), zone("a", AdminState::Out));
    assert!(matches!(
        declare(&mut machine, START, &dropped),
        Verdict::Conflict { .. }
    ));
}

#[test]
fn fencing_tokens_increase_across_upstreams_and_restores() {
    let mut machine = Machine::default();
    let mut last = 0;
    for name in ["u1", "u2", "u1", "u3"] {
        let response = machine.apply(START, &Command::Allot(name.into()));
        let Response::Allot(fence) = response else {
            panic!("expected a fencing token, found {response:?}");
        };
        assert!(fence.0 > last);
        last = fence.0;
        machine = restored(&machine);
        assert_eq!(machine.fence_floor(&name.into()), fence);
    }
    assert_eq!(machine.fence_floor(&"unknown".into()).0, 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Orders are resent any number of times, with a restore in between: each
    /// identifier is applied at most once, its answer never changes and the revision
    /// equals the number of accepted orders.
    #[test]
    fn orders_apply_at_most_once(
        orders in prop::collection::vec((0..12_usize, prop::option::of(0..10_u64)), 1..40),
        actions in prop::collection::vec(action(), 12),
        restore_at in any::<prop::sample::Index>(),
    ) {
        let mut machine = Machine::default();
        let mut unrestored = Machine::default();
        let mut first = BTreeMap::new();
        let mut revision = 0;
        let restore_at = restore_at.index(orders.len());
        for (i, (index, base)) in orders.iter().enumerate() {
            let given = first.get(index).map_or(*base, |(base, _)| *base);
            let order = order(&format!("o{index}"), given, actions[*index].clone());
            let at = START + Duration::from_millis(i as u64);
            let verdict = declare(&mut machine, at, &order);
            prop_assert_eq!(&verdict, &declare(&mut unrestored, at, &order));
            match first.get(index) {
                Some((_, before)) => prop_assert_eq!(before, &verdict),
                None => {
                    revision += u64::from(verdict.kind().is_none());
                    first.insert(*index, (given, verdict));
                }
            }
            prop_assert_eq!(machine.revision(), Revision(revision));
            if i == restore_at {
                machine = restored(&machine);
            }
        }
        prop_assert_eq!(machine, unrestored);
    }
}
