//! Access of a coordinator to the ranks of its group.
//!
//! A remote rank is reached through its agent, or directly at its engine if the
//! agent does not answer. Messages to many ranks are relayed by their agents.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use pimentotide_experts::{
    DIRECT_ORDER_TIMEOUTS, EngineOrder, EngineReport, FencedOrder, HeldExperts, OrderAnswer,
    Placement, PlacementChange, ProbeOutcome, Ranks, RelayTree, Switch, SwitchEnding, Urgency,
    ask_again,
};
use pimentotide_instance::PeerClient;
use pimentotide_model::{ErrorKind, Failure, ZoneName};
use pimentotide_platform::{EngineClient, EngineError};

use super::super::beacon::{AgentBeacon, Seat};
use super::super::compact;
use super::engine::{EngineHandle, RankState, StateRequest};
use super::methods::{ORDER, REPORT, RankOrder, STATE};
use super::relay::{AgentLinks, Merged, RankResult, RelayRank, RelayTask};
use crate::lines::GroupReleased;

/// Timeout of a request sent directly to a remote engine.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Limit for a current report that no relay has returned; its agent may have failed.
const CURRENT_REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Limit for the answer of the coordinator's agent to a probe.
///
/// Shorter than the limit for a connection, whose end would make a frozen process look crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Passes from the last one begun to the one that is held for a switch.
///
/// Arming a small group takes a fraction of a pass.
const PASS_LEAD: u64 = 1;
/// The same in a group whose messages are relayed, unless passes are slow until the switch.
const RELAYED_PASS_LEAD: u64 = 2;
/// Maximum number of ranks that one agent exchanges messages with itself.
const MAX_DIRECT_RANKS: usize = 24;

/// Ranks of one group in one epoch, in rank order.
pub(super) struct Group {
    /// Seat of the local engine.
    pub(super) seat: Seat,
    engine: EngineHandle,
    links: AgentLinks,
    routes: Vec<RankRoute>,
    /// Changes from the last placement sent to the ranks, by version of the resulting one.
    changes: BTreeMap<u64, PlacementChange>,
    /// Whether passes are slow until the switch, so that one pass more costs more than a short wait.
    urgent: bool,
}

/// Path to a rank.
pub(super) enum RankRoute {
    /// The local engine.
    Local,
    /// The agent of the rank, and its engine in case the agent does not answer.
    Remote(RemoteRank),
}

pub(super) struct RemoteRank {
    agent: PeerClient,
    engine: EngineClient,
    zone: ZoneName,
    /// Whether the agent did not answer; its engine is then used directly.
    agent_failed: Cell<bool>,
}

/// States of all ranks in rank order, and the sum of their expert choices.
pub(super) struct Survey {
    pub(super) states: Vec<RankState>,
    pub(super) chosen: Vec<f64>,
}

impl RankRoute {
    /// Path through an agent.
    pub(super) fn remote(agent: &AgentBeacon, links: &AgentLinks) -> Self {
        Self::Remote(RemoteRank {
            agent: links.client(agent.calls),
            engine: EngineClient::open(agent.engine, DIRECT_TIMEOUT),
            zone: agent.zone.clone(),
            agent_failed: Cell::new(false),
        })
    }
}

impl Group {
    pub(super) fn new(
        seat: Seat,
        engine: EngineHandle,
        links: AgentLinks,
        routes: Vec<RankRoute>,
    ) -> Self {
        Self {
            seat,
            engine,
            links,
            routes,
            changes: BTreeMap::new(),
            urgent: false,
        }
    }

    /// Sets how urgent a switch is.
    pub(super) fn with_urgency(mut self, urgency: Urgency) -> Self {
        self.urgent = urgency == Urgency::Urgent;
        self
    }

    /// Sets the change in whose form the placement of `version` is sent.
    ///
    /// Ranks whose last placement is not the base of the change receive the whole placement.
    pub(super) fn with_change(mut self, version: u64, change: Option<PlacementChange>) -> Self {
        self.changes.extend(change.map(|c| (version, c)));
        self
    }

    /// Reaches a rank only directly at its engine from now on.
    pub(super) fn avoid_agent(&self, rank: usize) {
        if let Some(RankRoute::Remote(remote)) = self.routes.get(rank) {
            remote.agent_failed.set(true);
        }
    }

    /// Whether messages to all ranks are relayed.
    pub(super) fn is_relayed(&self) -> bool {
        self.routes.len() > MAX_DIRECT_RANKS
    }

    /// Finds out whether the agent of a rank accepts connections.
    pub(super) async fn probe_agent(&self, rank: usize) -> ProbeOutcome {
        let Some(RankRoute::Remote(remote)) = self.routes.get(rank) else {
            return ProbeOutcome::Connected;
        };
        let call = remote.agent.call::<_, EngineReport>(REPORT, [0; 0]);
        match tokio::time::timeout(PROBE_TIMEOUT, call).await {
            // The connection broke, or none could be opened.
            Ok(Err(failure))
                if matches!(
                    failure.kind,
                    ErrorKind::NotCurrent | ErrorKind::OutcomeUnknown
                ) =>
            {
                ProbeOutcome::Unreachable
            }
            Ok(_) | Err(_) => ProbeOutcome::Connected,
        }
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
        let start = Instant::now();
        let ending = switch.undo(self, step).await;
        report_release(step, ending, reason, start);
    }

    /// Releases a pass that a failed coordinator left held.
    pub(super) async fn rescue(&self, step: u64, version: u64, reason: &'static str) {
        let switch = Switch {
            epoch: self.seat.epoch,
            version,
            old: Placement::new(),
            new: Placement::new(),
        };
        let start = Instant::now();
        let ending = switch.rescue(self, step).await;
        report_release(step, ending, reason, start);
    }

    /// Returns an order to prepare a placement as a change; `None` for other orders and versions.
    fn delta(&self, order: &FencedOrder) -> Option<RankOrder> {
        let EngineOrder::Prepare { version, .. } = &order.order else {
            return None;
        };
        Some(RankOrder::Changed {
            epoch: order.epoch,
            fence: order.fence,
            version: *version,
            change: self.changes.get(version)?.clone(),
        })
    }

    /// Reads the state of all ranks and their expert choices, and the held experts if `held`.
    ///
    /// Reads counts through agents only, because reading them from a remote engine is expensive.
    ///
    /// # Errors
    ///
    /// Fails if the state of a rank cannot be read.
    pub(super) async fn survey(&self, held: bool) -> Result<Survey, Failure> {
        let request = StateRequest { held, counts: true };
        let ranks: Vec<usize> = (0..self.routes.len()).collect();
        let mut merged = if self.is_relayed() {
            self.relay(&ranks, RelayTask::State(request)).await
        } else {
            Merged::default()
        };
        let states = ranks.iter().map(|rank| {
            let relayed = merged.ranks.remove(rank);
            async move {
                match relayed {
                    Some(RankResult::State(state)) => Ok(*state),
                    Some(_) | None => self.state(*rank, request).await,
                }
            }
        });
        let states: Vec<Result<RankState, Failure>> = join_all(states).await;
        let mut states = states.into_iter().collect::<Result<Vec<_>, _>>()?;
        for state in &mut states {
            let chosen = state.chosen.take().unwrap_or_default();
            let chosen: Vec<f64> = chosen.into_iter().map(f64::from).collect();
            merged.add_counts(&chosen);
        }
        Ok(Survey {
            states,
            chosen: merged.chosen,
        })
    }

    /// Reads the state of one rank; without counts if its agent does not answer.
    async fn state(&self, rank: usize, request: StateRequest) -> Result<RankState, Failure> {
        let remote = match &self.routes[rank] {
            RankRoute::Local => return self.engine.state(request).await,
            RankRoute::Remote(remote) => remote,
        };
        match remote.ask_agent(remote_state(&remote.agent, request)).await {
            AgentAnswer::Answered(result) => result,
            AgentAnswer::Failed => Ok(RankState {
                report: remote
                    .engine
                    .report()
                    .await
                    .map_err(|e| engine_failure(&e))?,
                held: match request.held {
                    true => Some(remote.engine.held().await.map_err(|e| engine_failure(&e))?),
                    false => None,
                },
                chosen: None,
            }),
        }
    }

    /// Relays a message to many ranks; returns nothing for few, which are called directly.
    async fn relay_if_many(&self, ranks: &[usize], task: RelayTask) -> Merged {
        if ranks.len() > MAX_DIRECT_RANKS {
            self.relay(ranks, task).await
        } else {
            Merged::default()
        }
    }

    /// Sends a message to the remote ranks among `ranks` whose agents answer.
    async fn relay(&self, ranks: &[usize], task: RelayTask) -> Merged {
        let remote = ranks.iter().filter_map(|rank| match &self.routes[*rank] {
            RankRoute::Remote(remote) if !remote.agent_failed.get() => Some((
                remote.zone.clone(),
                RelayRank {
                    rank: u16::try_from(*rank).ok()?,
                    agent: remote.agent.address(),
                },
            )),
            RankRoute::Remote(_) | RankRoute::Local => None,
        });
        let trees = RelayTree::by_zone(remote);
        let merged = self.links.forward(&task, &trees).await;
        for (rank, result) in &merged.ranks {
            if matches!(result, RankResult::Failed(kind) if is_agent_failure(*kind)) {
                self.avoid_agent(*rank);
            }
        }
        merged
    }
}

fn report_release(step: u64, ending: SwitchEnding, reason: &'static str, start: Instant) {
    pimentotide_observe::event(&GroupReleased {
        step,
        ending: ending.to_string(),
        reason,
        took_ms: start.elapsed().as_millis(),
    });
}

/// Answer of the agent of a rank.
enum AgentAnswer<T> {
    /// The agent answered, possibly that its engine failed.
    Answered(Result<T, Failure>),
    /// The agent did not answer.
    Failed,
}

impl RemoteRank {
    /// Awaits a call to the agent, unless the agent has failed before.
    async fn ask_agent<T, F>(&self, call: F) -> AgentAnswer<T>
    where
        F: Future<Output = Result<T, Failure>>,
    {
        if self.agent_failed.get() {
            return AgentAnswer::Failed;
        }
        match call.await {
            Err(failure) if is_agent_failure(failure.kind) => {
                log::info!(
                    "agent {} failed, its engine is used directly: {failure}",
                    self.agent.address()
                );
                self.agent_failed.set(true);
                AgentAnswer::Failed
            }
            result => AgentAnswer::Answered(result),
        }
    }
}

/// Whether a call failed at the agent, as opposed to its engine or the request.
fn is_agent_failure(kind: ErrorKind) -> bool {
    !matches!(
        kind,
        ErrorKind::UpstreamFailed | ErrorKind::RevisionConflict
    )
}

/// Whether an order holds or releases a pass.
fn is_about_pass(order: &EngineOrder) -> bool {
    matches!(order, EngineOrder::Hold { .. } | EngineOrder::Go { .. })
}

fn engine_failure(error: &EngineError) -> Failure {
    Failure::new(ErrorKind::UpstreamFailed, error.to_string())
}

impl Ranks for Group {
    fn size(&self) -> usize {
        self.routes.len()
    }

    fn pass_lead(&self) -> u64 {
        if self.is_relayed() && !self.urgent {
            RELAYED_PASS_LEAD
        } else {
            PASS_LEAD
        }
    }

    async fn report(&self, rank: usize) -> Option<EngineReport> {
        let report = match &self.routes[rank] {
            RankRoute::Local => self.engine.report().await,
            RankRoute::Remote(remote) => {
                match remote.ask_agent(remote.agent.call(REPORT, [0; 0])).await {
                    AgentAnswer::Answered(report) => report,
                    AgentAnswer::Failed => {
                        remote.engine.report().await.map_err(|e| engine_failure(&e))
                    }
                }
            }
        };
        report
            .inspect_err(|failure| log::info!("no report from rank {rank}: {failure}"))
            .ok()
    }

    async fn current_report(&self, rank: usize) -> Option<EngineReport> {
        let report = match &self.routes[rank] {
            RankRoute::Local => self.engine.report().await.ok(),
            // An engine reports its current state only to its own instance.
            RankRoute::Remote(remote) => remote.agent.call(REPORT, [0; 0]).await.ok(),
        };
        if report.is_none() {
            log::info!("no current report from rank {rank}");
        }
        report
    }

    async fn order(&self, rank: usize, order: FencedOrder) -> Option<OrderAnswer> {
        let answer = match &self.routes[rank] {
            RankRoute::Local => self.engine.order(order.clone()).await,
            // The agent beside the holder may fail in the middle of a switch, so that it is not
            // involved in holding passes.
            RankRoute::Remote(remote) if is_about_pass(&order.order) => {
                match direct_order(&remote.engine, &order).await {
                    Ok(answer) => Ok(answer),
                    Err(failure) => {
                        log::info!("rank {rank}: {failure}; its agent forwards {}", order.order);
                        remote_order(&remote.agent, &order, None).await
                    }
                }
            }
            RankRoute::Remote(remote) => {
                let ordered = remote_order(&remote.agent, &order, self.delta(&order));
                match remote.ask_agent(ordered).await {
                    AgentAnswer::Answered(answer) => answer,
                    AgentAnswer::Failed => {
                        let answer = direct_order(&remote.engine, &order).await;
                        answer.map_err(|e| engine_failure(&e))
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

    async fn reports(&self, ranks: &[usize]) -> Vec<Option<EngineReport>> {
        let request = StateRequest {
            held: false,
            counts: false,
        };
        let mut merged = self.relay_if_many(ranks, RelayTask::State(request)).await;
        let reports = ranks.iter().map(|rank| {
            let relayed = merged.ranks.remove(rank);
            async move {
                match relayed {
                    Some(RankResult::State(state)) => Some(state.report),
                    Some(_) | None => self.report(*rank).await,
                }
            }
        });
        join_all(reports).await
    }

    async fn current_reports(&self, ranks: &[usize]) -> Vec<Option<EngineReport>> {
        let request = StateRequest {
            held: false,
            counts: false,
        };
        // A relaying agent reads the report of its own engine, so it is current.
        let mut merged = self.relay_if_many(ranks, RelayTask::State(request)).await;
        let reports = ranks.iter().map(|rank| {
            let relayed = merged.ranks.remove(rank);
            async move {
                match relayed {
                    Some(RankResult::State(state)) => Some(state.report),
                    Some(_) | None => {
                        let report = self.current_report(*rank);
                        let report = tokio::time::timeout(CURRENT_REPORT_TIMEOUT, report).await;
                        report.ok().flatten()
                    }
                }
            }
        });
        join_all(reports).await
    }

    async fn orders(&self, ranks: &[usize], order: &FencedOrder) -> Vec<Option<OrderAnswer>> {
        let mut merged = Merged::default();
        if let Some(change) = self.delta(order) {
            merged = self.relay_if_many(ranks, RelayTask::Order(change)).await;
        }
        let is_settled = |rank: &usize| {
            let result = merged.ranks.get(rank);
            result.is_some_and(|r| !matches!(r, RankResult::Failed(ErrorKind::RevisionConflict)))
        };
        let rest: Vec<usize> = ranks.iter().copied().filter(|r| !is_settled(r)).collect();
        let whole = RelayTask::Order(RankOrder::Whole(order.clone()));
        merged.merge(self.relay_if_many(&rest, whole).await);
        let answers = ranks.iter().map(|rank| {
            let relayed = merged.ranks.remove(rank);
            async move {
                match relayed {
                    Some(RankResult::Order(answer)) => Some(answer),
                    // The agent got no answer from its engine, so no direct order is sent.
                    Some(RankResult::Failed(ErrorKind::UpstreamFailed)) => None,
                    Some(_) | None => self.order(*rank, order.clone()).await,
                }
            }
        });
        join_all(answers).await
    }

    async fn pause(&self, length: Duration) {
        tokio::time::sleep(length).await;
    }
}

async fn remote_state(agent: &PeerClient, request: StateRequest) -> Result<RankState, Failure> {
    let text: String = agent.call(STATE, [request]).await?;
    compact::decode(&text)
}

/// Sends an order to the engine of another instance and retries it on failure.
async fn direct_order(
    engine: &EngineClient,
    order: &FencedOrder,
) -> Result<OrderAnswer, EngineError> {
    ask_again(&DIRECT_ORDER_TIMEOUTS, |timeout| {
        engine.order(order, timeout)
    })
    .await
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
