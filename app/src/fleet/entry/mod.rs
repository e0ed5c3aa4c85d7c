//! Entry role: answers callers by sending their requests straight to upstreams.

mod attempt;
mod callers;
mod follow;
mod placing;
mod relay;
mod state;
mod streaming;

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use pimentotide_fleet::{StopPhase, stop_phase};
use pimentotide_platform::{DirectoryServer, FrontendOptions, FrontendServer};

use super::directory::open_directory;
use super::replicas::Replicas;
use super::scrape::Scraped;
use super::{FleetError, FleetSettings};
use callers::CallerDirectory;
use relay::EntryRelay;
use state::EntryState;

/// Time for which connections outlast the idle time that callers are told.
const IDLE: Duration = Duration::from_secs(20);
/// Longest time for a head; callers of these deployments stay far below it.
const HEAD: Duration = Duration::from_secs(5);
/// Descriptors kept for everything but callers and upstreams.
const SPARE_DESCRIPTORS: u64 = 400;
/// Most callers' connections if the settings give no bound.
const MAX_CONNECTIONS: usize = 2_000;
/// Longest wait for the server to close its connections at the end of a stop.
const CLOSING: Duration = Duration::from_millis(250);
/// Pause between looks whether requests are under way.
const LOOK: Duration = Duration::from_millis(50);

/// Running entry.
pub(super) struct EntryRole {
    state: Arc<EntryState>,
    server: FrontendServer,
    directory: Option<DirectoryServer>,
    tasks: Vec<JoinHandle<()>>,
    grace: Duration,
}

impl EntryRole {
    /// Binds the callers' address and follows the control replicas.
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
        let probed = state.clone();
        scraped.add(move |metrics| probed.measure(metrics));
        let options = FrontendOptions {
            callers,
            ready,
            connections: connections(settings),
            idle: IDLE,
            head: HEAD,
        };
        let server = FrontendServer::bind(options, EntryRelay::new(state.clone()))?;
        let directory = open_directory(settings, CallerDirectory::new(state.clone(), settings))?;
        let replicas = Replicas::new(settings);
        let tasks = vec![
            actix_rt::spawn(follow::follow(
                state.clone(),
                replicas.clone(),
                token,
                path.to_owned(),
            )),
            actix_rt::spawn(follow::beacons(
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
            grace: Duration::from_secs_f64(settings.bounds.grace_s),
        })
    }

    /// Sends callers away, lets requests under way end and closes all connections.
    pub(super) async fn stop(self) {
        let start = Instant::now();
        self.state.stop();
        loop {
            tokio::time::sleep(LOOK).await;
            match stop_phase(start.elapsed(), self.state.open_requests(), self.grace) {
                StopPhase::Accepting => {}
                StopPhase::Refusing => self.state.refuse_new(),
                StopPhase::Ended => break,
            }
        }
        if let Some(directory) = self.directory {
            directory.stop().await;
        }
        for task in self.tasks {
            task.abort();
        }
        // Connections still open end with the process.
        let _ = tokio::time::timeout(CLOSING, self.server.stop()).await;
    }
}

/// Callers' connections that leave descriptors for upstreams.
fn connections(settings: &FleetSettings) -> usize {
    let Some(descriptors) = settings.descriptors else {
        return MAX_CONNECTIONS;
    };
    let half = descriptors.saturating_sub(SPARE_DESCRIPTORS) / 2;
    usize::try_from(half).unwrap_or(MAX_CONNECTIONS).max(64)
}
