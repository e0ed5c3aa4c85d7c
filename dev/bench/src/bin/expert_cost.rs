//! Cost of loading weights: shares of the store's rate, and copies from peers.
//!
//! Cold starts and rebalances of three coordinators load from one store. Leased
//! shares run against a fixed split by coordinator and against leases that give
//! cold starts no priority over rebalances.

use std::time::Duration;

use pimentotide_experts::{
    Budget, Demand, LEASE, LEASE_MARGIN, Layout, LeaseRequest, Limits, Purpose, Source, cold_loads,
    improve_map, place, sources,
};
use pimentotide_model::{OrderId, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Seed of all random draws.
const SEED: u64 = 7_340_033;

/// Rate of the store, in bytes per second.
const STORE_RATE: u64 = 1 << 30;

/// Highest rate of one load, in bytes per second.
const MAX_LOAD_RATE: u64 = 512 << 20;

/// Number of coordinators that share the store.
const COORDINATORS: u64 = 3;

/// Length of a run in virtual time; loads in progress still finish.
const RUN_TIME: Duration = Duration::from_secs(2 * 3600);

/// Step of virtual time.
const TICK: Duration = Duration::from_millis(250);

/// Time before its end at which a lease is renewed.
const RENEW_MARGIN: Duration = Duration::from_secs(1);

/// Method of sharing the rate of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sharing {
    Leased,
    NoPriority,
    FixedSplit,
}

/// One load of weights; `left` is in bytes.
struct Job {
    id: OrderId,
    purpose: Purpose,
    coordinator: u64,
    start: Time,
    left: f64,
    rate: u64,
    until: Time,
}

/// Figures collected over one run; times in seconds.
#[derive(Default)]
struct Tally {
    cold: Vec<f64>,
    moves: Vec<f64>,
    peak: u64,
    served: f64,
}

fn arrivals(rng: &mut ChaCha8Rng, moves: f64) -> Vec<Job> {
    let mut jobs = Vec::new();
    let mut job = |start: Time, purpose, gib: f64, coordinator| {
        jobs.push(Job {
            id: OrderId::from(format!("load-{}", jobs.len())),
            purpose,
            coordinator,
            start,
            left: gib * f64::from(1 << 30),
            rate: 0,
            until: Time::ZERO,
        });
    };
    for second in (0..RUN_TIME.as_secs()).step_by(10) {
        let start = Time::ZERO + Duration::from_secs(second);
        if rng.random_bool(0.10) {
            let coordinator = rng.random_range(0..COORDINATORS);
            job(
                start,
                Purpose::ColdStart,
                rng.random_range(15.0..40.0),
                coordinator,
            );
        }
        if rng.random_bool(moves) {
            let coordinator = rng.random_range(0..COORDINATORS);
            job(
                start,
                Purpose::Rebalance,
                rng.random_range(4.0..16.0),
                coordinator,
            );
        }
        // A zone returns: four simultaneous cold starts every half hour.
        if second % 1800 == 900 {
            (0..4).for_each(|n| job(start, Purpose::ColdStart, 30.0, n % COORDINATORS));
        }
    }
    jobs
}

fn grant(sharing: Sharing, budget: &mut Budget, job: &mut Job, share: u64, now: Time) {
    if sharing == Sharing::FixedSplit {
        job.rate = MAX_LOAD_RATE.min(share);
        job.until = now + LEASE;
        return;
    }
    let purpose = if sharing == Sharing::Leased {
        job.purpose
    } else {
        Purpose::Rebalance
    };
    let request = LeaseRequest {
        id: job.id.clone(),
        purpose,
        rate: MAX_LOAD_RATE,
    };
    let due = job.until < now + RENEW_MARGIN;
    if let Some(lease) = due.then(|| budget.lease(&request, now)).flatten() {
        job.rate = lease.rate;
        job.until = lease.until - LEASE_MARGIN;
    }
}

fn run(sharing: Sharing, moves: f64) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut waiting = arrivals(&mut rng, moves);
    waiting.reverse();
    let mut budget = Budget::default();
    budget.set_rate(STORE_RATE);
    let mut active: Vec<Job> = Vec::new();
    let mut tally = Tally::default();
    let mut now = Time::ZERO;
    while now < Time::ZERO + RUN_TIME || !active.is_empty() {
        while waiting.last().is_some_and(|j| j.start <= now) {
            active.extend(waiting.pop());
        }
        let mut counts = [0_u64; COORDINATORS as usize];
        active
            .iter()
            .for_each(|j| counts[j.coordinator as usize] += 1);
        let mut used = 0;
        for job in &mut active {
            let share = STORE_RATE / COORDINATORS / counts[job.coordinator as usize];
            grant(sharing, &mut budget, job, share, now);
            if job.until > now {
                used += job.rate;
                job.left -= job.rate as f64 * TICK.as_secs_f64();
            }
        }
        tally.peak = tally.peak.max(used);
        tally.served += used as f64 * TICK.as_secs_f64();
        now += TICK;
        active.retain(|job| {
            if job.left > 0.0 {
                return true;
            }
            budget.release(&job.id);
            let took = now.since(job.start).as_secs_f64();
            match job.purpose {
                Purpose::ColdStart => tally.cold.push(took),
                Purpose::Rebalance => tally.moves.push(took),
            }
            false
        });
    }
    tally
}

fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * part).round() as usize]
}

fn print_shares(moves: f64) {
    println!(
        "store of 1 GiB/s, {COORDINATORS} coordinators, 2 h, {:.0} rebalances/h; time to load in s",
        moves * 360.0
    );
    println!(
        "{:12} {:>9} {:>9} {:>9} {:>9} {:>11}",
        "way", "cold p50", "cold p99", "move p50", "move p99", "peak/rate"
    );
    for sharing in [Sharing::Leased, Sharing::NoPriority, Sharing::FixedSplit] {
        let mut tally = run(sharing, moves);
        println!(
            "{:12} {:9.1} {:9.1} {:9.1} {:9.1} {:11.3}",
            format!("{sharing:?}"),
            quantile(&mut tally.cold, 0.5),
            quantile(&mut tally.cold, 0.99),
            quantile(&mut tally.moves, 0.5),
            quantile(&mut tally.moves, 0.99),
            tally.peak as f64 / STORE_RATE as f64,
        );
    }
}

fn print_sources(ranks: u16, slots: u16) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let layout = Layout::uniform(60, 128, ranks, slots, 8);
    let mut draw = || -> Vec<f64> {
        let weights = (0..60 * 128).map(|_| rng.random::<f64>().powi(4));
        weights.collect()
    };
    let speeds = vec![1.0; usize::from(ranks)];
    let demand = Demand::new(128, &draw(), &speeds);
    let map = place(&layout, &demand).expect("layout fits");
    let shifted = Demand::new(128, &draw(), &speeds);
    let limits = Limits {
        moves: 500,
        staged: 200,
        price: 0.0,
    };
    let next = improve_map(&layout, &shifted, &map, &limits);
    let moves = sources(&layout, &map, &next, &speeds);
    let cold = cold_loads(&layout, &map, 1, &[]);
    let store = |loads: &[pimentotide_experts::Load]| {
        loads.iter().filter(|l| l.source == Source::Store).count()
    };
    println!(
        "{ranks:>4} ranks: rebalance {} loads, {} from the store; one rank starts cold: {} loads, {} from the store",
        moves.len(),
        store(&moves),
        cold.len(),
        store(&cold),
    );
}

fn main() {
    print_shares(0.25);
    print_shares(0.6);
    println!();
    for (ranks, slots) in [(12, 12), (64, 3), (256, 2)] {
        print_sources(ranks, slots);
    }
}
