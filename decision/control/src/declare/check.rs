//! Checks of whole declarations: names, bounds and references.
//!
//! The checks run on the resulting declarations, not on the order alone, so an
//! order can neither add a dangling reference nor remove a referenced item.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

use pimentotide_model::{Declarations, Profile, Service, ServiceKind, Workspace, ZoneName};

use super::bounds;
use super::fault::{Fault, Faults};

/// Returns the faults of `declarations`, bounded in number.
pub fn check(declarations: &Declarations) -> Vec<Fault> {
    let mut faults = Faults::default();
    check_counts(declarations, &mut faults);
    for (name, profile) in &declarations.profiles {
        check_name("profiles", name, &profile.name, &mut faults);
        check_profile(declarations, profile, &mut faults);
    }
    for (name, service) in &declarations.services {
        check_name("services", name, &service.name, &mut faults);
        check_service(declarations, service, &mut faults);
    }
    for (name, workspace) in &declarations.workspaces {
        check_name("workspaces", name, &workspace.name, &mut faults);
        check_workspace(declarations, workspace, &mut faults);
    }
    check_names(declarations, &mut faults);
    faults.finish()
}

fn check_counts(declarations: &Declarations, faults: &mut Faults) {
    let counts = [
        (
            "profiles",
            declarations.profiles.len(),
            bounds::MAX_PROFILES,
        ),
        (
            "services",
            declarations.services.len(),
            bounds::MAX_SERVICES,
        ),
        (
            "workspaces",
            declarations.workspaces.len(),
            bounds::MAX_WORKSPACES,
        ),
        ("zones", declarations.zones.len(), bounds::MAX_ZONES),
        (
            "upstreams",
            declarations.upstreams.len(),
            bounds::MAX_UPSTREAMS,
        ),
        ("paused", declarations.paused.len(), bounds::MAX_PAUSED),
    ];
    for (key, count, max) in counts {
        if count > max {
            faults.add(&[key], format!("expected at most {max}, found {count}"));
        }
    }
}

fn check_name(section: &str, key: &str, name: &str, faults: &mut Faults) {
    if !ZoneName::is_valid(key) {
        faults.add(&[section, key], invalid_name(key));
    }
    if key != name {
        faults.add(&[section, key], format!("holds another name, {name:?}"));
    }
}

fn check_names(declarations: &Declarations, faults: &mut Faults) {
    let zones = declarations.zones.keys().map(|z| ("zones", z.as_str()));
    let upstreams = declarations.upstreams.keys();
    let upstreams = upstreams.map(|u| ("upstreams", u.as_str()));
    let paused = declarations.paused.iter().map(|g| ("paused", g.as_str()));
    for (section, name) in zones.chain(upstreams).chain(paused) {
        if !ZoneName::is_valid(name) {
            faults.add(&[section, name], invalid_name(name));
        }
    }
}

fn check_profile(declarations: &Declarations, profile: &Profile, faults: &mut Faults) {
    let mut values = Values {
        base: vec!["profiles", &profile.name],
        faults,
    };
    values.names(&["model"], profile.model.iter().map(|m| m.as_str()));
    values.names(&["version"], profile.version.iter().map(|v| v.as_str()));
    values.list(&["adapters"], profile.adapters.iter().map(|a| a.as_str()));
    values.list(
        &["zones", "prefer"],
        profile.zones.prefer.iter().map(|z| z.as_str()),
    );
    if profile.model.is_none() && profile.version.is_some() {
        values.add(&["version"], "needs a model");
    }
    if profile.model.is_none() && !profile.adapters.is_empty() {
        values.add(&["adapters"], "need a model");
    }
    check_limits(profile, &mut values);
    check_shares(declarations, profile, &mut values);
}

fn check_limits(profile: &Profile, values: &mut Values<'_>) {
    values.millis(&["deadline_ms"], profile.deadline, bounds::DEADLINE_MS);
    values.range(
        &["queue", "bound"],
        u64::from(profile.queue.bound),
        bounds::QUEUE_BOUND,
    );
    values.millis(
        &["queue", "wait_ms"],
        profile.queue.wait,
        bounds::QUEUE_WAIT_MS,
    );
    if profile.queue.wait > profile.deadline {
        values.add(&["queue", "wait_ms"], "expected no more than deadline_ms");
    }
    if let Some(limit) = profile.concurrency {
        values.range(&["concurrency"], u64::from(limit), bounds::CONCURRENCY);
    }
    let retry = &profile.retry;
    values.range(
        &["retry", "attempts"],
        u64::from(retry.attempts),
        bounds::RETRY_ATTEMPTS,
    );
    values.range(&["retry", "budget"], retry.budget, bounds::RETRY_BUDGET);
    values.millis(
        &["retry", "backoff_ms"],
        retry.backoff,
        bounds::RETRY_BACKOFF_MS,
    );
    let slow = &profile.slow_start;
    let initial = u64::from(slow.initial);
    values.range(
        &["slow_start", "initial"],
        initial,
        bounds::SLOW_START_INITIAL,
    );
    let completions = u64::from(slow.completions);
    values.range(
        &["slow_start", "completions"],
        completions,
        bounds::SLOW_START_COMPLETIONS,
    );
    values.millis(
        &["slow_start", "least_ms"],
        slow.least,
        bounds::SLOW_START_LEAST_MS,
    );
    let moves = &profile.rebalance;
    values.range(
        &["rebalance", "hourly_bytes"],
        moves.hourly,
        bounds::REBALANCE_HOURLY_BYTES,
    );
    values.range(
        &["rebalance", "staging_bytes"],
        moves.staging,
        bounds::REBALANCE_STAGING_BYTES,
    );
    values.millis(
        &["rebalance", "horizon_ms"],
        moves.horizon,
        bounds::REBALANCE_HORIZON_MS,
    );
}

fn check_shares(declarations: &Declarations, profile: &Profile, values: &mut Values<'_>) {
    if profile.shares.len() > bounds::MAX_WORKSPACES {
        values.add(
            &["shares"],
            format!("expected at most {}", bounds::MAX_WORKSPACES),
        );
    }
    for (workspace, share) in &profile.shares {
        let path = ["shares", workspace.as_str()];
        values.names(&path, [workspace.as_str()]);
        values.range(&path, u64::from(*share), bounds::SHARE);
        let declared = declarations.workspaces.contains_key(workspace);
        if !declared && !declarations.workspaces.is_empty() {
            values.add(&path, "this workspace is not declared");
        }
    }
}

fn check_service(declarations: &Declarations, service: &Service, faults: &mut Faults) {
    let path = ["services", service.name.as_str(), "profile"];
    let Some(profile) = declarations.profiles.get(&service.profile) else {
        faults.add(
            &path,
            format!("profile {:?} does not exist", service.profile.as_str()),
        );
        return;
    };
    match (service.kind, &profile.model) {
        (ServiceKind::Model, None) => faults.add(
            &path,
            format!(
                "a service of kind model needs a profile with a model; {} has none",
                profile.name
            ),
        ),
        (ServiceKind::Plain, Some(model)) => faults.add(
            &path,
            format!(
                "a plain service needs a profile without a model; {} has {model}",
                profile.name
            ),
        ),
        _ => {}
    }
}

fn check_workspace(declarations: &Declarations, workspace: &Workspace, faults: &mut Faults) {
    let mut values = Values {
        base: vec!["workspaces", &workspace.name],
        faults,
    };
    values.list(&["services"], workspace.services.iter().map(|s| s.as_str()));
    for service in &workspace.services {
        if !declarations.services.contains_key(service) {
            let message = format!("service {:?} does not exist", service.as_str());
            values.add(&["services"], message);
        }
    }
}

/// Checks single values below the path `base`.
struct Values<'a> {
    base: Vec<&'a str>,
    faults: &'a mut Faults,
}

impl Values<'_> {
    fn add<M>(&mut self, keys: &[&str], message: M)
    where
        M: Into<String>,
    {
        let path: Vec<_> = self.base.iter().chain(keys).copied().collect();
        self.faults.add(&path, message);
    }

    fn range<T>(&mut self, keys: &[&str], value: T, range: RangeInclusive<T>)
    where
        T: PartialOrd + Display + Copy,
    {
        if range.contains(&value) {
            return;
        }
        let (start, end) = range.into_inner();
        self.add(
            keys,
            format!("expected a number from {start} to {end}, found {value}"),
        );
    }

    fn millis(&mut self, keys: &[&str], value: Duration, range: RangeInclusive<u64>) {
        let whole = u64::try_from(value.as_millis()).unwrap_or(u64::MAX);
        if Duration::from_millis(whole) != value {
            self.add(keys, "expected whole milliseconds");
        }
        self.range(keys, whole, range);
    }

    fn names<'n, I>(&mut self, keys: &[&str], names: I)
    where
        I: IntoIterator<Item = &'n str>,
    {
        for name in names {
            if !ZoneName::is_valid(name) {
                self.add(keys, invalid_name(name));
            }
        }
    }

    fn list<'n, I>(&mut self, keys: &[&str], names: I)
    where
        I: IntoIterator<Item = &'n str>,
    {
        let names: Vec<_> = names.into_iter().collect();
        if names.len() > bounds::MAX_LIST {
            let message = format!("expected at most {} elements", bounds::MAX_LIST);
            self.add(keys, message);
        }
        let mut seen = BTreeSet::new();
        for name in &names {
            if !seen.insert(*name) {
                self.add(keys, format!("{name:?} is named twice"));
            }
        }
        self.names(keys, names);
    }
}

fn invalid_name(name: &str) -> String {
    let shown: String = name.chars().take(MAX_SHOWN_CHARS).collect();
    format!("expected a name of 1 to 128 letters, digits or -_./: and found {shown:?}")
}

/// Longest part of an invalid name that a fault repeats, characters.
const MAX_SHOWN_CHARS: usize = 40;
