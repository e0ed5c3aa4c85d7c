//! Runs every script twice and compares what happened with its snapshot.

#![expect(
    clippy::needless_pass_by_value,
    reason = "the harness hands the text over by value"
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

fn play(path: &Path, text: &str) -> Result<(String, bool), String> {
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

/// Stories in which every rule and every expectation holds.
fn story(path: &Path, text: String) -> datatest_stable::Result<()> {
    let (report, passed) = play(path, &text)?;
    if !passed {
        eprintln!("{}\n{report}", path.display());
        return Err("the story failed".into());
    }
    record("scenarios", path, &report);
    Ok(())
}

/// Stories with one protection left out: the loss has to be seen.
fn broken(path: &Path, text: String) -> datatest_stable::Result<()> {
    let (report, passed) = play(path, &text)?;
    if passed {
        return Err("the run passed without its protection".into());
    }
    record("broken", path, &report);
    Ok(())
}

/// Scripts that are wrong: refused with file and line.
fn invalid(path: &Path, text: String) -> datatest_stable::Result<()> {
    let Err(errors) = Script::parse(&text) else {
        return Err("the script was accepted".into());
    };
    let file = path.file_name().unwrap_or_default().to_string_lossy();
    let lines: Vec<_> = errors.iter().map(|e| format!("{file}:{e}")).collect();
    record("invalid", path, &lines.join("\n"));
    Ok(())
}

datatest_stable::harness! {
    { test = story, root = "tests/scenarios", pattern = r"\.scn$" },
    { test = broken, root = "tests/broken", pattern = r"\.scn$" },
    { test = invalid, root = "tests/invalid", pattern = r"\.scn$" },
}
