//! Score of a candidate: its estimated time to the complete answer.

use std::time::Duration;

use super::slot::Slot;

/// Weight of the latest answer in the statistics of a service.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Answer time assumed before the first answer, microseconds.
const DEFAULT_ANSWER_MICROS: f64 = 100_000.0;
/// Relative slowdown of a step by a full batch.
const BATCH_SLOWDOWN: f64 = 1.0;
/// Congestion penalty of a full upstream, as a share of the answer time.
const CONGESTION_WEIGHT: f64 = 0.5;
/// Exponent of the fill level in the congestion penalty.
const CONGESTION_EXPONENT: i32 = 4;

/// Smoothed statistics of the answers of one service; times in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceStats {
    tokens: f64,
    uncached: f64,
    first_token: f64,
    total: f64,
    token_gap: f64,
}

impl ServiceStats {
    /// Records a complete answer.
    pub(super) fn observe(
        &mut self,
        uncached: u32,
        tokens: u32,
        first_token: Duration,
        total: Duration,
    ) {
        let first_token = first_token.as_micros() as f64;
        let total = total.as_micros() as f64;
        blend(&mut self.tokens, f64::from(tokens));
        blend(&mut self.uncached, f64::from(uncached));
        blend(&mut self.first_token, first_token);
        blend(&mut self.total, total);
        if tokens > 1 {
            blend(
                &mut self.token_gap,
                (total - first_token) / f64::from(tokens - 1),
            );
        }
    }

    /// Returns the time to prefill one block, microseconds.
    fn block_cost(&self) -> f64 {
        if self.uncached < 0.5 {
            return 0.0;
        }
        self.first_token / self.uncached
    }

    /// Returns the time in which most running requests are replaced by others.
    pub(super) fn turnover(&self) -> Duration {
        Duration::from_micros((self.answer_time() * 3.0) as u64)
    }

    /// Returns the smoothed answer time, microseconds.
    fn answer_time(&self) -> f64 {
        if self.total > 0.0 {
            self.total
        } else {
            DEFAULT_ANSWER_MICROS
        }
    }
}

/// Score inputs of one candidate for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoreInput {
    /// Estimated number of requests running there.
    pub(super) load: f64,
    /// Limit on concurrent requests there.
    pub(super) allowance: f64,
    /// Estimated number of prompt blocks that are not cached there.
    pub(super) uncached: f64,
    /// Reported time between tokens, microseconds; zero if not reported.
    pub(super) token_gap: f64,
    /// Penalty for distance and bias, as a share of the answer time.
    pub(super) penalty: f64,
}

/// Estimates the time to the complete answer, microseconds.
pub(super) fn score(slot: &Slot, input: &ScoreInput, stats: &ServiceStats) -> f64 {
    let capacity = f64::from(slot.announcement.capacity.max(1));
    let after = batch_factor(input.load + 1.0, capacity);
    let before = batch_factor(f64::from(slot.report.running), capacity);
    let token_gap = if input.token_gap > 0.0 {
        input.token_gap
    } else {
        stats.token_gap
    };
    let speed = if stats.token_gap > 0.0 {
        token_gap / stats.token_gap
    } else {
        1.0
    };
    let prefill = stats.block_cost() * input.uncached * speed.max(1.0);
    let decode = stats.tokens * token_gap * after / before;
    let plain = if stats.token_gap > 0.0 {
        0.0
    } else {
        plain_time(slot, stats) * after
    };
    // Zero for an idle upstream, however small its allowance: a cold one needs work to warm up.
    let fill = input.load / input.allowance.max(1.0);
    let congestion = stats.answer_time() * CONGESTION_WEIGHT * fill.powi(CONGESTION_EXPONENT);
    let time = prefill + decode + plain;
    time * (1.0 + input.penalty) + congestion
}

/// Returns the expected answer time of a plain service, microseconds.
fn plain_time(slot: &Slot, stats: &ServiceStats) -> f64 {
    if slot.report.first_token > 0 {
        slot.report.first_token as f64
    } else {
        stats.answer_time()
    }
}

/// Returns the slowdown of a step by the requests in its batch.
fn batch_factor(load: f64, capacity: f64) -> f64 {
    1.0 + BATCH_SLOWDOWN * load / capacity
}

fn blend(value: &mut f64, sample: f64) {
    if *value == 0.0 {
        *value = sample;
    } else {
        *value += SAMPLE_WEIGHT * (sample - *value);
    }
}
