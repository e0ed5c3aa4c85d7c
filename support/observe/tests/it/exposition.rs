//! Tests of the text format for scrapers.

use std::time::Duration;

use insta::assert_snapshot;
use pimentotide_observe::Metrics;

#[test]
fn counters_gauges_and_durations_are_rendered() {
    let (metrics, exposition) = Metrics::expose();
    metrics.count("entry.requests", ("outcome", "answered"), 2);
    metrics.count("entry.requests", ("outcome", "overloaded"), 1);
    metrics.count("entry.requests", ("outcome", "answered"), 3);
    metrics.gauge("entry.open", ("kind", "all"), 7);
    metrics.gauge("entry.open", ("kind", "all"), 4);
    metrics.time(
        "entry.answer",
        ("kind", "stream"),
        Duration::from_millis(180),
    );
    metrics.time(
        "entry.answer",
        ("kind", "stream"),
        Duration::from_millis(9_000),
    );
    assert_snapshot!(exposition.render());
}

#[test]
fn series_are_bounded_and_dropped_samples_are_counted() {
    let (metrics, exposition) = Metrics::expose();
    for n in 0..600 {
        metrics.count("entry.requests", ("outcome", &n.to_string()), 1);
    }
    let text = exposition.render();
    assert_eq!(
        text.lines()
            .filter(|l| l.starts_with("pimentotide_entry_requests_total"))
            .count(),
        512
    );
    assert!(
        text.ends_with("pimentotide_metrics_dropped_total 88\n"),
        "{text}"
    );
}
