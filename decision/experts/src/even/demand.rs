//! Recent demand for experts, summed over the ranks.
//!
//! Demand shifts abruptly: a sample differs little from the ones before it or a
//! lot. The sample in which a shift is detected mixes the old and the new demand,
//! so the window starts over with the next one. If the sample before it differed
//! somewhat, demand had shifted near its end, and the later one is not mixed.
//!
//! While a shift is suspected, the next sample is due early.

use std::collections::VecDeque;
use std::time::Duration;

use pimentotide_model::Time;

/// Length of the sliding window; demand shifts within seconds.
const WINDOW: Duration = Duration::from_millis(1_200);
/// Mean number of choices per expert below which no plan is made.
const MIN_CHOICES_PER_EXPERT: f64 = 200.0;
/// Share of the choices that went to other experts than before from which demand has shifted.
const SHIFT_RATIO: f64 = 0.15;
/// The same from which a shift is suspected; noise of [`MIN_CHOICES_PER_EXPERT`] is about 0.04.
const SUSPECT_RATIO: f64 = 0.08;
/// Time until an early sample.
const EARLY_INTERVAL: Duration = Duration::from_millis(60);
/// Early samples after a shift until there are enough choices for a plan.
///
/// One at the usual time follows, so that steadily drifting demand costs about twice the messages.
const MAX_EARLY_SAMPLES: u32 = 3;

/// Expert choices within a sliding window that holds no shift of demand.
#[derive(Debug, Default)]
pub struct ExpertDemand {
    recent: VecDeque<Sample>,
    len: usize,
    /// End of the last sample.
    observed_at: Option<Time>,
    /// Whether the newest sample mixes two demands.
    mixed: bool,
    /// Whether the newest sample differs somewhat from the window.
    suspected: bool,
    /// Whether demand has shifted and there are too few choices since.
    unsettled: bool,
    /// Number of consecutive early samples.
    early: u32,
}

#[derive(Debug)]
struct Sample {
    start: Time,
    end: Time,
    counts: Vec<f64>,
}

impl ExpertDemand {
    /// Adds the choices of all ranks since the previous sample, layer after layer.
    pub fn observe(&mut self, counts: &[f64], now: Time) {
        let start = self.observed_at.replace(now).unwrap_or(now);
        self.len = self.len.max(counts.len());
        let moved = self.moved(counts).filter(|_| !self.mixed);
        let is_shift = moved.is_some_and(|ratio| ratio > SHIFT_RATIO);
        if is_shift || self.mixed {
            self.recent.clear();
        }
        self.early = if self.is_early_due() {
            self.early + 1
        } else {
            0
        };
        self.mixed = is_shift && !self.suspected;
        self.suspected = !is_shift && moved.is_some_and(|ratio| ratio > SUSPECT_RATIO);
        self.recent.push_back(Sample {
            start,
            end: now,
            counts: counts.to_vec(),
        });
        let is_expired = |sample: &Sample| now.since(sample.end) > WINDOW;
        while self.recent.front().is_some_and(is_expired) {
            self.recent.pop_front();
        }
        self.unsettled = (self.unsettled || is_shift) && self.counts().is_none();
    }

    /// Time until the next sample, which is `interval` unless a shift is suspected.
    pub fn next_sample(&self, interval: Duration) -> Duration {
        if self.is_early_due() {
            interval.min(EARLY_INTERVAL)
        } else {
            interval
        }
    }

    fn is_early_due(&self) -> bool {
        (self.unsettled || self.suspected) && self.early < MAX_EARLY_SAMPLES
    }

    /// Time that the window covers.
    pub fn span(&self) -> Duration {
        let ends = self.recent.front().zip(self.recent.back());
        ends.map_or(Duration::ZERO, |(first, last)| last.end.since(first.start))
    }

    /// Number of experts over all layers, from the longest sample so far.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no counts have been observed yet.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Choices of each expert within the window, layer after layer.
    ///
    /// `None` if there are too few for a plan, or if the newest sample mixes two demands.
    pub fn counts(&self) -> Option<Vec<f64>> {
        let sum = self.sum();
        (!self.mixed && has_enough_choices(&sum)).then_some(sum)
    }

    /// Discards the window, after a change of the group.
    pub fn restart(&mut self) {
        self.recent.clear();
        self.observed_at = None;
        self.mixed = false;
        self.suspected = false;
        self.unsettled = false;
        self.early = 0;
    }

    fn sum(&self) -> Vec<f64> {
        let mut sum: Vec<f64> = Vec::new();
        for Sample { counts, .. } in &self.recent {
            sum.resize(sum.len().max(counts.len()), 0.0);
            for (sum, count) in sum.iter_mut().zip(counts) {
                *sum += count;
            }
        }
        sum
    }

    /// Share of the choices in `counts` that went to other experts than those of the window.
    ///
    /// `None` if there are too few choices.
    fn moved(&self, counts: &[f64]) -> Option<f64> {
        let window = self.sum();
        if !has_enough_choices(counts) || !has_enough_choices(&window) {
            return None;
        }
        let (old, new) = (window.iter().sum::<f64>(), counts.iter().sum::<f64>());
        let pairs = window.iter().zip(counts);
        let moved: f64 = pairs.map(|(o, n)| (o / old - n / new).abs()).sum();
        Some(moved / 2.0)
    }
}

fn has_enough_choices(counts: &[f64]) -> bool {
    let total: f64 = counts.iter().sum();
    total > 0.0 && total >= MIN_CHOICES_PER_EXPERT * counts.len() as f64
}
