//! Record of the runs on a stand-in engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of requests with a record of their own; later ones are only counted.
const MAX_RECORDS: usize = 200_000;

/// Runs on an engine, counted independently of the system under test.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// Runs by idempotency key, or by request id if there is none.
    pub requests: BTreeMap<String, RunRecord>,
    /// Total number of runs.
    pub runs: u64,
    /// Runs that completed.
    pub completed: u64,
    /// Runs that the engine or its client aborted.
    pub aborted: u64,
    /// Highest concurrency, by incarnation of the engine.
    pub peaks: BTreeMap<u64, u32>,
    /// Runs started above the engine's current capacity.
    pub over_limit: u64,
    /// Times the engine crashed.
    pub crashes: u64,
    /// Bytes of all answers.
    pub bytes: u64,
    /// Prompt blocks found in the cache.
    pub cache_hits: u64,
    /// Prompt blocks looked up in the cache.
    pub cache_lookups: u64,
}

/// Runs of one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Times the request was started.
    pub runs: u32,
    /// Times the request completed.
    pub completed: u32,
    /// Bytes of its answers.
    pub bytes: u64,
}

impl Ledger {
    /// Records the start of a run, with `running` runs in progress including it.
    pub fn begin(&mut self, id: &str, incarnation: u64, running: u32, capacity: u32) {
        self.runs += 1;
        let peak = self.peaks.entry(incarnation).or_default();
        *peak = running.max(*peak);
        if running > capacity {
            self.over_limit += 1;
        }
        if self.requests.len() < MAX_RECORDS || self.requests.contains_key(id) {
            self.requests.entry(id.to_owned()).or_default().runs += 1;
        }
    }

    /// Records the end of a run.
    pub fn end(&mut self, id: &str, completed: bool, bytes: u64) {
        self.bytes += bytes;
        if completed {
            self.completed += 1;
        } else {
            self.aborted += 1;
        }
        if let Some(record) = self.requests.get_mut(id) {
            record.bytes += bytes;
            record.completed += u32::from(completed);
        }
    }
}
