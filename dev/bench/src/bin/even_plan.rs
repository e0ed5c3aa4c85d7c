//! Time of one plan for engines that split tokens evenly over holders, by ranks, layers and experts.

use std::hint::black_box;

use pimentotide_bench::measure::{RUNS, nanos};
use pimentotide_experts::{EvenLayout, Placement, plan_even};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Plans per timed run.
const PLANS: usize = 3;
/// Target ratio of the most loaded rank to the mean.
const TARGET_RATIO: f64 = 1.1;
/// Twice the exponent of the power law of expert popularity.
const SKEW: f64 = 1.3;

/// Assigns the experts to the ranks round-robin, as in the first map.
fn first_map(layout: &EvenLayout, layers: usize) -> Placement {
    let rank = |r: usize| {
        let experts = (0..layout.experts).filter(|e| e % layout.ranks == r);
        experts.map(|e| e as u16).collect()
    };
    vec![(0..layout.ranks).map(rank).collect(); layers]
}

/// Draws token counts by a power law, shuffled in each layer.
fn counts(layout: &EvenLayout, layers: usize, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut counts = Vec::new();
    for _ in 0..layers {
        let mut layer: Vec<f64> = (1..=layout.experts)
            .map(|n| 10_000.0 / (n as f64).powf(SKEW / 2.0))
            .collect();
        for n in (1..layer.len()).rev() {
            layer.swap(n, rng.random_range(0..=n));
        }
        counts.extend(layer);
    }
    counts
}

fn main() {
    println!("ranks layers experts: ns per plan, min/median/max of {RUNS}, before, after, copies");
    let sizes = [
        (12, 4, 72, 8, 3),
        (63, 8, 252, 5, 2),
        (63, 8, 252, 5, 3),
        (129, 16, 258, 3, 2),
        (256, 8, 256, 2, 1),
    ];
    for (ranks, layers, experts, places, spare) in sizes {
        let layout = EvenLayout {
            ranks,
            experts,
            places,
            spare,
            copies: spare * layers,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let current = first_map(&layout, layers);
        let counts: Vec<Vec<f64>> = (0..=PLANS)
            .map(|_| counts(&layout, layers, &mut rng))
            .collect();
        let time = nanos(PLANS, |n| {
            black_box(plan_even(&layout, &current, &counts[n], &[], TARGET_RATIO));
        });
        let plan = plan_even(&layout, &current, &counts[PLANS], &[], TARGET_RATIO);
        let figures = (plan.before, plan.after, plan.copies);
        println!("{ranks} {layers} {experts}: {time}, {figures:.2?}");
    }
}
