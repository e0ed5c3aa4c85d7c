//! Compact form of expert counts for slow links: one byte per count, on a logarithmic scale.

use serde::{Deserialize, Serialize};

/// Highest code of a count.
const MAX_CODE: f64 = 255.0;

/// Counts, each within about 3 % of its value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CodedCounts {
    /// Highest count; the scale ends there.
    highest: f64,
    codes: Vec<u8>,
}

impl CodedCounts {
    /// Encodes counts.
    pub fn encode(counts: &[f64]) -> Self {
        let highest = counts.iter().copied().fold(0.0, f64::max);
        let scale = MAX_CODE / highest.ln_1p().max(f64::MIN_POSITIVE);
        let codes = counts.iter().map(|c| (c.ln_1p() * scale).round() as u8);
        Self {
            highest,
            codes: codes.collect(),
        }
    }

    /// Decodes the counts.
    pub fn decode(&self) -> Vec<f64> {
        let scale = self.highest.ln_1p() / MAX_CODE;
        let counts = self.codes.iter().map(|c| (f64::from(*c) * scale).exp_m1());
        counts.collect()
    }
}
