//! Role of the entry: accepts callers' requests and places them at upstreams.
//!
//! Each thread that serves callers has a [`Dispatcher`]; all share one [`Core`]
//! with the placement state of this instance. A request is resolved against the
//! declarations, placed and sent to an agent; its answer is relayed piece by piece.

mod attempt;
mod core;
mod decision;
mod dispatch;
mod once;
mod placing;
mod relay;
mod resolve;
mod tasks;
mod trial;
mod waiting;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use pimentotide_caller::{CallerError, CallerOptions, CallerServer};
use pimentotide_instance::work::WorkClient;
use pimentotide_instance::{Submitter, Token, View};
use pimentotide_model::{InstanceName, ZoneName};
use pimentotide_observe::Metrics;
use tokio::sync::watch;

use self::core::Core;
use self::dispatch::Dispatcher;
use crate::settings::{EntrySettings, Peer};

/// Interval between checks for running requests during a drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of an entry.
pub struct EntryOptions {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Settings of the role.
    pub settings: EntrySettings,
    /// Entries of the deployment.
    pub entries: Vec<Peer>,
    /// Secret of the deployment.
    pub token: Token,
    /// Latest configuration and membership received by this process.
    pub view: watch::Receiver<View>,
    /// Submits claims to control; `None` in a deployment without control.
    pub control: Option<Submitter>,
    /// Metrics of the process.
    pub metrics: Metrics,
}

/// A running entry.
pub struct Entry {
    core: Arc<Core>,
    server: CallerServer,
    drain: Duration,
    tasks: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts an entry on the current actix system.
    ///
    /// # Errors
    ///
    /// Fails if the address for callers cannot be bound.
    pub fn spawn(options: EntryOptions) -> Result<Self, CallerError> {
        let settings = options.settings.clone();
        let token = options.token.clone();
        let core = Arc::new(Core::new(options));
        core.refresh();
        let tasks = tasks::spawn(&core, &WorkClient::open(token.clone()));
        let shared = Arc::clone(&core);
        let server = CallerServer::bind(
            &CallerOptions {
                listen: settings.listen,
                threads: settings.threads,
                max_body_bytes: settings.body,
                drain_timeout: settings.drain,
            },
            move || Dispatcher::new(Arc::clone(&shared), WorkClient::open(token.clone())),
        )?;
        Ok(Self {
            core,
            server,
            drain: settings.drain,
            tasks,
        })
    }

    /// Address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Refuses new requests, waits for running ones up to the drain time, and stops.
    pub async fn stop(self) {
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
        self.server.stop().await;
        for task in self.tasks {
            task.abort();
        }
    }
}
