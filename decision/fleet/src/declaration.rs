//! Configuration declared by the operator, and its validation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{ServiceName, WorkspaceName};

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declaration {
    /// Version given by the operator; the highest is in force.
    pub version: u64,
    /// Routes in the order declared.
    pub routes: Vec<Route>,
    /// Declared services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on requests of callers.
    pub limits: Limits,
    /// Workspaces; `None` if callers need no key.
    pub workspaces: Option<Vec<Workspace>>,
}

/// Whether requests on a route may be repeated.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Requests may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// Requests run at most once.
    #[display("non-idempotent")]
    NonIdempotent,
    /// Responses are event streams; requests run at most once unless resumable.
    #[display("streaming")]
    Streaming,
}

/// Maps requests with a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in logs and error messages.
    pub name: Arc<str>,
    /// Host of the request, in lower case.
    pub host: Arc<str>,
    /// Path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Time after which the request fails.
    pub timeout: Duration,
    /// Target latency; a later response is worth less to the caller.
    pub target_latency: Duration,
    /// Priority of its requests; 0 is the highest.
    pub priority: u8,
    /// Services and their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// Maximum number of upstreams that may run one request.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether an interrupted stream may resume at another upstream.
    pub resumable: bool,
    /// Time without an event after which callers abandon a stream; `None` if they wait until their
    /// deadline.
    pub abandon_after: Option<Duration>,
}

impl Route {
    /// Whether a request that may have run may be sent again.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// Service that a group of upstreams offers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health: Arc<str>,
    /// Connections to one of its upstreams, at most.
    pub connections: u32,
    /// Limit while an upstream is cold; `None` if there is none.
    pub cold: Option<ColdLimit>,
    /// Model engine behind the service; `None` for other services.
    pub engine: Option<Engine>,
}

/// Rate limit of a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Time for which an upstream is cold after its start.
    pub duration: Duration,
    /// Requests per second from all entries together.
    pub rate: f64,
}

/// Model engine of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    /// Concurrent requests of one upstream.
    pub slots: u32,
    /// Capacity of the KV cache of one upstream, tokens.
    pub kv_capacity: u64,
    /// Base time of one token step, ms.
    pub step_ms: f64,
    /// Time that each running request adds to a step, ms.
    pub per_request_ms: f64,
    /// Token steps in one forward pass.
    pub stride: u32,
    /// Prompt tokens processed per second.
    pub prefill_rate: f64,
    /// Expert layers that are placed separately.
    pub layers: u16,
    /// Experts per layer; 0 if experts are not placed.
    pub experts: u16,
    /// Experts that one rank holds per layer.
    pub places: u16,
    /// Additional experts that a rank can load per layer in one change.
    pub spare: u16,
    /// Time in which a rank receives one expert.
    pub copy_time: Duration,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size of the request head, bytes.
    pub head: usize,
    /// Size of the request body, bytes.
    pub body: usize,
    /// Time within which the request head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Workspace with the API keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name in logs and limits.
    pub name: WorkspaceName,
    /// API keys; each belongs to one workspace.
    pub keys: Vec<Arc<str>>,
    /// Priority of its requests; overrides the route's.
    pub priority: Option<u8>,
}

/// Validation error of a configuration.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A route refers to a service that is not declared.
    #[display("route {_0:?} names the unknown service {_1:?}")]
    UnknownService(Arc<str>, ServiceName),
    /// Two routes have the same host and prefix.
    #[display("two routes share the host {_0:?} and the prefix {_1:?}")]
    SamePlace(Arc<str>, Arc<str>),
    /// The weights of a route add up to 0.
    #[display("the weights of route {_0:?} add up to 0")]
    NoWeight(Arc<str>),
    /// The timeout of a route is 0.
    #[display("the time-out of route {_0:?} is 0")]
    NoTimeout(Arc<str>),
    /// A prefix does not begin and end with a slash.
    #[display("the prefix {_1:?} of route {_0:?} does not begin and end with a slash")]
    Prefix(Arc<str>, Arc<str>),
    /// Two workspaces share a key.
    #[display("the workspaces {_0:?} and {_1:?} share a key")]
    SharedKey(WorkspaceName, WorkspaceName),
}

impl Declaration {
    /// Returns all validation errors of the configuration.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults: Vec<Fault> = self
            .routes
            .iter()
            .flat_map(|r| self.route_faults(r))
            .collect();
        let mut places = BTreeSet::new();
        for route in &self.routes {
            if !places.insert((&route.host, &route.prefix)) {
                faults.push(Fault::SamePlace(route.host.clone(), route.prefix.clone()));
            }
        }
        faults.extend(self.shared_keys());
        faults
    }

    fn route_faults(&self, route: &Route) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (service, _) in &route.split {
            if !self.services.contains_key(service) {
                faults.push(Fault::UnknownService(route.name.clone(), service.clone()));
            }
        }
        if route.split.iter().all(|(_, weight)| *weight == 0) {
            faults.push(Fault::NoWeight(route.name.clone()));
        }
        if route.timeout.is_zero() {
            faults.push(Fault::NoTimeout(route.name.clone()));
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            faults.push(Fault::Prefix(route.name.clone(), route.prefix.clone()));
        }
        faults
    }

    fn shared_keys(&self) -> Vec<Fault> {
        let mut owners: BTreeMap<&str, &WorkspaceName> = BTreeMap::new();
        let mut faults = Vec::new();
        for workspace in self.workspaces.iter().flatten() {
            for key in &workspace.keys {
                match owners.insert(key, &workspace.name) {
                    Some(other) if *other != workspace.name => {
                        faults.push(Fault::SharedKey(other.clone(), workspace.name.clone()));
                    }
                    _ => {}
                }
            }
        }
        faults
    }
}
