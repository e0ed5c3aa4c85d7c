//! Declarations of operators: profiles, services, workspaces and the administrative
//! state of zones and upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, GroupName, ModelName, ProfileName, Revision, ServiceName, UpstreamName,
    VersionName, WorkspaceName, ZoneName,
};

/// Queue priority of a request; higher is served first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// Administrative state of a zone or an upstream, set by operators.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminState {
    /// In service: accepts new work.
    #[default]
    #[display("in")]
    In,
    /// Out of service: accepts no new work.
    #[display("out")]
    Out,
}

/// Kind of upstream behind a service.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines behind the completions API.
    #[default]
    #[display("model")]
    Model,
    /// Plain HTTP services.
    #[display("plain")]
    Plain,
}

/// Distribution of requests over availability zones.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Prefers near zones; uses others when the near ones are loaded.
    #[default]
    #[display("near")]
    Near,
    /// Treats all zones alike.
    #[display("even")]
    Even,
}

/// How an agent handles new work after its configuration lease has expired.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseExpiryPolicy {
    /// Rejects new work, so that a zone taken out of service while the agent is
    /// unreachable serves no requests.
    #[default]
    #[display("refuse")]
    Refuse,
    /// Continues to serve under the last received configuration.
    #[display("serve")]
    Serve,
}

/// Preference among availability zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePolicy {
    /// Zones in order of preference; takes precedence over proximity.
    pub prefer: Vec<ZoneName>,
    /// Distribution of requests over zones.
    pub spread: Spread,
}

/// Limits of the queue that an entry keeps for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Maximum number of queued requests per entry.
    pub bound: u32,
    /// Maximum time in the queue before a request is rejected.
    pub wait: Duration,
}

/// Retry limits of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryPolicy {
    /// Maximum attempts per request, including the first.
    pub attempts: u32,
    /// Retry budget: retries allowed per successful request, 0.0 to 1.0.
    pub budget: f64,
    /// Delay before the first retry; doubles with each further retry, with jitter.
    pub backoff: Duration,
}

/// Growth of an upstream's concurrency limit (its allowance) after a start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Concurrent requests allowed right after a start.
    pub initial: u32,
    /// Timely completions that raise the allowance by one.
    pub completions: u32,
    /// Minimum time from a start to the full allowance.
    pub least: Duration,
}

/// Cost limits of rebalancing expert maps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RebalancePolicy {
    /// Maximum weights moved per hour, in bytes.
    pub hourly: u64,
    /// Maximum staging memory per rank, in bytes.
    pub staging: u64,
    /// Time within which the benefit of a move has to exceed its cost.
    pub horizon: Duration,
}

/// Named set of placement, queueing and retry settings for services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Profile {
    /// Unique name, by which services refer to the profile.
    pub name: ProfileName,
    /// Model that serves its requests; `None` for plain services.
    pub model: Option<ModelName>,
    /// Version of the model; any version if `None`.
    pub version: Option<VersionName>,
    /// Adapters that its requests may name.
    pub adapters: Vec<AdapterName>,
    /// Preference among zones.
    pub zones: ZonePolicy,
    /// Priority of its requests.
    pub priority: Priority,
    /// Time allowed for a request, counted from its arrival.
    pub deadline: Duration,
    /// Limits of the queue in each entry.
    pub queue: QueuePolicy,
    /// Maximum concurrent requests per upstream; the upstream's capacity if `None`.
    pub concurrency: Option<u32>,
    /// Retry limits.
    pub retry: RetryPolicy,
    /// Whether requests may run more than once.
    pub idempotent: bool,
    /// Queue weight of each workspace; 1 if absent.
    pub shares: BTreeMap<WorkspaceName, u32>,
    /// Growth of an upstream's allowance after a start.
    pub slow_start: SlowStart,
    /// Cost limits of rebalancing.
    pub rebalance: RebalancePolicy,
    /// How agents handle new work after their configuration lease has expired.
    pub lapse: LeaseExpiryPolicy,
}

/// A service that callers request by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Kind of upstream that serves it.
    pub kind: ServiceKind,
    /// Profile that applies to its requests.
    pub profile: ProfileName,
}

/// A workspace that may use the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Services that it may use; all services if empty.
    pub services: Vec<ServiceName>,
}

/// Operator settings of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamPolicy {
    /// Whether the upstream accepts new work.
    pub standing: AdminState,
    /// Whether its engine rejects orders with an outdated fencing token.
    pub fenced: bool,
}

/// All declarations in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declarations {
    /// Revision at which this set was committed.
    pub revision: Revision,
    /// Profiles by name.
    pub profiles: BTreeMap<ProfileName, Profile>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Workspaces by name; every workspace is accepted if empty.
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
    /// Zones by name; a zone that is absent is in service.
    pub zones: BTreeMap<ZoneName, AdminState>,
    /// Upstreams by name; an upstream that is absent is in service.
    pub upstreams: BTreeMap<UpstreamName, UpstreamPolicy>,
    /// Groups whose rebalancing is paused.
    pub paused: Vec<GroupName>,
    /// Whether all rebalancing is paused.
    pub frozen: bool,
}

impl Declarations {
    /// Returns whether both `zone` and `upstream` are in service.
    pub fn admits(&self, zone: &ZoneName, upstream: &UpstreamName) -> bool {
        let zone_in = self.zones.get(zone).is_none_or(|s| *s == AdminState::In);
        let upstream_in = self
            .upstreams
            .get(upstream)
            .is_none_or(|u| u.standing == AdminState::In);
        zone_in && upstream_in
    }

    /// Returns the profile of `service`, if both are declared.
    pub fn profile_of(&self, service: &ServiceName) -> Option<&Profile> {
        self.services
            .get(service)
            .and_then(|s| self.profiles.get(&s.profile))
    }

    /// Returns the first service, by name, whose profile names `model`.
    pub fn service_for(&self, model: &ModelName) -> Option<&Service> {
        self.services.values().find(|s| {
            self.profiles
                .get(&s.profile)
                .is_some_and(|p| p.model.as_ref() == Some(model))
        })
    }
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            name: ProfileName::from("default"),
            model: None,
            version: None,
            adapters: Vec::new(),
            zones: ZonePolicy::default(),
            priority: Priority(100),
            deadline: Duration::from_secs(30),
            queue: QueuePolicy {
                bound: 256,
                wait: Duration::from_secs(5),
            },
            concurrency: None,
            retry: RetryPolicy {
                attempts: 3,
                budget: 0.1,
                backoff: Duration::from_millis(10),
            },
            idempotent: true,
            shares: BTreeMap::new(),
            slow_start: SlowStart {
                initial: 1,
                completions: 2,
                least: Duration::from_secs(2),
            },
            rebalance: RebalancePolicy {
                hourly: 64 << 30,
                staging: 4 << 30,
                horizon: Duration::from_secs(600),
            },
            lapse: LeaseExpiryPolicy::Refuse,
        }
    }
}
