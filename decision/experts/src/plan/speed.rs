//! Speed of each rank from step times that arrive late and with gaps.
//!
//! Samples fall into buckets by the time at which they were taken. A rank's
//! speed is the median over several buckets of the median within each, so a
//! stall shorter than half of the buckets changes nothing, and a straggler that
//! stays one shows after that time.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::Time;
use serde::{Deserialize, Serialize};

/// Length of a bucket.
const BUCKET: Duration = Duration::from_secs(10);

/// Buckets that a speed is read from.
const BUCKETS: usize = 7;

/// Buckets with samples below which the last known speed stands.
const LEAST_BUCKETS: usize = 4;

/// Samples kept in a bucket.
const BUCKET_SAMPLES: usize = 31;

/// Age in buckets at which samples no longer count.
const MAX_AGE: u64 = 2 * BUCKETS as u64;

/// Difference from an ordinary speed that is taken for noise.
const DEAD_BAND: f64 = 0.06;

/// Step of reported speeds.
const SPEED_STEP: f64 = 0.05;

/// Lowest speed that a rank is planned with.
const LEAST_SPEED: f64 = 0.05;

/// Time that one rank took for the work of one step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepSample {
    /// Rank.
    pub rank: u16,
    /// When the step ended.
    pub at: Time,
    /// Tokens that the rank's experts took, over all layers.
    pub work: u64,
    /// Time that the rank computed, without waiting for others.
    pub busy: Duration,
}

/// Step times of all ranks.
#[derive(Clone, Debug)]
pub struct Speeds {
    ranks: Vec<History>,
}

#[derive(Clone, Debug, Default)]
struct History {
    buckets: BTreeMap<u64, Vec<f64>>,
    known: Option<f64>,
}

impl History {
    fn add(&mut self, bucket: u64, speed: f64) {
        let newest = self.buckets.keys().next_back().copied().unwrap_or(0);
        if bucket + MAX_AGE < newest {
            return;
        }
        let samples = self.buckets.entry(bucket).or_default();
        if samples.len() < BUCKET_SAMPLES {
            samples.push(speed);
        }
        while self.buckets.len() > BUCKETS {
            self.buckets.pop_first();
        }
    }

    fn read(&mut self, now: u64) -> Option<f64> {
        let recent = self.buckets.range(now.saturating_sub(MAX_AGE)..);
        let mut medians: Vec<f64> = recent.map(|(_, s)| median(&mut s.clone())).collect();
        if medians.len() >= LEAST_BUCKETS {
            self.known = Some(median(&mut medians));
        }
        self.known
    }
}

impl Speeds {
    /// Starts with all of `ranks` at ordinary speed.
    pub fn new(ranks: usize) -> Self {
        Self {
            ranks: vec![History::default(); ranks],
        }
    }

    /// Takes in the time of one step; false if it says nothing about the speed.
    pub fn observe(&mut self, sample: &StepSample) -> bool {
        let Some(history) = self.ranks.get_mut(usize::from(sample.rank)) else {
            return false;
        };
        if sample.work == 0 || sample.busy.is_zero() {
            return false;
        }
        let speed = sample.work as f64 / sample.busy.as_secs_f64();
        history.add(bucket_of(sample.at), speed);
        true
    }

    /// Forgets a rank that has been replaced.
    pub fn reset(&mut self, rank: u16) {
        if let Some(history) = self.ranks.get_mut(usize::from(rank)) {
            *history = History::default();
        }
    }

    /// Speeds of all ranks, 1.0 for the median one and for those not known.
    pub fn read(&mut self, now: Time) -> Vec<f64> {
        let bucket = bucket_of(now);
        let raw: Vec<Option<f64>> = self.ranks.iter_mut().map(|h| h.read(bucket)).collect();
        let mut known: Vec<f64> = raw.iter().flatten().copied().collect();
        if known.is_empty() {
            return vec![1.0; raw.len()];
        }
        let ordinary = median(&mut known);
        let relative = |speed: Option<f64>| speed.map_or(1.0, |s| rounded(s / ordinary));
        raw.into_iter().map(relative).collect()
    }
}

fn bucket_of(at: Time) -> u64 {
    at.as_micros() / BUCKET.as_micros() as u64
}

fn rounded(speed: f64) -> f64 {
    if (speed - 1.0).abs() < DEAD_BAND {
        return 1.0;
    }
    ((speed / SPEED_STEP).round() * SPEED_STEP).max(LEAST_SPEED)
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
