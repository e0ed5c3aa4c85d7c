//! Speed of each rank from step times that may be late or lost.
//!
//! Samples are grouped into buckets by the time at which they were taken. A
//! rank's speed is the median over several buckets of the median within each, so
//! a stall shorter than half of the buckets has no effect, and a persistent
//! straggler is detected after that time.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::Time;
use serde::{Deserialize, Serialize};

/// Length of a bucket.
const BUCKET_LENGTH: Duration = Duration::from_secs(10);

/// Maximum number of buckets that a speed is computed from.
const MAX_BUCKETS: usize = 7;

/// Number of buckets with samples below which the last computed speed is kept.
const MIN_BUCKETS: usize = 4;

/// Maximum number of samples in a bucket.
const MAX_BUCKET_SAMPLES: usize = 31;

/// Age in buckets above which samples are ignored.
const MAX_AGE: u64 = 2 * MAX_BUCKETS as u64;

/// Deviation from the median speed that is treated as noise.
const DEAD_BAND: f64 = 0.06;

/// Resolution of reported speeds.
const SPEED_STEP: f64 = 0.05;

/// Minimum speed that a rank is planned with.
const MIN_SPEED: f64 = 0.05;

/// Work and time of one rank in one step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepSample {
    /// Rank that computed the step.
    pub rank: u16,
    /// Time at which the step ended.
    pub at: Time,
    /// Tokens that the rank's experts processed, over all layers.
    pub work: u64,
    /// Computing time of the rank, without waits for other ranks.
    pub busy: Duration,
}

/// Recent step times of all ranks.
#[derive(Clone, Debug)]
pub struct Speeds {
    ranks: Vec<History>,
}

#[derive(Clone, Debug, Default)]
struct History {
    buckets: BTreeMap<u64, Vec<f64>>,
    last_speed: Option<f64>,
}

impl History {
    fn add(&mut self, bucket: u64, speed: f64) {
        let newest = self.buckets.keys().next_back().copied().unwrap_or(0);
        if bucket + MAX_AGE < newest {
            return;
        }
        let samples = self.buckets.entry(bucket).or_default();
        if samples.len() < MAX_BUCKET_SAMPLES {
            samples.push(speed);
        }
        while self.buckets.len() > MAX_BUCKETS {
            self.buckets.pop_first();
        }
    }

    fn read(&mut self, now: u64) -> Option<f64> {
        let recent = self.buckets.range(now.saturating_sub(MAX_AGE)..);
        let mut medians: Vec<f64> = recent.map(|(_, s)| median(&mut s.clone())).collect();
        if medians.len() >= MIN_BUCKETS {
            self.last_speed = Some(median(&mut medians));
        }
        self.last_speed
    }
}

impl Speeds {
    /// Creates an estimate for `ranks` ranks, all at speed 1.0.
    pub fn new(ranks: usize) -> Self {
        Self {
            ranks: vec![History::default(); ranks],
        }
    }

    /// Adds the time of one step; false if the rank is unknown, or the work or time is zero.
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

    /// Discards the samples of a rank that has been replaced.
    pub fn reset(&mut self, rank: u16) {
        if let Some(history) = self.ranks.get_mut(usize::from(rank)) {
            *history = History::default();
        }
    }

    /// Speeds of all ranks relative to the median; 1.0 for ranks with too few samples.
    pub fn read(&mut self, now: Time) -> Vec<f64> {
        let bucket = bucket_of(now);
        let raw: Vec<Option<f64>> = self.ranks.iter_mut().map(|h| h.read(bucket)).collect();
        let mut known: Vec<f64> = raw.iter().flatten().copied().collect();
        if known.is_empty() {
            return vec![1.0; raw.len()];
        }
        let median_speed = median(&mut known);
        let relative = |speed: Option<f64>| speed.map_or(1.0, |s| rounded(s / median_speed));
        raw.into_iter().map(relative).collect()
    }
}

fn bucket_of(at: Time) -> u64 {
    at.as_micros() / BUCKET_LENGTH.as_micros() as u64
}

fn rounded(speed: f64) -> f64 {
    if (speed - 1.0).abs() < DEAD_BAND {
        return 1.0;
    }
    ((speed / SPEED_STEP).round() * SPEED_STEP).max(MIN_SPEED)
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
