//! Control role: a replica of the shared state and its servers.

mod arbiters;
mod desk;
mod documents;
mod membership;
mod methods;
mod roster;
mod slow;
mod upkeep;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use pimentotide_fleet::FleetState;
use pimentotide_instance::replica::{Replica, ReplicaHandle, ReplicaOptions, module};
use pimentotide_instance::{Pauses, PeerServer, Token};
use pimentotide_model::InstanceName;
use pimentotide_platform::{ControlServer, DirectoryServer};

use super::directory::open_directory;
use super::scrape::Scraped;
use super::{FleetError, FleetSettings, datagram};
use arbiters::Arbiters;
use desk::ControlService;
use roster::{Roster, RosterDirectory};

/// Minimum election timeout.
///
/// Several times the duration of one round of messages when the process gets a
/// small share of a core.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(450);
/// Time between heartbeats of the leader.
///
/// About a quarter of the election timeout, so that single losses cause no election.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an unanswered message is sent again.
const RESEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a proposal or a read; below the second after which operators retry.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without a response of the disk after which it counts as failed; disks may hang for seconds and recover.
const DISK_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Part of the time for which a replica catches up in which other voters are silent before some act by a grant;
/// the rest is for an election and the removal of those, before the next loss.
const GRANT_SILENCE_RATIO: f64 = 0.75;
/// Number of log entries after which the log is compacted.
const COMPACTION_ENTRIES: u64 = 512;

/// Running control role.
pub(super) struct ControlRole {
    replica: ReplicaHandle<FleetState>,
    calls: PeerServer,
    control: ControlServer,
    directory: Option<DirectoryServer>,
    members: membership::Members,
    /// Maintenance of the membership.
    maintenance: JoinHandle<()>,
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
        let (pauses, observation) = Pauses::spawn();
        let service = ControlService::new(
            replica.clone(),
            roster.clone(),
            scraped.metrics().clone(),
            pauses,
        );
        let members = membership::Members::new(
            replica.clone(),
            settings,
            token.clone(),
            Arbiters::new(replica.clone(), roster.clone(), token.clone()),
            scraped.metrics().clone(),
        );
        let own = module(replica.clone()).map_err(|e| FleetError::Methods(e.to_string()))?;
        let shared = methods::module(service.clone(), members.clone())
            .map_err(|e| FleetError::Methods(e.to_string()))?;
        let calls = PeerServer::bind(
            settings.calls(),
            token,
            [own.into(), methods::erase(shared)],
        )
        .await?;
        let receiver = roster.clone();
        let tasks = vec![
            observation,
            actix_rt::spawn(datagram::listen(
                settings.beacons_at(settings.ip),
                move |beacon| {
                    receiver.receive(beacon);
                },
            )),
            actix_rt::spawn(upkeep::expire_upstreams(service.clone())),
            actix_rt::spawn(upkeep::record_entry_count(service.clone())),
        ];
        let maintenance = membership::maintain(members.clone(), path.to_owned());
        Ok(Self {
            maintenance: actix_rt::spawn(maintenance),
            members,
            control: ControlServer::bind(control, service)?,
            directory: open_directory(settings, RosterDirectory::new(roster, settings))?,
            replica,
            calls,
            tasks,
        })
    }

    /// Gives up the vote, hands leadership over and closes the servers.
    pub(super) async fn stop(self) {
        // It would ask to join again.
        self.maintenance.abort();
        self.members.release_vote().await;
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
    options.log.election_timeout = ELECTION_TIMEOUT;
    options.log.heartbeat_interval = HEARTBEAT_INTERVAL;
    options.log.resend_timeout = RESEND_TIMEOUT;
    options.log.grant_silence = settings.catch_up_time().mul_f64(GRANT_SILENCE_RATIO);
    options.log.min_voters = membership::min_voters(settings.loss);
    options.request_timeout = REQUEST_TIMEOUT;
    options.stall = DISK_STALL_TIMEOUT;
    options.compact_after = COMPACTION_ENTRIES;
    Ok(options)
}
