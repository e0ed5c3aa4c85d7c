//! Recent demand for experts, summed over the ranks.
//!
//! Demand shifts abruptly: a sample differs little from the ones before it or a
//! lot. The sample in which a shift is detected mixes the old and the new demand,
//! so the window starts over with the next one.

use std::collections::VecDeque;
use std::time::Duration;

use pimentotide_model::Time;

/// Length of the sliding window; demand shifts within seconds.
const WINDOW: Duration = Duration::from_millis(1_200);
/// Mean number of choices per expert below which no plan is made.
const MIN_CHOICES_PER_EXPERT: f64 = 200.0;
/// Share of the choices that went to other experts than before from which demand has shifted.
const SHIFT_RATIO: f64 = 0.15;

/// Expert choices within a sliding window that holds no shift of demand.
#[derive(Debug, Default)]
pub struct ExpertDemand {
    recent: VecDeque<Sample>,
    len: usize,
    /// End of the last sample.
    observed_at: Option<Time>,
    /// Whether the newest sample mixes two demands.
    mixed: bool,
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
        let is_shift = !self.mixed && has_enough_choices(counts) && self.has_shifted(counts);
        if is_shift || self.mixed {
            self.recent.clear();
        }
        self.mixed = is_shift;
        self.recent.push_back(Sample {
            start,
            end: now,
            counts: counts.to_vec(),
        });
        let is_expired = |sample: &Sample| now.since(sample.end) > WINDOW;
        while self.recent.front().is_some_and(is_expired) {
            self.recent.pop_front();
        }
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

    /// Whether the choices in `counts` are distributed differently from those of the window.
    fn has_shifted(&self, counts: &[f64]) -> bool {
        let window = self.sum();
        if !has_enough_choices(&window) {
            return false;
        }
        let (old, new) = (window.iter().sum::<f64>(), counts.iter().sum::<f64>());
        let pairs = window.iter().zip(counts);
        let moved: f64 = pairs.map(|(o, n)| (o / old - n / new).abs()).sum();
        moved / 2.0 > SHIFT_RATIO
    }
}

fn has_enough_choices(counts: &[f64]) -> bool {
    let total: f64 = counts.iter().sum();
    total > 0.0 && total >= MIN_CHOICES_PER_EXPERT * counts.len() as f64
}
