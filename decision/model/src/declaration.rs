//! What operators declare: profiles, services and what is in or out of service.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, GroupName, ModelName, ProfileName, Revision, ServiceName, UpstreamName,
    VersionName, WorkspaceName, ZoneName,
};

/// Priority of a request: higher goes first.
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

/// Whether operators have a zone or an upstream in service.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminState {
    /// Takes new work.
    #[default]
    #[display("in")]
    In,
    /// Takes no new work.
    #[display("out")]
    Out,
}

/// What a service is made of.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines behind the completions interface.
    #[default]
    #[display("model")]
    Model,
    /// Plain HTTP services.
    #[display("plain")]
    Plain,
}

/// How strictly work is kept near the caller.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Near zones first, others when near ones are loaded.
    #[default]
    #[display("near")]
    Near,
    /// All zones alike.
    #[display("even")]
    Even,
}

/// What an agent does with new work once its lease on being current has run out.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseExpiryPolicy {
    /// Refuses new work, so that a zone taken out unheard stays out.
    #[default]
    #[display("refuse")]
    Refuse,
    /// Goes on under the last configuration.
    #[display("serve")]
    Serve,
}

/// Preference among availability zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePolicy {
    /// Zones in order of preference, before nearness counts.
    pub prefer: Vec<ZoneName>,
    /// How strictly work is kept near.
    pub spread: Spread,
}

/// Bounds of the queue that an entry keeps for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Most requests waiting in one entry.
    pub bound: u32,
    /// Longest wait before a request is refused.
    pub wait: Duration,
}

/// Retries of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryPolicy {
    /// Most attempts a request makes, the first included.
    pub attempts: u32,
    /// Retries allowed per request that succeeds, 0.0 to 1.0.
    pub budget: f64,
    /// Pause before the first retry; doubles with each one, with jitter.
    pub backoff: Duration,
}

/// How the allowance of an upstream grows after a start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Requests at once right after a start.
    pub initial: u32,
    /// Completions in good time that raise the allowance by one.
    pub completions: u32,
    /// Shortest time from a start to full allowance.
    pub least: Duration,
}

/// What rebalancing expert maps may cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RebalancePolicy {
    /// Weights moved at most in an hour, bytes.
    pub hourly: u64,
    /// Staging memory at most on a rank, bytes.
    pub staging: u64,
    /// Time over which a move has to pay for itself.
    pub horizon: Duration,
}

/// A named way of placing a service's work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Profile {
    /// Name of the profile.
    pub name: ProfileName,
    /// Model that serves it; none for plain services.
    pub model: Option<ModelName>,
    /// Version of the model; any if none.
    pub version: Option<VersionName>,
    /// Adapters that its requests may name.
    pub adapters: Vec<AdapterName>,
    /// Preference among zones.
    pub zones: ZonePolicy,
    /// Priority of its requests.
    pub priority: Priority,
    /// Time a request has from its arrival.
    pub deadline: Duration,
    /// Queue in each entry.
    pub queue: QueuePolicy,
    /// Requests at once on one upstream; the upstream's capacity if none.
    pub concurrency: Option<u32>,
    /// Retries.
    pub retry: RetryPolicy,
    /// Whether requests may run more than once.
    pub idempotent: bool,
    /// Weight of each workspace in the queue; 1 where not named.
    pub shares: BTreeMap<WorkspaceName, u32>,
    /// Growth of the allowance after a start.
    pub slow_start: SlowStart,
    /// Cost limits of rebalancing.
    pub rebalance: RebalancePolicy,
    /// What agents do when cut off from control.
    pub lapse: LeaseExpiryPolicy,
}

/// A service that callers ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// What it is made of.
    pub kind: ServiceKind,
    /// Profile that it runs under.
    pub profile: ProfileName,
}

/// A workspace that may use the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Services that it may use; all if empty.
    pub services: Vec<ServiceName>,
}

/// What operators say of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamPolicy {
    /// Whether it takes new work.
    pub standing: AdminState,
    /// Whether its engine refuses orders with an old fencing number.
    pub fenced: bool,
}

/// All declarations in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declarations {
    /// Revision of the whole.
    pub revision: Revision,
    /// Profiles by name.
    pub profiles: BTreeMap<ProfileName, Profile>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Workspaces by name; any workspace is welcome if empty.
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
    /// Zones by name; a zone that is not named is in.
    pub zones: BTreeMap<ZoneName, AdminState>,
    /// Upstreams by name; an upstream that is not named is in.
    pub upstreams: BTreeMap<UpstreamName, UpstreamPolicy>,
    /// Groups whose rebalancing is paused.
    pub paused: Vec<GroupName>,
    /// Whether all rebalancing is paused.
    pub frozen: bool,
}

impl Declarations {
    /// Whether operators let `upstream` in `zone` take new work.
    pub fn admits(&self, zone: &ZoneName, upstream: &UpstreamName) -> bool {
        let zone_in = self.zones.get(zone).is_none_or(|s| *s == AdminState::In);
        let upstream_in = self
            .upstreams
            .get(upstream)
            .is_none_or(|u| u.standing == AdminState::In);
        zone_in && upstream_in
    }

    /// Returns the profile that `service` runs under.
    pub fn profile_of(&self, service: &ServiceName) -> Option<&Profile> {
        self.services
            .get(service)
            .and_then(|s| self.profiles.get(&s.profile))
    }

    /// Returns the first service that serves `model`.
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
