//! Explanations of requests from recorded logs.
//!
//! The logs under `logs/` come from recorded deployments, each reduced to the
//! lines related to one request.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use insta::assert_snapshot;
use pimentotide::explain::{LineError, Record, explain};

fn log_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/it/logs")
        .join(name)
}

fn explanation(name: &str, request: &str) -> String {
    let text = std::fs::read_to_string(log_path(name)).expect("a recorded log");
    let records: Result<Vec<Record>, LineError> =
        text.lines().map(|l| Record::parse(l, name)).collect();
    let records = records.expect("well-formed lines");
    let explanation = explain(&records, request, Duration::from_secs(2));
    explanation.expect("lines on the request").to_string()
}

fn run_explain(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pimentotide"))
        .arg("explain")
        .args(words)
        .output()
        .expect("the command runs")
}

#[test]
fn request_refused_under_load_is_explained() {
    assert_snapshot!(explanation("refused.log", "REFUSED"));
}

#[test]
fn interrupted_stream_is_explained() {
    assert_snapshot!(explanation("cut.log", "CUT"));
}

#[test]
fn upstream_timeout_is_explained() {
    assert_snapshot!(explanation("silent.log", "SILENT"));
}

#[test]
fn unreadable_lines_are_reported_and_skipped() {
    let path = log_path("damaged.log");
    let output = run_explain(&["a1", path.to_str().expect("a path in UTF-8")]);
    let folder = path.parent().expect("a folder").display().to_string() + "/";
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace(&folder, "");
    assert_snapshot!(format!(
        "{}\n{}{}",
        output.status,
        text(&output.stdout),
        text(&output.stderr)
    ));
}

#[test]
fn unknown_request_and_missing_file_have_distinct_exit_codes() {
    let path = log_path("damaged.log");
    let path = path.to_str().expect("a path in UTF-8");
    let codes = [
        run_explain(&["nobody", path]).status.code(),
        run_explain(&["a1", "/nowhere/at.all"]).status.code(),
        run_explain(&[]).status.code(),
    ];
    assert_eq!(codes, [Some(1), Some(2), Some(2)]);
}

#[test]
fn unfinished_request_is_explained_by_a_restart_of_its_process() {
    let lines = [
        r#"e1 {"time":"2026-01-07T20:00:00.000000Z","level":"info","event":"placed","request":"a1","upstream":"u1","send":1}"#,
        r#"e1 {"time":"2026-01-07T20:00:01.000000Z","level":"info","event":"ready","instance":"e1"}"#,
    ];
    let records: Vec<Record> = lines
        .iter()
        .map(|l| Record::parse(l, "f").expect("a line"))
        .collect();
    let explanation = explain(&records, "a1", Duration::from_secs(2)).expect("an explanation");
    assert!(
        explanation.to_string().contains("the process restarted"),
        "{explanation}"
    );
}

/// Guards against a late answer whose explanation leaves out the time in the queue of the entry.
#[test]
fn wait_in_the_queue_is_explained_with_what_was_ahead() {
    let lines = [
        r#"e1 {"time":"2026-01-07T20:00:00.000000Z","level":"info","event":"queued","request":"a1","rank":2,"ahead":12,"waiting":15,"reason":"all upstreams full"}"#,
        r#"e1 {"time":"2026-01-07T20:00:00.480000Z","level":"info","event":"placed","request":"a1","upstream":"u1","send":1}"#,
        r#"e1 {"time":"2026-01-07T20:00:01.000000Z","level":"info","event":"answered","request":"a1","upstream":"u1","status":200,"sends":1,"after_ms":1000}"#,
    ];
    let records: Vec<Record> = lines
        .iter()
        .map(|l| Record::parse(l, "f").expect("a line"))
        .collect();
    let explanation = explain(&records, "a1", Duration::from_secs(2)).expect("an explanation");
    let wait = "It waited 480 ms in the entry at priority rank 2, with 12 ahead of it and 15 \
                waiting in all: all upstreams full.";
    assert!(explanation.to_string().contains(wait), "{explanation}");
}

/// Guards against an explanation that is silent about why a stream changed its upstream, or did not.
#[test]
fn stream_that_leaves_a_slow_upstream_and_one_that_stays_are_explained() {
    let lines = [
        r#"e1 {"time":"2026-01-07T20:00:00.000000Z","level":"info","event":"placed","request":"a1","upstream":"u1","send":1}"#,
        r#"e1 {"time":"2026-01-07T20:00:00.500000Z","level":"info","event":"upstream_slow","upstream":"u1","pace":6.0,"avoided":true}"#,
        r#"e1 {"time":"2026-01-07T20:00:00.600000Z","level":"info","event":"interrupted","request":"a1","upstream":"u1","ended":"Relieved","events":4,"next":"Again","reason":"","after_ms":600}"#,
        r#"e1 {"time":"2026-01-07T20:00:00.700000Z","level":"info","event":"stream_kept","request":"a1","upstream":"u2","reason":"no attempts left","after_ms":700}"#,
        r#"e1 {"time":"2026-01-07T20:00:00.800000Z","level":"info","event":"answered","request":"a1","upstream":"u2","status":200,"sends":2,"events":9,"after_ms":800}"#,
    ];
    let records: Vec<Record> = lines
        .iter()
        .map(|l| Record::parse(l, "f").expect("a line"))
        .collect();
    let explanation = explain(&records, "a1", Duration::from_secs(2)).expect("an explanation");
    let text = explanation.to_string();
    let (_, causes) = text.split_once("why\n").expect("the causes");
    let causes: Vec<&str> = causes.lines().map(str::trim).collect();
    assert_eq!(
        causes,
        [
            "Upstream u1 was slow, and the stream left it after 4 events (state changes: slow). \
             It was sent again.",
            "Upstream u2 was slow, but the stream stayed there: no attempts left.",
            "Upstream u2 answered with 200 after 800 ms, on send 2.",
        ]
    );
}
