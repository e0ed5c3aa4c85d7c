//! Plans for engines that split an expert's tokens evenly among its holders.
//!
//! Load pattern: a few experts receive most tokens of a layer, and which ones they
//! are changes every few seconds.

use std::time::Duration;

use insta::assert_snapshot;
use pimentotide_experts::{EvenLayout, ExpertDemand, Placement, imbalance_even, plan_even};
use pimentotide_model::Time;
use proptest::prelude::*;

const LAYOUT: EvenLayout = EvenLayout {
    ranks: 12,
    experts: 72,
    places: 8,
    spare: 3,
};

/// Initial placement of a group: experts assigned round robin.
fn round_robin(layout: &EvenLayout, layers: usize) -> Placement {
    let rank = |r: usize| {
        (0..layout.experts)
            .filter(|e| e % layout.ranks == r)
            .map(|e| e as u16)
            .collect()
    };
    let layer: Vec<Vec<u16>> = (0..layout.ranks).map(rank).collect();
    vec![layer; layers]
}

/// Popularity by a power law over the experts in a shuffled order.
fn skewed(layout: &EvenLayout, layers: usize, shift: usize) -> Vec<f64> {
    let layer = |l: usize| {
        (0..layout.experts).map(move |e| {
            let place = (e * 31 + shift * 17 + l * 7) % layout.experts;
            1e6 / (1.0 + place as f64).powf(1.3)
        })
    };
    (0..layers).flat_map(layer).collect()
}

#[test]
fn skewed_demand_is_balanced_in_a_few_changes() {
    let mut placement = round_robin(&LAYOUT, 4);
    let counts = skewed(&LAYOUT, 4, 0);
    let mut summary = Vec::new();
    for _ in 0..3 {
        let plan = plan_even(&LAYOUT, &placement, &counts, 1.1);
        summary.push(format!(
            "{:.2} -> {:.2}, {} copies",
            plan.before, plan.after, plan.copies
        ));
        placement = plan.placement;
    }
    assert_snapshot!(summary.join("\n"));
    assert!(imbalance_even(&LAYOUT, &placement, &counts) <= 1.1);
}

#[test]
fn balanced_layer_stays_unchanged() {
    let placement = round_robin(&LAYOUT, 4);
    let counts = vec![1_000.0; 4 * LAYOUT.experts];
    let plan = plan_even(&LAYOUT, &placement, &counts, 1.1);
    assert_eq!((plan.copies, &plan.placement), (0, &placement));
}

proptest! {
    #[test]
    fn plans_place_every_expert_within_the_limits(
        loads in proptest::collection::vec(0.0..1e6_f64, 24),
        places in 4..7_usize,
        spare in 1..4_usize,
    ) {
        let layout = EvenLayout { ranks: 6, experts: 24, places, spare };
        let old = round_robin(&layout, 1);
        let plan = plan_even(&layout, &old, &loads, 1.05);
        for (rank, held) in plan.placement[0].iter().enumerate() {
            let added = held.iter().filter(|e| !old[0][rank].contains(e)).count();
            prop_assert!(held.len() <= places && added <= spare);
            let mut unique = held.clone();
            unique.sort_unstable();
            unique.dedup();
            prop_assert_eq!(unique.len(), held.len());
        }
        for expert in 0..24_u16 {
            prop_assert!(plan.placement[0].iter().any(|held| held.contains(&expert)));
        }
        prop_assert!(plan.after <= plan.before + 1e-9);
    }
}

#[test]
fn demand_sums_ranks_and_drops_samples_outside_the_window() {
    let mut demand = ExpertDemand::default();
    let at = |ms: u64| Time::ZERO + Duration::from_millis(ms);
    demand.observe([&[500, 400][..], &[100, 0][..]], at(0));
    demand.observe([&[50, 40][..]], at(1_000));
    assert_eq!(demand.counts(), Some(vec![650.0, 440.0]));
    assert_eq!(demand.newest(), None, "too few choices for a plan");
    demand.observe([&[300, 200][..]], at(2_000));
    assert_eq!(demand.counts(), Some(vec![350.0, 240.0]));
    assert_eq!(demand.newest(), Some(&[300.0, 200.0][..]));
    demand.restart();
    assert_eq!(demand.counts(), None);
}
