//! Canonical layout of the document: defaults are written out, names are sorted.

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_model::{LeaseExpiryPolicy, Profile, ServiceKind, Spread};
use serde::Serialize;

use crate::declare::document::Document;

#[derive(Serialize)]
struct DocumentText<'a> {
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    profiles: BTreeMap<&'a str, ProfileText<'a>>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    services: BTreeMap<&'a str, ServiceText<'a>>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    workspaces: BTreeMap<&'a str, WorkspaceText<'a>>,
}

#[derive(Serialize)]
struct ServiceText<'a> {
    kind: ServiceKind,
    profile: &'a str,
}

#[derive(Serialize)]
struct WorkspaceText<'a> {
    services: Vec<&'a str>,
}

#[derive(Serialize)]
struct ProfileText<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<&'a str>,
    adapters: Vec<&'a str>,
    zones: ZonesText<'a>,
    priority: u8,
    deadline_ms: u64,
    queue: QueueText,
    #[serde(skip_serializing_if = "Option::is_none")]
    concurrency: Option<u32>,
    retry: RetryText,
    idempotent: bool,
    shares: BTreeMap<&'a str, u32>,
    slow_start: SlowStartText,
    rebalance: RebalanceText,
    lapse: LeaseExpiryPolicy,
}

#[derive(Serialize)]
struct ZonesText<'a> {
    prefer: Vec<&'a str>,
    spread: Spread,
}

#[derive(Serialize)]
struct QueueText {
    bound: u32,
    wait_ms: u64,
}

#[derive(Serialize)]
struct RetryText {
    attempts: u32,
    budget: f64,
    backoff_ms: u64,
}

#[derive(Serialize)]
struct SlowStartText {
    initial: u32,
    completions: u32,
    least_ms: u64,
}

#[derive(Serialize)]
struct RebalanceText {
    hourly_bytes: u64,
    staging_bytes: u64,
    horizon_ms: u64,
}

/// Writes a document as YAML; reading it yields the same document.
pub fn write_document(document: &Document) -> String {
    let profiles = document.profiles.iter();
    let services = document.services.iter().map(|(name, service)| {
        let text = ServiceText {
            kind: service.kind,
            profile: service.profile.as_str(),
        };
        (name.as_str(), text)
    });
    let workspaces = document.workspaces.iter().map(|(name, workspace)| {
        let services = workspace.services.iter().map(|s| s.as_str()).collect();
        (name.as_str(), WorkspaceText { services })
    });
    let text = DocumentText {
        profiles: profiles.map(|(n, p)| (n.as_str(), profile(p))).collect(),
        services: services.collect(),
        workspaces: workspaces.collect(),
    };
    serde_yaml_ng::to_string(&text).unwrap_or_default()
}

fn profile(profile: &Profile) -> ProfileText<'_> {
    ProfileText {
        model: profile.model.as_ref().map(|m| m.as_str()),
        version: profile.version.as_ref().map(|v| v.as_str()),
        adapters: profile.adapters.iter().map(|a| a.as_str()).collect(),
        zones: ZonesText {
            prefer: profile.zones.prefer.iter().map(|z| z.as_str()).collect(),
            spread: profile.zones.spread,
        },
        priority: profile.priority.0,
        deadline_ms: millis(profile.deadline),
        queue: QueueText {
            bound: profile.queue.bound,
            wait_ms: millis(profile.queue.wait),
        },
        concurrency: profile.concurrency,
        retry: RetryText {
            attempts: profile.retry.attempts,
            budget: profile.retry.budget,
            backoff_ms: millis(profile.retry.backoff),
        },
        idempotent: profile.idempotent,
        shares: profile
            .shares
            .iter()
            .map(|(w, s)| (w.as_str(), *s))
            .collect(),
        slow_start: SlowStartText {
            initial: profile.slow_start.initial,
            completions: profile.slow_start.completions,
            least_ms: millis(profile.slow_start.least),
        },
        rebalance: RebalanceText {
            hourly_bytes: profile.rebalance.hourly,
            staging_bytes: profile.rebalance.staging,
            horizon_ms: millis(profile.rebalance.horizon),
        },
        lapse: profile.lapse,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
