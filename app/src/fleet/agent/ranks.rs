//! Access of a coordinator to the ranks of its group.
//!
//! A remote rank is reached through its agent, or directly at its engine if the
//! agent does not answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use pimentotide_experts::{
    EngineOrder, EngineReport, FencedOrder, HeldExperts, OrderAnswer, Placement, PlacementChange,
    Ranks, Switch,
};
use pimentotide_instance::{PeerClient, PeerTimeouts, Token};
use pimentotide_model::{ErrorKind, Failure};
use pimentotide_platform::EngineClient;

use super::super::beacon::{AgentBeacon, Seat};
use super::super::rpc::{Processes, RankCapacity};
use super::compact;
use super::engine::{EngineHandle, RankState};
use super::methods::{ORDER, REPORT, RankOrder, STATE};
use crate::lines::GroupReleased;

/// Timeouts of calls to another agent; they cover its own wait for its engine.
const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(250),
    call: Duration::from_millis(450),
    retry_delay: Duration::from_millis(50),
    idle: Duration::from_millis(1_500),
};

/// Timeout of a request sent directly to a remote engine.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Other agents of the deployment, as reported by a replica.
pub(super) struct Peers {
    own_address: SocketAddr,
    engine: EngineHandle,
    token: Token,
    state: Mutex<PeerState>,
}

#[derive(Default)]
struct PeerState {
    agents: BTreeMap<SocketAddr, AgentBeacon>,
    shape: Option<RankCapacity>,
    clients: BTreeMap<SocketAddr, PeerClient>,
}

/// Ranks of one group in one epoch, in rank order.
pub(super) struct Group {
    /// Seat of the local engine.
    pub(super) seat: Seat,
    engine: EngineHandle,
    routes: Vec<RankRoute>,
    /// Version of a placement, and its change from the last one sent to the ranks.
    change: Option<(u64, PlacementChange)>,
}

/// Path to a rank.
enum RankRoute {
    /// The local engine.
    Local,
    /// The agent of the rank, and its engine in case the agent does not answer.
    Remote(PeerClient, EngineClient),
}

impl Peers {
    pub(super) fn new(own_address: SocketAddr, engine: EngineHandle, token: Token) -> Self {
        Self {
            own_address,
            engine,
            token,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PeerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Merges the processes reported by a replica; agents missing from the report are kept.
    pub(super) fn update(&self, processes: Processes) {
        let mut state = self.lock();
        state.shape = processes.shape.or(state.shape);
        for agent in processes.agents {
            state.agents.insert(agent.calls, agent);
        }
    }

    /// Returns the expert capacity of each rank; `None` before a replica reported it.
    pub(super) fn capacity(&self) -> Option<RankCapacity> {
        self.lock().shape
    }

    /// Returns the group of `seat`; `None` unless the agents of all ranks are known.
    pub(super) fn group(&self, seat: &Seat, size: u16) -> Option<Group> {
        let mut state = self.lock();
        let mut found: Vec<Option<&AgentBeacon>> = vec![None; usize::from(size)];
        let agents = std::mem::take(&mut state.agents);
        for agent in agents.values() {
            let other = agent.seat.as_ref();
            let Some(other) = other.filter(|s| s.group == seat.group && s.epoch == seat.epoch)
            else {
                continue;
            };
            if let Some(place) = found.get_mut(usize::from(other.rank)) {
                *place = Some(agent);
            }
        }
        let routes: Option<Vec<RankRoute>> = (0..size)
            .map(|rank| {
                if rank == seat.rank {
                    return Some(RankRoute::Local);
                }
                let agent = found[usize::from(rank)].filter(|a| a.calls != self.own_address)?;
                let client = state.clients.entry(agent.calls).or_insert_with(|| {
                    PeerClient::with_timeouts(agent.calls, self.token.clone(), TIMEOUTS)
                });
                Some(RankRoute::Remote(
                    client.clone(),
                    EngineClient::open(agent.engine, DIRECT_TIMEOUT),
                ))
            })
            .collect();
        state.agents = agents;
        Some(Group {
            seat: seat.clone(),
            engine: self.engine.clone(),
            routes: routes?,
            change: None,
        })
    }
}

impl Group {
    /// Sets the change in whose form the placement of `version` is sent.
    ///
    /// Ranks whose last placement is not the base of the change receive the whole placement.
    pub(super) fn with_change(self, version: u64, change: PlacementChange) -> Self {
        let change = Some((version, change));
        Self { change, ..self }
    }

    /// Releases a held pass under a version above all earlier ones.
    pub(super) async fn release(
        &self,
        step: u64,
        version: u64,
        placement: Placement,
        reason: &'static str,
    ) {
        let switch = Switch {
            epoch: self.seat.epoch,
            version,
            old: placement.clone(),
            new: placement,
        };
        let ending = switch.undo(self, step).await;
        pimentotide_observe::event(&GroupReleased {
            step,
            ending: ending.to_string(),
            reason,
        });
    }

    /// Returns an order to prepare a placement as a change; `None` for other orders and versions.
    fn delta(&self, order: &FencedOrder) -> Option<RankOrder> {
        let EngineOrder::Prepare { version, .. } = &order.order else {
            return None;
        };
        let (_, change) = self.change.as_ref().filter(|(v, _)| v == version)?;
        Some(RankOrder::Changed {
            epoch: order.epoch,
            fence: order.fence,
            version: *version,
            change: change.clone(),
        })
    }

    /// Reads the state of all ranks, with the expert choices of those in `counted`.
    ///
    /// Asks only the agents, because reading counts from a remote engine is expensive.
    pub(super) async fn states(&self, counted: &[usize]) -> Vec<Result<RankState, Failure>> {
        let states = self.routes.iter().enumerate().map(|(rank, route)| {
            let counts = counted.contains(&rank);
            async move {
                match route {
                    RankRoute::Local => self.engine.state(counts).await,
                    RankRoute::Remote(agent, _) => remote_state(agent, counts).await,
                }
            }
        });
        join_all(states).await
    }

    /// Returns the experts that a rank holds.
    pub(super) async fn held(&self, rank: usize) -> Result<HeldExperts, Failure> {
        match &self.routes[rank] {
            RankRoute::Local => Ok(self.engine.state(false).await?.held),
            RankRoute::Remote(agent, engine) => match remote_state(agent, false).await {
                Ok(state) => Ok(state.held),
                Err(failure) => {
                    log::info!("rank {rank}: agent failed, asking its engine directly: {failure}");
                    let held = engine.held().await;
                    held.map_err(|e| Failure::new(ErrorKind::UpstreamFailed, e.to_string()))
                }
            },
        }
    }
}

impl Ranks for Group {
    fn size(&self) -> usize {
        self.routes.len()
    }

    async fn report(&self, rank: usize) -> Option<EngineReport> {
        let report = match &self.routes[rank] {
            RankRoute::Local => self.engine.report().await,
            RankRoute::Remote(agent, engine) => match agent.call(REPORT, [0; 0]).await {
                Ok(report) => Ok(report),
                Err(failure) if failure.kind == ErrorKind::UpstreamFailed => Err(failure),
                Err(failure) => {
                    log::debug!("rank {rank}: agent failed, asking its engine directly: {failure}");
                    let report = engine.report().await;
                    report.map_err(|e| Failure::new(ErrorKind::UpstreamFailed, e.to_string()))
                }
            },
        };
        report
            .inspect_err(|failure| log::info!("no report from rank {rank}: {failure}"))
            .ok()
    }

    async fn order(&self, rank: usize, order: FencedOrder) -> Option<OrderAnswer> {
        let answer = match &self.routes[rank] {
            RankRoute::Local => self.engine.order(order.clone()).await,
            RankRoute::Remote(agent, engine) => {
                match remote_order(agent, &order, self.delta(&order)).await {
                    Ok(answer) => Ok(answer),
                    // The agent got no answer from its engine, so no direct order is sent.
                    Err(failure) if failure.kind == ErrorKind::UpstreamFailed => Err(failure),
                    Err(failure) => {
                        log::info!(
                            "rank {rank}: agent failed, ordering its engine directly: {failure}"
                        );
                        let answer = engine.order(&order, DIRECT_TIMEOUT).await;
                        answer.map_err(|e| Failure::new(ErrorKind::UpstreamFailed, e.to_string()))
                    }
                }
            }
        };
        answer
            .inspect_err(|failure| {
                log::warn!("order {} to rank {rank} failed: {failure}", order.order);
            })
            .ok()
    }

    async fn pause(&self, length: Duration) {
        tokio::time::sleep(length).await;
    }
}

async fn remote_state(agent: &PeerClient, counts: bool) -> Result<RankState, Failure> {
    let text: String = agent.call(STATE, [counts]).await?;
    compact::decode(&text)
}

/// Sends an order through an agent, as `changed` first.
///
/// The complete order follows if the agent does not have the base of the change.
async fn remote_order(
    agent: &PeerClient,
    order: &FencedOrder,
    changed: Option<RankOrder>,
) -> Result<OrderAnswer, Failure> {
    if let Some(changed) = changed {
        match agent.call(ORDER, [compact::encode(&changed)?]).await {
            Err(failure) if failure.kind == ErrorKind::RevisionConflict => {}
            answer => return answer,
        }
    }
    let whole = RankOrder::Whole(order.clone());
    agent.call(ORDER, [compact::encode(&whole)?]).await
}

/// Returns the experts by layer and rank, from the experts that each rank holds.
pub(super) fn placement<'a, I>(held: I) -> Placement
where
    I: IntoIterator<Item = &'a HeldExperts>,
{
    let held: Vec<&HeldExperts> = held.into_iter().collect();
    let layers = held.iter().map(|h| h.experts.len()).min().unwrap_or(0);
    let layer = |index: usize| held.iter().map(|h| h.experts[index].clone()).collect();
    (0..layers).map(layer).collect()
}
