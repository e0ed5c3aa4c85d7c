//! Stories of requests from recorded logs.
//!
//! The logs under `logs/` are lines of played days, cut down to what bears on
//! one request each.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use insta::assert_snapshot;
use pimentotide::explain::{LineError, Record, tell};

fn log(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/it/logs")
        .join(name)
}

fn story(name: &str, request: &str) -> String {
    let text = std::fs::read_to_string(log(name)).expect("a recorded log");
    let records: Result<Vec<Record>, LineError> =
        text.lines().map(|l| Record::parse(l, name)).collect();
    let records = records.expect("whole lines");
    let story = tell(&records, request, Duration::from_secs(2));
    story.expect("lines on the request").to_string()
}

fn explain(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pimentotide"))
        .arg("explain")
        .args(words)
        .output()
        .expect("the command runs")
}

#[test]
fn a_request_refused_under_load() {
    assert_snapshot!(story("refused.log", "REFUSED"));
}

#[test]
fn a_stream_cut_in_the_middle() {
    assert_snapshot!(story("cut.log", "CUT"));
}

#[test]
fn a_failure_after_the_silence_of_an_upstream() {
    assert_snapshot!(story("silent.log", "SILENT"));
}

#[test]
fn damaged_lines_are_told_and_left_out() {
    let path = log("damaged.log");
    let output = explain(&["a1", path.to_str().expect("a path in UTF-8")]);
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
fn an_unknown_request_and_a_missing_file_have_codes_of_their_own() {
    let path = log("damaged.log");
    let path = path.to_str().expect("a path in UTF-8");
    let codes = [
        explain(&["nobody", path]).status.code(),
        explain(&["a1", "/nowhere/at.all"]).status.code(),
        explain(&[]).status.code(),
    ];
    assert_eq!(codes, [Some(1), Some(2), Some(2)]);
}

#[test]
fn a_request_without_an_end_says_what_is_known() {
    let lines = [
        r#"e1 {"time":"2026-01-07T20:00:00.000000Z","level":"info","event":"placed","request":"a1","upstream":"u1","send":1}"#,
        r#"e1 {"time":"2026-01-07T20:00:01.000000Z","level":"info","event":"ready","instance":"e1"}"#,
    ];
    let records: Vec<Record> = lines
        .iter()
        .map(|l| Record::parse(l, "f").expect("a line"))
        .collect();
    let story = tell(&records, "a1", Duration::from_secs(2)).expect("a story");
    assert!(
        story.to_string().contains("the process started anew"),
        "{story}"
    );
}
