//! Time from a shift of demand to the decision to change the map.
//!
//! Load patterns: demand shifts every few seconds in a group whose counts are read over relays;
//! steady demand whose counts are noisy.

use std::time::Duration;

use pimentotide_experts::{
    EvenLayout, ExpertDemand, Placement, RELAYED_WINDOW, Urgency, imbalance_even, plan_even,
};
use pimentotide_model::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between reads of the counts of a large group.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time in which the counts of all ranks arrive, an assumption.
const READ: Duration = Duration::from_millis(30);
/// Choices per expert and ms; 60 ms have enough for a plan.
const CHOICES: f64 = 4.0;
const LAYOUT: EvenLayout = EvenLayout {
    ranks: 24,
    experts: 72,
    places: 4,
    spare: 2,
    copies: 8,
};
const LAYERS: usize = 2;

fn round_robin() -> Placement {
    let rank = |r: usize| (0..LAYOUT.experts).filter(move |e| e % LAYOUT.ranks == r);
    let layer = (0..LAYOUT.ranks).map(|r| rank(r).map(|e| e as u16).collect());
    vec![layer.collect(); LAYERS]
}

/// Share of each expert in the choices of its layer, by a power law in a shuffled order.
fn shares(shift: usize) -> Vec<f64> {
    let place = |l: usize, e: usize| (e * 31 + shift * 17 + l * 7) % LAYOUT.experts;
    let weight = |l: usize, e: usize| (1.0 + place(l, e) as f64).powf(-0.8);
    (0..LAYERS)
        .flat_map(|l| {
            let sum: f64 = (0..LAYOUT.experts).map(|e| weight(l, e)).sum();
            (0..LAYOUT.experts).map(move |e| weight(l, e) / sum)
        })
        .collect()
}

/// Placement that is balanced for a demand.
fn settled(shares: &[f64]) -> Placement {
    let changes = 0..4;
    changes.fold(round_robin(), |placement, _| {
        plan_even(&LAYOUT, &placement, shares, &[], 1.1).placement
    })
}

/// Choices within `length`, with the noise of independent choices.
fn draw(shares: &[f64], length: Duration, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let total = CHOICES * LAYOUT.experts as f64 * length.as_secs_f64() * 1e3;
    let noisy = shares.iter().map(|share| {
        let mean = share * total;
        // The sum of twelve uniform draws is close to a normal one of variance 1.
        let normal: f64 = (0..12).map(|_| rng.random_range(-0.5..0.5)).sum();
        (mean + normal * mean.sqrt()).max(0.0)
    });
    noisy.collect()
}

/// Time from a shift, `after` ms after a sample, to an urgent change, and the samples taken.
fn reaction(after: u64, seed: u64) -> (Duration, u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (old, new) = (shares(0), shares(1));
    let placement = settled(&old);
    let mut demand = ExpertDemand::default();
    let mut now = Duration::ZERO;
    for _ in 0..8 {
        now += INTERVAL;
        demand.observe(&draw(&old, INTERVAL, &mut rng), Time::ZERO + now);
    }
    let shift = now + Duration::from_millis(after);
    for samples in 1.. {
        let end = now + demand.next_sample(INTERVAL);
        let before = shift.clamp(now, end) - now;
        let mut counts = draw(&old, before, &mut rng);
        let since = draw(&new, end - now - before, &mut rng);
        counts.iter_mut().zip(since).for_each(|(c, s)| *c += s);
        demand.observe(&counts, Time::ZERO + end);
        // The next sample begins where this one has been read.
        now = end;
        let imbalance = demand.counts().map_or(1.0, |counts| {
            imbalance_even(&LAYOUT, &placement, &counts, &[])
        });
        if Urgency::of(imbalance, demand.span(), RELAYED_WINDOW) == Some(Urgency::Urgent) {
            return (now + READ - shift, samples);
        }
        assert!(samples < 100, "no change");
    }
    unreachable!("samples do not end");
}

#[test]
fn shift_of_demand_is_answered_soon_and_with_few_more_samples() {
    let runs = (0..200).step_by(5).map(|after| reaction(after, after));
    let (times, samples): (Vec<Duration>, Vec<u32>) = runs.unzip();
    let longest = times.iter().max().unwrap();
    let mean = times.iter().sum::<Duration>() / times.len() as u32;
    assert!(mean <= Duration::from_millis(230), "mean {mean:?}");
    assert!(*longest <= Duration::from_millis(330), "{longest:?}");
    assert!(samples.iter().all(|s| *s <= 3), "{samples:?}");
}

#[test]
fn steady_demand_with_noise_causes_neither_early_samples_nor_a_change() {
    let demanded = shares(0);
    let placement = settled(&demanded);
    let (mut early, mut changes, mut highest) = (0, 0, 1.0_f64);
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut demand = ExpertDemand::default();
        let mut now = Time::ZERO;
        for sample in 0..100_u64 {
            // Every seventh time a pass or two are missing from the counts.
            let length = if sample % 7 == 0 {
                INTERVAL / 4
            } else {
                INTERVAL
            };
            now += INTERVAL;
            demand.observe(&draw(&demanded, length, &mut rng), now);
            early += u32::from(demand.next_sample(INTERVAL) < INTERVAL);
            if let Some(counts) = demand.counts() {
                let imbalance = imbalance_even(&LAYOUT, &placement, &counts, &[]);
                highest = highest.max(imbalance);
                changes +=
                    u32::from(Urgency::of(imbalance, demand.span(), RELAYED_WINDOW).is_some());
            }
        }
    }
    assert_eq!((early, changes), (0, 0), "highest imbalance {highest}");
}

/// Load pattern: demand that drifts all the time, so that every sample differs from the window.
#[test]
fn drifting_demand_costs_a_bounded_number_of_samples() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut demand = ExpertDemand::default();
    let (mut now, mut samples) = (Duration::ZERO, 0);
    while now < Duration::from_secs(20) {
        let length = demand.next_sample(INTERVAL);
        now += length;
        samples += 1;
        let counts = draw(&shares(samples), length, &mut rng);
        demand.observe(&counts, Time::ZERO + now);
    }
    // 100 samples without early ones.
    assert!(samples <= 160, "{samples}");
}

#[test]
fn early_samples_end_if_choices_stay_too_few() {
    let mut demand = ExpertDemand::default();
    let mut now = Time::ZERO;
    let mut observe = |counts: &[f64], demand: &mut ExpertDemand| {
        now += INTERVAL;
        demand.observe(counts, now);
        demand.next_sample(INTERVAL)
    };
    observe(&[900.0, 100.0], &mut demand);
    observe(&[500.0, 500.0], &mut demand);
    let intervals = [(); 8].map(|()| observe(&[5.0, 5.0], &mut demand).as_millis());
    assert_eq!(intervals, [60, 60, 200, 60, 60, 60, 200, 60]);
}

#[test]
fn small_groups_are_sampled_no_less_often_than_without_a_shift() {
    let mut demand = ExpertDemand::default();
    demand.observe(&[900.0, 100.0], Time::ZERO);
    demand.observe(&[500.0, 500.0], Time::from_millis(50));
    let short = Duration::from_millis(50);
    assert_eq!(demand.next_sample(short), short);
}
