//! Comparison of upstream selection policies under stale load reports.
//!
//! `choice [RUNS] [CHOICES] [POLICY]` prints, for each scenario and lag, the medians over the runs.

use std::time::Duration;

use pimentotide_bench::fleet::{Load, Policy, Summary, Workload, World, WorldSettings};
use pimentotide_bench::fleet::{median, summarize};
use pimentotide_model::{Spread, Time};

const ENTRIES: usize = 9;
const ENGINES: usize = 12;
const CAPACITY: u32 = 16;
const WARM_UP: Duration = Duration::from_secs(15);
const LENGTH: Duration = Duration::from_secs(45);
/// Delays of load reports.
const LAGS: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(2_500)];
const POLICIES: [(Policy, Spread); 6] = [
    (Policy::RoundRobin, Spread::Even),
    (Policy::LeastReported, Spread::Even),
    (Policy::TwoReported, Spread::Even),
    (Policy::TwoOwn, Spread::Even),
    (Policy::Placer, Spread::Even),
    (Policy::Placer, Spread::Near),
];

/// Load and engines of one comparison.
struct Scenario {
    name: &'static str,
    rate: f64,
    first_zone: f64,
    slow_engine: bool,
    documents: bool,
}

const SCENARIOS: [Scenario; 4] = [
    Scenario {
        name: "even",
        rate: 120.0,
        first_zone: 1.0 / 3.0,
        slow_engine: false,
        documents: false,
    },
    Scenario {
        name: "uneven",
        rate: 120.0,
        first_zone: 0.7,
        slow_engine: false,
        documents: false,
    },
    Scenario {
        name: "one slow",
        rate: 110.0,
        first_zone: 1.0 / 3.0,
        slow_engine: true,
        documents: false,
    },
    Scenario {
        name: "hot prefixes",
        rate: 100.0,
        first_zone: 1.0 / 3.0,
        slow_engine: false,
        documents: true,
    },
];

fn main() {
    let mut args = std::env::args().skip(1);
    let runs: u64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(5);
    let choices: usize = args.next().and_then(|a| a.parse().ok()).unwrap_or(6);
    let only = args.next();
    println!("{ENTRIES} entries, {ENGINES} engines of {CAPACITY}, median of {runs} runs");
    println!("choices {choices}");
    println!(
        "{:<13}{:>6} {:<15}{:>23}{:>23}{:>9}{:>7}{:>9}{:>9}",
        "scene",
        "lag",
        "policy",
        "first p50/95/99 ms",
        "total p50/95/99 ms",
        "good/s",
        "hits",
        "refused",
        "bounced",
    );
    for scenario in &SCENARIOS {
        for lag in LAGS {
            let selected =
                |(p, _): &(Policy, Spread)| only.as_ref().is_none_or(|o| *o == p.to_string());
            for (policy, spread) in POLICIES.into_iter().filter(selected) {
                let summaries: Vec<Summary> = (0..runs)
                    .map(|s| run(scenario, lag, (policy, spread), choices, s))
                    .collect();
                print_row(scenario, lag, (policy, spread), &median(&summaries));
            }
        }
    }
}

fn run(
    scenario: &Scenario,
    lag: Duration,
    (policy, spread): (Policy, Spread),
    choices: usize,
    seed: u64,
) -> Summary {
    let load = Load {
        rate: scenario.rate,
        length: LENGTH,
        first_zone: scenario.first_zone,
        documents: scenario.documents,
        deadline: Duration::from_secs(10),
    };
    let mut engines = vec![1.0; ENGINES];
    if scenario.slow_engine {
        engines[3] = 3.0;
    }
    let settings = WorldSettings {
        policy,
        entries: ENTRIES,
        engines,
        capacity: CAPACITY,
        lag,
        spread,
        choices,
        orders: Vec::new(),
        seed,
    };
    let workload = Workload::draw(&load, ENTRIES, seed);
    let mut world = World::new(settings, workload);
    let end = Time::ZERO + LENGTH;
    world.run(end + Duration::from_secs(15));
    summarize(&world.results, Time::ZERO + WARM_UP, end)
}

fn print_row(scenario: &Scenario, lag: Duration, (policy, spread): (Policy, Spread), s: &Summary) {
    let format_values = |v: &[f64; 3]| format!("{:.0}/{:.0}/{:.0}", v[0], v[1], v[2]);
    println!(
        "{:<13}{:>6} {:<15}{:>23}{:>23}{:>9.1}{:>7.3}{:>9.4}{:>9.3}",
        scenario.name,
        lag.as_millis(),
        policy_name(policy, spread),
        format_values(&s.first),
        format_values(&s.total),
        s.goodput,
        s.hits,
        s.refused,
        s.gate_refusals,
    );
}

fn policy_name(policy: Policy, spread: Spread) -> String {
    match (policy, spread) {
        (Policy::Placer, Spread::Near) => "placer, near".to_owned(),
        _ => policy.to_string(),
    }
}
