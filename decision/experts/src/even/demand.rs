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
    /// Counts of each rank since the start of its engine.
    last: Vec<Option<RankCounts>>,
    recent: VecDeque<(Time, Vec<f64>)>,
}

#[derive(Clone, Debug)]
struct RankCounts {
    born: u64,
    counts: Vec<u64>,
}

impl ExpertDemand {
    /// Takes in the counts of all ranks, each with the start of its engine.
    pub fn observe<'a, I>(&mut self, ranks: I, now: Time)
    where
        I: IntoIterator<Item = (u64, &'a [u64])>,
    {
        let mut sum: Vec<f64> = Vec::new();
        for (rank, (born, counts)) in ranks.into_iter().enumerate() {
            if self.last.len() <= rank {
                self.last.resize(rank + 1, None);
            }
            sum.resize(sum.len().max(counts.len()), 0.0);
            if let Some(last) = self.last[rank].as_ref().filter(|l| l.born == born) {
                for ((sum, new), old) in sum.iter_mut().zip(counts).zip(&last.counts) {
                    *sum += new.saturating_sub(*old) as f64;
                }
            }
            self.last[rank] = Some(RankCounts {
                born,
                counts: counts.to_vec(),
            });
        }
        self.recent.push_back((now, sum));
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| now.since(*at) > WINDOW)
        {
            self.recent.pop_front();
        }
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

    /// Starts a new window, as after a change whose effect is to be seen.
    pub fn restart(&mut self) {
        self.recent.clear();
    }

    /// Forgets what was chosen, as after the group was formed anew.
    pub fn clear(&mut self) {
        self.last.clear();
        self.recent.clear();
    }
}

fn is_enough(counts: &[f64]) -> bool {
    let total: f64 = counts.iter().sum();
    total > 0.0 && total >= LEAST_CHOICES * counts.len() as f64
}
