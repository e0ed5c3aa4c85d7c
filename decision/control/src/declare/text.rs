//! YAML text of the document: reads with all errors at once, writes canonically.

mod layout;

use std::time::Duration;

use pimentotide_document::{Problem, Problems, Section, locate, read};
use pimentotide_model::{
    Declarations, LeaseExpiryPolicy, Priority, Profile, ProfileName, QueuePolicy, RebalancePolicy,
    RetryPolicy, Service, ServiceKind, ServiceName, SlowStart, Spread, Workspace, WorkspaceName,
    ZonePolicy,
};

use super::check::check;
use super::document::Document;
use super::fault::Fault;

pub use layout::write_document;

/// All problems of a document, with lines.
pub type ReadError = Problems;

/// Reads a document and checks the result of applying it to `current`.
///
/// # Errors
///
/// Returns every problem: invalid text, unknown keys, values out of bounds and
/// dangling references.
pub fn read_document(
    text: &str,
    current: &Declarations,
    prune: bool,
) -> Result<Document, ReadError> {
    let mut document = Document::default();
    let outcome = read(text, |top| document = read_top(top));
    let mut next = current.clone();
    document.merge_into(&mut next, prune);
    let mut problems = match outcome {
        Ok(()) => Vec::new(),
        Err(found) => found.0,
    };
    problems.extend(locate_faults(text, check(&next)));
    if problems.is_empty() {
        return Ok(document);
    }
    problems.sort_by_key(|p| p.line.unwrap_or(usize::MAX));
    problems.dedup();
    Err(Problems(problems))
}

/// Reads a document without checking it against the declarations in force.
///
/// # Errors
///
/// Returns every problem of the text itself.
pub fn parse_document(text: &str) -> Result<Document, ReadError> {
    read(text, read_top)
}

/// Converts faults to problems with the line of the nearest key in `text`.
pub fn locate_faults(text: &str, faults: Vec<Fault>) -> Vec<Problem> {
    if faults.is_empty() {
        return Vec::new();
    }
    let paths: Vec<_> = faults.iter().map(|f| f.path.as_slice()).collect();
    let lines = locate(text, &paths);
    let located = faults.into_iter().zip(lines);
    let problems = located.map(|(fault, line)| Problem {
        path: fault.path.join("."),
        line,
        message: fault.message,
    });
    problems.collect()
}

fn read_top(top: &mut Section<'_>) -> Document {
    let profiles = top.pairs("profiles", |item| item.section(read_profile));
    let services = top.pairs("services", |item| item.section(read_service));
    let workspaces = top.pairs("workspaces", |item| item.section(read_workspace));
    let profiles = profiles.into_iter().map(|(name, mut profile)| {
        profile.name = ProfileName::from(name);
        (profile.name.clone(), profile)
    });
    let services = services.into_iter().map(|(name, mut service)| {
        service.name = ServiceName::from(name);
        (service.name.clone(), service)
    });
    let workspaces = workspaces.into_iter().map(|(name, services)| {
        let name = WorkspaceName::from(name);
        (name.clone(), Workspace { name, services })
    });
    Document {
        profiles: profiles.collect(),
        services: services.collect(),
        workspaces: workspaces.collect(),
    }
}

fn read_service(section: &mut Section<'_>) -> Service {
    let kinds = [("model", ServiceKind::Model), ("plain", ServiceKind::Plain)];
    Service {
        name: ServiceName::from(""),
        kind: section.choice("kind", &kinds, ServiceKind::Model),
        profile: ProfileName::from(section.text("profile")),
    }
}

fn read_workspace(section: &mut Section<'_>) -> Vec<ServiceName> {
    section.list("services", |item| item.text().map(ServiceName::from))
}

fn read_profile(section: &mut Section<'_>) -> Profile {
    let base = Profile::default();
    let lapses = [
        ("refuse", LeaseExpiryPolicy::Refuse),
        ("serve", LeaseExpiryPolicy::Serve),
    ];
    Profile {
        name: base.name,
        model: section.optional_text("model").map(Into::into),
        version: section.optional_text("version").map(Into::into),
        adapters: section.list("adapters", |item| item.text().map(Into::into)),
        zones: section.section("zones", read_zones).unwrap_or_default(),
        priority: Priority(section.number("priority", 0..=u8::MAX, base.priority.0)),
        deadline: millis(section, "deadline_ms", base.deadline),
        queue: section
            .section("queue", |s| read_queue(s, &base.queue))
            .unwrap_or(base.queue),
        concurrency: section.optional_parse("concurrency", "a whole number"),
        retry: section
            .section("retry", |s| read_retry(s, &base.retry))
            .unwrap_or(base.retry),
        idempotent: section.flag("idempotent", base.idempotent),
        shares: section
            .pairs("shares", |item| item.parse("a whole number"))
            .into_iter()
            .map(|(name, share)| (WorkspaceName::from(name), share))
            .collect(),
        slow_start: section
            .section("slow_start", |s| read_slow_start(s, &base.slow_start))
            .unwrap_or(base.slow_start),
        rebalance: section
            .section("rebalance", |s| read_rebalance(s, &base.rebalance))
            .unwrap_or(base.rebalance),
        lapse: section.choice("lapse", &lapses, base.lapse),
    }
}

fn read_zones(section: &mut Section<'_>) -> ZonePolicy {
    let spreads = [("near", Spread::Near), ("even", Spread::Even)];
    ZonePolicy {
        prefer: section.list("prefer", |item| item.text().map(Into::into)),
        spread: section.choice("spread", &spreads, Spread::Near),
    }
}

fn read_queue(section: &mut Section<'_>, base: &QueuePolicy) -> QueuePolicy {
    QueuePolicy {
        bound: whole(section, "bound", base.bound),
        wait: millis(section, "wait_ms", base.wait),
    }
}

fn read_retry(section: &mut Section<'_>, base: &RetryPolicy) -> RetryPolicy {
    RetryPolicy {
        attempts: whole(section, "attempts", base.attempts),
        budget: section
            .optional_parse("budget", "a number")
            .unwrap_or(base.budget),
        backoff: millis(section, "backoff_ms", base.backoff),
    }
}

fn read_slow_start(section: &mut Section<'_>, base: &SlowStart) -> SlowStart {
    SlowStart {
        initial: whole(section, "initial", base.initial),
        completions: whole(section, "completions", base.completions),
        least: millis(section, "least_ms", base.least),
    }
}

fn read_rebalance(section: &mut Section<'_>, base: &RebalancePolicy) -> RebalancePolicy {
    RebalancePolicy {
        hourly: whole(section, "hourly_bytes", base.hourly),
        staging: whole(section, "staging_bytes", base.staging),
        horizon: millis(section, "horizon_ms", base.horizon),
    }
}

fn whole<T>(section: &mut Section<'_>, key: &str, default: T) -> T
where
    T: std::str::FromStr,
{
    section
        .optional_parse(key, "a whole number")
        .unwrap_or(default)
}

fn millis(section: &mut Section<'_>, key: &str, default: Duration) -> Duration {
    section
        .optional_parse(key, "a whole number of milliseconds")
        .map_or(default, Duration::from_millis)
}
