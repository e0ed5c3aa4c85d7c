//! Report of a run as a table and as a JSON object.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use pimentotide_standin::Ledger;
use serde::Serialize;

use crate::caller::{Job, Outcome, Sample};
use crate::options::Options;
use crate::verdict::Verdict;
use pimentotide_process::Usage;

/// Interval of one row of the time series.
const ROW_INTERVAL: Duration = Duration::from_millis(100);

/// Highest latency recorded, in microseconds; longer ones are clamped to it.
const MAX_MICROS: u64 = 120_000_000;

/// Ratio of the first-token latency to its steady value up to which service counts as recovered.
const RECOVERED_RATIO: f64 = 1.5;

/// Boundaries of the phases of a run, relative to the start of the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Phases {
    /// Start of the steady phase.
    pub(crate) steady: Duration,
    /// Start of the fault.
    pub(crate) fault_start: Duration,
    /// End of the fault.
    pub(crate) fault_end: Duration,
    /// End of the load.
    pub(crate) end: Duration,
}

/// Outcomes and latencies of the jobs within one phase or row.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Service {
    /// Start of the interval, in milliseconds from the start of the load.
    pub(crate) from_ms: u128,
    /// Jobs whose intended start lies within the interval.
    pub(crate) offered: u64,
    /// Jobs that received the complete answer.
    pub(crate) answered: u64,
    /// Jobs that took more than one attempt.
    pub(crate) retried: u64,
    /// Jobs that ended with a refusal or failure, by kind and by whether the job ran.
    #[serde(rename = "told")]
    pub(crate) errors: BTreeMap<String, u64>,
    /// Jobs whose connection broke on the last attempt, or whose stream was cut.
    pub(crate) broken: u64,
    /// Latency of the first token of streams at p50, p95 and p99, in microseconds.
    pub(crate) first_us: [u64; 3],
    /// Latency of the end at p50, p95 and p99, in microseconds.
    pub(crate) total_us: [u64; 3],
}

/// Report of one run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    binary: String,
    deployment: String,
    fault: String,
    rate: u32,
    seed: u64,
    verdict: Verdict,
    phases: BTreeMap<&'static str, Service>,
    /// Milliseconds from the start of the fault until the first-token latency at p99 stays within
    /// 1.5 times its steady value and every job is answered; `None` if it does not.
    recovered_ms: Option<u128>,
    rows: Vec<Service>,
    usage: BTreeMap<String, Usage>,
}

impl Report {
    pub(crate) fn new(
        options: &Options,
        binary: &Path,
        phases: &Phases,
        samples: &[Sample],
        ledgers: &[Ledger],
        usage: BTreeMap<String, Usage>,
    ) -> Self {
        let named = [
            ("1 steady", phases.steady, phases.fault_start),
            ("2 fault", phases.fault_start, phases.fault_end),
            ("3 healed", phases.fault_end, phases.end),
        ];
        let named = named.map(|(name, from, to)| (name, service(samples, from, to)));
        let mut report = Self {
            binary: binary.display().to_string(),
            deployment: options.deployment.to_string(),
            fault: options.fault.to_string(),
            rate: options.rate,
            seed: options.seed,
            verdict: Verdict::of(samples, ledgers),
            phases: BTreeMap::from(named),
            recovered_ms: None,
            rows: rows(samples, phases.end),
            usage,
        };
        report.recovered_ms = report.recovery(samples, phases);
        report
    }

    /// Formats the report as a table.
    pub(crate) fn table(&self) -> String {
        let mut text = format!(
            "{} {} fault {} rate {}/s seed {}\n",
            self.binary, self.deployment, self.fault, self.rate, self.seed
        );
        let _ = writeln!(
            text,
            "{:<10} {:>8} {:>8} {:>8} {:>7} {:>26} {:>29}  errors",
            "phase",
            "offered",
            "answered",
            "retried",
            "broken",
            "first p50/p95/p99 ms",
            "total p50/p95/p99 ms"
        );
        for (name, service) in &self.phases {
            let _ = writeln!(
                text,
                "{name:<10} {:>8} {:>8} {:>8} {:>7} {:>26} {:>29}  {}",
                service.offered,
                service.answered,
                service.retried,
                service.broken,
                millis(service.first_us),
                millis(service.total_us),
                format_errors(&service.errors),
            );
        }
        let v = &self.verdict;
        let _ = writeln!(
            text,
            "lost {} doubled {} cut {} over-limit {} false refusals {} upstream crashes {}",
            v.lost, v.doubled, v.cut, v.over_limit, v.false_refusals, v.crashes
        );
        let recovered = self
            .recovered_ms
            .map_or("never".to_owned(), |ms| format!("{ms} ms"));
        let _ = writeln!(
            text,
            "first token at p99 within 1.5 times steady after: {recovered}"
        );
        let _ = writeln!(text, "{}", self.usage_line());
        text
    }

    fn usage_line(&self) -> String {
        let part = |role: &str| {
            let of_role = self.usage.iter().filter(|(name, _)| name.contains(role));
            let used: Vec<_> = of_role.map(|(_, usage)| usage).collect();
            let cpu = used
                .iter()
                .map(|u| u.cpu_seconds / u.age_seconds)
                .fold(0.0, f64::max);
            let memory = used.iter().map(|u| u.memory_bytes).max().unwrap_or(0);
            format!(
                "{role}: at most {:.1} % of a core, {} MiB",
                cpu * 100.0,
                memory >> 20
            )
        };
        format!("{}; {}", part("entry"), part("agent"))
    }

    /// Finds the start of the first 1 s window of the fault from which all windows meet the bound.
    fn recovery(&self, samples: &[Sample], phases: &Phases) -> Option<u128> {
        let bound = self.phases["1 steady"].first_us[2] as f64 * RECOVERED_RATIO;
        let window = Duration::from_secs(1);
        let mut recovered = None;
        let mut from = phases.fault_start;
        while from + window <= phases.fault_end {
            let service = service(samples, from, from + window);
            let good = service.first_us[2] as f64 <= bound && service.answered == service.offered;
            if good {
                recovered = recovered.or(Some((from - phases.fault_start).as_millis()));
            } else {
                recovered = None;
            }
            from += ROW_INTERVAL;
        }
        recovered
    }
}

fn rows(samples: &[Sample], end: Duration) -> Vec<Service> {
    let count = u32::try_from(end.as_millis() / ROW_INTERVAL.as_millis()).unwrap_or(0);
    (0..count)
        .map(|i| service(samples, ROW_INTERVAL * i, ROW_INTERVAL * (i + 1)))
        .collect()
}

fn service(samples: &[Sample], from: Duration, to: Duration) -> Service {
    let mut service = Service {
        from_ms: from.as_millis(),
        ..Service::default()
    };
    let histogram = || Histogram::<u64>::new_with_max(MAX_MICROS, 3).expect("valid bounds");
    let (mut first, mut total) = (histogram(), histogram());
    for sample in samples.iter().filter(|s| s.at >= from && s.at < to) {
        service.offered += 1;
        service.retried += u64::from(sample.tries > 1);
        match &sample.end {
            Outcome::Answered => {
                service.answered += 1;
                if sample.job == Job::Stream {
                    first.saturating_record(micros(sample.first));
                }
                total.saturating_record(micros(sample.total));
            }
            Outcome::Error { kind, ran } => {
                *service
                    .errors
                    .entry(format!("{kind} (ran {ran})"))
                    .or_default() += 1;
            }
            Outcome::Broken(_) | Outcome::Cut => service.broken += 1,
        }
    }
    let quantiles = |h: &Histogram<u64>| [0.5, 0.95, 0.99].map(|q| h.value_at_quantile(q));
    service.first_us = quantiles(&first);
    service.total_us = quantiles(&total);
    service
}

fn millis(quantiles: [u64; 3]) -> String {
    quantiles
        .map(|q| format!("{:.1}", q as f64 / 1_000.0))
        .join("/")
}

fn format_errors(kinds: &BTreeMap<String, u64>) -> String {
    let parts: Vec<_> = kinds
        .iter()
        .map(|(kind, count)| format!("{kind}: {count}"))
        .collect();
    parts.join(", ")
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
