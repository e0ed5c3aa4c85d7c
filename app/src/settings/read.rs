//! Conversion of a YAML document to settings.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use pimentotide_document::{Item, Section};
use pimentotide_instance::Token;
use pimentotide_model::{InstanceName, RegionName, UpstreamName, WorkspaceName, ZoneName};

use super::addresses::{check_listeners, check_peers};
use super::{AgentSettings, EntrySettings, Peer, ReplicaSettings, Settings};

/// Default of `log`.
pub const DEFAULT_LOG: &str = "info, actix_server=warn";

/// Default of `body_bytes`.
pub const DEFAULT_BODY_BYTES: usize = 4 << 20;

/// Default of `keep_millis`: cache time of an answer of `/v1/entries`.
pub const DEFAULT_KEEP: Duration = Duration::from_secs(30);

const MIN_BODY_BYTES: usize = 1 << 10;
const MAX_BODY_BYTES: usize = 16 << 20;
const DEFAULT_THREADS: usize = 2;
const MAX_THREADS: usize = 64;
const MIN_KEEP_MILLIS: u64 = 1_000;
const MAX_KEEP_MILLIS: u64 = 3_600_000;
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(120);
const MIN_DRAIN_MILLIS: u64 = 1_000;
const MAX_DRAIN_MILLIS: u64 = 3_600_000;
const ADDRESS: &str = "an address such as 10.0.0.1:8080";

/// Reads the settings; relative paths start at `folder`.
pub(super) fn settings(top: &mut Section<'_>, folder: &Path) -> Settings {
    let settings = Settings {
        instance: InstanceName::from(name(top, "instance", InstanceName::is_valid)),
        region: RegionName::from(name(top, "region", RegionName::is_valid)),
        zone: ZoneName::from(name(top, "zone", ZoneName::is_valid)),
        log: top
            .optional_text("log")
            .unwrap_or_else(|| DEFAULT_LOG.to_owned()),
        metrics: address_or_none(top, "metrics"),
        token: token(top, folder),
        control: top.list("control", peer),
        entries: top.list("entries", peer),
        entry: top.section("entry", entry),
        replica: top.section("replica", |s| replica(s, folder)),
        agent: top.section("agent", agent),
    };
    check_roles(top, &settings);
    check_listeners(top, &settings);
    check_peers(top, "control", &settings.control);
    check_peers(top, "entries", &settings.entries);
    settings
}

fn check_roles(top: &Section<'_>, settings: &Settings) {
    if settings.entry.is_none() && settings.replica.is_none() && settings.agent.is_none() {
        top.note("", "no role; give at least one of entry, replica, agent");
    }
    if settings.control.is_empty() && !top.has("control") {
        top.note(
            "",
            "control: missing; list the control replicas of the deployment",
        );
    } else if settings.control.is_empty() {
        top.note("control", "expected at least one control replica");
    }
    let here = |peers: &[Peer]| peers.iter().any(|p| p.name == settings.instance);
    if settings.replica.is_some() && !settings.control.is_empty() && !here(&settings.control) {
        top.note(
            "control",
            format!("expected {} among the replicas", settings.instance),
        );
    }
    if settings.entry.is_some() && !here(&settings.entries) {
        let key = if top.has("entries") {
            "entries"
        } else {
            "entry"
        };
        top.note(key, format!("expected {} among entries", settings.instance));
    }
}

fn entry(section: &mut Section<'_>) -> EntrySettings {
    EntrySettings {
        listen: address(section, "listen"),
        threads: section.number("threads", 1..=MAX_THREADS, DEFAULT_THREADS),
        body: section.number(
            "body_bytes",
            MIN_BODY_BYTES..=MAX_BODY_BYTES,
            DEFAULT_BODY_BYTES,
        ),
        workspace: workspace(section),
        keep: section.millis(
            "keep_millis",
            MIN_KEEP_MILLIS..=MAX_KEEP_MILLIS,
            DEFAULT_KEEP,
        ),
        drain: drain(section),
    }
}

fn workspace(section: &mut Section<'_>) -> Option<WorkspaceName> {
    let text = section.optional_text("workspace")?;
    check_name(section, "workspace", &text, WorkspaceName::is_valid);
    Some(WorkspaceName::from(text))
}

fn replica(section: &mut Section<'_>, folder: &Path) -> ReplicaSettings {
    let data = section.text("data");
    if section.has("data") && data.is_empty() {
        section.note("data", "expected the path of the data folder");
    }
    ReplicaSettings {
        listen: address(section, "listen"),
        operator: address(section, "operator"),
        data: folder.join(data),
    }
}

fn agent(section: &mut Section<'_>) -> AgentSettings {
    AgentSettings {
        upstream: UpstreamName::from(name(section, "upstream", UpstreamName::is_valid)),
        listen: address(section, "listen"),
        engine: address(section, "engine"),
        drain: drain(section),
    }
}

fn drain(section: &mut Section<'_>) -> Duration {
    section.millis(
        "drain_millis",
        MIN_DRAIN_MILLIS..=MAX_DRAIN_MILLIS,
        DEFAULT_DRAIN_TIMEOUT,
    )
}

fn peer(item: &Item<'_>) -> Option<Peer> {
    item.section(|section| Peer {
        name: InstanceName::from(name(section, "name", InstanceName::is_valid)),
        zone: ZoneName::from(name(section, "zone", ZoneName::is_valid)),
        address: address(section, "address"),
    })
}

fn name<F>(section: &mut Section<'_>, key: &str, is_valid: F) -> String
where
    F: Fn(&str) -> bool,
{
    let text = section.text(key);
    if section.has(key) {
        check_name(section, key, &text, is_valid);
    }
    text
}

fn check_name<F>(section: &Section<'_>, key: &str, text: &str, is_valid: F)
where
    F: Fn(&str) -> bool,
{
    if !is_valid(text) {
        let expected = "expected a name of letters, digits, '-', '_', '.', '/' and ':'";
        section.note(key, format!("{expected}, found {text:?}"));
    }
}

fn address(section: &mut Section<'_>, key: &str) -> SocketAddr {
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    section.parse(key, ADDRESS).unwrap_or(unset)
}

fn address_or_none(section: &mut Section<'_>, key: &str) -> Option<SocketAddr> {
    section.optional_parse(key, ADDRESS)
}

/// Reads the secret from `token` or from the file named by `token_file`.
fn token(top: &mut Section<'_>, folder: &Path) -> Token {
    let direct = top.optional_text("token");
    let file = top.optional_text("token_file");
    let (key, secret) = match (direct, file) {
        (Some(_), Some(_)) => {
            top.note("token", "given with token_file; keep one of the two");
            return unset_token();
        }
        (Some(secret), None) => ("token", secret),
        (None, Some(path)) => match std::fs::read_to_string(folder.join(&path)) {
            Ok(secret) => ("token_file", secret),
            Err(e) => {
                top.note("token_file", format!("{path:?} cannot be read: {e}"));
                return unset_token();
            }
        },
        (None, None) => {
            top.note(
                "",
                "token_file: missing; expected the path of the deployment's secret",
            );
            return unset_token();
        }
    };
    Token::open(&secret).unwrap_or_else(|e| {
        top.note(key, format!("the secret cannot be used: {e}"));
        unset_token()
    })
}

/// Placeholder for an invalid token; settings with problems are never returned.
fn unset_token() -> Token {
    Token::open("settings-with-problems").expect("a valid constant")
}
