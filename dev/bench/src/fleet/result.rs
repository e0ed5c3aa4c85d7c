//! What callers got, and its summary.

use std::time::Duration;

use pimentotide_model::Time;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered in full.
    Answered,
    /// Refused as "not run".
    Refused,
}

/// What one caller got.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    /// Arrival of the request.
    pub arrival: Time,
    /// How it ended.
    pub outcome: Outcome,
    /// Time to the first token.
    pub first: Duration,
    /// Time to the end.
    pub total: Duration,
    /// Whether the end came before the deadline.
    pub met_deadline: bool,
    /// Blocks of the prompt.
    pub blocks: u32,
    /// Blocks found in the cache.
    pub cached: u32,
    /// Refusals by gates before the request was placed.
    pub refusals: u32,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// First-token time, ms: p50, p95, p99.
    pub first: [f64; 3],
    /// Total time, ms: p50, p95, p99.
    pub total: [f64; 3],
    /// Answers in time, a second.
    pub goodput: f64,
    /// Part of the prompt blocks found in caches.
    pub hits: f64,
    /// Part of the requests refused.
    pub refused: f64,
    /// Refusals by gates for each request.
    pub gate_refusals: f64,
}

/// Summarizes the answers to requests that arrived between `from` and `to`.
pub fn summarize(results: &[RequestResult], from: Time, to: Time) -> Summary {
    let measured: Vec<&RequestResult> = results
        .iter()
        .filter(|a| a.arrival >= from && a.arrival < to)
        .collect();
    let answered: Vec<&&RequestResult> = measured
        .iter()
        .filter(|a| a.outcome == Outcome::Answered)
        .collect();
    let timely = answered.iter().filter(|a| a.met_deadline).count();
    let blocks: u64 = answered.iter().map(|a| u64::from(a.blocks)).sum();
    let cached: u64 = answered.iter().map(|a| u64::from(a.cached)).sum();
    let gate_refusals: u64 = measured.iter().map(|a| u64::from(a.refusals)).sum();
    let count = measured.len().max(1) as f64;
    Summary {
        first: quantiles(answered.iter().map(|a| a.first)),
        total: quantiles(answered.iter().map(|a| a.total)),
        goodput: timely as f64 / to.since(from).as_secs_f64(),
        hits: cached as f64 / blocks.max(1) as f64,
        refused: 1.0 - answered.len() as f64 / count,
        gate_refusals: gate_refusals as f64 / count,
    }
}

/// Median of each figure over several runs.
pub fn median(runs: &[Summary]) -> Summary {
    let pick = |read: &dyn Fn(&Summary) -> f64| {
        let mut values: Vec<f64> = runs.iter().map(read).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or(0.0)
    };
    Summary {
        first: std::array::from_fn(|i| pick(&|s| s.first[i])),
        total: std::array::from_fn(|i| pick(&|s| s.total[i])),
        goodput: pick(&|s| s.goodput),
        hits: pick(&|s| s.hits),
        refused: pick(&|s| s.refused),
        gate_refusals: pick(&|s| s.gate_refusals),
    }
}

fn quantiles<I>(times: I) -> [f64; 3]
where
    I: Iterator<Item = Duration>,
{
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    [0.50, 0.95, 0.99].map(|q| {
        let index = ((times.len() as f64 * q) as usize).min(times.len().saturating_sub(1));
        times.get(index).map_or(0.0, |t| t.as_secs_f64() * 1e3)
    })
}
