//! Valid and invalid settings files, and the samples of both deployments.

use std::fs;
use std::path::{Path, PathBuf};

use pimentotide::settings::{Settings, SettingsError};
use pimentotide_control::declare::parse_document;

fn files(folder: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let entries = fs::read_dir(&root).expect("the folder exists");
    let paths = entries.map(|e| e.expect("a readable entry").path());
    let mut paths: Vec<_> = paths
        .filter(|p| p.extension().is_some_and(|e| e == "yaml"))
        .collect();
    paths.sort();
    assert!(!paths.is_empty(), "no settings in {}", root.display());
    paths
}

fn stem(path: &Path) -> String {
    path.file_stem()
        .expect("a file name")
        .to_string_lossy()
        .into_owned()
}

#[test]
fn valid_settings_are_accepted() {
    for path in files("tests/settings/valid") {
        let mut settings =
            Settings::open(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        if let Some(replica) = &mut settings.replica {
            replica.data = PathBuf::from(replica.data.file_name().expect("a folder name"));
        }
        insta::assert_debug_snapshot!(format!("valid_{}", stem(&path)), settings);
    }
}

#[test]
fn invalid_settings_are_rejected_with_every_problem() {
    for path in files("tests/settings/invalid") {
        let Err(SettingsError::Invalid(problems)) = Settings::open(&path) else {
            panic!("{} was accepted or not read", path.display());
        };
        insta::assert_snapshot!(format!("invalid_{}", stem(&path)), problems.to_string());
    }
}

#[test]
fn samples_describe_both_deployments() {
    for deployment in ["ashanti", "bondline"] {
        let paths = files(&format!("../samples/{deployment}"));
        let settings: Vec<_> = paths
            .iter()
            .filter(|p| stem(p) != "declarations")
            .map(|p| Settings::open(p).unwrap_or_else(|e| panic!("{}: {e}", p.display())))
            .collect();
        let declared = paths
            .iter()
            .find(|p| stem(p) == "declarations")
            .expect("a document");
        let declared = fs::read_to_string(declared).expect("a readable document");
        let document = parse_document(&declared).unwrap_or_else(|e| panic!("{deployment}: {e}"));
        assert_eq!(document.workspaces.len(), 10);
        let entries = settings.iter().filter(|s| s.entry.is_some()).count();
        let replicas = settings.iter().filter(|s| s.replica.is_some()).count();
        let agents: Vec<_> = settings.iter().filter_map(|s| s.agent.as_ref()).collect();
        let plain = agents
            .iter()
            .filter(|a| a.upstream.contains("plain"))
            .count();
        let mut zones: Vec<_> = settings.iter().map(|s| s.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        assert_eq!(
            (entries, replicas, agents.len(), plain, zones.len()),
            (9, 3, 15, 3, 3)
        );
        let processes = paths.iter().filter(|p| stem(p) != "declarations");
        for (path, settings) in processes.zip(&settings) {
            assert_eq!(
                stem(path),
                settings.instance.as_str(),
                "the file is named after its instance"
            );
        }
    }
}

#[test]
fn missing_file_is_reported_as_unreadable() {
    let error = Settings::open(Path::new("no-such-file.yaml")).expect_err("no such file");
    assert!(matches!(error, SettingsError::Unreadable(..)), "{error}");
}

/// Returns the keys of a section, as listed by the error about an unknown key.
fn known_keys(text: &str, section: &str) -> Vec<String> {
    let Err(problems) = Settings::parse(text, Path::new(".")) else {
        panic!("the unknown key was accepted");
    };
    let path = if section == "top level" {
        "zzz".to_owned()
    } else {
        format!("{section}.zzz")
    };
    let found = problems
        .iter()
        .find(|p| p.path == path)
        .expect("an error about zzz");
    let (_, list) = found
        .message
        .split_once("known here: ")
        .expect("a list of keys");
    list.split(", ")
        .filter(|k| *k != "zzz")
        .map(str::to_owned)
        .collect()
}

#[test]
fn page_lists_every_key() {
    let page =
        fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/SETTINGS.md"))
            .expect("the page exists");
    for section in ["top level", "entry", "replica", "agent"] {
        let (_, rest) = page
            .split_once(&format!("## {section}\n"))
            .expect("a heading");
        let table = rest.split("\n## ").next().expect("a table");
        let keys = table
            .lines()
            .filter_map(|l| l.strip_prefix("| `")?.split('`').next());
        let mut listed: Vec<_> = keys.map(str::to_owned).collect();
        listed.sort();
        let text = match section {
            "top level" => "zzz: 1\n".to_owned(),
            name => format!("{name}:\n  zzz: 1\n"),
        };
        assert_eq!(listed, known_keys(&text, section), "section {section}");
    }
}

#[test]
fn page_lists_every_error_kind() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("the page exists");
    for kind in pimentotide_model::ErrorKind::ALL {
        let answer = kind.response();
        let row = format!("| `{kind}` | {} | {} |", answer.status, answer.ran);
        assert!(page.contains(&row), "expected the row {row}");
    }
}

mod hostile {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn arbitrary_text_does_not_panic(text in ".{0,400}") {
            let _ = Settings::parse(&text, Path::new("."));
        }

        #[test]
        fn arbitrary_yaml_lines_do_not_panic(
            lines in prop::collection::vec(
                (prop::sample::select(vec![
                    "instance", "zone", "token", "control", "entries", "entry", "replica", "agent",
                    "  listen", "  - name", "  threads", "log",
                ]), "[ -~]{0,20}"),
                0..20,
            )
        ) {
            let text: String = lines.iter().map(|(k, v)| format!("{k}: {v}\n")).collect();
            let _ = Settings::parse(&text, Path::new("."));
        }
    }
}
