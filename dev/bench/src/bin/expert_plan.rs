//! Expert placement: distance from the bound, plan time and cost of rebalancing.
//!
//! Three placement methods run against the same popularity: a static map,
//! greedy balanced packing with replication that is recomputed periodically,
//! and the planner.

use std::time::{Duration, Instant};

use pimentotide_experts::{
    Bounds, Budget, Conditions, Demand, ExpertMap, Layout, Limits, PlanCost, PlanPolicy, Planner,
    StepSample, TokenCounts, Verdict, improve_map, pack_greedily, place,
};
use pimentotide_model::{GroupName, OrderId, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Seed of all random draws.
const SEED: u64 = 7_340_033;

/// Timed runs per plan.
const RUNS: usize = 9;

/// Time between two reports of the ranks.
const TICK: Duration = Duration::from_secs(10);

/// Length of a scenario in ticks: two hours.
const TICKS: u64 = 720;

/// Ticks between two packings of the greedy baseline.
const GREEDY_PERIOD_TICKS: u64 = 6;

/// Tokens routed in each layer per tick.
const TICK_TOKENS: f64 = 400_000.0;

/// Number of layers in the scenarios.
const SCENARIO_LAYERS: u16 = 16;

/// Bytes that rebalancing may move per hour.
const MAX_HOURLY_BYTES: u64 = 64 << 30;

/// Exponent of the Zipf distribution of expert popularity.
const ZIPF_EXPONENT: f64 = 0.8;

/// Target for the median plan time, in milliseconds.
const PLAN_TARGET_MS: f64 = 50.0;

/// Change of popularity or speeds over a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shift {
    Steady,
    Drifting,
    Bursty,
    Adversarial,
    Straggler,
    Stall,
}

/// Actual popularity and speeds over one run.
struct Scenario {
    shift: Shift,
    layout: Layout,
    base: Vec<f64>,
    target: Vec<f64>,
}

/// Figures collected over one run.
#[derive(Default)]
struct Tally {
    imbalance: Vec<f64>,
    skew: Vec<f64>,
    moved: u64,
    switches: u64,
}

fn zipf(layout: &Layout, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let experts = usize::from(layout.experts);
    let mut all = Vec::new();
    for _ in 0..layout.layers {
        let mut order: Vec<usize> = (0..experts).collect();
        for i in (1..experts).rev() {
            order.swap(i, rng.random_range(0..=i));
        }
        all.extend(order.iter().map(|r| ((r + 1) as f64).powf(-ZIPF_EXPONENT)));
    }
    all
}

impl Scenario {
    fn new(shift: Shift, layout: Layout, rng: &mut ChaCha8Rng) -> Self {
        let base = zipf(&layout, rng);
        let target = zipf(&layout, rng);
        Self {
            shift,
            layout,
            base,
            target,
        }
    }

    fn weights(&self, tick: u64) -> Vec<f64> {
        let mix = match self.shift {
            Shift::Steady | Shift::Straggler | Shift::Stall => 0.0,
            Shift::Drifting => tick as f64 / TICKS as f64,
            // A burst of 20 s every 5 minutes.
            Shift::Bursty if (10..12).contains(&(tick % 30)) => 0.8,
            Shift::Bursty => 0.0,
            // Alternates every 4 minutes, about when a planner has adapted to the last change.
            Shift::Adversarial => f64::from(u8::from((tick / 24) % 2 == 1)),
        };
        let pairs = self.base.iter().zip(&self.target);
        pairs.map(|(b, t)| b * (1.0 - mix) + t * mix).collect()
    }

    fn speeds(&self, tick: u64) -> Vec<f64> {
        let mut speeds = vec![1.0; self.layout.ranks.len()];
        match self.shift {
            Shift::Straggler if tick >= 120 => speeds[1] = 0.6,
            // Two ticks at a tenth of the speed every 10 minutes.
            Shift::Stall if tick % 60 < 2 && tick > 60 => speeds[1] = 0.1,
            _ => {}
        }
        speeds
    }

    fn demand(&self, tick: u64) -> Demand {
        let experts = usize::from(self.layout.experts);
        Demand::new(experts, &self.weights(tick), &self.speeds(tick))
    }
}

/// Draws token counts with sampling noise.
fn sample(demand: &Demand, rng: &mut ChaCha8Rng) -> Vec<u32> {
    let draw = |load: &f64| {
        let mean = load * TICK_TOKENS;
        // The sum of 12 uniform draws approximates a normal deviate.
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        (mean + normal * mean.sqrt()).max(0.0) as u32
    };
    demand.loads.iter().map(draw).collect()
}

fn record(tally: &mut Tally, scenario: &Scenario, demand: &Demand, map: &ExpertMap) {
    let forecast = demand.forecast(&scenario.layout, map);
    tally.imbalance.push(forecast.imbalance());
    tally.skew.push(forecast.skew());
}

fn switch(tally: &mut Tally, layout: &Layout, map: &mut ExpertMap, next: ExpertMap) {
    tally.moved += next.moved(map, layout) as u64;
    tally.switches += u64::from(next != *map);
    *map = next;
}

fn run_static(scenario: &Scenario) -> Tally {
    let map = place(&scenario.layout, &scenario.demand(0)).expect("layout fits");
    let mut tally = Tally::default();
    for tick in 0..TICKS {
        record(&mut tally, scenario, &scenario.demand(tick), &map);
    }
    tally
}

fn run_greedy(scenario: &Scenario) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut map = pack_greedily(&scenario.layout, &scenario.demand(0)).expect("layout fits");
    let mut tally = Tally::default();
    let mut counts = vec![0.0; scenario.base.len()];
    for tick in 0..TICKS {
        let demand = scenario.demand(tick);
        record(&mut tally, scenario, &demand, &map);
        let drawn = sample(&demand, &mut rng);
        counts
            .iter_mut()
            .zip(drawn)
            .for_each(|(sum, c)| *sum += f64::from(c));
        if tick % GREEDY_PERIOD_TICKS == GREEDY_PERIOD_TICKS - 1 {
            let ranks = vec![1.0; scenario.layout.ranks.len()];
            let estimate = Demand::new(usize::from(scenario.layout.experts), &counts, &ranks);
            let next = pack_greedily(&scenario.layout, &estimate).expect("layout fits");
            switch(&mut tally, &scenario.layout, &mut map, next);
            counts.fill(0.0);
        }
    }
    tally
}

fn observe(
    planner: &mut Planner,
    scenario: &Scenario,
    tick: u64,
    map: &ExpertMap,
    rng: &mut ChaCha8Rng,
) {
    let demand = scenario.demand(tick);
    let at = Time::ZERO + TICK * tick as u32;
    // One report in ten is lost.
    if !rng.random_bool(0.1) {
        planner.observe_tokens(&TokenCounts {
            reporter: (tick % scenario.layout.ranks.len() as u64) as u16,
            sequence: tick + 1,
            at,
            tokens: sample(&demand, rng),
        });
    }
    let mut work = vec![0.0; scenario.layout.ranks.len()];
    let mut busy = vec![0.0; scenario.layout.ranks.len()];
    for layer in 0..usize::from(scenario.layout.layers) {
        for (rank, time) in demand
            .rank_times(&scenario.layout, map, layer)
            .iter()
            .enumerate()
        {
            busy[rank] += time;
            work[rank] += time * demand.speeds[rank];
        }
    }
    for rank in 0..work.len() {
        let noise = 1.0 + 0.02 * (rng.random::<f64>() - 0.5);
        planner.observe_step(&StepSample {
            rank: rank as u16,
            at,
            work: (work[rank] * 1e6) as u64,
            busy: Duration::from_secs_f64(busy[rank] * noise),
        });
    }
}

fn run_planner(
    scenario: &Scenario,
    reasons: &mut std::collections::BTreeMap<String, u32>,
) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut map = place(&scenario.layout, &scenario.demand(0)).expect("layout fits");
    let policy = PlanPolicy::default();
    let mut planner = Planner::new(scenario.layout.clone(), policy).expect("layout fits");
    let mut tally = Tally::default();
    let mut budget = Budget::default();
    let group = GroupName::from("group");
    for tick in 0..TICKS {
        record(&mut tally, scenario, &scenario.demand(tick), &map);
        observe(&mut planner, scenario, tick, &map, &mut rng);
        let now = Time::ZERO + TICK * tick as u32;
        let conditions = Conditions {
            allowance: budget.allowance(&group, MAX_HOURLY_BYTES, now),
            ..Conditions::default()
        };
        match planner.evaluate(now, &map, conditions) {
            Verdict::Propose(plan) => {
                let cost = PlanCost {
                    id: OrderId::from(format!("plan-{tick}")),
                    bytes: plan.bytes,
                };
                assert!(
                    budget.spend(&group, MAX_HOURLY_BYTES, &cost, now),
                    "within the allowance"
                );
                switch(&mut tally, &scenario.layout, &mut map, plan.map);
            }
            Verdict::Decline { reason, .. } => *reasons.entry(reason.to_string()).or_default() += 1,
        }
    }
    tally
}

fn quantile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[((sorted.len() - 1) as f64 * part).round() as usize]
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn report(name: &str, tally: &Tally, base: &Tally) {
    let weight = PlanPolicy::default().weight as f64 / f64::from(1 << 30);
    let hours = TICKS as f64 * TICK.as_secs_f64() / 3600.0;
    let bytes = tally.moved as f64 * weight;
    let gained = (mean(&base.skew) - mean(&tally.skew)) * 100.0;
    let price = if gained > 0.05 {
        format!("{:.2}", bytes / gained)
    } else {
        "-".into()
    };
    println!(
        "  {name:8} {:8.3} {:8.3} {:8.3} {:8.3} {:9.1} {:9.1} {:9.2} {:>9}",
        mean(&tally.imbalance),
        mean(&tally.skew),
        quantile(&tally.skew, 0.5),
        quantile(&tally.skew, 0.99),
        tally.moved as f64 / hours,
        tally.switches as f64 / hours,
        bytes,
        price
    );
}

fn print_scenarios(ranks: u16, slots: u16) {
    let layout = Layout::uniform(SCENARIO_LAYERS, 128, ranks, slots, 8);
    println!("\n{ranks} ranks, {slots} slots a rank, 128 experts, {SCENARIO_LAYERS} layers, 2 h");
    println!(
        "  {:8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}",
        "way", "max/mean", "skew", "p50", "p99", "moves/h", "switch/h", "GiB", "GiB/point"
    );
    let shifts = [
        Shift::Steady,
        Shift::Drifting,
        Shift::Bursty,
        Shift::Adversarial,
        Shift::Straggler,
        Shift::Stall,
    ];
    for shift in shifts {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let scenario = Scenario::new(shift, layout.clone(), &mut rng);
        let mut reasons = std::collections::BTreeMap::new();
        let base = run_static(&scenario);
        let planned = run_planner(&scenario, &mut reasons);
        println!(" {shift:?}, evaluations declined: {reasons:?}");
        report("static", &base, &base);
        report("greedy", &run_greedy(&scenario), &base);
        report("planner", &planned, &base);
    }
}

fn timed<T, F>(mut run: F) -> (Vec<f64>, T)
where
    F: FnMut() -> T,
{
    let mut times = Vec::new();
    let mut last = run();
    for _ in 0..RUNS {
        let start = Instant::now();
        last = run();
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    (times, last)
}

fn print_row(
    name: &str,
    layout: &Layout,
    demand: &Demand,
    times: &[f64],
    map: &ExpertMap,
    moved: usize,
) {
    let forecast = demand.forecast(layout, map);
    let median = quantile(times, 0.5);
    println!(
        "  {name:22} {:7.1} {:7.1} {:7.1} ms  {}  max/mean {:.3}  over bound {:+.1} %  moves {moved}",
        quantile(times, 0.0),
        median,
        quantile(times, 1.0),
        if median < PLAN_TARGET_MS {
            "in target"
        } else {
            "OVER     "
        },
        forecast.imbalance(),
        (forecast.skew() - 1.0) * 100.0,
    );
}

fn print_plans(ranks: u16, slots: u16, straggler: bool) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let layout = Layout::uniform(60, 128, ranks, slots, 8);
    let (old, new) = (zipf(&layout, &mut rng), zipf(&layout, &mut rng));
    let mut speeds = vec![1.0; usize::from(ranks)];
    if straggler {
        speeds[3] = 0.5;
    }
    let demand = Demand::new(128, &old, &speeds);
    let pairs = old.iter().zip(&new);
    let drifted: Vec<f64> = pairs.map(|(a, b)| 0.8 * a + 0.2 * b).collect();
    let drifted = Demand::new(128, &drifted, &speeds);
    let note = if straggler {
        ", one rank at half speed"
    } else {
        ""
    };
    println!("\n{ranks} ranks x 128 experts x 60 layers, {slots} slots a rank{note}");
    let (times, greedy) = timed(|| pack_greedily(&layout, &demand).expect("layout fits"));
    print_row("greedy packing", &layout, &demand, &times, &greedy, 0);
    let (times, map) = timed(|| place(&layout, &demand).expect("layout fits"));
    print_row("place from scratch", &layout, &demand, &times, &map, 0);
    print_row("  kept after drift", &layout, &drifted, &[0.0], &map, 0);
    let (times, packed) = timed(|| pack_greedily(&layout, &drifted).expect("layout fits"));
    let moved = packed.moved(&greedy, &layout);
    print_row(
        "  greedy after drift",
        &layout,
        &drifted,
        &times,
        &packed,
        moved,
    );
    let limits = Limits {
        moves: u64::MAX,
        staged: u64::MAX,
        price: 0.0,
    };
    let (times, next) = timed(|| improve_map(&layout, &drifted, &map, &limits));
    let moved = next.moved(&map, &layout);
    print_row(
        "  improved after drift",
        &layout,
        &drifted,
        &times,
        &next,
        moved,
    );
    let bounds = Bounds::new(&speeds, layout.width());
    let (times, _) = timed(|| (0..60).map(|l| bounds.layer(drifted.layer(l))).sum::<f64>());
    println!(
        "  bound alone            {:7.2} ms median",
        quantile(&times, 0.5)
    );
}

fn main() {
    println!("plan time: min median max of {RUNS}, one core");
    for (ranks, slots, straggler) in [
        (256, 1, false),
        (256, 2, false),
        (256, 2, true),
        (64, 3, false),
        (64, 3, true),
        (32, 5, false),
        (12, 12, false),
        (12, 12, true),
    ] {
        print_plans(ranks, slots, straggler);
    }
    for (ranks, slots) in [(12, 12), (64, 3)] {
        print_scenarios(ranks, slots);
    }
}
