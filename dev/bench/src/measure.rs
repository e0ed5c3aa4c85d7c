//! Measurement of processor time and memory for the capacity benches.

use std::hint::black_box;
use std::time::Instant;

/// Timed runs per measurement.
pub const RUNS: usize = 7;

/// Page size assumed for the counts in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;

/// Calls `work` `count` times in each run; returns nanoseconds per call as min/median/max.
pub fn nanos<F>(count: usize, mut work: F) -> String
where
    F: FnMut(usize),
{
    let mut samples: Vec<f64> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            for i in 0..count {
                work(i);
            }
            start.elapsed().as_secs_f64() * 1e9 / count as f64
        })
        .collect();
    samples.sort_by(f64::total_cmp);
    let [low, median, high] = [samples[0], samples[RUNS / 2], samples[RUNS - 1]];
    format!("{low:.0}/{median:.0}/{high:.0}")
}

/// Returns the growth in resident memory caused by `build`, in bytes per item.
///
/// The built value is leaked so that later measurements cannot reuse its memory.
pub fn memory_per_item<T, F>(items: usize, build: F) -> f64
where
    F: FnOnce() -> T,
{
    let before = resident_bytes();
    let built = black_box(build());
    let after = resident_bytes();
    std::mem::forget(built);
    after.saturating_sub(before) as f64 / items as f64
}

/// Resident memory of this process in bytes; 0 if `/proc` cannot be read.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
