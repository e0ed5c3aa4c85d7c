//! Rates that upstreams in need name in their answers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Requests per second, in thousandths.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{}", self.per_second())]
pub struct RequestRate(u32);

impl RequestRate {
    /// Converts requests per second; `None` if negative or not a number.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        // The conversion saturates.
        (rate >= 0.0).then(|| Self((rate * 1e3).round() as u32))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}
