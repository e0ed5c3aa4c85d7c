//! Popularity of experts from token counts that arrive late, twice or not at all.
//!
//! Counts are weighed by the time at which they were taken, not at which they
//! arrive, so a late report counts as if it had come in time. A gap only thins
//! the sample: each layer is normalised when the demand is read.

use std::time::Duration;

use pimentotide_model::Time;
use serde::{Deserialize, Serialize};

/// Exponent of the forward weight at which all sums are scaled down.
const RESCALE_EXPONENT: f64 = 256.0;

/// Sequence numbers behind the newest that duplicates are recognised within.
const DUPLICATE_WINDOW: u64 = 64;

/// Tokens that each expert took during one interval, as one rank saw them.
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

/// Sequence numbers seen from one reporter.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    newest: u64,
    mask: u64,
}

/// Decayed token counts of all experts.
#[derive(Clone, Debug)]
pub struct Popularity {
    size: usize,
    fast: Decayed,
    slow: Decayed,
    seen: Vec<Seen>,
}

/// Sums under forward exponential decay.
#[derive(Clone, Debug)]
struct Decayed {
    half: f64,
    origin: f64,
    sums: Vec<f64>,
}

impl Seen {
    /// Whether `sequence` is new; remembers it.
    fn admit(&mut self, sequence: u64) -> bool {
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

impl Decayed {
    fn new(size: usize, half: Duration) -> Self {
        Self {
            half: half.as_secs_f64(),
            origin: 0.0,
            sums: vec![0.0; size],
        }
    }

    fn add(&mut self, tokens: &[u32], at: Time) {
        let seconds = at.as_micros() as f64 / 1e6;
        let mut exponent = (seconds - self.origin) / self.half;
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
    /// Starts without counts for a model of `size` experts over all layers.
    pub fn new(size: usize, reporters: usize, fast: Duration, slow: Duration) -> Self {
        Self {
            size,
            fast: Decayed::new(size, fast),
            slow: Decayed::new(size, slow),
            seen: vec![Seen::default(); reporters],
        }
    }

    /// Takes in one report; false if it is malformed, unknown or a duplicate.
    pub fn observe(&mut self, counts: &TokenCounts) -> bool {
        if counts.tokens.len() != self.size {
            return false;
        }
        let Some(seen) = self.seen.get_mut(usize::from(counts.reporter)) else {
            return false;
        };
        if !seen.admit(counts.sequence) {
            return false;
        }
        self.fast.add(&counts.tokens, counts.at);
        self.slow.add(&counts.tokens, counts.at);
        true
    }

    /// Forgets the sequence of a reporter that has restarted.
    pub fn reset(&mut self, reporter: u16) {
        if let Some(seen) = self.seen.get_mut(usize::from(reporter)) {
            *seen = Seen::default();
        }
    }

    /// Counts that follow changes soon.
    pub fn fast(&self) -> &[f64] {
        &self.fast.sums
    }

    /// Counts that follow lasting changes only.
    pub fn slow(&self) -> &[f64] {
        &self.slow.sums
    }
}
