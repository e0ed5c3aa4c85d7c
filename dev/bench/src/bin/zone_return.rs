//! Load, allowance and latency by second while a zone is taken out and returns cold.
//!
//! `zone_return [SEED] [RATE]` takes the first zone out at 40 s and in again at 60 s.

use std::time::Duration;

use pimentotide_bench::fleet::{
    Load, Order, Outcome, Policy, RequestResult, Workload, World, WorldSettings, summarize,
};
use pimentotide_model::{AdminState, Spread, Time};

const ENTRIES: usize = 9;
const CAPACITY: u32 = 16;
/// Default load, in requests per second.
const RATE: f64 = 90.0;
const ZONE_OUT_AT: Time = Time::from_millis(40_000);
const ZONE_IN_AT: Time = Time::from_millis(60_000);
const END: Time = Time::from_millis(100_000);
/// Windows by name, start and end in milliseconds; the first is the reference for latency.
const WINDOWS: [(&str, u64, u64); 5] = [
    ("steady", 20_000, 40_000),
    ("leaving", 40_000, 43_000),
    ("out", 43_000, 60_000),
    ("returning", 60_000, 70_000),
    ("returned", 70_000, 100_000),
];

fn main() {
    let seed: u64 = std::env::args()
        .nth(1)
        .and_then(|a| a.parse().ok())
        .unwrap_or(1);
    let rate: f64 = std::env::args()
        .nth(2)
        .and_then(|a| a.parse().ok())
        .unwrap_or(RATE);
    let mut world = world(seed, rate);
    println!(
        "{:>5}{:>18}{:>18}{:>9}{:>9}",
        "s", "running by zone", "allowance", "answered", "refused"
    );
    for second in 1..=END.as_millis() / 1_000 {
        world.run(Time::from_millis(second * 1_000));
        if second > 37 && second < 80 {
            print_second(&world, second);
        }
    }
    world.run(END + Duration::from_secs(15));
    print_windows(&world);
}

fn world(seed: u64, rate: f64) -> World {
    let load = Load {
        rate,
        length: END.since(Time::ZERO),
        first_zone: 1.0 / 3.0,
        documents: true,
        deadline: Duration::from_secs(10),
    };
    let order = |at, standing| Order {
        at,
        zone: 0,
        standing,
    };
    let settings = WorldSettings {
        policy: Policy::Placer,
        entries: ENTRIES,
        engines: vec![1.0; 12],
        capacity: CAPACITY,
        lag: Duration::from_millis(250),
        spread: Spread::Near,
        choices: 6,
        orders: vec![
            order(ZONE_OUT_AT, AdminState::Out),
            order(ZONE_IN_AT, AdminState::In),
        ],
        seed,
    };
    World::new(settings, Workload::draw(&load, ENTRIES, seed))
}

fn print_second(world: &World, second: u64) {
    let running = world.samples.last().map(|(_, r)| *r).unwrap_or_default();
    let ended_in_second = |a: &&RequestResult| {
        let end = a.arrival + a.total;
        end.as_millis() / 1_000 == second - 1
    };
    let ended: Vec<&RequestResult> = world.results.iter().filter(ended_in_second).collect();
    let refused = ended
        .iter()
        .filter(|a| a.outcome == Outcome::Refused)
        .count();
    println!(
        "{second:>5}{:>18}{:>18}{:>9}{refused:>9}",
        format!("{running:?}"),
        format!("{:?}", world.allowance()),
        ended.len() - refused,
    );
}

fn print_windows(world: &World) {
    println!("running at the end (gates, engines): {:?}", world.running());
    println!(
        "most requests beyond the warm capacity of an engine: {}",
        world.excess()
    );
    let steady = summarize(
        &world.results,
        Time::from_millis(WINDOWS[0].1),
        Time::from_millis(WINDOWS[0].2),
    );
    for (name, from, to) in WINDOWS {
        let s = summarize(
            &world.results,
            Time::from_millis(from),
            Time::from_millis(to),
        );
        println!(
            "{name:<10} first p50/95/99 {:.0}/{:.0}/{:.0} ms, p99 {:.2} of steady; \
             total p99 {:.0} ms; hits {:.3}; refused {:.4}; bounced {:.3}",
            s.first[0],
            s.first[1],
            s.first[2],
            s.first[2] / steady.first[2],
            s.total[2],
            s.hits,
            s.refused,
            s.gate_refusals,
        );
    }
}
