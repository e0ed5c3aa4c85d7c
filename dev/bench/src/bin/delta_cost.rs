//! Cost of one delta between configurations by the number of routes and the kind of change.
//!
//! Prints the bytes of the document and of the encoded delta, and minimum, median and maximum of
//! the times to compute, encode and apply it, in milliseconds. A replica pays the first two once
//! per change, and each entry pays the last.

use std::hint::black_box;
use std::time::Instant;

use pimentotide_bench::measure::RUNS;
use pimentotide_fleet::{Delta, IndexedText};

/// Numbers of routes; the middle one is that of the largest documents in use.
const ROUTES: [usize; 3] = [350, 1_400, 5_600];
/// Routes that the largest change adds, relative to those before.
const ADDED_RATIO: f64 = 0.7;

/// Kind of change.
#[derive(Clone, Copy)]
enum Change {
    OneAltered,
    HundredthAltered,
    MostAdded,
    Reversed,
    AllAltered,
    /// All records are equal, so that none identifies a position.
    EqualRecords,
}

const CHANGES: [(Change, &str); 6] = [
    (Change::OneAltered, "one altered"),
    (Change::HundredthAltered, "1 % altered"),
    (Change::MostAdded, "70 % added"),
    (Change::Reversed, "reversed"),
    (Change::AllAltered, "all altered"),
    (Change::EqualRecords, "equal records"),
];

fn main() {
    println!("min/median/max of {RUNS} runs, ms");
    println!(
        "{:>7} {:>14}{:>10}{:>9}{:>20}{:>20}{:>20}",
        "routes", "change", "document", "delta", "compute", "encode", "apply"
    );
    for count in ROUTES {
        for (change, name) in CHANGES {
            let (base, target) = documents(count, change);
            let base = IndexedText {
                index: 1,
                text: &base,
            };
            let target = IndexedText {
                index: 2,
                text: &target,
            };
            let delta = Delta::between(base, target);
            let encoded = encode(&delta);
            println!(
                "{count:>7} {name:>14}{:>10}{:>9}{:>20}{:>20}{:>20}",
                target.text.len(),
                encoded.len(),
                millis(|| Delta::between(base, target)),
                millis(|| encode(&delta)),
                millis(|| delta.apply(base)),
            );
        }
    }
}

fn encode(delta: &Delta) -> String {
    // Numbers and strings always encode.
    serde_json::to_string(delta).unwrap_or_default()
}

/// Returns the time of one call as min/median/max.
fn millis<T, F>(work: F) -> String
where
    F: Fn() -> T,
{
    let mut samples: Vec<f64> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            black_box(work());
            start.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    samples.sort_by(f64::total_cmp);
    let [low, median, high] = [samples[0], samples[RUNS / 2], samples[RUNS - 1]];
    format!("{low:.2}/{median:.2}/{high:.2}")
}

/// Returns the documents before and after a change.
fn documents(count: usize, change: Change) -> (String, String) {
    let routes: Vec<String> = (0..count).map(|n| route(n, 8_000)).collect();
    let mut changed = routes.clone();
    match change {
        Change::OneAltered => changed[count / 2] = route(count / 2, 5_000),
        Change::HundredthAltered => {
            for n in (0..count).step_by(100) {
                changed[n] = route(n, 5_000);
            }
        }
        Change::MostAdded => {
            let added = (count as f64 * ADDED_RATIO) as usize;
            changed.splice(
                count / 2..count / 2,
                (0..added).map(|n| route(count + n, 8_000)),
            );
        }
        Change::Reversed => changed.reverse(),
        Change::AllAltered => {
            for (n, text) in changed.iter_mut().enumerate() {
                *text = route(n + count, 5_000);
            }
        }
        Change::EqualRecords => {
            let equal = vec![route(1, 8_000); count];
            return (document(1, &equal), document(2, &equal[count / 2..]));
        }
    }
    (document(1, &routes), document(2, &changed))
}

fn route(number: usize, timeout: u64) -> String {
    format!(
        r#"{{"name":"route-{number}","host":"h{}.example","prefix":"/p{number}/","kind":"streaming","timeoutMs":{timeout},"targetLatencyMs":400,"priority":1,"shares":[{{"service":"s{}","weight":3}},{{"service":"s1","weight":1}}],"maxAttempts":2,"public":false,"resumable":true,"targetGapMs":120}}"#,
        number % 40,
        number % 7,
    )
}

fn document(version: u64, routes: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[]}}"#,
        routes.join(",")
    )
}
