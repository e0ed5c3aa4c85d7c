//! Lines on what a process does and believes.

use std::collections::BTreeMap;

use log::Level;
use pimentotide_observe::Line;
use serde::Serialize;

/// The process serves.
#[derive(Default, Serialize)]
pub struct Ready {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Roles.
    pub roles: Vec<String>,
    /// Addresses by what they serve.
    pub addresses: BTreeMap<String, String>,
}

/// A planned stop begins.
#[derive(Default, Serialize)]
pub struct Stopping {}

/// A planned stop has ended.
#[derive(Default, Serialize)]
pub struct Stopped {}

/// Settings were read again.
#[derive(Default, Serialize)]
pub struct Reloaded {
    /// Whether they are valid.
    pub valid: bool,
    /// Seeds, or what is wrong.
    pub detail: String,
}

/// An entry follows a replica.
#[derive(Default, Serialize)]
pub struct ReplicaFollowed {
    /// Address of the replica.
    pub replica: String,
}

/// An entry or agent goes on to another replica.
#[derive(Default, Serialize)]
pub struct ReplicaLost {
    /// Address of the replica.
    pub replica: String,
    /// Whether it had answered before.
    pub followed: bool,
    /// What happened.
    pub detail: String,
}

/// An entry may act on what it knows.
#[derive(Default, Serialize)]
pub struct LeaseWon {
    /// Version of the configuration.
    pub version: u64,
    /// Revision of zones and upstreams.
    pub revision: u64,
}

/// An entry may no longer act on what it knows.
#[derive(Default, Serialize)]
pub struct LeaseLost {
    /// Time since the last confirmation, ms.
    pub age_ms: u128,
}

/// An entry has taken over a configuration.
#[derive(Default, Serialize)]
pub struct Declared {
    /// Version.
    pub version: u64,
    /// Version before; none if it is the first.
    pub before: Option<u64>,
    /// Routes.
    pub routes: usize,
}

/// An upstream is in another state, as an entry sees it.
#[derive(Default, Serialize)]
pub struct UpstreamChanged {
    /// Upstream.
    pub upstream: String,
    /// Availability zone.
    pub zone: String,
    /// What changed.
    pub change: String,
    /// Revision that says so.
    pub revision: u64,
}

/// Other availability zones are out of service, as an entry sees it.
#[derive(Default, Serialize)]
pub struct ZonesClosed {
    /// Zones out of service.
    pub zones: Vec<String>,
    /// Revision that says so.
    pub revision: u64,
}

/// An entry sends an upstream nothing for a while, after failures.
#[derive(Default, Serialize)]
pub struct Ejected {
    /// Upstream.
    pub upstream: String,
}

/// A command was replicated, or was not.
#[derive(Default, Serialize)]
pub struct Ordered<'a> {
    /// Kind of command.
    pub order: &'a str,
    /// What it is about.
    pub subject: String,
    /// What became of it.
    pub reply: String,
    /// Time that it took, ms.
    pub waited_ms: u128,
}

/// A replica has another role, or knows another leader.
#[derive(Default, Serialize)]
pub struct RoleChanged {
    /// Role.
    pub role: String,
    /// Term.
    pub term: u64,
    /// Leader, if one is known.
    pub leader: Option<String>,
    /// Last committed position known.
    pub commit: u64,
}

/// The leader adds or removes a member of the log.
#[derive(Default, Serialize)]
pub struct MemberChanged {
    /// Member.
    pub member: String,
    /// What is done.
    pub change: &'static str,
    /// Why.
    pub reason: &'static str,
}

/// A process tells a replica something new of itself.
#[derive(Default, Serialize)]
pub struct ProcessSeen {
    /// Address of the process.
    pub process: String,
    /// Role.
    pub role: &'static str,
    /// Whether callers may be sent there.
    pub accepting: bool,
    /// Whether it stops.
    pub stopping: bool,
}

/// A switch of expert maps has ended.
#[derive(Default, Serialize)]
pub struct ExpertsMoved {
    /// Group.
    pub group: String,
    /// Epoch of the group.
    pub epoch: u64,
    /// Version of the map.
    pub version: u64,
    /// Most loaded rank over the mean before.
    pub before: f64,
    /// Most loaded rank over the mean as planned.
    pub after: f64,
    /// Experts copied.
    pub copies: usize,
    /// How it ended.
    pub ending: String,
    /// Time that it took, ms.
    pub took_ms: u128,
}

/// The engine beside an agent has been given an order.
#[derive(Default, Serialize)]
pub struct EngineOrdered {
    /// Order.
    pub order: String,
    /// Fencing number.
    pub fence: u64,
    /// Answer of the engine, or what went wrong.
    pub answer: String,
}

/// A pass of a group that was left held back is let go.
#[derive(Default, Serialize)]
pub struct GroupReleased {
    /// Pass.
    pub step: u64,
    /// How that ended.
    pub ending: String,
    /// Why it was held back.
    pub reason: &'static str,
}

impl Line for Ready {
    const EVENT: &'static str = "ready";
}

impl Line for Stopping {
    const EVENT: &'static str = "stopping";
}

impl Line for Stopped {
    const EVENT: &'static str = "stopped";
}

impl Line for Reloaded {
    const EVENT: &'static str = "reloaded";
}

impl Line for ReplicaFollowed {
    const EVENT: &'static str = "replica_followed";
}

impl Line for ReplicaLost {
    const EVENT: &'static str = "replica_lost";
    const LEVEL: Level = Level::Warn;
}

impl Line for LeaseWon {
    const EVENT: &'static str = "lease_won";
}

impl Line for LeaseLost {
    const EVENT: &'static str = "lease_lost";
    const LEVEL: Level = Level::Warn;
}

impl Line for Declared {
    const EVENT: &'static str = "declared";
}

impl Line for UpstreamChanged {
    const EVENT: &'static str = "upstream_changed";
}

impl Line for ZonesClosed {
    const EVENT: &'static str = "zones_closed";
}

impl Line for Ejected {
    const EVENT: &'static str = "ejected";
    const LEVEL: Level = Level::Warn;
}

impl Line for Ordered<'_> {
    const EVENT: &'static str = "order";
}

impl Line for RoleChanged {
    const EVENT: &'static str = "role_changed";
}

impl Line for MemberChanged {
    const EVENT: &'static str = "member_changed";
}

impl Line for ProcessSeen {
    const EVENT: &'static str = "process_seen";
}

impl Line for ExpertsMoved {
    const EVENT: &'static str = "experts_moved";
}

impl Line for EngineOrdered {
    const EVENT: &'static str = "engine_order";
}

impl Line for GroupReleased {
    const EVENT: &'static str = "group_released";
    const LEVEL: Level = Level::Warn;
}
