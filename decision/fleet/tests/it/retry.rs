//! Retry decision for every way in which a send can end.

use std::time::Duration;

use insta::assert_snapshot;
use pimentotide_fleet::{Ended, Limit, Next, Policy, Step, may_relieve};
use pimentotide_model::{ErrorKind, Time};

const ENDS: [Ended; 7] = [
    Ended::Unsent,
    Ended::Rejected,
    Ended::Broken,
    Ended::Failed,
    Ended::Silent,
    Ended::Withdrawn,
    Ended::Relieved,
];

/// Returns the step after a send while the retry budget lasts.
fn next_step(ended: Ended, policy: &Policy, now: Time) -> Step {
    next(ended, policy, now).step
}

fn next(ended: Ended, policy: &Policy, now: Time) -> Next {
    pimentotide_fleet::next_step(ended, policy, now, || true)
}

fn policy(repeatable: bool, ran: u32, not_run: u32) -> Policy {
    Policy {
        repeatable,
        attempts: 2,
        ran,
        not_run,
        deadline: Time::ZERO + Duration::from_secs(1),
        crashing: false,
    }
}

#[test]
fn every_outcome_maps_to_a_step() {
    let mut lines = Vec::new();
    for repeatable in [false, true] {
        for (ran, not_run) in [(0, 1), (0, 3), (1, 0), (1, 1), (2, 0)] {
            let policy = policy(repeatable, ran, not_run);
            let steps =
                ENDS.map(|ended| format!("{ended:?} {:?}", next_step(ended, &policy, Time::ZERO)));
            lines.push(format!(
                "repeatable {repeatable} ran {ran} unrun {not_run}: {}",
                steps.join(", ")
            ));
        }
    }
    assert_snapshot!(lines.join("\n"));
}

/// Guards against running a non-repeatable request twice and against a wrong "not run" report.
#[test]
fn request_that_may_have_run_is_not_retried_or_reported_as_not_run() {
    for ended in ENDS {
        for not_run in 0..4 {
            let step = next_step(ended, &policy(false, 1, not_run), Time::ZERO);
            let reports_not_run = step == Step::Answer(ErrorKind::NoUpstream);
            assert!(!reports_not_run, "{ended:?}");
            if !matches!(ended, Ended::Unsent | Ended::Rejected) {
                assert_ne!(step, Step::Again, "{ended:?}");
            }
        }
    }
}

#[test]
fn no_retry_near_the_deadline() {
    let late = Time::ZERO + Duration::from_millis(980);
    for ended in ENDS {
        assert_ne!(next_step(ended, &policy(true, 0, 1), late), Step::Again);
    }
}

#[test]
fn limit_that_prevents_a_retry_is_named() {
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
            "rejected three times",
            Ended::Rejected,
            policy(false, 0, 3),
            Time::ZERO,
        ),
        ("near its deadline", Ended::Unsent, policy(true, 0, 1), late),
    ];
    let lines: Vec<String> = cases
        .iter()
        .map(|(name, ended, policy, now)| {
            let limit = next(*ended, policy, *now).limit;
            format!(
                "{name}: {}",
                limit.map_or("again".to_owned(), |l| l.to_string())
            )
        })
        .collect();
    assert_snapshot!(lines.join("\n"), @r"
    may run again: again
    ran twice: no attempts left
    may run once only: may have run
    rejected three times: no attempts left
    near its deadline: no time left
    ");
}

#[test]
fn without_budget_only_unsent_requests_are_retried() {
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

/// A request that is not retried for another reason does not use the retry budget.
#[test]
fn budget_is_spent_only_on_an_actual_retry() {
    let spend = || panic!("the budget was spent");
    pimentotide_fleet::next_step(Ended::Broken, &policy(false, 1, 0), Time::ZERO, spend);
    pimentotide_fleet::next_step(Ended::Unsent, &policy(true, 0, 1), Time::ZERO, spend);
}

/// Guards against a second attempt of a request whose content crashes upstreams, however its first ended.
#[test]
fn request_that_crashes_upstreams_is_not_retried() {
    let policy = Policy {
        crashing: true,
        ..policy(true, 0, 1)
    };
    let lines = ENDS.map(|ended| {
        let next = next(ended, &policy, Time::ZERO);
        assert_eq!(next.limit, Some(Limit::Crashing));
        format!("{ended:?}: {:?}", next.step)
    });
    assert_snapshot!(lines.join("\n"), @r"
    Unsent: Answer(CrashingRequest)
    Rejected: Answer(CrashingRequest)
    Broken: Answer(CrashingRequest)
    Failed: Pass
    Silent: Answer(CrashingRequest)
    Withdrawn: Answer(CrashingRequest)
    Relieved: Answer(CrashingRequest)
    ");
}

/// Guards against a stream that is abandoned at a slow upstream and cannot be sent elsewhere: each
/// limit keeps it where it is, and only a move uses the retry budget.
#[test]
fn stream_is_moved_only_with_attempts_time_and_budget_left_and_if_it_may_run_again() {
    let late = Time::ZERO + Duration::from_millis(980);
    let crashing = Policy {
        crashing: true,
        ..policy(true, 0, 0)
    };
    let cases = [
        ("first send", policy(true, 0, 0), Time::ZERO),
        ("rejected elsewhere", policy(true, 0, 3), Time::ZERO),
        ("moved before", policy(true, 1, 0), Time::ZERO),
        ("not resumable", policy(false, 0, 0), Time::ZERO),
        ("near its deadline", policy(true, 0, 0), late),
        ("crashes upstreams", crashing, Time::ZERO),
    ];
    let lines: Vec<String> = cases
        .iter()
        .map(|(name, policy, now)| {
            let mut spent = 0;
            let moved = may_relieve(policy, *now, || {
                spent += 1;
                true
            });
            assert_eq!(spent, u32::from(moved.is_ok()), "{name}");
            let without_budget = may_relieve(policy, *now, || false);
            let expected = moved.and(Err(Limit::Budget));
            assert_eq!(without_budget, expected, "{name}");
            let text = moved.map_or_else(|l| l.to_string(), |()| "moved".to_owned());
            format!("{name}: {text}")
        })
        .collect();
    assert_snapshot!(lines.join("\n"), @r"
    first send: moved
    rejected elsewhere: moved
    moved before: no attempts left
    not resumable: may have run
    near its deadline: no time left
    crashes upstreams: crashes upstreams
    ");
}
