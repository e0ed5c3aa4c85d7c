//! Entry role: relays requests of callers directly to upstreams.

mod admission;
mod attempt;
mod callers;
mod crashes;
mod deadline;
mod documents;
mod follow;
mod ordered;
mod placing;
mod relay;
mod report;
mod signals;
mod slow;
mod state;
mod streaming;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use pimentotide_fleet::StopPhase;
use pimentotide_instance::{ArbiterService, PeerServer, Token, arbiter_module};
use pimentotide_platform::{DirectoryServer, FrontendOptions, FrontendServer};

use super::directory::open_directory;
use super::replicas::Replicas;
use super::scrape::Scraped;
use super::{FleetError, FleetSettings};
use callers::CallerDirectory;
use relay::EntryRelay;
use state::EntryState;

/// Time after which an idle connection is closed; longer than the idle timeout announced to callers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of receiving a request head; callers need far less.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Descriptors reserved for uses other than callers and upstreams.
const RESERVED_DESCRIPTORS: u64 = 400;
/// Maximum connections of callers without a descriptor limit in the settings.
const MAX_CONNECTIONS: usize = 2_000;
/// Timeout of closing the connections at the end of a stop.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between checks for open requests during a stop.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Running entry.
pub(super) struct EntryRole {
    state: Arc<EntryState>,
    server: FrontendServer,
    directory: Option<DirectoryServer>,
    tasks: Vec<JoinHandle<()>>,
}

impl EntryRole {
    /// Binds the listeners and starts to follow the control replicas.
    pub(super) fn spawn(
        settings: &FleetSettings,
        path: &Path,
        scraped: &Scraped,
    ) -> Result<Self, FleetError> {
        let token = settings.secret()?;
        let callers = settings
            .listen
            .callers
            .ok_or(FleetError::NoAddress("listen.callers"))?;
        let ready = settings
            .listen
            .ready
            .ok_or(FleetError::NoAddress("listen.ready"))?;
        let state = Arc::new(EntryState::new(
            settings,
            callers,
            scraped.metrics().clone(),
        ));
        let measured = state.clone();
        scraped.add(move |metrics| measured.measure(metrics));
        let options = FrontendOptions {
            callers,
            ready,
            max_connections: max_connections(settings),
            idle_timeout: IDLE_TIMEOUT,
            head_timeout: HEAD_TIMEOUT,
        };
        let server = FrontendServer::bind(options, EntryRelay::new(state.clone()))?;
        let directory = open_directory(settings, CallerDirectory::new(state.clone(), settings))?;
        let replicas = Replicas::new(settings);
        let tasks = vec![
            actix_rt::spawn(arbitrate(settings.calls(), token.clone())),
            actix_rt::spawn(report::send_reports(
                state.clone(),
                replicas.clone(),
                token.clone(),
            )),
            actix_rt::spawn(admission::admit_waiting(state.clone())),
            actix_rt::spawn(signals::report_limits(
                state.clone(),
                replicas.clone(),
                token.clone(),
            )),
            actix_rt::spawn(follow::follow(
                state.clone(),
                replicas.clone(),
                token,
                path.to_owned(),
            )),
            actix_rt::spawn(follow::send_beacons(
                state.clone(),
                replicas,
                callers,
                settings.clone(),
            )),
        ];
        Ok(Self {
            state,
            server,
            directory,
            tasks,
        })
    }

    /// Drains the entry: directs callers to other entries, then refuses new requests,
    /// waits for open ones and closes all connections.
    pub(super) async fn stop(self) {
        self.state.stop();
        let mut refuses = false;
        loop {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            match self.state.continue_stop() {
                StopPhase::Accepting => {}
                // A request that was accepted before the first check that refuses is open by now.
                StopPhase::Ended if refuses => break,
                StopPhase::Refusing | StopPhase::Ended => refuses = true,
            }
        }
        self.state.end_requests();
        if let Some(directory) = self.directory {
            directory.stop().await;
        }
        for task in self.tasks {
            task.abort();
        }
        // Streams still open end with the process.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.server.stop()).await;
    }
}

/// Serves an arbiter of the control log until the task is aborted; logs a failure.
async fn arbitrate(address: SocketAddr, token: Token) {
    let module = match arbiter_module(ArbiterService::open(token.clone())) {
        Ok(module) => module,
        Err(e) => return log::error!("cannot arbitrate: {e}"),
    };
    match PeerServer::bind(address, token, [module]).await {
        // The server stops when it is dropped.
        Ok(_server) => std::future::pending().await,
        // Callers are served all the same.
        Err(failure) => log::error!("cannot arbitrate: {failure}"),
    }
}

/// Returns the maximum connections of callers, which leaves as many descriptors for upstreams.
fn max_connections(settings: &FleetSettings) -> usize {
    let Some(descriptors) = settings.descriptors else {
        return MAX_CONNECTIONS;
    };
    let half = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
    usize::try_from(half).unwrap_or(MAX_CONNECTIONS).max(64)
}
