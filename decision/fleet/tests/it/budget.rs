//! The retry budget holds in any window, summed over all entries.

use std::time::Duration;

use pimentotide_fleet::{BudgetOptions, RetryBudget};
use pimentotide_model::{ServiceName, Time};
use proptest::prelude::*;

const OPTIONS: BudgetOptions = BudgetOptions {
    ratio: 0.2,
    allowance: 94.0,
    window: Duration::from_secs(10),
};

proptest! {
    /// Every entry attempts far more retries than its budget allows, under any load.
    #[test]
    fn no_window_exceeds_the_retry_budget(
        entries in 1..12_usize,
        rates in proptest::collection::vec(0..40_u64, 30),
        burst in 0..30_u64,
    ) {
        let service: ServiceName = "advice".into();
        let mut budgets: Vec<RetryBudget> =
            (0..entries).map(|_| RetryBudget::new(OPTIONS, entries)).collect();
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for second in 0..rates.len() as u64 {
            let rate = if second == burst { 300 } else { rates[second as usize] };
            for part in 0..10_u64 {
                let now = Time::ZERO + Duration::from_millis(second * 1_000 + part * 100);
                for (index, budget) in budgets.iter_mut().enumerate() {
                    for _ in 0..(rate + index as u64 % 3) / 10 {
                        budget.earn(&service, now);
                        requests.push(now);
                    }
                    for _ in 0..40 {
                        if budget.spend(&service, now) {
                            retries.push(now);
                        }
                    }
                }
            }
        }
        for start in 0..20_u64 {
            let from = Time::ZERO + Duration::from_secs(start);
            let to = from + OPTIONS.window;
            let within = |times: &[Time]| times.iter().filter(|t| **t >= from && **t < to).count() as f64;
            let before = Time::ZERO + Duration::from_secs(start.saturating_sub(10));
            let earlier = requests.iter().filter(|t| **t >= before && **t < from).count() as f64;
            let most = within(&requests).max(earlier);
            prop_assert!(within(&retries) <= OPTIONS.ratio * most + OPTIONS.allowance);
        }
    }
}

#[test]
fn single_entry_may_use_the_whole_burst() {
    let service: ServiceName = "advice".into();
    let mut budget = RetryBudget::new(OPTIONS, 1);
    let spent = (0..200)
        .filter(|_| budget.spend(&service, Time::ZERO))
        .count();
    assert_eq!(spent, 39);
}

/// Guards against a share of the budget below one retry, which never allowed any: a stream that
/// was cut just after a start was not retried.
#[test]
fn one_of_many_entries_may_still_retry() {
    let service: ServiceName = "advice".into();
    let mut budget = RetryBudget::new(OPTIONS, 90);
    assert!(budget.allows(&service, Time::ZERO));
    assert!(budget.spend(&service, Time::ZERO));
    assert!(!budget.allows(&service, Time::ZERO));
    assert!(!budget.spend(&service, Time::ZERO));
}
