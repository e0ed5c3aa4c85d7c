//! Human-readable rendering of answers.

use pimentotide_control::machine::Record;
use pimentotide_model::{Service, Time, Warmth};
use time::OffsetDateTime;

use crate::control::Cluster;
use crate::message::{Accepted, Listing, ProfileSummary};
use crate::status::{Status, UpstreamStatus, ZoneStatus};

/// Placeholder for an empty cell.
const NONE: &str = "-";

pub(super) fn accepted(accepted: &Accepted) -> String {
    format!(
        "order {} is in force at revision {}\n",
        accepted.id, accepted.revision
    )
}

pub(super) fn profiles(list: &Listing<ProfileSummary>) -> String {
    let mut rows = vec![row(["PROFILE", "MODEL", "SERVICES"])];
    for profile in &list.items {
        let model = profile.model.as_ref().map(|m| m.as_str());
        let services: Vec<_> = profile.services.iter().map(|s| s.as_str()).collect();
        rows.push(row([
            profile.name.as_str(),
            model.unwrap_or(NONE),
            &or_none(&services.join(",")),
        ]));
    }
    table(&rows)
}

pub(super) fn services(list: &Listing<Service>) -> String {
    let mut rows = vec![row(["SERVICE", "KIND", "PROFILE"])];
    for service in &list.items {
        let kind = service.kind.to_string();
        rows.push(row([
            service.name.as_str(),
            &kind,
            service.profile.as_str(),
        ]));
    }
    table(&rows)
}

pub(super) fn history(list: &Listing<Record>) -> String {
    let mut rows = vec![row(["REVISION", "TIME", "ACTOR", "ORDER", "ACTION"])];
    for record in &list.items {
        let revision = record.revision.to_string();
        let at = date(record.at);
        rows.push(row([
            &revision,
            &at,
            &record.actor,
            &record.id,
            &record.summary,
        ]));
    }
    table(&rows)
}

pub(super) fn cluster(cluster: &Cluster) -> String {
    let mut rows = vec![row(["REPLICA", "ADDRESS", "ROLE", "LEADS"])];
    for member in &cluster.members {
        let leads = cluster.leader.as_ref() == Some(&member.name);
        let role = member.role.to_string();
        let leads = if leads { "yes" } else { "no" };
        rows.push(row([member.name.as_str(), &member.address, &role, leads]));
    }
    table(&rows)
}

pub(super) fn groups(list: &Listing<serde_json::Value>) -> String {
    let mut rows = vec![row(["GROUP", "DETAIL"])];
    for group in &list.items {
        rows.push(row([name_of(group), &scalars(group)]));
    }
    table(&rows)
}

pub(super) fn group(group: &serde_json::Value) -> String {
    let text = serde_json::to_string_pretty(group).unwrap_or_default();
    text + "\n"
}

/// Returns the `name` member of a group.
pub(super) fn name_of(group: &serde_json::Value) -> &str {
    group.get("name").and_then(|n| n.as_str()).unwrap_or(NONE)
}

pub(super) fn status(status: &Status) -> String {
    let confirmed = if status.current {
        "confirmed by a quorum"
    } else {
        "NOT confirmed by a quorum, may be out of date"
    };
    let rebalancing = if status.frozen {
        "paused".to_owned()
    } else {
        format!("on, {} groups paused", status.paused.len())
    };
    let parts = [
        format!(
            "revision {}, {confirmed}\nrebalancing {rebalancing}\n",
            status.revision
        ),
        cluster(&status.cluster),
        zones(&status.zones),
        upstreams(&status.upstreams),
        entries(status),
    ];
    parts.join("\n")
}

fn zones(zones: &[ZoneStatus]) -> String {
    let mut rows = vec![row(["ZONE", "STANDING", "WARMTH", "UPSTREAMS", "REVISION"])];
    for zone in zones {
        rows.push(row([
            zone.name.as_str(),
            &zone.standing.to_string(),
            &warmth(zone.warmth),
            &zone.upstreams.to_string(),
            &zone.revision.map_or(NONE.to_owned(), |r| r.to_string()),
        ]));
    }
    table(&rows)
}

fn upstreams(upstreams: &[UpstreamStatus]) -> String {
    let mut rows = vec![row([
        "UPSTREAM", "STANDING", "WARMTH", "ZONE", "REVISION", "NOTES",
    ])];
    for upstream in upstreams {
        let agent = upstream.announced.as_ref();
        let mut notes = Vec::new();
        if upstream.fenced {
            notes.push("fenced");
        }
        if agent.is_some_and(|a| a.leaving) {
            notes.push("leaving");
        }
        if agent.is_none() {
            notes.push("silent");
        }
        rows.push(row([
            upstream.name.as_str(),
            &upstream.standing.to_string(),
            &warmth(agent.map(|a| a.warmth)),
            agent.map_or(NONE, |a| a.zone.as_str()),
            &agent.map_or(NONE.to_owned(), |a| a.revision.to_string()),
            &or_none(&notes.join(",")),
        ]));
    }
    table(&rows)
}

fn entries(status: &Status) -> String {
    let mut rows = vec![row(["ENTRY", "ZONE", "REVISION", "CURRENT"])];
    for entry in &status.entries {
        let current = if entry.current { "yes" } else { "no" };
        let revision = entry.revision.to_string();
        rows.push(row([
            entry.instance.as_str(),
            entry.zone.as_str(),
            &revision,
            current,
        ]));
    }
    table(&rows)
}

fn warmth(warmth: Option<Warmth>) -> String {
    warmth.map_or(NONE.to_owned(), |w| w.to_string())
}

fn or_none(text: &str) -> String {
    let text = if text.is_empty() { NONE } else { text };
    text.to_owned()
}

/// Formats a log time as a UTC date; leaders set it by their wall clock.
fn date(at: Time) -> String {
    let seconds = i64::try_from(at.as_millis() / 1_000).unwrap_or(i64::MAX);
    let Ok(date) = OffsetDateTime::from_unix_timestamp(seconds) else {
        return NONE.to_owned();
    };
    let (hour, minute, second) = date.to_hms();
    format!("{}T{hour:02}:{minute:02}:{second:02}Z", date.date())
}

/// Lists the scalar members of an object as `key=value`.
fn scalars(value: &serde_json::Value) -> String {
    let fields = value.as_object().into_iter().flatten();
    let scalars = fields.filter(|(k, v)| *k != "name" && !v.is_object() && !v.is_array());
    let pairs: Vec<_> = scalars.map(|(k, v)| format!("{k}={v}")).collect();
    or_none(&pairs.join(" "))
}

fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.map(str::to_owned).to_vec()
}

/// Formats rows of equal length as aligned columns.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let widths: Vec<_> = (0..columns)
        .map(|c| rows.iter().map(|r| r[c].chars().count()).max().unwrap_or(0))
        .collect();
    let mut text = String::new();
    for cells in rows {
        let mut line = String::new();
        for (cell, width) in cells.iter().zip(&widths) {
            line.push_str(&format!("{cell:<width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
