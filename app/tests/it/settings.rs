//! Settings files, valid and invalid, and the samples of both deployments.

use std::fs;
use std::path::{Path, PathBuf};

use pimentotide::settings::{Settings, SettingsError};

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
fn invalid_settings_are_refused_with_all_problems() {
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
        for (path, settings) in paths.iter().zip(&settings) {
            assert_eq!(
                stem(path),
                settings.instance.as_str(),
                "file and instance agree"
            );
        }
    }
}

#[test]
fn a_missing_file_is_named() {
    let error = Settings::open(Path::new("no-such-file.yaml")).expect_err("no such file");
    assert!(matches!(error, SettingsError::Unreadable(..)), "{error}");
}

mod hostile {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn no_text_makes_the_reader_panic(text in ".{0,400}") {
            let _ = Settings::parse(&text, Path::new("."));
        }

        #[test]
        fn no_line_of_yaml_makes_the_reader_panic(
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
