//! Agent role: manages the model engine on the same instance.
//!
//! Every agent polls its engine's report, announces its seat in the group to
//! the replicas, and forwards orders to its engine. The agent of rank 0 of an
//! open group also coordinates the group: it sums the demand for experts and
//! switches the group to better placements. The other agents release a pass
//! that it leaves held.

mod coordinate;
mod engine;
mod methods;
mod peers;
mod ranks;
mod relay;
mod rescue;
mod slow;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use pimentotide_experts::{MAX_RESCUE_RANK, list_interval};
use pimentotide_fleet::is_member;
use pimentotide_instance::{PeerClient, PeerServer, PeerTimeouts, Token};
use pimentotide_model::{ErrorKind, Failure, ZoneName};

use super::beacon::{AgentBeacon, BeaconVersion};
use super::datagram::Sender;
use super::replicas::Replicas;
use super::rpc::{PROCESSES, Processes};
use super::scrape::Scraped;
use super::{FleetError, FleetSettings};
use crate::lines::{ReplicaFollowed, ReplicaLost};
use engine::EngineHandle;
use peers::Peers;
use relay::AgentLinks;

/// Time between beacons.
const BEACON_INTERVAL: Duration = Duration::from_millis(400);
/// Time between requests for the list of processes.
const PROCESSES_INTERVAL: Duration = Duration::from_millis(800);
/// Timeouts of calls to a replica.
const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(250),
    call: Duration::from_millis(600),
    retry_delay: Duration::from_millis(100),
    idle: Duration::from_millis(1_500),
};

/// Running agent.
pub(super) struct AgentRole {
    calls: PeerServer,
    tasks: Vec<JoinHandle<()>>,
}

impl AgentRole {
    /// Binds the address for calls and starts the tasks that manage the engine.
    pub(super) async fn spawn(
        settings: &FleetSettings,
        path: &Path,
        scraped: &Scraped,
    ) -> Result<Self, FleetError> {
        let token = settings.secret()?;
        let address = settings.engine.ok_or(FleetError::NoAddress("engine"))?;
        let engine = EngineHandle::spawn(address);
        let links = AgentLinks::open(token.clone());
        let module = methods::module(engine.clone(), links.clone())
            .map_err(|e| FleetError::Methods(e.to_string()))?;
        let calls = PeerServer::bind(settings.calls(), token.clone(), [module]).await?;
        let replicas = Replicas::new(settings);
        let peers = Arc::new(Peers::new(settings.calls(), engine.clone(), links));
        let watched = (engine.clone(), peers.clone(), scraped.metrics().clone());
        let mut tasks = vec![
            actix_rt::spawn(send_beacons(
                settings.clone(),
                address,
                replicas.clone(),
                engine.clone(),
            )),
            actix_rt::spawn(follow_processes(
                replicas.clone(),
                engine.clone(),
                peers.clone(),
                token,
                path.to_owned(),
            )),
            actix_rt::spawn(slow::report_pace(
                settings.clone(),
                address,
                replicas,
                engine.clone(),
            )),
        ];
        if settings.rebalance {
            let metrics = scraped.metrics().clone();
            let rescued = settings.bounds.fenced;
            tasks.push(actix_rt::spawn(coordinate::coordinate(
                engine, peers, metrics, rescued,
            )));
        }
        // Without fencing, a coordinator that resumes could release a pass at the same time.
        if settings.bounds.fenced {
            let (engine, peers, metrics) = watched;
            tasks.push(actix_rt::spawn(rescue::watch(engine, peers, metrics)));
        }
        Ok(Self { calls, tasks })
    }

    /// Aborts the tasks and closes the server.
    pub(super) async fn stop(self) {
        for task in self.tasks {
            task.abort();
        }
        self.calls.stop().await;
    }
}

/// Sends beacons to all replicas until the task is aborted.
async fn send_beacons(
    settings: FleetSettings,
    address: SocketAddr,
    replicas: Replicas,
    engine: EngineHandle,
) {
    let Some(sender) = Sender::bind(settings.ip).await else {
        return;
    };
    let mut order = BeaconVersion::start();
    let mut seats = engine.seat_changes();
    loop {
        let beacon = AgentBeacon {
            calls: settings.calls(),
            engine: address,
            zone: ZoneName::from(settings.zone.as_str()),
            seat: engine.seat(),
            order: order.advance(),
        };
        let to = replicas
            .list()
            .into_iter()
            .map(|a| settings.beacons_at(a.ip()));
        sender.send(&beacon.into(), to).await;
        // The coordinator waits for the beacons of all ranks of a group that was formed anew.
        let _ = tokio::time::timeout(BEACON_INTERVAL, seats.changed()).await;
    }
}

/// Polls one replica for the other processes until the task is aborted; changes replica on failure.
///
/// Only the agents that may coordinate their group ask for its other agents.
async fn follow_processes(
    replicas: Replicas,
    engine: EngineHandle,
    peers: Arc<Peers>,
    token: Token,
    path: PathBuf,
) {
    let mut turn = rand::random_range(0..64_usize);
    let mut client: Option<PeerClient> = None;
    let mut answered = false;
    let mut seats = engine.seat_changes();
    let mut formed_at = Instant::now();
    loop {
        let replica = client.get_or_insert_with(|| {
            PeerClient::with_timeouts(replica_at(&replicas, turn), token.clone(), TIMEOUTS)
        });
        let seat = engine.seat().filter(|s| s.rank <= MAX_RESCUE_RANK);
        let group = seat.map(|s| s.group);
        let answer = replica.call::<_, Processes>(PROCESSES, [group]).await;
        match answer.and_then(|p| checked(p, replica.address())) {
            Ok(processes) => {
                if !answered {
                    pimentotide_observe::event(&ReplicaFollowed {
                        replica: replica.address().to_string(),
                    });
                    answered = true;
                }
                replicas.replace(&processes.replicas);
                peers.update(processes);
            }
            Err(failure) => {
                pimentotide_observe::event(&ReplicaLost {
                    replica: replica.address().to_string(),
                    followed: answered,
                    detail: failure.to_string(),
                });
                answered = false;
                client = None;
                turn += 1;
                replicas.add_seeds(&path);
            }
        }
        let interval = match engine.latest_report() {
            Some((report, seat))
                if seat.rank <= MAX_RESCUE_RANK && !peers.knows_group(&seat, report.size) =>
            {
                list_interval(formed_at.elapsed(), PROCESSES_INTERVAL)
            }
            Some(_) | None => PROCESSES_INTERVAL,
        };
        if let Ok(Ok(())) = tokio::time::timeout(interval, seats.changed()).await {
            formed_at = Instant::now();
        }
    }
}

/// Returns the processes that a replica lists.
///
/// # Errors
///
/// Fails if the replica is not a member of the log: it has no configuration, without which the
/// coordinator plans nothing.
fn checked(processes: Processes, replica: SocketAddr) -> Result<Processes, Failure> {
    if is_member(replica, &processes.replicas) {
        return Ok(processes);
    }
    let detail = format!("{replica} is not a member of the log");
    Err(Failure::new(ErrorKind::NotCurrent, detail))
}

/// Returns the replica at `turn`, round robin; an unspecified address if there are none.
fn replica_at(replicas: &Replicas, turn: usize) -> SocketAddr {
    let addresses = replicas.list();
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    addresses
        .get(turn % addresses.len().max(1))
        .copied()
        .unwrap_or(unspecified)
}
