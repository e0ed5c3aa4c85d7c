//! Goodput under load of up to three times the capacity of the engines.
//!
//! `overload [RUNS]` prints goodput at capacity and at multiples of it, with
//! the ratio to goodput at capacity in the same run.

use std::time::Duration;

use pimentotide_bench::fleet::{
    Load, Policy, Summary, Workload, World, WorldSettings, median, summarize,
};
use pimentotide_model::{Spread, Time};

const ENTRIES: usize = 9;
const ENGINES: usize = 12;
const CAPACITY: u32 = 16;
const WARM_UP: Duration = Duration::from_secs(15);
const LENGTH: Duration = Duration::from_secs(45);
/// Offered loads, as multiples of the capacity measured at the start.
const MULTIPLES: [f64; 6] = [0.5, 0.9, 1.0, 1.5, 2.0, 3.0];
/// Offered load that saturates the engines, in requests per second.
///
/// The goodput at this load is the capacity.
const SATURATING_RATE: f64 = 600.0;

fn main() {
    let runs: u64 = std::env::args()
        .nth(1)
        .and_then(|a| a.parse().ok())
        .unwrap_or(5);
    let capacity = median(
        &(0..runs)
            .map(|s| run(SATURATING_RATE, s))
            .collect::<Vec<_>>(),
    )
    .goodput;
    println!("{ENTRIES} entries, {ENGINES} engines of {CAPACITY}, median of {runs} runs");
    println!("capacity: {capacity:.1} answers per second at saturating load");
    let summaries: Vec<Vec<Summary>> = MULTIPLES
        .iter()
        .map(|m| (0..runs).map(|s| run(m * capacity, s)).collect())
        .collect();
    let at_capacity = &summaries[2];
    println!(
        "{:>9}{:>9}{:>26}{:>23}{:>23}{:>9}{:>9}",
        "multiple",
        "good/s",
        "ratio min/median/max",
        "first p50/95/99 ms",
        "total p50/95/99 ms",
        "refused",
        "bounced",
    );
    for (multiple, runs) in MULTIPLES.iter().zip(&summaries) {
        let mut ratios: Vec<f64> = runs
            .iter()
            .zip(at_capacity)
            .map(|(r, c)| r.goodput / c.goodput)
            .collect();
        ratios.sort_by(f64::total_cmp);
        let s = median(runs);
        let format_values = |v: &[f64; 3]| format!("{:.0}/{:.0}/{:.0}", v[0], v[1], v[2]);
        let ratio = format!(
            "{:.3}/{:.3}/{:.3}",
            ratios[0],
            ratios[ratios.len() / 2],
            ratios[ratios.len() - 1]
        );
        println!(
            "{multiple:>9}{:>9.1}{ratio:>26}{:>23}{:>23}{:>9.4}{:>9.3}",
            s.goodput,
            format_values(&s.first),
            format_values(&s.total),
            s.refused,
            s.gate_refusals,
        );
    }
}

fn run(rate: f64, seed: u64) -> Summary {
    let load = Load {
        rate,
        length: LENGTH,
        first_zone: 1.0 / 3.0,
        documents: false,
        deadline: Duration::from_secs(10),
    };
    let settings = WorldSettings {
        policy: Policy::Placer,
        entries: ENTRIES,
        engines: vec![1.0; ENGINES],
        capacity: CAPACITY,
        lag: Duration::from_millis(250),
        spread: Spread::Near,
        choices: 6,
        orders: Vec::new(),
        seed,
    };
    let mut world = World::new(settings, Workload::draw(&load, ENTRIES, seed));
    let end = Time::ZERO + LENGTH;
    world.run(end + Duration::from_secs(15));
    summarize(&world.results, Time::ZERO + WARM_UP, end)
}
