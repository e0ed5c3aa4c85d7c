//! Estimated time to the whole answer, by which candidates are compared.

use std::time::Duration;

use super::slot::Slot;

/// Weight of the latest answer in what is known of a service.
const WEIGHT: f64 = 0.05;
/// Answer time assumed before any is known, microseconds.
const FIRST_GUESS: f64 = 100_000.0;
/// How much a full batch slows each step down.
const BATCH_SLOWDOWN: f64 = 1.0;
/// Part of the answer time that is added as an upstream fills up.
const CROWDING: f64 = 0.5;
/// Power with which crowding grows.
const CROWDING_POWER: i32 = 4;

/// What an entry has learned about the answers of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Learned {
    tokens: f64,
    missing: f64,
    first: f64,
    total: f64,
    gap: f64,
}

impl Learned {
    /// Learns from an answer in full.
    pub(super) fn observe(&mut self, missing: u32, tokens: u32, first: Duration, total: Duration) {
        let first = first.as_micros() as f64;
        let total = total.as_micros() as f64;
        blend(&mut self.tokens, f64::from(tokens));
        blend(&mut self.missing, f64::from(missing));
        blend(&mut self.first, first);
        blend(&mut self.total, total);
        if tokens > 1 {
            blend(&mut self.gap, (total - first) / f64::from(tokens - 1));
        }
    }

    /// Time to prefill one block, microseconds.
    fn block_cost(&self) -> f64 {
        if self.missing < 0.5 {
            return 0.0;
        }
        self.first / self.missing
    }

    /// Time in which most requests that run are replaced by others.
    pub(super) fn turnover(&self) -> Duration {
        Duration::from_micros((self.usual() * 3.0) as u64)
    }

    /// Usual answer time, microseconds.
    fn usual(&self) -> f64 {
        if self.total > 0.0 {
            self.total
        } else {
            FIRST_GUESS
        }
    }
}

/// What is known of one candidate for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct View {
    /// Requests that run there, as estimated.
    pub(super) load: f64,
    /// Requests that may run there at once.
    pub(super) allowance: f64,
    /// Blocks of the prompt that are not cached there, as estimated.
    pub(super) missing: f64,
    /// Time between tokens at the report, microseconds.
    pub(super) gap: f64,
    /// Part of the answer time that distance adds.
    pub(super) penalty: f64,
}

/// Estimates the time to the whole answer, microseconds.
pub(super) fn score(slot: &Slot, view: &View, learned: &Learned) -> f64 {
    let capacity = f64::from(slot.announcement.capacity.max(1));
    let after = batch_factor(view.load + 1.0, capacity);
    let before = batch_factor(f64::from(slot.report.running), capacity);
    let gap = if view.gap > 0.0 {
        view.gap
    } else {
        learned.gap
    };
    let speed = if learned.gap > 0.0 {
        gap / learned.gap
    } else {
        1.0
    };
    let prefill = learned.block_cost() * view.missing * speed.max(1.0);
    let decode = learned.tokens * gap * after / before;
    let plain = if learned.gap > 0.0 {
        0.0
    } else {
        plain_time(slot, learned) * after
    };
    // An idle upstream is not crowded, however small its allowance: a cold one has to get work to warm.
    let fill = view.load / view.allowance.max(1.0);
    let crowding = learned.usual() * CROWDING * fill.powi(CROWDING_POWER);
    let time = prefill + decode + plain;
    time * (1.0 + view.penalty) + crowding
}

/// Time that a plain service takes, microseconds.
fn plain_time(slot: &Slot, learned: &Learned) -> f64 {
    if slot.report.first_token > 0 {
        slot.report.first_token as f64
    } else {
        learned.usual()
    }
}

/// Slowdown of a step by the requests in its batch.
fn batch_factor(load: f64, capacity: f64) -> f64 {
    1.0 + BATCH_SLOWDOWN * load / capacity
}

fn blend(value: &mut f64, sample: f64) {
    if *value == 0.0 {
        *value = sample;
    } else {
        *value += WEIGHT * (sample - *value);
    }
}
