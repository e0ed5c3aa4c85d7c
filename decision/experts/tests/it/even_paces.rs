//! Plans for a group in which ranks are slower than the others.
//!
//! Load pattern: one rank of a lock-step group becomes six times as slow while all ranks are fully
//! loaded. Every pass takes as long as its slowest rank.

use pimentotide_experts::{EvenLayout, Placement, imbalance_even, plan_even};
use proptest::prelude::*;

/// Group with few experts per rank, and spare places.
const LAYOUT: EvenLayout = EvenLayout {
    ranks: 72,
    experts: 144,
    places: 3,
    spare: 2,
    copies: 24,
};
const LAYERS: usize = 12;
/// Rank that becomes slow.
const SLOW_RANK: usize = 5;
/// Its pace.
const SLOW_PACE: f64 = 6.0;

/// Small group, for properties.
const SMALL_LAYOUT: EvenLayout = EvenLayout {
    ranks: 6,
    experts: 24,
    places: 6,
    spare: 3,
    copies: 6,
};

fn round_robin(layout: &EvenLayout, layers: usize) -> Placement {
    let held = |rank: usize| {
        let experts = (0..layout.experts).filter(|e| e % layout.ranks == rank);
        experts.map(|e| e as u16).collect()
    };
    let layer: Vec<Vec<u16>> = (0..layout.ranks).map(held).collect();
    vec![layer; layers]
}

/// Popularity with a factor of four between the most and the least popular expert of a layer.
fn uneven() -> Vec<f64> {
    let layer = |l: usize| {
        (0..LAYOUT.experts).map(move |e| {
            let place = (e * 31 + l * 7) % LAYOUT.experts;
            1_000.0 + 3_000.0 * place as f64 / LAYOUT.experts as f64
        })
    };
    (0..LAYERS).flat_map(layer).collect()
}

fn paces(pace: f64) -> Vec<f64> {
    let mut paces = vec![1.0; LAYOUT.ranks];
    paces[SLOW_RANK] = pace;
    paces
}

/// Number of experts that a rank holds in all layers.
fn held(placement: &Placement, rank: usize) -> usize {
    placement.iter().map(|layer| layer[rank].len()).sum()
}

/// Guards against a slow rank that keeps its share of the experts and so determines each pass.
#[test]
fn slow_rank_of_a_fully_loaded_group_gives_away_all_experts_in_one_change() {
    let (counts, paces) = (uneven(), paces(SLOW_PACE));
    let mut placement = round_robin(&LAYOUT, LAYERS);
    for _ in 0..3 {
        placement = plan_even(&LAYOUT, &placement, &counts, &[], 1.1).placement;
    }
    assert!(held(&placement, SLOW_RANK) >= 2 * LAYERS);
    let before = imbalance_even(&LAYOUT, &placement, &counts, &paces);
    assert!(before > 4.0, "{before}");
    let plan = plan_even(&LAYOUT, &placement, &counts, &paces, 1.1);
    assert_eq!(held(&plan.placement, SLOW_RANK), 0);
    assert!(plan.after < 1.6, "{}", plan.after);
    let next = plan_even(&LAYOUT, &plan.placement, &counts, &paces, 1.1);
    assert_eq!(held(&next.placement, SLOW_RANK), 0, "it gets none back");
}

/// Guards against a slow rank that keeps experts because the others can receive no copies.
#[test]
fn experts_with_another_holder_leave_a_slow_rank_without_a_copy() {
    let layout = EvenLayout {
        ranks: 4,
        experts: 4,
        places: 2,
        spare: 1,
        copies: 0,
    };
    let placement = vec![vec![vec![0, 1], vec![1, 2], vec![2, 3], vec![3, 0]]];
    let paces = [SLOW_PACE, 1.0, 1.0, 1.0];
    let plan = plan_even(&layout, &placement, &[100.0; 4], &paces, 1.1);
    assert_eq!(held(&plan.placement, 0), 0);
    assert_eq!(plan.copies, 0);
}

/// Guards against a lasting overload of the others once the slow rank is as fast as they are.
#[test]
fn recovered_rank_costs_the_group_little_without_experts() {
    let counts = uneven();
    let placement = round_robin(&LAYOUT, LAYERS);
    let plan = plan_even(&LAYOUT, &placement, &counts, &paces(SLOW_PACE), 1.1);
    let slow = imbalance_even(&LAYOUT, &plan.placement, &counts, &paces(SLOW_PACE));
    let recovered = imbalance_even(&LAYOUT, &plan.placement, &counts, &[]);
    assert!(recovered < slow * 1.03, "{slow} {recovered}");
}

proptest! {
    /// Guards against other plans in a group without a slow rank.
    #[test]
    fn normal_paces_give_the_same_plan_as_none(
        loads in proptest::collection::vec(0.0..1e6_f64, 24),
        paces in proptest::collection::vec(
            prop_oneof![Just(1.0), Just(0.5), Just(1.14), Just(f64::NAN), Just(f64::INFINITY)],
            0..9,
        ),
    ) {
        let old = round_robin(&SMALL_LAYOUT, 1);
        let plan = plan_even(&SMALL_LAYOUT, &old, &loads, &paces, 1.05);
        prop_assert_eq!(plan, plan_even(&SMALL_LAYOUT, &old, &loads, &[], 1.05));
    }

    /// Guards against experts without a holder, and against ranks that receive more than they can.
    #[test]
    fn plans_with_slow_ranks_place_every_expert_within_the_limits(
        loads in proptest::collection::vec(0.0..1e6_f64, 24),
        paces in proptest::collection::vec(prop_oneof![Just(1.0), 1.0..9.0_f64], 6),
    ) {
        let old = round_robin(&SMALL_LAYOUT, 1);
        let plan = plan_even(&SMALL_LAYOUT, &old, &loads, &paces, 1.05);
        for (rank, held) in plan.placement[0].iter().enumerate() {
            let added = held.iter().filter(|e| !old[0][rank].contains(e)).count();
            prop_assert!(held.len() <= SMALL_LAYOUT.places && added <= SMALL_LAYOUT.spare);
            let mut unique = held.clone();
            unique.sort_unstable();
            unique.dedup();
            prop_assert_eq!(unique.len(), held.len());
        }
        for expert in 0..24_u16 {
            prop_assert!(plan.placement[0].iter().any(|held| held.contains(&expert)));
        }
        prop_assert!(plan.after <= plan.before + 1e-9);
        let after = imbalance_even(&SMALL_LAYOUT, &plan.placement, &loads, &paces);
        prop_assert!((plan.after - after).abs() < 1e-9);
    }
}
