//! Starts and stops the parts of a local deployment.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use pimentotide_instance::{Token, View};
use pimentotide_model::{
    Announcement, InstanceName, ModelName, ServiceName, UpstreamName, VersionName, WorkspaceName,
    ZoneName,
};
use pimentotide_observe::Metrics;
use pimentotide_standin::{Engine, EngineOptions};
use rand::RngExt;
use serde::Serialize;
use tokio::sync::watch;

use super::LocalError;
use super::declared::{MODEL, REGISTER, VERSION, WORKSPACE, declarations};
use crate::agent::{Agent, AgentOptions};
use crate::entry::{Entry, EntryOptions};
use crate::options::LocalOptions;
use crate::settings::{DEFAULT_BODY_BYTES, DEFAULT_KEEP, EntrySettings, Peer};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const MODELS_PER_ZONE: usize = 2;
const ENTRY_THREADS: usize = 2;
const DRAIN: Duration = Duration::from_secs(30);
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A running local deployment.
pub struct Deployment {
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    engines: Vec<Engine>,
    feeds: Vec<JoinHandle<()>>,
}

/// Addresses of a local deployment.
#[derive(Clone, Debug, Serialize)]
pub struct Addresses {
    /// Entries, the first as asked for.
    pub entries: Vec<SocketAddr>,
    /// Stand-in upstreams.
    pub upstreams: Vec<SocketAddr>,
}

impl Deployment {
    /// Starts a deployment and waits until it can serve requests.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken or an upstream does not come up.
    pub async fn spawn(options: &LocalOptions) -> Result<Self, LocalError> {
        let token = new_token();
        let view = watch::Sender::new(View {
            declarations: Arc::new(declarations()),
            current: true,
            ..View::default()
        });
        let mut deployment = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            feeds: Vec::new(),
        };
        for zone in ZONES {
            for index in 0..=MODELS_PER_ZONE {
                deployment.spawn_upstream(zone, index, &token, &view)?;
            }
        }
        let mut ready = view.subscribe();
        let expected = ZONES.len() * (MODELS_PER_ZONE + 1);
        let all = ready.wait_for(|v| v.upstreams.len() == expected);
        match tokio::time::timeout(READY_TIMEOUT, all).await {
            Ok(Ok(_)) => {}
            _ => return Err(LocalError::NotReady),
        }
        deployment.spawn_entries(options.caller, &token, &view)?;
        Ok(deployment)
    }

    /// Addresses that the parts serve on.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            entries: self.entries.iter().map(Entry::address).collect(),
            upstreams: self.engines.iter().map(Engine::address).collect(),
        }
    }

    /// Lets running requests end and stops all parts, callers' side first.
    pub async fn stop(self) {
        let entries: FuturesUnordered<_> = self.entries.into_iter().map(Entry::stop).collect();
        entries.collect::<Vec<()>>().await;
        let agents: FuturesUnordered<_> = self.agents.into_iter().map(Agent::stop).collect();
        agents.collect::<Vec<()>>().await;
        for feed in self.feeds {
            feed.abort();
        }
        for engine in self.engines {
            engine.stop(false).await;
        }
    }

    fn spawn_upstream(
        &mut self,
        zone: &str,
        index: usize,
        token: &Token,
        view: &watch::Sender<View>,
    ) -> Result<(), LocalError> {
        let plain = index == MODELS_PER_ZONE;
        let name = if plain {
            format!("{zone}-register")
        } else {
            format!("{zone}-model-{index}")
        };
        let agent = Agent::spawn(AgentOptions {
            upstream: UpstreamName::from(name),
            zone: ZoneName::from(zone),
            listen: free_port(),
            engine: free_port(),
            token: token.clone(),
            view: view.subscribe(),
            control: None,
            metrics: Metrics::none(),
            drain: DRAIN,
        })?;
        let options = if plain {
            EngineOptions::plain(vec![ServiceName::from(REGISTER)])
        } else {
            EngineOptions::model(ModelName::from(MODEL), VersionName::from(VERSION))
        };
        let engine_address = Some(agent.engine_address());
        self.engines.push(Engine::spawn(EngineOptions {
            agent: engine_address,
            ..options
        })?);
        self.feeds
            .push(actix_rt::spawn(feed(agent.announcements(), view.clone())));
        self.agents.push(agent);
        Ok(())
    }

    fn spawn_entries(
        &mut self,
        first: SocketAddr,
        token: &Token,
        view: &watch::Sender<View>,
    ) -> Result<(), LocalError> {
        let mut peers = Vec::new();
        for (index, zone) in ZONES.iter().enumerate() {
            let listen = if index == 0 { first } else { reserve_port() };
            let name = InstanceName::from(format!("{zone}-entry"));
            peers.push(Peer {
                name,
                zone: ZoneName::from(*zone),
                address: listen,
            });
        }
        for peer in &peers {
            self.entries.push(Entry::spawn(EntryOptions {
                instance: peer.name.clone(),
                zone: peer.zone.clone(),
                settings: EntrySettings {
                    listen: peer.address,
                    threads: ENTRY_THREADS,
                    body: DEFAULT_BODY_BYTES,
                    workspace: Some(WorkspaceName::from(WORKSPACE)),
                    keep: DEFAULT_KEEP,
                    drain: DRAIN,
                },
                entries: peers.clone(),
                token: token.clone(),
                view: view.subscribe(),
                control: None,
                metrics: Metrics::none(),
            })?);
        }
        Ok(())
    }
}

/// Copies what an agent announces into the view of all processes.
async fn feed(mut announced: watch::Receiver<Option<Announcement>>, view: watch::Sender<View>) {
    loop {
        let latest = announced.borrow_and_update().clone();
        if let Some(announcement) = latest {
            view.send_modify(|v| {
                let mut upstreams = (*v.upstreams).clone();
                upstreams.insert(announcement.upstream.clone(), announcement);
                v.upstreams = Arc::new(upstreams);
            });
        }
        if announced.changed().await.is_err() {
            return;
        }
    }
}

fn free_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Finds a free port, so that entries can name each other before they start.
fn reserve_port() -> SocketAddr {
    let bound = std::net::TcpListener::bind(free_port()).and_then(|l| l.local_addr());
    bound.unwrap_or_else(|_| free_port())
}

fn new_token() -> Token {
    let secret: u128 = rand::rng().random();
    Token::open(&format!("{secret:032x}")).expect("32 hexadecimal digits")
}
