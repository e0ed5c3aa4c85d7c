//! Number of copies in an urgent change.
//!
//! Load pattern: demand shifts every few seconds, passes are slow until the map has changed, and the
//! copies of a whole change take a good part of the time between two shifts.

use std::time::Duration;

use pimentotide_experts::{
    ChangeTimes, EvenLayout, EvenPlan, Placement, imbalance_even, plan_even, plan_urgent,
};
use proptest::prelude::*;

const GOAL: f64 = 1.1;
/// Time over which demand is observed before a change that is not urgent.
const OBSERVED: Duration = Duration::from_millis(500);
const OVERHEAD: Duration = Duration::from_millis(100);
const LAYOUT: EvenLayout = EvenLayout {
    ranks: 24,
    experts: 96,
    places: 5,
    spare: 2,
    copies: 6,
};
const LAYERS: usize = 16;

fn round_robin() -> Placement {
    let rank = |r: usize| (0..LAYOUT.experts).filter(move |e| e % LAYOUT.ranks == r);
    let layer = (0..LAYOUT.ranks).map(|r| rank(r).map(|e| e as u16).collect());
    vec![layer.collect(); LAYERS]
}

/// Share of each expert in the choices of its layer, by a power law in an order that shifts.
fn shares(shift: usize) -> Vec<f64> {
    let place = |l: usize, e: usize| (e * 31 + shift * 17 + l * 7) % LAYOUT.experts;
    let weight = |l: usize, e: usize| (1.0 + place(l, e) as f64).powf(-0.9);
    (0..LAYERS)
        .flat_map(|l| (0..LAYOUT.experts).map(move |e| weight(l, e)))
        .collect()
}

/// Placement that is balanced for a demand.
fn settled(shares: &[f64]) -> Placement {
    (0..4).fold(round_robin(), |placement, _| {
        plan_even(&LAYOUT, &placement, shares, &[], GOAL).placement
    })
}

fn times(copy: Duration) -> ChangeTimes {
    ChangeTimes {
        copy,
        overhead: OVERHEAD,
    }
}

fn duration(copies: usize, copy: Duration) -> f64 {
    (OVERHEAD + copy * copies as u32).as_secs_f64()
}

/// Load above the mean from the shift to the end of a second change, in mean loads times seconds.
fn load_above_mean(plan: &EvenPlan, demanded: &[f64], copy: Duration) -> f64 {
    let second = plan_even(&LAYOUT, &plan.placement, demanded, &[], GOAL);
    let until_first = duration(plan.rank_copies, copy);
    let until_second = OBSERVED.as_secs_f64() + duration(second.rank_copies, copy);
    (plan.before - 1.0) * until_first + (plan.after - 1.0) * until_second
}

fn urgent(old: usize, new: usize, copy: Duration) -> (EvenPlan, Vec<f64>) {
    let (placement, demanded) = (settled(&shares(old)), shares(new));
    let plan = plan_urgent(&LAYOUT, &placement, &demanded, &[], GOAL, times(copy));
    (plan, demanded)
}

/// Guards against a first change that copies all it may while every pass is slow.
#[test]
fn slow_copies_are_divided_between_two_changes() {
    let copy = Duration::from_millis(76);
    for shift in 1..5 {
        let (plan, demanded) = urgent(0, shift, copy);
        let whole = plan_even(&LAYOUT, &settled(&shares(0)), &demanded, &[], GOAL);
        let (divided, at_once) = (
            load_above_mean(&plan, &demanded, copy),
            load_above_mean(&whole, &demanded, copy),
        );
        assert!(plan.before > 1.8, "no urgent shift: {}", plan.before);
        assert!(divided < 0.9 * at_once, "{divided} instead of {at_once}");
        let sooner = duration(whole.rank_copies, copy) / duration(plan.rank_copies, copy);
        assert!(sooner > 1.5, "first change only {sooner} times as soon");
    }
}

/// Guards against a first change that is too small to help where copies cost hardly any time.
#[test]
fn fast_copies_are_made_at_once() {
    let (plan, demanded) = urgent(0, 1, Duration::from_millis(1));
    let whole = plan_even(&LAYOUT, &settled(&shares(0)), &demanded, &[], GOAL);
    assert!(
        plan.after <= whole.after * 1.05,
        "{} {}",
        plan.after,
        whole.after
    );
}

#[test]
fn single_copy_of_very_slow_engines_is_still_made() {
    let layout = EvenLayout {
        copies: 1,
        ..LAYOUT
    };
    let (placement, demanded) = (settled(&shares(0)), shares(1));
    let slow = times(Duration::from_secs(2));
    let plan = plan_urgent(&layout, &placement, &demanded, &[], GOAL, slow);
    let whole = plan_even(&layout, &placement, &demanded, &[], GOAL);
    assert_eq!(plan, whole);
    assert_eq!(plan.rank_copies, 1);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Slower copies never lead to more of them, and every plan is what it claims to be.
    #[test]
    fn slower_copies_are_fewer(shift in 1..20_usize, fast in 1..100_u64, slower in 1..300_u64) {
        let (quick, demanded) = urgent(0, shift, Duration::from_millis(fast));
        let (slow, _) = urgent(0, shift, Duration::from_millis(fast + slower));
        prop_assert!(slow.rank_copies <= quick.rank_copies);
        let actual = imbalance_even(&LAYOUT, &slow.placement, &demanded, &[]);
        prop_assert!((actual - slow.after).abs() < 1e-9);
    }
}
