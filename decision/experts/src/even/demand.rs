//! Recent demand for experts, summed over the ranks.

use std::collections::VecDeque;
use std::time::Duration;

use pimentotide_model::Time;

/// Length of the sliding window; demand shifts within seconds.
const WINDOW: Duration = Duration::from_millis(1_200);
/// Mean number of choices per expert below which no plan is made.
const MIN_CHOICES_PER_EXPERT: f64 = 200.0;

/// Expert choices within a sliding window.
#[derive(Debug, Default)]
pub struct ExpertDemand {
    recent: VecDeque<(Time, Vec<f64>)>,
    len: usize,
}

impl ExpertDemand {
    /// Adds the choices of ranks since their previous sample, layer after layer.
    pub fn observe<'a, I>(&mut self, ranks: I, now: Time)
    where
        I: IntoIterator<Item = &'a [u32]>,
    {
        let mut sum: Vec<f64> = Vec::new();
        for counts in ranks {
            sum.resize(sum.len().max(counts.len()), 0.0);
            for (sum, count) in sum.iter_mut().zip(counts) {
                *sum += f64::from(*count);
            }
        }
        self.len = self.len.max(sum.len());
        self.recent.push_back((now, sum));
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| now.since(*at) > WINDOW)
        {
            self.recent.pop_front();
        }
    }

    /// Number of experts over all layers, from the longest sample so far.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no counts have been observed yet.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Choices of each expert within the window, layer after layer; `None` if too few for a plan.
    pub fn counts(&self) -> Option<Vec<f64>> {
        let mut sum: Vec<f64> = Vec::new();
        for (_, counts) in &self.recent {
            sum.resize(sum.len().max(counts.len()), 0.0);
            for (sum, count) in sum.iter_mut().zip(counts) {
                *sum += count;
            }
        }
        has_enough_choices(&sum).then_some(sum)
    }

    /// Choices in the newest sample alone; `None` if too few for a plan.
    pub fn newest(&self) -> Option<&[f64]> {
        let (_, counts) = self.recent.back()?;
        has_enough_choices(counts).then_some(&counts[..])
    }

    /// Discards the window, after a change of the expert map or of the group.
    pub fn restart(&mut self) {
        self.recent.clear();
    }
}

fn has_enough_choices(counts: &[f64]) -> bool {
    let total: f64 = counts.iter().sum();
    total > 0.0 && total >= MIN_CHOICES_PER_EXPERT * counts.len() as f64
}
