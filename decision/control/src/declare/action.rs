//! Operator orders and the effect of each action on the declarations.

use std::fmt;

use pimentotide_model::{
    AdminState, Declarations, Fingerprint, GroupName, OrderId, Revision, Service, ServiceName,
    UpstreamName, ZoneName,
};
use serde::{Deserialize, Serialize};

use super::check::check;
use super::document::Document;
use super::fault::{Fault, Faults};

/// Groups whose rebalancing an action pauses or resumes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All groups of the deployment.
    All,
    /// One group.
    Group(GroupName),
}

/// Change to the declarations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Merges a document into the declarations in force.
    Apply {
        /// Profiles, services and workspaces.
        document: Document,
        /// Whether to remove what the document does not name.
        prune: bool,
    },
    /// Puts a zone in or out of service.
    Zone {
        /// Name of the zone.
        zone: ZoneName,
        /// Whether it accepts new work.
        standing: AdminState,
    },
    /// Puts an upstream in or out of service, or sets whether it checks fencing tokens.
    Upstream {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Whether it accepts new work; unchanged if `None`.
        standing: Option<AdminState>,
        /// Whether its engine rejects outdated fencing tokens; unchanged if `None`.
        fenced: Option<bool>,
    },
    /// Adds or replaces a service.
    SetService(Service),
    /// Removes a service.
    RemoveService(ServiceName),
    /// Pauses rebalancing.
    Pause(Scope),
    /// Resumes rebalancing.
    Resume(Scope),
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Apply { document, prune } => {
                let parts = [
                    names("profiles", document.profiles.keys()),
                    names("services", document.services.keys()),
                    names("workspaces", document.workspaces.keys()),
                ];
                let parts: Vec<_> = parts.into_iter().flatten().collect();
                let verb = if *prune { "apply and prune" } else { "apply" };
                write!(f, "{verb} {}", parts.join("; "))
            }
            Self::Zone { zone, standing } => write!(f, "zone {standing} {zone}"),
            Self::Upstream {
                upstream,
                standing,
                fenced,
            } => {
                write!(f, "upstream {upstream}")?;
                if let Some(standing) = standing {
                    write!(f, " {standing}")?;
                }
                fenced.map_or(Ok(()), |fenced| write!(f, " fenced={fenced}"))
            }
            Self::SetService(service) => {
                write!(f, "service set {} {}", service.name, service.profile)
            }
            Self::RemoveService(name) => write!(f, "service remove {name}"),
            Self::Pause(scope) => write!(f, "pause {scope}"),
            Self::Resume(scope) => write!(f, "resume {scope}"),
        }
    }
}

/// Maximum number of names of one kind in a summary.
const MAX_SHOWN_NAMES: usize = 8;

/// Lists the first names of a kind and counts the rest; `None` without names.
fn names<I>(kind: &str, names: I) -> Option<String>
where
    I: ExactSizeIterator,
    I::Item: fmt::Display,
{
    let more = names.len().saturating_sub(MAX_SHOWN_NAMES);
    let shown: Vec<_> = names.take(MAX_SHOWN_NAMES).map(|n| n.to_string()).collect();
    if shown.is_empty() {
        return None;
    }
    let shown = shown.join(" ");
    Some(match more {
        0 => format!("{kind} {shown}"),
        _ => format!("{kind} {shown} and {more} more"),
    })
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::All => f.write_str("all"),
            Self::Group(group) => write!(f, "group {group}"),
        }
    }
}

/// One operator order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Identifier; the same when the order is resent.
    pub id: OrderId,
    /// Revision that the order is based on; `None` applies to any revision.
    pub base: Option<Revision>,
    /// Operator that submitted the order.
    pub actor: String,
    /// Change to the declarations.
    pub action: Action,
}

impl Order {
    /// Digests all content but the identifier.
    pub fn fingerprint(&self) -> Fingerprint {
        let content = (&self.base, &self.actor, &self.action);
        let bytes = postcard::to_stdvec(&content).unwrap_or_default();
        Fingerprint::of([bytes.as_slice()])
    }
}

/// Applies `action` to `current` and returns the result, one revision higher.
///
/// # Errors
///
/// Returns the faults of the resulting declarations.
pub fn advance(current: &Declarations, action: &Action) -> Result<Declarations, Vec<Fault>> {
    let mut next = current.clone();
    let mut faults = Faults::default();
    apply_action(&mut next, action, &mut faults);
    next.revision = current.revision.next();
    let mut found = faults.finish();
    found.extend(check(&next));
    if found.is_empty() {
        Ok(next)
    } else {
        Err(found)
    }
}

fn apply_action(next: &mut Declarations, action: &Action, faults: &mut Faults) {
    match action {
        Action::Apply { document, prune } => document.merge_into(next, *prune),
        Action::Zone { zone, standing } => {
            next.zones.insert(zone.clone(), *standing);
        }
        Action::Upstream {
            upstream,
            standing,
            fenced,
        } => {
            let policy = next.upstreams.entry(upstream.clone()).or_default();
            policy.standing = standing.unwrap_or(policy.standing);
            policy.fenced = fenced.unwrap_or(policy.fenced);
        }
        Action::SetService(service) => {
            next.services.insert(service.name.clone(), service.clone());
        }
        Action::RemoveService(name) => {
            if next.services.remove(name).is_none() {
                faults.add(&["services", name], "this service does not exist");
            }
        }
        Action::Pause(scope) => pause(next, scope),
        Action::Resume(scope) => resume(next, scope),
    }
}

fn pause(next: &mut Declarations, scope: &Scope) {
    match scope {
        Scope::All => next.frozen = true,
        Scope::Group(group) => {
            if let Err(at) = next.paused.binary_search(group) {
                next.paused.insert(at, group.clone());
            }
        }
    }
}

fn resume(next: &mut Declarations, scope: &Scope) {
    match scope {
        Scope::All => next.frozen = false,
        Scope::Group(group) => next.paused.retain(|g| g != group),
    }
}
