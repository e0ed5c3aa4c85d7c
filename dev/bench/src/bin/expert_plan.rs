//! Expert placement: distance from the bound, plan time and cost of rebalancing.
//!
//! Three ways of placing run against the same popularity: a static map, greedy
//! balanced packing with replication recomputed on a period, and the planner.

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

/// Timed runs of each plan.
const RUNS: usize = 9;

/// Time between two reports of the ranks.
const TICK: Duration = Duration::from_secs(10);

/// Ticks that a scenario lasts: two hours.
const TICKS: u64 = 720;

/// Ticks between two packings of the greedy baseline.
const GREEDY_PERIOD: u64 = 6;

/// Tokens routed in a layer during a tick.
const TICK_TOKENS: f64 = 400_000.0;

/// Layers in the scenarios.
const SCENARIO_LAYERS: u16 = 16;

/// Bytes that rebalancing may move in an hour.
const HOURLY: u64 = 64 << 30;

/// Exponent of the popularity by rank of an expert.
const ZIPF: f64 = 0.8;

/// Plan time that is aimed for, milliseconds.
const PLAN_GOAL_MS: f64 = 50.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Shift {
    Steady,
    Drifting,
    Bursty,
    Adversarial,
    Straggler,
    Stall,
}

/// True popularity and speeds of one scenario.
struct Truth {
    shift: Shift,
    layout: Layout,
    base: Vec<f64>,
    goal: Vec<f64>,
}

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
        all.extend(order.iter().map(|r| ((r + 1) as f64).powf(-ZIPF)));
    }
    all
}

impl Truth {
    fn new(shift: Shift, layout: Layout, rng: &mut ChaCha8Rng) -> Self {
        let base = zipf(&layout, rng);
        let goal = zipf(&layout, rng);
        Self {
            shift,
            layout,
            base,
            goal,
        }
    }

    fn weights(&self, tick: u64) -> Vec<f64> {
        let mix = match self.shift {
            Shift::Steady | Shift::Straggler | Shift::Stall => 0.0,
            Shift::Drifting => tick as f64 / TICKS as f64,
            // A burst of 20 s every 5 minutes.
            Shift::Bursty if (10..12).contains(&(tick % 30)) => 0.8,
            Shift::Bursty => 0.0,
            // Swaps back and forth each 4 minutes, about when a planner has followed.
            Shift::Adversarial => f64::from(u8::from((tick / 24) % 2 == 1)),
        };
        let pairs = self.base.iter().zip(&self.goal);
        pairs.map(|(b, g)| b * (1.0 - mix) + g * mix).collect()
    }

    fn speeds(&self, tick: u64) -> Vec<f64> {
        let mut speeds = vec![1.0; self.layout.ranks.len()];
        match self.shift {
            Shift::Straggler if tick >= 120 => speeds[1] = 0.6,
            // Two ticks at a tenth of the speed, every 10 minutes.
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

/// Draws counts with the spread of sampling.
fn sample(demand: &Demand, rng: &mut ChaCha8Rng) -> Vec<u32> {
    let draw = |load: &f64| {
        let mean = load * TICK_TOKENS;
        // Sum of uniform draws: close to a normal deviate.
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        (mean + normal * mean.sqrt()).max(0.0) as u32
    };
    demand.loads.iter().map(draw).collect()
}

fn record(tally: &mut Tally, truth: &Truth, demand: &Demand, map: &ExpertMap) {
    let forecast = demand.forecast(&truth.layout, map);
    tally.imbalance.push(forecast.imbalance());
    tally.skew.push(forecast.skew());
}

fn switch(tally: &mut Tally, layout: &Layout, map: &mut ExpertMap, next: ExpertMap) {
    tally.moved += next.moved(map, layout) as u64;
    tally.switches += u64::from(next != *map);
    *map = next;
}

fn run_static(truth: &Truth) -> Tally {
    let map = place(&truth.layout, &truth.demand(0)).expect("layout fits");
    let mut tally = Tally::default();
    for tick in 0..TICKS {
        record(&mut tally, truth, &truth.demand(tick), &map);
    }
    tally
}

fn run_greedy(truth: &Truth) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut map = pack_greedily(&truth.layout, &truth.demand(0)).expect("layout fits");
    let mut tally = Tally::default();
    let mut counts = vec![0.0; truth.base.len()];
    for tick in 0..TICKS {
        let demand = truth.demand(tick);
        record(&mut tally, truth, &demand, &map);
        let drawn = sample(&demand, &mut rng);
        counts
            .iter_mut()
            .zip(drawn)
            .for_each(|(sum, c)| *sum += f64::from(c));
        if tick % GREEDY_PERIOD == GREEDY_PERIOD - 1 {
            let ranks = vec![1.0; truth.layout.ranks.len()];
            let estimate = Demand::new(usize::from(truth.layout.experts), &counts, &ranks);
            let next = pack_greedily(&truth.layout, &estimate).expect("layout fits");
            switch(&mut tally, &truth.layout, &mut map, next);
            counts.fill(0.0);
        }
    }
    tally
}

fn observe(planner: &mut Planner, truth: &Truth, tick: u64, map: &ExpertMap, rng: &mut ChaCha8Rng) {
    let demand = truth.demand(tick);
    let at = Time::ZERO + TICK * tick as u32;
    // One report in ten is lost.
    if !rng.random_bool(0.1) {
        planner.observe_tokens(&TokenCounts {
            reporter: (tick % truth.layout.ranks.len() as u64) as u16,
            sequence: tick + 1,
            at,
            tokens: sample(&demand, rng),
        });
    }
    let mut work = vec![0.0; truth.layout.ranks.len()];
    let mut busy = vec![0.0; truth.layout.ranks.len()];
    for layer in 0..usize::from(truth.layout.layers) {
        for (rank, time) in demand
            .rank_times(&truth.layout, map, layer)
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

fn run_planner(truth: &Truth, reasons: &mut std::collections::BTreeMap<String, u32>) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut map = place(&truth.layout, &truth.demand(0)).expect("layout fits");
    let policy = PlanPolicy::default();
    let mut planner = Planner::new(truth.layout.clone(), policy).expect("layout fits");
    let mut tally = Tally::default();
    let mut budget = Budget::default();
    let group = GroupName::from("group");
    for tick in 0..TICKS {
        record(&mut tally, truth, &truth.demand(tick), &map);
        observe(&mut planner, truth, tick, &map, &mut rng);
        let now = Time::ZERO + TICK * tick as u32;
        let conditions = Conditions {
            allowance: budget.allowance(&group, HOURLY, now),
            ..Conditions::default()
        };
        match planner.evaluate(now, &map, conditions) {
            Verdict::Propose(plan) => {
                let cost = PlanCost {
                    id: OrderId::from(format!("plan-{tick}")),
                    bytes: plan.bytes,
                };
                assert!(
                    budget.spend(&group, HOURLY, &cost, now),
                    "within the allowance"
                );
                switch(&mut tally, &truth.layout, &mut map, plan.map);
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
    let won = (mean(&base.skew) - mean(&tally.skew)) * 100.0;
    let price = if won > 0.05 {
        format!("{:.2}", bytes / won)
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

fn scenarios(ranks: u16, slots: u16) {
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
        let truth = Truth::new(shift, layout.clone(), &mut rng);
        let mut reasons = std::collections::BTreeMap::new();
        let base = run_static(&truth);
        let planned = run_planner(&truth, &mut reasons);
        println!(" {shift:?}, looks declined: {reasons:?}");
        report("static", &base, &base);
        report("greedy", &run_greedy(&truth), &base);
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

fn line(
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
        if median < PLAN_GOAL_MS {
            "in goal "
        } else {
            "OVER    "
        },
        forecast.imbalance(),
        (forecast.skew() - 1.0) * 100.0,
    );
}

fn plans(ranks: u16, slots: u16, straggler: bool) {
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
    line("greedy packing", &layout, &demand, &times, &greedy, 0);
    let (times, map) = timed(|| place(&layout, &demand).expect("layout fits"));
    line("place from nothing", &layout, &demand, &times, &map, 0);
    line("  kept after drift", &layout, &drifted, &[0.0], &map, 0);
    let (times, packed) = timed(|| pack_greedily(&layout, &drifted).expect("layout fits"));
    let moved = packed.moved(&greedy, &layout);
    line(
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
    line(
        "  changed after drift",
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
        plans(ranks, slots, straggler);
    }
    for (ranks, slots) in [(12, 12), (64, 3)] {
        scenarios(ranks, slots);
    }
}
