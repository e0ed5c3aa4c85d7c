//! Which experts have been in demand lately, added up over the ranks.

use std::collections::VecDeque;
use std::time::Duration;

use pimentotide_model::Time;

/// Time over which choices count; demand moves within seconds.
const WINDOW: Duration = Duration::from_millis(1_200);
/// Fewest choices that a plan is made from, for each expert.
const LEAST_CHOICES: f64 = 200.0;

/// Choices of the last while.
#[derive(Debug, Default)]
pub struct ExpertDemand {
    recent: VecDeque<(Time, Vec<f64>)>,
    len: usize,
}

impl ExpertDemand {
    /// Takes in what ranks have chosen since they were last asked, layer after layer.
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

    /// Experts of all layers, as far as they are known.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Choices of each expert, layer after layer; none if there are too few.
    pub fn counts(&self) -> Option<Vec<f64>> {
        let mut sum: Vec<f64> = Vec::new();
        for (_, counts) in &self.recent {
            sum.resize(sum.len().max(counts.len()), 0.0);
            for (sum, count) in sum.iter_mut().zip(counts) {
                *sum += count;
            }
        }
        is_enough(&sum).then_some(sum)
    }

    /// Choices since the last look but one; none if there are too few.
    pub fn newest(&self) -> Option<&[f64]> {
        let (_, counts) = self.recent.back()?;
        is_enough(counts).then_some(&counts[..])
    }

    /// Starts a new window, as after a change of the map or of the group.
    pub fn restart(&mut self) {
        self.recent.clear();
    }
}

fn is_enough(counts: &[f64]) -> bool {
    let total: f64 = counts.iter().sum();
    total > 0.0 && total >= LEAST_CHOICES * counts.len() as f64
}
