//! Log lines about the state of a process and of the deployment as it sees it.

use std::collections::BTreeMap;

use log::Level;
use pimentotide_observe::Line;
use serde::Serialize;

/// The process accepts requests.
#[derive(Default, Serialize)]
pub struct Ready {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Names of the roles that run in the process.
    pub roles: Vec<String>,
    /// Listener addresses by listener name.
    pub addresses: BTreeMap<String, String>,
}

/// A graceful stop begins.
#[derive(Default, Serialize)]
pub struct Stopping {}

/// A graceful stop is complete.
#[derive(Default, Serialize)]
pub struct Stopped {}

/// The settings were reloaded.
#[derive(Default, Serialize)]
pub struct Reloaded {
    /// Whether the new settings are valid.
    pub valid: bool,
    /// Seeds in use, or the problems of the new settings.
    pub detail: String,
}

/// An entry receives updates from a replica.
#[derive(Default, Serialize)]
pub struct ReplicaFollowed {
    /// Address of the replica.
    pub replica: String,
}

/// An entry or agent switches away from a replica.
#[derive(Default, Serialize)]
pub struct ReplicaLost {
    /// Address of the replica.
    pub replica: String,
    /// Whether the replica had answered before.
    pub followed: bool,
    /// Error that caused the switch.
    pub detail: String,
}

/// An entry obtains a lease on its view and may route by it.
#[derive(Default, Serialize)]
pub struct LeaseWon {
    /// Version of the configuration.
    pub version: u64,
    /// Revision of zones and upstreams.
    pub revision: u64,
}

/// The lease of an entry on its view expires.
#[derive(Default, Serialize)]
pub struct LeaseLost {
    /// Time since the last confirmation, ms.
    pub age_ms: u128,
}

/// An entry applies a configuration.
#[derive(Default, Serialize)]
pub struct Declared {
    /// Version of the configuration.
    pub version: u64,
    /// Previous version; `None` for the first configuration.
    pub before: Option<u64>,
    /// Number of routes.
    pub routes: usize,
}

/// An entry rejects a delta to what it has and asks for the whole.
#[derive(Default, Serialize)]
pub struct DeltaFailed {
    /// Subject of the delta: `configuration` or `upstreams`.
    pub subject: &'static str,
    /// Position of the subject that the entry has.
    pub held: u64,
    /// Position that the delta leads to.
    pub index: u64,
    /// Reason for the rejection.
    pub detail: String,
}

/// The state of an upstream changes in the view of an entry.
#[derive(Default, Serialize)]
pub struct UpstreamChanged {
    /// Name of the upstream.
    pub upstream: String,
    /// Availability zone.
    pub zone: String,
    /// New state or changed property.
    pub change: String,
    /// Revision of zones and upstreams with the change.
    pub revision: u64,
}

/// The set of closed availability zones changes in the view of an entry.
#[derive(Default, Serialize)]
pub struct ZonesClosed {
    /// All zones that are closed.
    pub zones: Vec<String>,
    /// Revision of zones and upstreams with the change.
    pub revision: u64,
}

/// An entry ejects an upstream for a while after failures.
#[derive(Default, Serialize)]
pub struct Ejected {
    /// Name of the upstream.
    pub upstream: String,
}

/// The pace of an upstream changes in the view of an entry.
#[derive(Default, Serialize)]
pub struct UpstreamSlow {
    /// Name of the upstream.
    pub upstream: String,
    /// Time per unit of work relative to a normal upstream.
    pub pace: f64,
    /// Whether it gets no requests while another one has room.
    pub avoided: bool,
}

/// An agent begins, changes or ends its announcements that its engine is slow.
#[derive(Default, Serialize)]
pub struct EngineSlow {
    /// Pace that it announces, percent; `None` if it announces none any more.
    pub pace: Option<u16>,
}

/// Other contents or parts of prompts are refused because they crash upstreams.
#[derive(Default, Serialize)]
pub struct SuspectsChanged {
    /// Number of suspected contents that are not refused.
    pub suspected: usize,
    /// Digests of the refused contents.
    pub refused: Vec<String>,
    /// Digests of the refused parts; requests with all of a set are refused.
    pub parts: Vec<Vec<String>>,
    /// Position in the log.
    pub revision: u64,
}

/// A replica has answered a command, whether or not it was replicated.
#[derive(Default, Serialize)]
pub struct Ordered<'a> {
    /// Kind of command.
    pub order: &'a str,
    /// Object of the command.
    pub subject: String,
    /// Outcome: `done`, or the error.
    pub reply: String,
    /// Duration, ms.
    pub waited_ms: u128,
}

/// The role or the leader of a replica changes.
#[derive(Default, Serialize)]
pub struct RoleChanged {
    /// New role.
    pub role: String,
    /// Term of the replicated log.
    pub term: u64,
    /// Leader; `None` while it is unknown.
    pub leader: Option<String>,
    /// Commit index.
    pub commit: u64,
    /// Voters by its own log.
    pub voters: Vec<String>,
    /// Voters whose disks are proved lost.
    pub lost: Vec<String>,
    /// Arbiters of this membership.
    pub arbiters: Vec<String>,
    /// Voters to which the arbiters granted that they act without the others.
    pub granted: Vec<String>,
}

/// A learner has not caught up with the log yet.
#[derive(Default, Serialize)]
pub struct LearnerLags {
    /// Member.
    pub member: String,
    /// How the log is sent to it: `probe`, `entries` or `snapshot`.
    pub flow: String,
    /// Entries by which it lags.
    pub lag: u64,
    /// Bytes that it still needs.
    pub lag_bytes: u64,
    /// Time since it was sent the newest message that it answered, in milliseconds.
    pub silent_ms: u64,
}

/// A replica that stops gives up its vote.
#[derive(Default, Serialize)]
pub struct VoteReleased {
    /// `released` or `timed_out`.
    pub result: String,
    /// Time since the stop signal, in milliseconds.
    pub waited_ms: u64,
}

/// The leader adds or removes a member of the replicated log.
#[derive(Default, Serialize)]
pub struct MemberChanged {
    /// Member.
    pub member: String,
    /// Kind of change.
    pub change: &'static str,
    /// Reason for the change.
    pub reason: &'static str,
}

/// A replica receives a changed announcement of a process.
#[derive(Default, Serialize)]
pub struct ProcessSeen {
    /// Address of the process.
    pub process: String,
    /// Role.
    pub role: &'static str,
    /// Whether the process accepts callers.
    pub accepting: bool,
    /// Whether the process is stopping.
    pub stopping: bool,
}

/// A switch of expert maps is complete or has failed.
#[derive(Default, Serialize)]
pub struct ExpertsMoved {
    /// Name of the group.
    pub group: String,
    /// Epoch of the group.
    pub epoch: u64,
    /// Version of the map.
    pub version: u64,
    /// Load of the most loaded rank relative to the mean, before the switch.
    pub before: f64,
    /// Load of the most loaded rank relative to the mean, as planned.
    pub after: f64,
    /// Number of experts copied.
    pub copies: usize,
    /// Outcome of the switch.
    pub ending: String,
    /// Duration, ms.
    pub took_ms: u128,
}

/// An agent has sent an order to its engine.
#[derive(Default, Serialize)]
pub struct EngineOrdered {
    /// Order that was sent.
    pub order: String,
    /// Fencing token.
    pub fence: u64,
    /// Answer of the engine, or the error.
    pub answer: String,
}

/// An agent releases a pass of its group that was left held.
#[derive(Default, Serialize)]
pub struct GroupReleased {
    /// Number of the pass.
    pub step: u64,
    /// Outcome of the release.
    pub ending: String,
    /// Reason why the pass is released.
    pub reason: &'static str,
    /// Duration, ms.
    pub took_ms: u128,
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

impl Line for DeltaFailed {
    const EVENT: &'static str = "delta_failed";
    const LEVEL: Level = Level::Warn;
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

impl Line for UpstreamSlow {
    const EVENT: &'static str = "upstream_slow";
}

impl Line for EngineSlow {
    const EVENT: &'static str = "engine_slow";
}

impl Line for SuspectsChanged {
    const EVENT: &'static str = "suspects_changed";
    const LEVEL: Level = Level::Warn;
}

impl Line for Ordered<'_> {
    const EVENT: &'static str = "order";
}

impl Line for RoleChanged {
    const EVENT: &'static str = "role_changed";
}

impl Line for LearnerLags {
    const EVENT: &'static str = "learner_lags";
}

impl Line for VoteReleased {
    const EVENT: &'static str = "vote_released";
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
