//! Metrics in the Prometheus text format, for scrapers.
//!
//! A sink that aggregates the counters, gauges and duration histograms of a
//! process by name and tag; a scrape renders the current values. The number of
//! series is bounded, and samples of further series are counted as dropped.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::MetricSink;

/// Maximum number of series; label values come from closed lists, so normal operation stays below it.
const MAX_SERIES: usize = 512;
/// Upper bounds of the histogram buckets of durations.
const BUCKETS_MS: [f64; 12] = [
    1.0, 5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, 6_400.0,
];

/// Aggregated series of a process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Exposition {
    series: Arc<Mutex<Series>>,
}

#[derive(Debug, Default)]
struct Series {
    values: BTreeMap<(String, String), Value>,
    dropped: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Value {
    Counter(f64),
    Gauge(f64),
    Durations {
        buckets: [u64; BUCKETS_MS.len()],
        sum: f64,
        count: u64,
    },
}

impl Exposition {
    fn series(&self) -> MutexGuard<'_, Series> {
        self.series.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Renders all series in the Prometheus text format.
    pub fn render(&self) -> String {
        let series = self.series();
        let mut text = String::new();
        let mut previous = "";
        for ((name, labels), value) in &series.values {
            if name != previous {
                // Writing to a string cannot fail.
                let _ = writeln!(text, "# TYPE {}", type_line(name, value));
                previous = name;
            }
            render_value(&mut text, name, labels, value);
        }
        let dropped = "pimentotide_metrics_dropped_total";
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "# TYPE {dropped} counter\n{dropped} {}",
            series.dropped
        );
        text
    }
}

fn type_line(name: &str, value: &Value) -> String {
    match value {
        Value::Counter(_) => format!("{name}_total counter"),
        Value::Gauge(_) => format!("{name} gauge"),
        Value::Durations { .. } => format!("{name}_seconds histogram"),
    }
}

fn render_value(text: &mut String, name: &str, labels: &str, value: &Value) {
    let braced = if labels.is_empty() {
        String::new()
    } else {
        format!("{{{labels}}}")
    };
    // Writing to a string cannot fail.
    let _ = match value {
        Value::Counter(n) => writeln!(text, "{name}_total{braced} {n}"),
        Value::Gauge(n) => writeln!(text, "{name}{braced} {n}"),
        Value::Durations {
            buckets,
            sum,
            count,
        } => {
            let comma = if labels.is_empty() { "" } else { "," };
            for (bound, n) in BUCKETS_MS.iter().zip(buckets) {
                let le = bound / 1e3;
                let _ = writeln!(
                    text,
                    "{name}_seconds_bucket{{{labels}{comma}le=\"{le}\"}} {n}"
                );
            }
            let _ = writeln!(
                text,
                "{name}_seconds_bucket{{{labels}{comma}le=\"+Inf\"}} {count}"
            );
            let _ = writeln!(text, "{name}_seconds_sum{braced} {}", sum / 1e3);
            writeln!(text, "{name}_seconds_count{braced} {count}")
        }
    };
}

impl MetricSink for Exposition {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let malformed = || io::Error::new(io::ErrorKind::InvalidData, metric.to_owned());
        let (name, rest) = metric.split_once(':').ok_or_else(malformed)?;
        let mut parts = rest.split('|');
        let number: f64 = parts
            .next()
            .and_then(|n| n.parse().ok())
            .ok_or_else(malformed)?;
        let kind = parts.next().ok_or_else(malformed)?;
        let tags = parts
            .next()
            .and_then(|t| t.strip_prefix('#'))
            .unwrap_or_default();
        let labels: Vec<String> = tags
            .split(',')
            .filter_map(|tag| tag.split_once(':'))
            .map(|(key, value)| format!("{key}=\"{value}\""))
            .collect();
        let key = (name.replace('.', "_"), labels.join(","));
        let mut series = self.series();
        if series.values.len() >= MAX_SERIES && !series.values.contains_key(&key) {
            series.dropped += 1;
            return Ok(metric.len());
        }
        let start = match kind {
            "c" => Value::Counter(0.0),
            "g" => Value::Gauge(0.0),
            "ms" => Value::Durations {
                buckets: [0; BUCKETS_MS.len()],
                sum: 0.0,
                count: 0,
            },
            _ => return Err(malformed()),
        };
        match series.values.entry(key).or_insert(start) {
            Value::Counter(n) => *n += number,
            Value::Gauge(n) => *n = number,
            Value::Durations {
                buckets,
                sum,
                count,
            } => {
                for (bound, n) in BUCKETS_MS.iter().zip(buckets) {
                    *n += u64::from(number <= *bound);
                }
                *sum += number;
                *count += 1;
            }
        }
        Ok(metric.len())
    }
}
