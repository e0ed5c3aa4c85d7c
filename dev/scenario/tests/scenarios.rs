//! Runs every script twice, requires identical reports and compares them with a snapshot.

#![expect(
    clippy::needless_pass_by_value,
    reason = "the harness passes the text by value"
)]

use std::path::Path;

use pimentotide_scenario::{Script, run};

fn name_of(path: &Path) -> String {
    path.file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned()
}

fn record(folder: &str, path: &Path, text: &str) {
    let mut settings = insta::Settings::clone_current();
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.set_snapshot_path(format!("{folder}/snapshots"));
    settings.bind(|| insta::assert_snapshot!(name_of(path), text));
}

fn run_twice(path: &Path, text: &str) -> Result<(String, bool), String> {
    let script = Script::parse(text).map_err(|errors| {
        let lines = errors.iter().map(|e| format!("{}:{e}", path.display()));
        lines.collect::<Vec<_>>().join("\n")
    })?;
    let first = run(&script);
    let second = run(&script);
    if first.to_string() != second.to_string() {
        return Err("two runs of the same script differ".to_owned());
    }
    Ok((first.to_string(), first.failures.is_empty()))
}

/// Scripts in which every invariant and every expectation holds.
fn script_passes(path: &Path, text: String) -> datatest_stable::Result<()> {
    let (report, passed) = run_twice(path, &text)?;
    if !passed {
        eprintln!("{}\n{report}", path.display());
        return Err("the scenario failed".into());
    }
    record("scenarios", path, &report);
    Ok(())
}

/// Scripts that bypass one protection: the run has to fail.
fn bypassed_guard_is_detected(path: &Path, text: String) -> datatest_stable::Result<()> {
    let (report, passed) = run_twice(path, &text)?;
    if passed {
        return Err("the run passed with a protection bypassed".into());
    }
    record("broken", path, &report);
    Ok(())
}

/// Invalid scripts: rejected with file and line of every error.
fn invalid_script_is_rejected(path: &Path, text: String) -> datatest_stable::Result<()> {
    let Err(errors) = Script::parse(&text) else {
        return Err("the script was accepted".into());
    };
    let file = path.file_name().unwrap_or_default().to_string_lossy();
    let lines: Vec<_> = errors.iter().map(|e| format!("{file}:{e}")).collect();
    record("invalid", path, &lines.join("\n"));
    Ok(())
}

datatest_stable::harness! {
    { test = script_passes, root = "tests/scenarios", pattern = r"\.scn$" },
    { test = bypassed_guard_is_detected, root = "tests/broken", pattern = r"\.scn$" },
    { test = invalid_script_is_rejected, root = "tests/invalid", pattern = r"\.scn$" },
}
