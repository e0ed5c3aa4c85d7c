//! Role of the agent: the proxy through which all work reaches an upstream.
//!
//! The agent has two listeners: one for entries, which post work, and one for
//! its upstream, which announces itself. It admits work through its gate,
//! forwards it, and frames the answer so that the entry can distinguish a
//! complete answer from a broken one.

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
use actix_web::dev::{ServerHandle, Service};
use actix_web::http::header::HeaderName;
use actix_web::{App, HttpServer, web};
use derive_more::Display;
use pimentotide_instance::work::{EXCHANGE_HEADER, MAX_ORDER_BYTES};
use pimentotide_instance::{Submitter, Token, View};
use pimentotide_model::{Announcement, Incarnation, Revision, UpstreamName, Warmth, ZoneName};
use pimentotide_observe::Metrics;
use tokio::sync::watch;

use self::core::Core;

/// Maximum size of an announcement of the upstream.
const MAX_STATE_BYTES: usize = 4 << 20;

/// Interval between checks for expired credits.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between checks for running requests during a drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of an agent.
pub struct AgentOptions {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Listen address for entries.
    pub listen: SocketAddr,
    /// Listen address for announcements of the upstream.
    pub engine: SocketAddr,
    /// Secret of the deployment.
    pub token: Token,
    /// Latest configuration and membership received by this process.
    pub view: watch::Receiver<View>,
    /// Submits crash reports to control; `None` in a deployment without control.
    pub control: Option<Submitter>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Maximum time that a planned stop waits for running requests.
    pub drain: Duration,
}

/// Failure to bind a listen address of an agent.
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
    /// Fails if either listen address cannot be bound.
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

    /// Address that accepts announcements of the upstream.
    pub fn engine_address(&self) -> SocketAddr {
        self.engine.0
    }

    /// Subscribes to the announcement of the upstream; `None` before its first one.
    pub fn announcements(&self) -> watch::Receiver<Option<Announcement>> {
        self.core.announcements()
    }

    /// Subscribes to the warm-up state of the upstream.
    pub fn warmth(&self) -> watch::Receiver<Warmth> {
        self.core.warmth()
    }

    /// Subscribes to the highest revision received with a work order.
    pub fn highest_revision(&self) -> watch::Receiver<Revision> {
        self.core.highest_revision()
    }

    /// Also accepts orders for `incarnation`, under which the directory lists the upstream.
    pub fn set_alias(&self, incarnation: Incarnation) {
        self.core.set_alias(incarnation);
    }

    /// Refuses new work, as when another process has taken over the upstream's name.
    pub fn drain(&self) {
        self.core.drain();
    }

    /// Refuses new work, waits for running requests up to the drain time, and stops.
    pub async fn stop(&self) {
        self.core.drain();
        let drained = tokio::time::timeout(self.drain, async {
            while self.core.running() > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        });
        if drained.await.is_err() {
            log::warn!(
                "{} requests aborted at the end of the drain time",
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
            .wrap_fn(|request, service| {
                let exchange = request.headers().get(EXCHANGE_HEADER).cloned();
                let answering = service.call(request);
                async move {
                    let mut answer = answering.await?;
                    if let Some(exchange) = exchange {
                        let name = HeaderName::from_static(EXCHANGE_HEADER);
                        answer.headers_mut().insert(name, exchange);
                    }
                    Ok(answer)
                }
            })
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

/// Applies each change of configuration or lease.
async fn follow(core: Arc<Core>) {
    let mut views = core.views();
    while views.changed().await.is_ok() {
        core.refresh();
    }
}

async fn tick(core: Arc<Core>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        core.tick();
    }
}
