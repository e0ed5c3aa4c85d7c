//! The ranks of a group as their coordinator reaches them.

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
use super::super::news::{Processes, Shape};
use super::compact;
use super::engine::{EngineHandle, Look};
use super::methods::{LOOK, ORDER, REPORT, RankOrder};
use crate::lines::GroupReleased;

/// How long the coordinator waits for another agent, which waits for its engine.
const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(250),
    call: Duration::from_millis(450),
    retry_delay: Duration::from_millis(50),
    idle: Duration::from_millis(1_500),
};

/// Longest wait for an engine that is asked straight.
const DIRECT: Duration = Duration::from_millis(300);

/// Other agents, by the address for calls.
pub(super) struct Peers {
    own: SocketAddr,
    engine: EngineHandle,
    token: Token,
    known: Mutex<Known>,
}

#[derive(Default)]
struct Known {
    agents: BTreeMap<SocketAddr, AgentBeacon>,
    shape: Option<Shape>,
    clients: BTreeMap<SocketAddr, PeerClient>,
}

/// Ranks of one group in one epoch, in order.
pub(super) struct Group {
    /// Seat of this agent's engine.
    pub(super) seat: Seat,
    engine: EngineHandle,
    ways: Vec<Way>,
    /// Version of a placement, and its change from the one that ranks were told last.
    change: Option<(u64, PlacementChange)>,
}

/// How a rank is reached.
enum Way {
    /// It is the engine beside this agent.
    Own,
    /// Through the agent beside it, or straight if that agent does not answer.
    Far(PeerClient, EngineClient),
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

    /// Takes over the agents that a replica knows; those that fell silent are remembered.
    pub(super) fn learn(&self, processes: Processes) {
        let mut known = self.known();
        known.shape = processes.shape.or(known.shape);
        for agent in processes.agents {
            known.agents.insert(agent.calls, agent);
        }
    }

    /// Room of each rank for experts.
    pub(super) fn shape(&self) -> Option<Shape> {
        self.known().shape
    }

    /// Ranks of the group of `seat`; none if some are not known.
    pub(super) fn group(&self, seat: &Seat, size: u16) -> Option<Group> {
        let mut known = self.known();
        let mut found: Vec<Option<&AgentBeacon>> = vec![None; usize::from(size)];
        let agents = std::mem::take(&mut known.agents);
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
        let ways: Option<Vec<Way>> = (0..size)
            .map(|rank| {
                if rank == seat.rank {
                    return Some(Way::Own);
                }
                let agent = found[usize::from(rank)].filter(|a| a.calls != self.own)?;
                let client = known.clients.entry(agent.calls).or_insert_with(|| {
                    PeerClient::with_timeouts(agent.calls, self.token.clone(), TIMEOUTS)
                });
                Some(Way::Far(
                    client.clone(),
                    EngineClient::open(agent.engine, DIRECT),
                ))
            })
            .collect();
        known.agents = agents;
        Some(Group {
            seat: seat.clone(),
            engine: self.engine.clone(),
            ways: ways?,
            change: None,
        })
    }
}

impl Group {
    /// Tells ranks the placement of `version` by what changes, if they were told its base last.
    pub(super) fn with_change(self, version: u64, change: PlacementChange) -> Self {
        let change = Some((version, change));
        Self { change, ..self }
    }

    /// Lets a pass go that was left held back, under a version that outranks all before.
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

    /// Order to prepare a placement, told by what changes; none for any other order.
    fn changed(&self, order: &FencedOrder) -> Option<RankOrder> {
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

    /// Asks all ranks for what the coordinator needs, and those in `counted` for the experts chosen.
    ///
    /// Only through their agents, because counts are dear from anywhere else.
    pub(super) async fn look(&self, counted: &[usize]) -> Vec<Result<Look, Failure>> {
        let looks = self.ways.iter().enumerate().map(|(rank, way)| {
            let counts = counted.contains(&rank);
            async move {
                match way {
                    Way::Own => self.engine.look(counts).await,
                    Way::Far(agent, _) => far_look(agent, counts).await,
                }
            }
        });
        join_all(looks).await
    }

    /// Experts that a rank holds.
    pub(super) async fn held(&self, rank: usize) -> Result<HeldExperts, Failure> {
        match &self.ways[rank] {
            Way::Own => Ok(self.engine.look(false).await?.held),
            Way::Far(agent, engine) => match far_look(agent, false).await {
                Ok(look) => Ok(look.held),
                Err(failure) => {
                    log::info!("rank {rank} is asked straight: {failure}");
                    let held = engine.held().await;
                    held.map_err(|e| Failure::new(ErrorKind::UpstreamFailed, e.to_string()))
                }
            },
        }
    }
}

impl Ranks for Group {
    fn size(&self) -> usize {
        self.ways.len()
    }

    async fn report(&self, rank: usize) -> Option<EngineReport> {
        let report = match &self.ways[rank] {
            Way::Own => self.engine.report().await,
            Way::Far(agent, engine) => match agent.call(REPORT, [0; 0]).await {
                Ok(report) => Ok(report),
                Err(failure) if failure.kind == ErrorKind::UpstreamFailed => Err(failure),
                Err(failure) => {
                    log::debug!("rank {rank} is asked straight: {failure}");
                    let report = engine.report().await;
                    report.map_err(|e| Failure::new(ErrorKind::UpstreamFailed, e.to_string()))
                }
            },
        };
        report
            .inspect_err(|failure| log::info!("rank {rank} does not report: {failure}"))
            .ok()
    }

    async fn order(&self, rank: usize, order: FencedOrder) -> Option<OrderAnswer> {
        let answer = match &self.ways[rank] {
            Way::Own => self.engine.order(order.clone()).await,
            Way::Far(agent, engine) => match far_order(agent, &order, self.changed(&order)).await {
                Ok(answer) => Ok(answer),
                // The engine itself does not answer.
                Err(failure) if failure.kind == ErrorKind::UpstreamFailed => Err(failure),
                Err(failure) => {
                    log::info!("rank {rank} is ordered straight: {failure}");
                    let answer = engine.order(&order, DIRECT).await;
                    answer.map_err(|e| Failure::new(ErrorKind::UpstreamFailed, e.to_string()))
                }
            },
        };
        answer
            .inspect_err(|failure| log::warn!("order {} to rank {rank}: {failure}", order.order))
            .ok()
    }

    async fn pause(&self, length: Duration) {
        tokio::time::sleep(length).await;
    }
}

async fn far_look(agent: &PeerClient, counts: bool) -> Result<Look, Failure> {
    let text: String = agent.call(LOOK, [counts]).await?;
    compact::decode(&text)
}

/// Gives an order through an agent; as `changed` if the agent knows what that is a change from.
async fn far_order(
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

/// Experts by layer and rank, from what each rank holds.
pub(super) fn placement<'a, I>(held: I) -> Placement
where
    I: IntoIterator<Item = &'a HeldExperts>,
{
    let held: Vec<&HeldExperts> = held.into_iter().collect();
    let layers = held.iter().map(|h| h.experts.len()).min().unwrap_or(0);
    let layer = |index: usize| held.iter().map(|h| h.experts[index].clone()).collect();
    (0..layers).map(layer).collect()
}
