//! What follows a send, for every way in which it can end.

use std::time::Duration;

use insta::assert_snapshot;
use pimentotide_fleet::{Ended, Limit, Next, Policy, Step};
use pimentotide_model::{ErrorKind, Time};

const ENDS: [Ended; 5] = [
    Ended::Unsent,
    Ended::Rejected,
    Ended::Broken,
    Ended::Failed,
    Ended::Silent,
];

/// What follows a send while there is budget.
fn next_step(ended: Ended, policy: &Policy, now: Time) -> Step {
    next(ended, policy, now).step
}

fn next(ended: Ended, policy: &Policy, now: Time) -> Next {
    pimentotide_fleet::next_step(ended, policy, now, || true)
}

fn policy(repeatable: bool, ran: u32, unrun: u32) -> Policy {
    Policy {
        repeatable,
        attempts: 2,
        ran,
        not_run: unrun,
        deadline: Time::ZERO + Duration::from_secs(1),
    }
}

#[test]
fn every_end_has_its_step() {
    let mut told = Vec::new();
    for repeatable in [false, true] {
        for (ran, unrun) in [(0, 1), (0, 3), (1, 0), (1, 1), (2, 0)] {
            let policy = policy(repeatable, ran, unrun);
            let steps =
                ENDS.map(|ended| format!("{ended:?} {:?}", next_step(ended, &policy, Time::ZERO)));
            told.push(format!(
                "repeatable {repeatable} ran {ran} unrun {unrun}: {}",
                steps.join(", ")
            ));
        }
    }
    assert_snapshot!(told.join("\n"));
}

/// A request that may have run is never sent again unless it is repeatable, nor called "not run".
#[test]
fn a_request_that_may_have_run_is_not_repeated_and_not_called_unrun() {
    for ended in ENDS {
        for unrun in 0..4 {
            let step = next_step(ended, &policy(false, 1, unrun), Time::ZERO);
            let promises = step == Step::Answer(ErrorKind::NoUpstream);
            assert!(!promises, "{ended:?}");
            if matches!(ended, Ended::Broken | Ended::Failed | Ended::Silent) {
                assert_ne!(step, Step::Again, "{ended:?}");
            }
        }
    }
}

#[test]
fn nothing_is_sent_again_at_the_deadline() {
    let late = Time::ZERO + Duration::from_millis(980);
    for ended in ENDS {
        assert_ne!(next_step(ended, &policy(true, 0, 1), late), Step::Again);
    }
}

#[test]
fn what_keeps_a_request_from_another_send_is_named() {
    let late = Time::ZERO + Duration::from_millis(980);
    let cases = [
        (
            "may run again",
            Ended::Broken,
            policy(true, 1, 0),
            Time::ZERO,
        ),
        ("ran twice", Ended::Broken, policy(true, 2, 0), Time::ZERO),
        (
            "may run once only",
            Ended::Silent,
            policy(false, 1, 0),
            Time::ZERO,
        ),
        (
            "refused three times",
            Ended::Rejected,
            policy(false, 0, 3),
            Time::ZERO,
        ),
        ("near its deadline", Ended::Unsent, policy(true, 0, 1), late),
    ];
    let told: Vec<String> = cases
        .iter()
        .map(|(name, ended, policy, now)| {
            let limit = next(*ended, policy, *now).limit;
            format!(
                "{name}: {}",
                limit.map_or("again".to_owned(), |l| l.to_string())
            )
        })
        .collect();
    assert_snapshot!(told.join("\n"), @r"
    may run again: again
    ran twice: no attempts left
    may run once only: may have run
    refused three times: no attempts left
    near its deadline: no time left
    ");
}

#[test]
fn without_budget_only_what_never_arrived_is_sent_again() {
    let policy = policy(true, 1, 1);
    for ended in ENDS {
        let next = pimentotide_fleet::next_step(ended, &policy, Time::ZERO, || false);
        if ended == Ended::Unsent {
            assert_eq!((next.step, next.limit), (Step::Again, None));
        } else {
            assert_ne!(next.step, Step::Again, "{ended:?}");
            assert_eq!(next.limit, Some(Limit::Budget), "{ended:?}");
        }
    }
}

/// The budget is not touched by a request that is given up for another reason.
#[test]
fn budget_is_spent_only_on_a_send_that_follows() {
    let spend = || panic!("the budget was asked");
    pimentotide_fleet::next_step(Ended::Broken, &policy(false, 1, 0), Time::ZERO, spend);
    pimentotide_fleet::next_step(Ended::Unsent, &policy(true, 0, 1), Time::ZERO, spend);
}
