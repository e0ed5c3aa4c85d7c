//! Start and stop of the parts of a local deployment.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use pimentotide_control::declare::parse_document;
use pimentotide_control::machine::Verdict;
use pimentotide_control::{Action, Command, Order, Response};
use pimentotide_instance::directory::Source as _;
use pimentotide_instance::{Submit, Token};
use pimentotide_model::{
    InstanceName, ModelName, OrderId, RegionName, Revision, ServiceName, UpstreamName, VersionName,
    WorkspaceName, ZoneName,
};
use pimentotide_observe::Metrics;
use pimentotide_standin::{Engine, EngineOptions};
use rand::RngExt;
use serde::Serialize;

use super::LocalError;
use crate::control::{Control, Source};
use crate::options::LocalOptions;
use crate::run::Roles;
use crate::settings::{
    AgentSettings, DEFAULT_BODY_BYTES, DEFAULT_KEEP, EntrySettings, Peer, ReplicaSettings, Settings,
};

const DECLARATIONS: &str = include_str!("declarations.yaml");
const MODEL: &str = "draft-small";
const VERSION: &str = "1";
const REGISTER: &str = "register";
const WORKSPACE: &str = "demo";
const REGION: &str = "local";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const MODELS_PER_ZONE: usize = 2;
const UPSTREAMS: usize = ZONES.len() * (MODELS_PER_ZONE + 1);
const ENTRY_THREADS: usize = 2;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(20);
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A running local deployment.
pub struct Deployment {
    entries: Vec<Roles>,
    agents: Vec<Roles>,
    engines: Vec<Engine>,
    _folder: Option<tempfile::TempDir>,
}

/// Addresses of a local deployment.
#[derive(Clone, Debug, Serialize)]
pub struct Addresses {
    /// Entries; the first is at the requested address.
    pub entries: Vec<SocketAddr>,
    /// Listener for operators; `None` if no entry hosts control.
    pub operator: Option<SocketAddr>,
    /// Stand-in upstreams, in the order of the zones.
    pub upstreams: Vec<SocketAddr>,
}

/// Configuration shared by all parts of a local deployment.
struct Plan {
    token: Token,
    control: Vec<Peer>,
    entries: Vec<Peer>,
    operator: SocketAddr,
    data: PathBuf,
}

impl Deployment {
    /// Starts a deployment and waits until every entry can route to every upstream.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, the data folder is unusable or a part
    /// is not ready in time.
    pub async fn spawn(options: &LocalOptions) -> Result<Self, LocalError> {
        let folder = match &options.data {
            Some(_) => None,
            None => Some(tempfile::tempdir().map_err(LocalError::Folder)?),
        };
        let plan = Plan::new(options, folder.as_ref());
        let mut deployment = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            _folder: folder,
        };
        for peer in &plan.entries {
            let roles = Roles::spawn(plan.entry(peer), &Metrics::none()).await?;
            if let Some(control) = roles.control() {
                declare(control).await?;
            }
            deployment.entries.push(roles);
        }
        for zone in ZONES {
            for index in 0..=MODELS_PER_ZONE {
                deployment.spawn_upstream(&plan, zone, index).await?;
            }
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Bound addresses of the parts.
    pub fn addresses(&self) -> Addresses {
        let entries = self
            .entries
            .iter()
            .filter_map(|r| r.entry().map(|e| e.address()));
        let operator = self
            .entries
            .iter()
            .find_map(|r| r.control().map(Control::operator_address));
        Addresses {
            entries: entries.collect(),
            operator,
            upstreams: self.engines.iter().map(Engine::address).collect(),
        }
    }

    /// Stand-in upstreams, in the order of the zones.
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// Drains running requests and stops all parts, from the entries to the engines.
    pub async fn stop(self) {
        // The first entry hosts control, which the other parts need until they have stopped.
        let mut entries = self.entries.into_iter();
        let first = entries.next();
        let others: FuturesUnordered<_> = entries.map(Roles::stop).collect();
        others.collect::<Vec<()>>().await;
        let agents: FuturesUnordered<_> = self.agents.into_iter().map(Roles::stop).collect();
        agents.collect::<Vec<()>>().await;
        if let Some(first) = first {
            first.stop().await;
        }
        for engine in self.engines {
            engine.stop(false).await;
        }
    }

    async fn spawn_upstream(
        &mut self,
        plan: &Plan,
        zone: &str,
        index: usize,
    ) -> Result<(), LocalError> {
        let plain = index == MODELS_PER_ZONE;
        let name = if plain {
            format!("{zone}-register")
        } else {
            format!("{zone}-model-{index}")
        };
        let roles = Roles::spawn(plan.agent(zone, &name), &Metrics::none()).await?;
        let options = if plain {
            EngineOptions::plain(vec![ServiceName::from(REGISTER)])
        } else {
            EngineOptions::model(ModelName::from(MODEL), VersionName::from(VERSION))
        };
        let agent = roles.agent().map(|a| a.engine_address());
        self.engines
            .push(Engine::spawn(EngineOptions { agent, ..options })?);
        self.agents.push(roles);
        Ok(())
    }

    /// Waits until every process has a lease and the view of every entry has every upstream.
    async fn wait_until_ready(&self) -> Result<(), LocalError> {
        let waiting = async {
            for roles in self.entries.iter().chain(&self.agents) {
                let Some(mut view) = roles.view() else {
                    continue;
                };
                let expected = if roles.entry().is_some() {
                    UPSTREAMS
                } else {
                    0
                };
                let ready = view
                    .wait_for(|v| v.is_current() && v.upstreams.len() >= expected)
                    .await;
                if ready.is_err() {
                    return Err(LocalError::NotReady);
                }
            }
            Ok(())
        };
        tokio::time::timeout(READY_TIMEOUT, waiting)
            .await
            .unwrap_or(Err(LocalError::NotReady))
    }
}

impl Plan {
    fn new(options: &LocalOptions, folder: Option<&tempfile::TempDir>) -> Self {
        let mut entries = Vec::new();
        for (index, zone) in ZONES.iter().enumerate() {
            let address = if index == 0 {
                options.caller
            } else {
                reserve_port()
            };
            entries.push(peer(&format!("{zone}-entry"), zone, address));
        }
        let control = vec![peer(&entries[0].name, ZONES[0], reserve_port())];
        let given = options.data.clone();
        let data = given
            .or_else(|| folder.map(|f| f.path().to_owned()))
            .unwrap_or_default();
        Self {
            token: new_token(),
            control,
            entries,
            operator: options.operator,
            data,
        }
    }

    /// Settings of one entry; the first hosts the control replica.
    fn entry(&self, peer: &Peer) -> Settings {
        let replica = (peer.name == self.control[0].name).then(|| ReplicaSettings {
            listen: self.control[0].address,
            operator: self.operator,
            data: self.data.clone(),
        });
        let entry = EntrySettings {
            listen: peer.address,
            threads: ENTRY_THREADS,
            body: DEFAULT_BODY_BYTES,
            workspace: Some(WorkspaceName::from(WORKSPACE)),
            keep: DEFAULT_KEEP,
            drain: DRAIN_TIMEOUT,
        };
        Settings {
            entry: Some(entry),
            replica,
            ..self.base(&peer.name, &peer.zone)
        }
    }

    /// Settings of the agent beside one upstream.
    fn agent(&self, zone: &str, upstream: &str) -> Settings {
        let agent = AgentSettings {
            upstream: UpstreamName::from(upstream),
            listen: any_port(),
            engine: any_port(),
            drain: DRAIN_TIMEOUT,
        };
        let instance = InstanceName::from(format!("{upstream}-agent"));
        Settings {
            agent: Some(agent),
            ..self.base(&instance, &ZoneName::from(zone))
        }
    }

    fn base(&self, instance: &InstanceName, zone: &ZoneName) -> Settings {
        Settings {
            instance: instance.clone(),
            region: RegionName::from(REGION),
            zone: zone.clone(),
            log: String::new(),
            metrics: None,
            token: self.token.clone(),
            control: self.control.clone(),
            entries: self.entries.clone(),
            entry: None,
            replica: None,
            agent: None,
        }
    }
}

/// Applies the built-in declarations unless the log already contains declarations.
async fn declare(control: &Control) -> Result<(), LocalError> {
    let source = control.source();
    wait_for_leader(source).await?;
    if source.read(|machine| machine.revision()) > Revision::default() {
        return Ok(());
    }
    let document = parse_document(DECLARATIONS).map_err(|e| LocalError::Document(e.to_string()))?;
    let order = Order {
        id: OrderId::from("local-declarations"),
        base: None,
        actor: "local".to_owned(),
        action: Action::Apply {
            document,
            prune: false,
        },
    };
    match source
        .submit(Command::Declare(order))
        .await
        .map_err(LocalError::Declare)?
    {
        Response::Declare(Verdict::Accepted { .. }) => Ok(()),
        other => Err(LocalError::Document(format!("{other:?}"))),
    }
}

/// Waits until the only replica is the leader.
async fn wait_for_leader(source: &Source) -> Result<(), LocalError> {
    let end = Instant::now() + READY_TIMEOUT;
    loop {
        match source.confirm().await {
            Ok(()) => return Ok(()),
            Err(e) if Instant::now() >= end => return Err(LocalError::Declare(e)),
            Err(_) => tokio::time::sleep(LEADER_POLL_INTERVAL).await,
        }
    }
}

fn peer(name: &str, zone: &str, address: SocketAddr) -> Peer {
    Peer {
        name: InstanceName::from(name),
        zone: ZoneName::from(zone),
        address,
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Finds a free port, so that the addresses of processes are known before they start.
///
/// The port is below the ephemeral range, so that no outgoing connection occupies it before it is
/// bound.
pub fn reserve_port() -> SocketAddr {
    const FIRST: u16 = 20_000;
    const COUNT: u16 = 10_000;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % u32::from(COUNT)) as u16;
    let mut ports = (0..COUNT).map(|_| {
        let next = NEXT.fetch_add(1, Ordering::Relaxed) % COUNT;
        SocketAddr::from(([127, 0, 0, 1], FIRST + (start + next) % COUNT))
    });
    let free = ports.find(|port| std::net::TcpListener::bind(port).is_ok());
    free.unwrap_or_else(any_port)
}

fn new_token() -> Token {
    let secret: u128 = rand::rng().random();
    Token::open(&format!("{secret:032x}")).expect("32 hexadecimal digits")
}
