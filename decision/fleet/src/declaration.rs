//! Configuration as the operator declares it, and what makes it invalid.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use pimentotide_model::{ServiceName, WorkspaceName};

/// Configuration of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declaration {
    /// Version; the highest is in force.
    pub version: u64,
    /// Routes, in the order given.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// What callers may send.
    pub limits: Limits,
    /// Workspaces; none if callers need no key.
    pub workspaces: Option<Vec<Workspace>>,
}

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Requests may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// Requests run at most once.
    #[display("non-idempotent")]
    NonIdempotent,
    /// Answers are streams of events; run at most once unless resumable.
    #[display("streaming")]
    Streaming,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Start of the paths, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer earns its full value.
    pub target_latency: Duration,
    /// Rank of its requests, 0 first.
    pub priority: u8,
    /// Services and their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether an interrupted stream may continue at another upstream.
    pub resumable: bool,
    /// Longest pause between events of a punctual stream.
    pub max_gap: Option<Duration>,
}

impl Route {
    /// Whether a request on this route may run again after it may have run.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of its health check.
    pub health: Arc<str>,
    /// Most connections to one of its upstreams.
    pub connections: u32,
    /// What an upstream bears while it is cold.
    pub cold: Option<ColdLimit>,
    /// Model engine behind the service, if there is one.
    pub engine: Option<Engine>,
}

/// What an upstream bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Time for which an upstream is cold after its start.
    pub duration: Duration,
    /// Requests a second.
    pub rate: f64,
}

/// Model engine of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into the memory of one upstream.
    pub kv_capacity: u64,
    /// Time of one token step without requests, ms.
    pub step_ms: f64,
    /// Time that each running request adds to a step, ms.
    pub per_request_ms: f64,
    /// Token steps in one pass.
    pub stride: u32,
    /// Prompt tokens read a second.
    pub prefill_rate: f64,
    /// Layers of experts that are placed separately.
    pub layers: u16,
    /// Experts in each layer; 0 if experts are not placed.
    pub experts: u16,
    /// Experts that one rank holds in each layer.
    pub places: u16,
    /// Experts new to a rank in each layer in one change.
    pub spare: u16,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, bytes.
    pub head: usize,
    /// Largest body, bytes.
    pub body: usize,
    /// Longest time for a head.
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

/// One workspace and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceName,
    /// Keys.
    pub keys: Vec<Arc<str>>,
    /// Rank of its requests, before the route's.
    pub priority: Option<u8>,
}

/// What makes a configuration invalid.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A route names a service that is not declared.
    #[display("route {_0:?} names the unknown service {_1:?}")]
    UnknownService(Arc<str>, ServiceName),
    /// Two routes share host and prefix.
    #[display("two routes share the host {_0:?} and the prefix {_1:?}")]
    SamePlace(Arc<str>, Arc<str>),
    /// The weights of a route add up to nothing.
    #[display("the weights of route {_0:?} add up to 0")]
    NoWeight(Arc<str>),
    /// A route has no time to answer.
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
    /// Finds all that makes the configuration invalid.
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
        let mut holders: BTreeMap<&str, &WorkspaceName> = BTreeMap::new();
        let mut faults = Vec::new();
        for workspace in self.workspaces.iter().flatten() {
            for key in &workspace.keys {
                match holders.insert(key, &workspace.name) {
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
