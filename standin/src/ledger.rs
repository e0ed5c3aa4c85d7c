//! What really ran on a stand-in engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Requests that a ledger tells apart at most; later ones are only counted.
const MAX_RECORDS: usize = 200_000;

/// Independent account of an engine's work.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// Runs by the caller's key, by request id where there is none.
    pub requests: BTreeMap<String, RunRecord>,
    /// Runs in all.
    pub runs: u64,
    /// Runs that ended whole.
    pub completed: u64,
    /// Runs that the engine or its peer broke off.
    pub aborted: u64,
    /// Highest concurrency, by start of the engine.
    pub peaks: BTreeMap<u64, u32>,
    /// Runs begun while the engine already had all it can bear.
    pub over_limit: u64,
    /// Times the engine fell over.
    pub crashes: u64,
    /// Bytes of answers.
    pub bytes: u64,
    /// Prompt blocks found in the cache.
    pub cache_hits: u64,
    /// Prompt blocks looked up in the cache.
    pub cache_lookups: u64,
}

/// Runs of one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Times it was begun.
    pub runs: u32,
    /// Times it ended whole.
    pub completed: u32,
    /// Bytes of its answers.
    pub bytes: u64,
}

impl Ledger {
    /// Notes that a run began under `incarnation` with `running` in all.
    pub fn begin(&mut self, id: &str, incarnation: u64, running: u32, bearable: u32) {
        self.runs += 1;
        let peak = self.peaks.entry(incarnation).or_default();
        *peak = running.max(*peak);
        if running > bearable {
            self.over_limit += 1;
        }
        if self.requests.len() < MAX_RECORDS || self.requests.contains_key(id) {
            self.requests.entry(id.to_owned()).or_default().runs += 1;
        }
    }

    /// Notes that a run ended.
    pub fn end(&mut self, id: &str, whole: bool, bytes: u64) {
        self.bytes += bytes;
        if whole {
            self.completed += 1;
        } else {
            self.aborted += 1;
        }
        if let Some(record) = self.requests.get_mut(id) {
            record.bytes += bytes;
            record.completed += u32::from(whole);
        }
    }
}
