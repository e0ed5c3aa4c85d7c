//! The budget of repeats holds over any window, summed over all entries.

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
    /// Every entry wants to repeat far more than it may, under any load.
    #[test]
    fn no_window_holds_more_repeats_than_allowed(
        entries in 1..12_usize,
        rates in proptest::collection::vec(0..40_u64, 30),
        burst in 0..30_u64,
    ) {
        let service: ServiceName = "advice".into();
        let mut budgets: Vec<RetryBudget> =
            (0..entries).map(|_| RetryBudget::new(OPTIONS, entries)).collect();
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
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
                            repeats.push(now);
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
            prop_assert!(within(&repeats) <= OPTIONS.ratio * most + OPTIONS.allowance);
        }
    }
}

#[test]
fn a_single_entry_may_use_the_allowance() {
    let service: ServiceName = "advice".into();
    let mut budget = RetryBudget::new(OPTIONS, 1);
    let spent = (0..200)
        .filter(|_| budget.spend(&service, Time::ZERO))
        .count();
    assert_eq!(spent, 39);
}

/// Seen by the test of a stream that is cut, just after a start: no repeat was ever allowed.
#[test]
fn one_of_many_entries_may_still_repeat() {
    let service: ServiceName = "advice".into();
    let mut budget = RetryBudget::new(OPTIONS, 90);
    assert!(budget.spend(&service, Time::ZERO));
    assert!(!budget.spend(&service, Time::ZERO));
}
