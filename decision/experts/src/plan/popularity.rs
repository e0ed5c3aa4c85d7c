//! Popularity of experts from token counts that may be late, duplicated or lost.
//!
//! Counts are weighted by the time at which they were taken, not at which they
//! arrive, so a late report counts the same as a timely one. A lost report only
//! reduces the sample: each layer is normalised when the demand is computed.

use std::time::Duration;

use pimentotide_model::Time;
use serde::{Deserialize, Serialize};

/// Exponent of the forward weight above which all sums are scaled down.
const RESCALE_EXPONENT: f64 = 256.0;

/// Number of latest sequence numbers among which duplicates are recognised; older ones are rejected.
const DUPLICATE_WINDOW: u64 = 64;

/// Tokens that each expert processed during one interval, as counted by one rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenCounts {
    /// Rank that reports.
    pub reporter: u16,
    /// Position in the reporter's sequence.
    pub sequence: u64,
    /// End of the interval.
    pub at: Time,
    /// Tokens by expert, layer after layer.
    pub tokens: Vec<u32>,
}

/// Sliding window of the sequence numbers received from one reporter.
#[derive(Clone, Copy, Debug, Default)]
struct SequenceWindow {
    newest: u64,
    /// Received numbers; bit n stands for `newest - n`.
    mask: u64,
}

/// Token counts of all experts with fast and slow exponential decay.
#[derive(Clone, Debug)]
pub struct Popularity {
    size: usize,
    fast: DecayedSums,
    slow: DecayedSums,
    windows: Vec<SequenceWindow>,
}

/// Sums under forward exponential decay.
#[derive(Clone, Debug)]
struct DecayedSums {
    half_life: f64,
    origin: f64,
    sums: Vec<f64>,
}

impl SequenceWindow {
    /// Records `sequence`; false if it is a duplicate or older than the window.
    fn insert(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let ahead = sequence - self.newest;
            self.mask = self.mask.checked_shl(ahead as u32).unwrap_or(0) | 1;
            if ahead >= DUPLICATE_WINDOW {
                self.mask = 1;
            }
            self.newest = sequence;
            return true;
        }
        let behind = self.newest - sequence;
        if behind >= DUPLICATE_WINDOW || self.mask & (1 << behind) != 0 {
            return false;
        }
        self.mask |= 1 << behind;
        true
    }
}

impl DecayedSums {
    fn new(size: usize, half_life: Duration) -> Self {
        Self {
            half_life: half_life.as_secs_f64(),
            origin: 0.0,
            sums: vec![0.0; size],
        }
    }

    fn add(&mut self, tokens: &[u32], at: Time) {
        let seconds = at.as_micros() as f64 / 1e6;
        let mut exponent = (seconds - self.origin) / self.half_life;
        if exponent > RESCALE_EXPONENT {
            let scale = (-exponent).exp2();
            self.sums.iter_mut().for_each(|s| *s *= scale);
            self.origin = seconds;
            exponent = 0.0;
        }
        let weight = exponent.exp2();
        for (sum, count) in self.sums.iter_mut().zip(tokens) {
            *sum += weight * f64::from(*count);
        }
    }
}

impl Popularity {
    /// Creates empty counts for a model of `size` experts over all layers.
    pub fn new(size: usize, reporters: usize, fast: Duration, slow: Duration) -> Self {
        Self {
            size,
            fast: DecayedSums::new(size, fast),
            slow: DecayedSums::new(size, slow),
            windows: vec![SequenceWindow::default(); reporters],
        }
    }

    /// Adds one report; false if it is malformed, from an unknown reporter or a duplicate.
    pub fn observe(&mut self, counts: &TokenCounts) -> bool {
        if counts.tokens.len() != self.size {
            return false;
        }
        let Some(window) = self.windows.get_mut(usize::from(counts.reporter)) else {
            return false;
        };
        if !window.insert(counts.sequence) {
            return false;
        }
        self.fast.add(&counts.tokens, counts.at);
        self.slow.add(&counts.tokens, counts.at);
        true
    }

    /// Resets the sequence numbers of a reporter that has restarted.
    pub fn reset(&mut self, reporter: u16) {
        if let Some(window) = self.windows.get_mut(usize::from(reporter)) {
            *window = SequenceWindow::default();
        }
    }

    /// Counts with the short half-life, which follow changes quickly.
    pub fn fast(&self) -> &[f64] {
        &self.fast.sums
    }

    /// Counts with the long half-life, which follow only lasting changes.
    pub fn slow(&self) -> &[f64] {
        &self.slow.sums
    }
}
