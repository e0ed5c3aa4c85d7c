//! Results of requests and their summary.

use std::time::Duration;

use pimentotide_model::Time;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered completely.
    Answered,
    /// Refused without having run on an engine.
    Refused,
}

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    /// Time of arrival at the entry.
    pub arrival: Time,
    /// Outcome for the caller.
    pub outcome: Outcome,
    /// Time from arrival to the first token; zero if refused.
    pub first: Duration,
    /// Time from arrival to the end.
    pub total: Duration,
    /// Whether the answer was complete by the deadline.
    pub met_deadline: bool,
    /// Number of prompt blocks; zero if refused.
    pub blocks: u32,
    /// Number of prompt blocks found in the cache.
    pub cached: u32,
    /// Number of refusals by gates.
    pub refusals: u32,
}

/// Summary of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Time to the first token, in milliseconds: p50, p95, p99.
    pub first: [f64; 3],
    /// Total time, in milliseconds: p50, p95, p99.
    pub total: [f64; 3],
    /// Answers within their deadline, per second.
    pub goodput: f64,
    /// Ratio of prompt blocks found in caches.
    pub hits: f64,
    /// Ratio of requests refused.
    pub refused: f64,
    /// Mean number of refusals by gates per request.
    pub gate_refusals: f64,
}

/// Summarizes the requests that arrived from `from` until before `to`.
pub fn summarize(results: &[RequestResult], from: Time, to: Time) -> Summary {
    let measured: Vec<&RequestResult> = results
        .iter()
        .filter(|a| a.arrival >= from && a.arrival < to)
        .collect();
    let answered: Vec<&&RequestResult> = measured
        .iter()
        .filter(|a| a.outcome == Outcome::Answered)
        .collect();
    let in_time = answered.iter().filter(|a| a.met_deadline).count();
    let blocks: u64 = answered.iter().map(|a| u64::from(a.blocks)).sum();
    let cached: u64 = answered.iter().map(|a| u64::from(a.cached)).sum();
    let gate_refusals: u64 = measured.iter().map(|a| u64::from(a.refusals)).sum();
    let count = measured.len().max(1) as f64;
    Summary {
        first: quantiles(answered.iter().map(|a| a.first)),
        total: quantiles(answered.iter().map(|a| a.total)),
        goodput: in_time as f64 / to.since(from).as_secs_f64(),
        hits: cached as f64 / blocks.max(1) as f64,
        refused: 1.0 - answered.len() as f64 / count,
        gate_refusals: gate_refusals as f64 / count,
    }
}

/// Returns the median of each figure over several runs.
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
