//! Compares the outcomes that callers observed with the ledgers of the stand-in upstreams.

use std::collections::BTreeMap;

use pimentotide_standin::Ledger;
use serde::Serialize;

use crate::caller::{Job, Outcome, Sample};

/// Counts of violations; each must be zero.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Verdict {
    /// Lodgings that were answered but did not run, and jobs without any answer.
    pub(crate) lost: u64,
    /// Lodgings that ran more than once.
    pub(crate) doubled: u64,
    /// Streams that ended early without an error.
    pub(crate) cut: u64,
    /// Runs started on an upstream that was already at its limit.
    pub(crate) over_limit: u64,
    /// Lodgings that ran although the caller received an error that reports no run.
    pub(crate) false_refusals: u64,
    /// Crashes of upstreams.
    pub(crate) crashes: u64,
}

impl Verdict {
    /// Checks the samples against the ledgers.
    pub(crate) fn of(samples: &[Sample], ledgers: &[Ledger]) -> Self {
        let runs = runs_by_key(ledgers);
        let mut verdict = Self {
            over_limit: ledgers.iter().map(|l| l.over_limit).sum(),
            crashes: ledgers.iter().map(|l| l.crashes).sum(),
            ..Self::default()
        };
        for sample in samples {
            verdict.cut += u64::from(sample.end == Outcome::Cut);
            verdict.lost += u64::from(matches!(sample.end, Outcome::Broken(_)));
            if sample.job == Job::Lodge {
                let ran = sample.key.as_ref().and_then(|k| runs.get(k)).copied();
                verdict.check_lodging(sample, ran.unwrap_or(0));
            }
        }
        verdict
    }

    fn check_lodging(&mut self, sample: &Sample, runs: u32) {
        self.doubled += u64::from(runs > 1);
        match &sample.end {
            Outcome::Answered => self.lost += u64::from(runs == 0),
            Outcome::Error { ran, .. } if ran == "no" => self.false_refusals += u64::from(runs > 0),
            _ => {}
        }
    }
}

fn runs_by_key(ledgers: &[Ledger]) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for (key, record) in ledgers.iter().flat_map(|l| &l.requests) {
        *runs.entry(key.clone()).or_default() += record.runs;
    }
    runs
}
