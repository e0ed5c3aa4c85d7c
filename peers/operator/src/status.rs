//! Status of the deployment as reported to operators.

use std::collections::{BTreeMap, BTreeSet};

use pimentotide_control::Machine;
use pimentotide_control::directory::{Member as Upstream, Presence, Registry};
use pimentotide_model::{
    AdminState, GroupName, Incarnation, Revision, UpstreamName, UpstreamPolicy, Warmth, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::control::Cluster;

/// Status of the whole deployment as seen by one replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Revision in force.
    pub revision: Revision,
    /// Whether a quorum has confirmed that this status is current.
    pub current: bool,
    /// Control replicas.
    pub cluster: Cluster,
    /// Zones, declared or announced.
    pub zones: Vec<ZoneStatus>,
    /// Upstreams, declared or announced.
    pub upstreams: Vec<UpstreamStatus>,
    /// Entries that send reports.
    pub entries: Vec<Presence>,
    /// Expert-parallel groups, see [`crate::Control::groups`].
    pub groups: Vec<serde_json::Value>,
    /// Groups whose rebalancing is paused.
    pub paused: Vec<GroupName>,
    /// Whether all rebalancing is paused.
    pub frozen: bool,
}

/// Status of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Name of the zone.
    pub name: ZoneName,
    /// Whether operators have put the zone in or out of service.
    pub standing: AdminState,
    /// Common warmth of all its upstreams, [`Warmth::Warming`] if they differ; `None` without
    /// upstreams.
    pub warmth: Option<Warmth>,
    /// Number of upstreams announced in the zone.
    pub upstreams: usize,
    /// Lowest revision among its agents; `None` without upstreams.
    pub revision: Option<Revision>,
}

/// Status of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Whether operators have put the upstream in or out of service.
    pub standing: AdminState,
    /// Whether its engine rejects outdated fencing tokens.
    pub fenced: bool,
    /// Announcement of its agent; `None` if none is received.
    pub announced: Option<AgentStatus>,
}

/// Announcement of an upstream's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Address of the agent.
    pub address: String,
    /// Incarnation of the upstream, new at each start.
    pub incarnation: Incarnation,
    /// Warm-up state of the upstream.
    pub warmth: Warmth,
    /// Whether the upstream is shutting down and accepts no new work.
    pub leaving: bool,
    /// Revision of the declarations applied by the agent.
    pub revision: Revision,
}

/// Returns the status of the deployment.
pub fn status(
    machine: &Machine,
    registry: &Registry,
    cluster: Cluster,
    groups: Vec<serde_json::Value>,
    current: bool,
) -> Status {
    let declarations = machine.declarations();
    Status {
        revision: declarations.revision,
        current,
        cluster,
        zones: zones(machine, registry),
        upstreams: upstreams(machine, registry),
        entries: registry.entries().cloned().collect(),
        groups,
        paused: declarations.paused.clone(),
        frozen: declarations.frozen,
    }
}

/// Returns the status of every declared or announced zone.
pub fn zones(machine: &Machine, registry: &Registry) -> Vec<ZoneStatus> {
    let declared = &machine.declarations().zones;
    let mut members: BTreeMap<&ZoneName, Vec<&Upstream>> = BTreeMap::new();
    for name in declared.keys() {
        members.entry(name).or_default();
    }
    for presence in registry.entries() {
        members.entry(&presence.zone).or_default();
    }
    for upstream in registry.members() {
        let zone = &upstream.notice.announcement.zone;
        members.entry(zone).or_default().push(upstream);
    }
    let statuses = members.into_iter().map(|(name, members)| ZoneStatus {
        name: name.clone(),
        standing: declared.get(name).copied().unwrap_or_default(),
        warmth: common_warmth(&members),
        upstreams: members.len(),
        revision: members.iter().map(|m| m.notice.announcement.revision).min(),
    });
    statuses.collect()
}

/// Returns the status of every declared or announced upstream.
pub fn upstreams(machine: &Machine, registry: &Registry) -> Vec<UpstreamStatus> {
    let declared = &machine.declarations().upstreams;
    let members: BTreeMap<_, _> = registry
        .members()
        .map(|m| (&m.notice.announcement.upstream, m))
        .collect();
    let names: BTreeSet<_> = declared.keys().chain(members.keys().copied()).collect();
    let statuses = names.into_iter().map(|name| {
        let policy = declared.get(name).cloned().unwrap_or_default();
        upstream_status(name, &policy, members.get(name).copied())
    });
    statuses.collect()
}

fn upstream_status(
    name: &UpstreamName,
    policy: &UpstreamPolicy,
    member: Option<&Upstream>,
) -> UpstreamStatus {
    let announced = member.map(|member| {
        let announcement = &member.notice.announcement;
        AgentStatus {
            zone: announcement.zone.clone(),
            address: announcement.address.clone(),
            incarnation: announcement.incarnation,
            warmth: member.warmth,
            leaving: announcement.leaving,
            revision: announcement.revision,
        }
    });
    UpstreamStatus {
        name: name.clone(),
        standing: policy.standing,
        fenced: policy.fenced,
        announced,
    }
}

fn common_warmth(members: &[&Upstream]) -> Option<Warmth> {
    let first = members.first()?.warmth;
    let uniform = members.iter().all(|m| m.warmth == first);
    Some(if uniform { first } else { Warmth::Warming })
}
