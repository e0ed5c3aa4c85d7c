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
    copies: 12,
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
        let plan = plan_even(&LAYOUT, &placement, &counts, &[], 1.1);
        summary.push(format!(
            "{:.2} -> {:.2}, {} copies",
            plan.before, plan.after, plan.copies
        ));
        placement = plan.placement;
    }
    assert_snapshot!(summary.join("\n"));
    assert!(imbalance_even(&LAYOUT, &placement, &counts, &[]) <= 1.1);
}

#[test]
fn balanced_layer_stays_unchanged() {
    let placement = round_robin(&LAYOUT, 4);
    let counts = vec![1_000.0; 4 * LAYOUT.experts];
    let plan = plan_even(&LAYOUT, &placement, &counts, &[], 1.1);
    assert_eq!((plan.copies, &plan.placement), (0, &placement));
}

proptest! {
    #[test]
    fn plans_place_every_expert_within_the_limits(
        loads in proptest::collection::vec(0.0..1e6_f64, 24),
        places in 4..7_usize,
        spare in 1..4_usize,
    ) {
        let layout = EvenLayout { ranks: 6, experts: 24, places, spare, copies: spare };
        let old = round_robin(&layout, 1);
        let plan = plan_even(&layout, &old, &loads, &[], 1.05);
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

/// Load pattern: large experts and slow links, so that a change lasts as long as the rank with
/// most copies takes to receive them.
#[test]
fn limit_on_copies_of_a_rank_holds_over_all_layers_and_removes_most_of_a_shift() {
    let layout = EvenLayout {
        places: 11,
        spare: 4,
        copies: 1,
        ..LAYOUT
    };
    let unlimited = EvenLayout {
        copies: 12,
        ..layout
    };
    let settled = {
        let counts = skewed(&layout, 3, 0);
        let mut placement = round_robin(&layout, 3);
        for _ in 0..4 {
            placement = plan_even(&unlimited, &placement, &counts, &[], 1.05).placement;
        }
        placement
    };
    let counts = skewed(&layout, 3, 1);
    let most_copies = |placement: &Placement| {
        let copies = |rank: usize| -> usize {
            let layers = placement.iter().zip(&settled);
            let added = layers.map(|(new, old)| {
                let added = new[rank].iter().filter(|e| !old[rank].contains(e));
                added.count()
            });
            added.sum()
        };
        (0..layout.ranks).map(copies).max().unwrap_or(0)
    };
    let limited = plan_even(&layout, &settled, &counts, &[], 1.1);
    let full = plan_even(&unlimited, &settled, &counts, &[], 1.1);
    assert_eq!(most_copies(&limited.placement), 1);
    assert!(most_copies(&full.placement) > 1);
    assert_snapshot!(format!(
        "{:.2} -> {:.2} with one copy a rank, {:.2} with {}",
        limited.before,
        limited.after,
        full.after,
        most_copies(&full.placement)
    ));
    assert!(limited.after - 1.0 < (limited.before - 1.0) / 2.0);
}

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

#[test]
fn demand_sums_samples_and_drops_those_outside_the_window() {
    let mut demand = ExpertDemand::default();
    demand.observe(&[600.0, 400.0], at(0));
    demand.observe(&[50.0, 40.0], at(1_000));
    assert_eq!(demand.counts(), Some(vec![650.0, 440.0]));
    demand.observe(&[300.0, 200.0], at(2_000));
    assert_eq!(demand.counts(), Some(vec![350.0, 240.0]));
}

#[test]
fn too_few_choices_give_no_demand() {
    let mut demand = ExpertDemand::default();
    demand.observe(&[50.0, 40.0], at(0));
    assert_eq!(demand.counts(), None);
}

/// Load pattern: demand shifts within one sample, which mixes the old and the new demand.
#[test]
fn shift_of_demand_discards_the_samples_before_it_and_the_mixed_one() {
    let mut demand = ExpertDemand::default();
    demand.observe(&[900.0, 100.0], at(0));
    demand.observe(&[880.0, 120.0], at(100));
    demand.observe(&[600.0, 400.0], at(200));
    assert_eq!(demand.counts(), None, "the newest sample is mixed");
    demand.observe(&[100.0, 900.0], at(300));
    assert_eq!(demand.counts(), Some(vec![100.0, 900.0]));
    demand.observe(&[120.0, 880.0], at(400));
    assert_eq!(demand.counts(), Some(vec![220.0, 1_780.0]));
}

/// Load pattern: no sample is taken during a change of the map, and demand shifts meanwhile.
#[test]
fn sample_over_a_shift_during_a_change_of_the_map_is_discarded() {
    let mut demand = ExpertDemand::default();
    demand.observe(&[900.0, 100.0], at(0));
    demand.observe(&[5_000.0, 4_000.0], at(2_000));
    assert_eq!(demand.counts(), None);
    demand.observe(&[100.0, 900.0], at(2_100));
    assert_eq!(demand.counts(), Some(vec![100.0, 900.0]));
    assert_eq!(demand.span(), Duration::from_millis(100));
}

#[test]
fn window_spans_its_samples_and_starts_over_with_the_group() {
    let mut demand = ExpertDemand::default();
    assert_eq!(demand.span(), Duration::ZERO);
    demand.observe(&[900.0, 100.0], at(0));
    demand.observe(&[900.0, 100.0], at(500));
    assert_eq!(demand.span(), Duration::from_millis(500));
    demand.restart();
    assert_eq!((demand.counts(), demand.span()), (None, Duration::ZERO));
    demand.observe(&[900.0, 100.0], at(900));
    assert_eq!(demand.span(), Duration::ZERO);
}
