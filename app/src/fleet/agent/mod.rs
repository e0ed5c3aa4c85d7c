//! Agent role: looks after the model engine beside it.
//!
//! Every agent reads its engine's report, tells replicas of its seat in the
//! group, and carries orders to its engine. The agent of rank 0 of an open group
//! also coordinates the group: it adds up which experts are in demand and moves
//! the group to better expert maps. The other agents step in if it leaves the
//! group held back.

mod compact;
mod coordinate;
mod engine;
mod methods;
mod ranks;
mod rescue;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use pimentotide_instance::{PeerClient, PeerServer, PeerTimeouts, Token};

use super::beacon::{AgentBeacon, Order};
use super::datagram::Sender;
use super::news::{PROCESSES, Processes};
use super::replicas::Replicas;
use super::scrape::Scraped;
use super::{FleetError, FleetSettings};
use crate::lines::{ReplicaFollowed, ReplicaLost};
use engine::EngineHandle;
use ranks::Peers;

/// Pause between beacons.
const BEACON_PAUSE: Duration = Duration::from_millis(400);
/// Pause between questions for the other processes.
const PROCESSES_PAUSE: Duration = Duration::from_millis(800);
/// How long an agent waits for a replica.
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
    /// Binds the address for calls and starts to look after the engine.
    pub(super) async fn spawn(
        settings: &FleetSettings,
        path: &Path,
        scraped: &Scraped,
    ) -> Result<Self, FleetError> {
        let token = settings.secret()?;
        let address = settings.engine.ok_or(FleetError::NoAddress("engine"))?;
        let engine = EngineHandle::spawn(address);
        let module =
            methods::module(engine.clone()).map_err(|e| FleetError::Methods(e.to_string()))?;
        let calls = PeerServer::bind(settings.calls(), token.clone(), [module]).await?;
        let replicas = Replicas::new(settings);
        let peers = Arc::new(Peers::new(settings.calls(), engine.clone(), token.clone()));
        let rescued = (engine.clone(), peers.clone());
        let mut tasks = vec![
            actix_rt::spawn(beacons(
                settings.clone(),
                address,
                replicas.clone(),
                engine.clone(),
            )),
            actix_rt::spawn(learn(replicas, peers.clone(), token, path.to_owned())),
        ];
        if settings.rebalance {
            let metrics = scraped.metrics().clone();
            tasks.push(actix_rt::spawn(coordinate::coordinate(
                engine, peers, metrics,
            )));
        }
        // Without fences a coordinator that wakes up could let a pass go meanwhile.
        if settings.bounds.fenced {
            tasks.push(actix_rt::spawn(rescue::watch(rescued.0, rescued.1)));
        }
        Ok(Self { calls, tasks })
    }

    /// Ends the agent.
    pub(super) async fn stop(self) {
        for task in self.tasks {
            task.abort();
        }
        self.calls.stop().await;
    }
}

/// Tells all replicas of this agent until it is aborted.
async fn beacons(
    settings: FleetSettings,
    address: SocketAddr,
    replicas: Replicas,
    engine: EngineHandle,
) {
    let Some(sender) = Sender::bind(settings.ip).await else {
        return;
    };
    let mut order = Order::start();
    loop {
        let beacon = AgentBeacon {
            calls: settings.calls(),
            engine: address,
            seat: engine.seat(),
            order: order.advance(),
        };
        let to = replicas
            .list()
            .into_iter()
            .map(|a| settings.beacons_at(a.ip()));
        sender.send(&beacon.into(), to).await;
        tokio::time::sleep(BEACON_PAUSE).await;
    }
}

/// Learns of the other processes until it is aborted.
async fn learn(replicas: Replicas, peers: Arc<Peers>, token: Token, path: PathBuf) {
    let mut turn = rand::random_range(0..64_usize);
    let mut client: Option<PeerClient> = None;
    let mut answered = false;
    loop {
        let asked = client.get_or_insert_with(|| {
            PeerClient::with_timeouts(pick(&replicas, turn), token.clone(), TIMEOUTS)
        });
        match asked.call::<_, Processes>(PROCESSES, [0; 0]).await {
            Ok(processes) => {
                if !answered {
                    pimentotide_observe::event(&ReplicaFollowed {
                        replica: asked.address().to_string(),
                    });
                    answered = true;
                }
                replicas.replace(&processes.replicas);
                peers.learn(processes);
            }
            Err(failure) => {
                pimentotide_observe::event(&ReplicaLost {
                    replica: asked.address().to_string(),
                    followed: answered,
                    detail: failure.to_string(),
                });
                answered = false;
                client = None;
                turn += 1;
                replicas.add_seeds(&path);
            }
        }
        tokio::time::sleep(PROCESSES_PAUSE).await;
    }
}

/// Replica whose turn it is.
fn pick(replicas: &Replicas, turn: usize) -> SocketAddr {
    let known = replicas.list();
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    known
        .get(turn % known.len().max(1))
        .copied()
        .unwrap_or(unknown)
}
