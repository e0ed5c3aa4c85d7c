//! Role of the agent: the only way by which work reaches an upstream.
//!
//! The agent listens twice: for entries, which post work, and for the upstream
//! in its slot, which announces itself. It admits work through its gate, passes
//! it on, and frames the answer so that the entry can tell a whole answer from
//! one that broke off.

mod core;
mod crash;
mod forward;
mod permit;
mod routes;
mod slot;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_web::dev::ServerHandle;
use actix_web::{App, HttpServer, web};
use derive_more::Display;
use pimentotide_instance::work::MAX_ORDER_BYTES;
use pimentotide_instance::{Submitter, Token, View};
use pimentotide_model::{Announcement, Incarnation, Revision, UpstreamName, Warmth, ZoneName};
use pimentotide_observe::Metrics;
use tokio::sync::watch;

use self::core::Core;

/// Largest announcement of an upstream, in bytes.
const MAX_STATE_BYTES: usize = 4 << 20;

/// Time between looks at credits that ran out.
const TICK: Duration = Duration::from_millis(50);

/// Time between looks at whether all running requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// What an agent needs to run.
pub struct AgentOptions {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Address to serve entries on.
    pub listen: SocketAddr,
    /// Address to which the upstream announces itself.
    pub engine: SocketAddr,
    /// Secret of the deployment.
    pub token: Token,
    /// Configuration and membership as this process learns them.
    pub view: watch::Receiver<View>,
    /// Control replicas, told of crashes; none in a deployment without control.
    pub control: Option<Submitter>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Longest time a planned stop waits for running requests.
    pub drain: Duration,
}

/// Why an agent could not start.
#[derive(Debug, Display)]
#[display("agent on {address}: {source}")]
pub struct AgentError {
    address: SocketAddr,
    source: std::io::Error,
}

impl std::error::Error for AgentError {}

/// A running agent.
pub struct Agent {
    core: Arc<Core>,
    work: (SocketAddr, ServerHandle),
    engine: (SocketAddr, ServerHandle),
    drain: Duration,
    tasks: [JoinHandle<()>; 2],
}

impl Agent {
    /// Starts an agent on the current actix system.
    ///
    /// # Errors
    ///
    /// Fails if one of the addresses cannot be bound.
    pub fn spawn(options: AgentOptions) -> Result<Self, AgentError> {
        let (listen, engine, drain) = (options.listen, options.engine, options.drain);
        let core = Arc::new(Core::new(options));
        let work = serve(listen, &core, routes::for_entries)?;
        core.set_address(work.0);
        let engine = serve(engine, &core, routes::for_upstream)?;
        let tasks = [
            actix_rt::spawn(follow(Arc::clone(&core))),
            actix_rt::spawn(tick(Arc::clone(&core))),
        ];
        Ok(Self {
            core,
            work,
            engine,
            drain,
            tasks,
        })
    }

    /// Address that serves entries.
    pub fn address(&self) -> SocketAddr {
        self.work.0
    }

    /// Address to which the upstream announces itself.
    pub fn engine_address(&self) -> SocketAddr {
        self.engine.0
    }

    /// What the agent announces; none until the upstream has announced itself.
    pub fn announcements(&self) -> watch::Receiver<Option<Announcement>> {
        self.core.announcements()
    }

    /// How far the upstream has warmed up.
    pub fn warmth(&self) -> watch::Receiver<Warmth> {
        self.core.warmth()
    }

    /// Highest revision that came with an order of an entry.
    pub fn heard(&self) -> watch::Receiver<Revision> {
        self.core.heard()
    }

    /// Takes orders for `incarnation` too, under which the directory knows the upstream.
    pub fn rename(&self, incarnation: Incarnation) {
        self.core.rename(incarnation);
    }

    /// Takes no new work, since another process has the upstream's name.
    pub fn leave(&self) {
        self.core.leave();
    }

    /// Takes no new work, lets running requests end, and stops.
    pub async fn stop(&self) {
        self.core.leave();
        let patience = tokio::time::timeout(self.drain, async {
            while self.core.running() > 0 {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        });
        if patience.await.is_err() {
            log::warn!(
                "{} requests cut short at the end of the drain time",
                self.core.running()
            );
        }
        for task in &self.tasks {
            task.abort();
        }
        self.work.1.stop(true).await;
        self.engine.1.stop(true).await;
    }
}

fn serve<F>(
    listen: SocketAddr,
    core: &Arc<Core>,
    routes: F,
) -> Result<(SocketAddr, ServerHandle), AgentError>
where
    F: Fn(&mut web::ServiceConfig) + Send + Clone + 'static,
{
    let failed = |source| AgentError {
        address: listen,
        source,
    };
    let data = web::Data::from(Arc::clone(core));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::PayloadConfig::new(MAX_ORDER_BYTES))
            .app_data(web::JsonConfig::default().limit(MAX_STATE_BYTES))
            .configure(routes.clone())
    })
    .workers(1)
    .tcp_nodelay(true)
    .disable_signals()
    .shutdown_timeout(1)
    .bind(listen)
    .map_err(failed)?;
    let address = server.addrs().first().copied().unwrap_or(listen);
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok((address, handle))
}

/// Puts each change of configuration or lease into force.
async fn follow(core: Arc<Core>) {
    let mut views = core.views();
    while views.changed().await.is_ok() {
        core.refresh();
    }
}

async fn tick(core: Arc<Core>) {
    loop {
        tokio::time::sleep(TICK).await;
        core.tick();
    }
}
