//! The ranks of a group as their coordinator reaches them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use pimentotide_instance::{PeerClient, PeerTimeouts, Token};
use pimentotide_model::Failure;
use pimentotide_platform::{EngineReport, FencedOrder, OrderAnswer};

use super::super::beacon::{AgentBeacon, Seat};
use super::super::news::{Processes, Shape};
use super::engine::{EngineHandle, Look};
use super::methods::{LOOK, ORDER, REPORT};
use super::switch::Ranks;

/// How long the coordinator waits for another agent, which waits for its engine.
const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(250),
    call: Duration::from_millis(450),
    pause: Duration::from_millis(50),
    silence: Duration::from_millis(1_500),
};

/// Other agents, by the address for calls.
pub(super) struct Peers {
    own: SocketAddr,
    engine: EngineHandle,
    token: Token,
    known: Mutex<Known>,
}

#[derive(Default)]
struct Known {
    agents: Vec<AgentBeacon>,
    shape: Option<Shape>,
    clients: BTreeMap<SocketAddr, PeerClient>,
}

/// Ranks of one group in one epoch, in order.
pub(super) struct Group {
    /// Seat of this agent's engine.
    pub(super) seat: Seat,
    engine: EngineHandle,
    clients: Vec<Option<PeerClient>>,
}

impl Peers {
    pub(super) fn new(own: SocketAddr, engine: EngineHandle, token: Token) -> Self {
        Self {
            own,
            engine,
            token,
            known: Mutex::default(),
        }
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over the agents that a replica knows.
    pub(super) fn learn(&self, processes: Processes) {
        let mut known = self.known();
        let alive = |address: &SocketAddr| processes.agents.iter().any(|a| a.calls == *address);
        known.clients.retain(|address, _| alive(address));
        known.agents = processes.agents;
        known.shape = processes.shape.or(known.shape);
    }

    /// Room of each rank for experts.
    pub(super) fn shape(&self) -> Option<Shape> {
        self.known().shape
    }

    /// Ranks of the group of `seat`; none if some are not known.
    pub(super) fn group(&self, seat: &Seat, size: u16) -> Option<Group> {
        let mut known = self.known();
        let mut clients = vec![None; usize::from(size)];
        let agents = known.agents.clone();
        for agent in agents {
            let Some(other) = agent.seat.filter(|s| s.group == seat.group && s.epoch == seat.epoch) else {
                continue;
            };
            if agent.calls == self.own || other.rank == seat.rank {
                continue;
            }
            let client = known.clients.entry(agent.calls).or_insert_with(|| {
                PeerClient::with_timeouts(agent.calls, self.token.clone(), TIMEOUTS)
            });
            if let Some(place) = clients.get_mut(usize::from(other.rank)) {
                *place = Some(client.clone());
            }
        }
        let missing = clients.iter().filter(|c| c.is_none()).count();
        (missing == 1).then(|| Group {
            seat: seat.clone(),
            engine: self.engine.clone(),
            clients,
        })
    }
}

impl Group {
    /// Asks all ranks for all that the coordinator needs.
    pub(super) async fn look(&self) -> Vec<Result<Look, Failure>> {
        let looks = self.clients.iter().map(|client| async move {
            match client {
                Some(client) => client.call(LOOK, [0; 0]).await,
                None => self.engine.look().await,
            }
        });
        join_all(looks).await
    }
}

impl Ranks for Group {
    fn size(&self) -> usize {
        self.clients.len()
    }

    async fn report(&self, rank: usize) -> Option<EngineReport> {
        let report = match &self.clients[rank] {
            Some(client) => client.call(REPORT, [0; 0]).await,
            None => self.engine.report().await,
        };
        report
            .inspect_err(|failure| log::debug!("rank {rank} does not report: {failure}"))
            .ok()
    }

    async fn order(&self, rank: usize, order: FencedOrder) -> Option<OrderAnswer> {
        let answer = match &self.clients[rank] {
            Some(client) => client.call(ORDER, [order]).await,
            None => self.engine.order(order).await,
        };
        answer
            .inspect_err(|failure| log::warn!("order to rank {rank}: {failure}"))
            .ok()
    }

    async fn pause(&self, length: Duration) {
        tokio::time::sleep(length).await;
    }
}
