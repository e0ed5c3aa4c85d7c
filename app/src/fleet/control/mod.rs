//! Control role: a replica of the shared state and the servers around it.

mod desk;
mod membership;
mod methods;
mod roster;
mod upkeep;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use pimentotide_fleet::FleetState;
use pimentotide_instance::replica::{Replica, ReplicaHandle, ReplicaOptions, module};
use pimentotide_instance::{PeerServer, Token};
use pimentotide_model::InstanceName;
use pimentotide_platform::{ControlServer, DirectoryServer};

use super::directory::open_directory;
use super::scrape::Scraped;
use super::{FleetError, FleetSettings, datagram};
use desk::Desk;
use roster::{Counter, Roster};

/// Shortest silence after which a replica stands for election.
///
/// Several times what a replica needs for a round under a small share of a core.
const ELECTION: Duration = Duration::from_millis(450);
/// Pause between heartbeats of the leader; a quarter of the election time, so that single losses do no harm.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// Wait before a message without an answer is repeated.
const RESEND: Duration = Duration::from_millis(300);
/// Longest wait for a proposal or a read; operators ask again after a second.
const PATIENCE: Duration = Duration::from_millis(900);
/// Silence of the disk after which a replica gives up; disks hang for seconds and come back.
const STALL: Duration = Duration::from_secs(20);
/// Entries after which the log is compacted.
const COMPACT: u64 = 512;

/// Running control role.
pub(super) struct ControlRole {
    replica: ReplicaHandle<FleetState>,
    calls: PeerServer,
    control: ControlServer,
    directory: Option<DirectoryServer>,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlRole {
    /// Starts the replica and its servers.
    pub(super) async fn spawn(
        settings: &FleetSettings,
        path: &Path,
        scraped: &Scraped,
    ) -> Result<Self, FleetError> {
        let token = settings.secret()?;
        let control = settings
            .listen
            .control
            .ok_or(FleetError::NoAddress("listen.control"))?;
        let options = replica_options(settings, token.clone())?;
        let replica = Replica::spawn(options, FleetState::default()).await?;
        let roster = Roster::open();
        let desk = Desk::new(replica.clone(), roster.clone(), scraped.metrics().clone());
        let members = membership::Members::new(
            replica.clone(),
            settings,
            token.clone(),
            scraped.metrics().clone(),
        );
        let own = module(replica.clone()).map_err(|e| FleetError::Methods(e.to_string()))?;
        let shared = methods::module(desk.clone(), members.clone())
            .map_err(|e| FleetError::Methods(e.to_string()))?;
        let calls = PeerServer::bind(
            settings.calls(),
            token,
            [own.into(), methods::erase(shared)],
        )
        .await?;
        let heard = roster.clone();
        let tasks = vec![
            actix_rt::spawn(datagram::listen(
                settings.beacons_at(settings.ip),
                move |beacon| {
                    heard.hear(beacon);
                },
            )),
            actix_rt::spawn(membership::keep(members, path.to_owned())),
            actix_rt::spawn(upkeep::expire(desk.clone())),
            actix_rt::spawn(upkeep::count_entries(desk.clone())),
        ];
        Ok(Self {
            control: ControlServer::bind(control, desk)?,
            directory: open_directory(settings, Counter::new(roster, settings))?,
            replica,
            calls,
            tasks,
        })
    }

    /// Hands leadership over and ends.
    pub(super) async fn stop(self) {
        self.control.stop().await;
        for task in self.tasks {
            task.abort();
        }
        self.replica.stop().await;
        if let Some(directory) = self.directory {
            directory.stop().await;
        }
        self.calls.stop().await;
    }
}

fn replica_options(settings: &FleetSettings, token: Token) -> Result<ReplicaOptions, FleetError> {
    let data = settings.data.clone().ok_or(FleetError::NoAddress("data"))?;
    let address = settings.calls();
    let name = InstanceName::from(address.to_string());
    let mut options = ReplicaOptions::new(name, address, data, token);
    let founders: BTreeMap<_, _> = settings.seed_calls().into_iter().collect();
    if settings.first_start && founders.values().any(|a| *a == address) {
        options = options.with_founders(
            founders
                .into_iter()
                .map(|(n, a)| (InstanceName::from(n), a)),
        );
    }
    options.log.election_timeout = ELECTION;
    options.log.heartbeat_interval = HEARTBEAT;
    options.log.resend_timeout = RESEND;
    options.request_timeout = PATIENCE;
    options.stall = STALL;
    options.compact_after = COMPACT;
    Ok(options)
}
