//! Retry budgets bound the attempts of a service and workspace.

use std::time::Duration;

use pimentotide_model::{RetryPolicy, ServiceName, WorkspaceName};
use pimentotide_routing::{Denial, FailedAttempt, Retry, RetryBudget};
use proptest::prelude::*;

use crate::fixture::{at, rng};

fn policy() -> RetryPolicy {
    RetryPolicy {
        attempts: 3,
        budget: 0.1,
        backoff: Duration::from_millis(10),
    }
}

fn failed<'a>(
    service: &'a ServiceName,
    workspace: &'a WorkspaceName,
    policy: &'a RetryPolicy,
    attempt: u32,
) -> FailedAttempt<'a> {
    FailedAttempt {
        service,
        workspace,
        policy,
        attempt,
        idempotent: true,
        deadline: at(10_000),
    }
}

#[test]
fn denials_report_their_reason() {
    let (service, workspace, policy) = (ServiceName::from("s"), WorkspaceName::from("w"), policy());
    let mut budget = RetryBudget::default();
    let mut rng = rng();
    let base = failed(&service, &workspace, &policy, 1);
    let once = FailedAttempt {
        idempotent: false,
        ..base
    };
    let last = FailedAttempt { attempt: 3, ..base };
    let late = FailedAttempt {
        deadline: at(1),
        ..base
    };
    assert_eq!(
        budget.decide(&once, at(0), &mut rng),
        Retry::Denied(Denial::NotIdempotent)
    );
    assert_eq!(
        budget.decide(&last, at(0), &mut rng),
        Retry::Denied(Denial::Attempts)
    );
    assert_eq!(
        budget.decide(&late, at(0), &mut rng),
        Retry::Denied(Denial::Deadline)
    );
    for _ in 0..3 {
        assert!(matches!(
            budget.decide(&base, at(0), &mut rng),
            Retry::After(_)
        ));
    }
    assert_eq!(
        budget.decide(&base, at(0), &mut rng),
        Retry::Denied(Denial::Budget)
    );
}

#[test]
fn delays_double_with_jitter() {
    let (service, workspace, policy) = (ServiceName::from("s"), WorkspaceName::from("w"), policy());
    let mut budget = RetryBudget::default();
    let second = failed(&service, &workspace, &policy, 2);
    let Retry::After(delay) = budget.decide(&second, at(0), &mut rng()) else {
        panic!("denied");
    };
    assert!((Duration::from_millis(10)..Duration::from_millis(20)).contains(&delay));
}

#[test]
fn budgets_are_separate_per_workspace() {
    let (service, policy) = (ServiceName::from("s"), policy());
    let mut budget = RetryBudget::default();
    let mut rng = rng();
    let greedy = WorkspaceName::from("greedy");
    let modest = WorkspaceName::from("modest");
    while let Retry::After(_) =
        budget.decide(&failed(&service, &greedy, &policy, 1), at(0), &mut rng)
    {}
    let other = budget.decide(&failed(&service, &modest, &policy, 1), at(0), &mut rng);
    assert!(matches!(other, Retry::After(_)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn attempts_stay_within_the_budget(outcomes in prop::collection::vec(any::<bool>(), 1..2_000)) {
        let (service, workspace, policy) =
            (ServiceName::from("s"), WorkspaceName::from("w"), policy());
        let mut budget = RetryBudget::default();
        let mut rng = rng();
        let (mut attempts, mut successes, mut attempt) = (0.0, 0.0, 1);
        let mut requests = 1.0;
        for good in outcomes {
            attempts += 1.0;
            let retried = if good {
                successes += 1.0;
                budget.success(&service, &workspace, &policy, at(0));
                false
            } else {
                let request = failed(&service, &workspace, &policy, attempt);
                matches!(budget.decide(&request, at(0), &mut rng), Retry::After(_))
            };
            attempt = if retried { attempt + 1 } else { 1 };
            requests += f64::from(u8::from(!retried));
            prop_assert!(attempt <= policy.attempts);
            prop_assert!(attempts <= requests + successes * policy.budget + 3.0);
        }
    }
}
