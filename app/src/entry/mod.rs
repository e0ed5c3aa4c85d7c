//! Role of the entry: answers callers and places their requests.
//!
//! Each thread that serves callers has a [`Dispatcher`]; all share one [`Core`]
//! with the placement state of this instance. A request is resolved against the
//! declarations, placed, sent to an agent and relayed back piece by piece.

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

/// Time between looks at whether all running requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// What an entry needs to run.
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
    /// Configuration and membership as this process learns them.
    pub view: watch::Receiver<View>,
    /// Control replicas, which keep claims; none in a deployment without control.
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
                body: settings.body,
                drain: settings.drain,
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

    /// Takes no new requests, lets running ones end, and stops.
    pub async fn stop(self) {
        self.core.leave();
        let ended = tokio::time::timeout(self.drain, async {
            while self.core.running() > 0 {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        });
        if ended.await.is_err() {
            log::warn!(
                "{} requests cut short at the end of the drain time",
                self.core.running()
            );
        }
        self.server.stop().await;
        for task in self.tasks {
            task.abort();
        }
    }
}
