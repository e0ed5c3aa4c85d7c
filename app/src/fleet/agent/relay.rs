//! Messages to many ranks of a group, relayed by their agents.
//!
//! In a large group the link of the coordinator is too slow for a message to each
//! rank. It sends the message to a few agents. Each of them handles its own rank,
//! forwards the message to the agents below it and merges the answers. The tree of
//! receivers travels with the message, so relaying agents keep no state.
//!
//! A relayed order may arrive late or twice, as any other order; its fencing token
//! guards against that.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use pimentotide_experts::{CodedCounts, OrderAnswer, RelayTree};
use pimentotide_instance::{PeerClient, PeerTimeouts, Token};
use pimentotide_model::{ErrorKind, Failure};
use serde::{Deserialize, Serialize};

use super::super::compact;
use super::engine::{RankState, StateRequest};
use super::methods::{RELAY, RankOrder, RankService};

/// Timeouts of calls to another agent; they cover its own wait for its engine.
const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(250),
    call: Duration::from_millis(450),
    retry_delay: Duration::from_millis(50),
    idle: Duration::from_millis(1_500),
};
/// Timeout of a relayed message per level of the tree below the sender.
const LEVEL_TIMEOUT: Duration = Duration::from_millis(350);

/// Rank, and the agent that relays to it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct RelayRank {
    pub(super) rank: u16,
    pub(super) agent: SocketAddr,
}

/// Trees of receivers.
pub(super) type Receivers = Vec<RelayTree<RelayRank>>;

/// Action of each receiver at its engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RelayTask {
    /// Reads the state of the rank.
    State(StateRequest),
    /// Sends an order.
    Order(RankOrder),
}

/// Message to an agent and to those below it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct RelayCall {
    pub(super) rank: u16,
    pub(super) task: RelayTask,
    pub(super) below: Receivers,
}

/// Result of the action at one rank.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RankResult {
    /// State of the rank; its expert choices are in the sum of the answer.
    State(Box<RankState>),
    /// Answer of the engine to an order.
    Order(OrderAnswer),
    /// The action failed.
    Failed(ErrorKind),
}

/// Results of a tree of ranks, and the sum of their expert choices.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct RelayAnswer {
    ranks: Vec<(u16, RankResult)>,
    chosen: CodedCounts,
}

/// Results by rank, and the sum of the expert choices, layer after layer.
#[derive(Debug, Default)]
pub(super) struct Merged {
    pub(super) ranks: BTreeMap<usize, RankResult>,
    pub(super) chosen: Vec<f64>,
}

impl Merged {
    fn insert(&mut self, rank: u16, result: RankResult) {
        self.ranks.insert(usize::from(rank), result);
    }

    /// Adds the results of other ranks, or newer results of the same ranks.
    pub(super) fn merge(&mut self, other: Self) {
        self.ranks.extend(other.ranks);
        self.add_counts(&other.chosen);
    }

    /// Adds expert choices to the sum.
    pub(super) fn add_counts(&mut self, chosen: &[f64]) {
        let len = self.chosen.len().max(chosen.len());
        self.chosen.resize(len, 0.0);
        for (sum, count) in self.chosen.iter_mut().zip(chosen) {
            *sum += count;
        }
    }

    fn encode(self) -> RelayAnswer {
        let ranks = self.ranks.into_iter();
        RelayAnswer {
            ranks: ranks.map(|(rank, result)| (rank as u16, result)).collect(),
            chosen: CodedCounts::encode(&self.chosen),
        }
    }
}

impl From<RelayAnswer> for Merged {
    fn from(answer: RelayAnswer) -> Self {
        let ranks = answer.ranks.into_iter();
        Self {
            ranks: ranks.map(|(r, result)| (usize::from(r), result)).collect(),
            chosen: answer.chosen.decode(),
        }
    }
}

/// Connections to other agents; clones share them.
#[derive(Clone)]
pub(super) struct AgentLinks {
    token: Token,
    clients: Arc<Mutex<BTreeMap<SocketAddr, PeerClient>>>,
}

impl AgentLinks {
    /// Opens no connections until they are used.
    pub(super) fn open(token: Token) -> Self {
        Self {
            token,
            clients: Arc::default(),
        }
    }

    /// Returns the client of the agent at `address`.
    pub(super) fn client(&self, address: SocketAddr) -> PeerClient {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let client = clients
            .entry(address)
            .or_insert_with(|| PeerClient::with_timeouts(address, self.token.clone(), TIMEOUTS));
        client.clone()
    }

    /// Sends a message to trees of agents and merges their answers.
    ///
    /// If an agent fails, those below it receive the message directly.
    pub(super) fn forward<'a>(
        &'a self,
        task: &'a RelayTask,
        trees: &'a [RelayTree<RelayRank>],
    ) -> Pin<Box<dyn Future<Output = Merged> + Send + 'a>> {
        Box::pin(async move {
            let answers = trees.iter().map(|tree| self.forward_to(task, tree));
            let mut merged = Merged::default();
            for answer in join_all(answers).await {
                merged.merge(answer);
            }
            merged
        })
    }

    async fn forward_to(&self, task: &RelayTask, tree: &RelayTree<RelayRank>) -> Merged {
        let failure = match self.call(task, tree).await {
            Ok(answer) => return answer.into(),
            Err(failure) => failure,
        };
        log::info!(
            "agent {} of rank {} does not relay, calling {} below it: {failure}",
            tree.node.agent,
            tree.node.rank,
            tree.below.len()
        );
        let mut merged = self.forward(task, &tree.below).await;
        merged.insert(tree.node.rank, RankResult::Failed(failure.kind));
        merged
    }

    async fn call(
        &self,
        task: &RelayTask,
        tree: &RelayTree<RelayRank>,
    ) -> Result<RelayAnswer, Failure> {
        let call = RelayCall {
            rank: tree.node.rank,
            task: task.clone(),
            below: tree.below.clone(),
        };
        let limit = LEVEL_TIMEOUT * (tree.height() + 1);
        let client = self.client(tree.node.agent);
        let text: String = client
            .call_within(limit, RELAY, [compact::encode(&call)?])
            .await?;
        compact::decode(&text)
    }
}

/// Handles a message at the local engine and forwards it.
pub(super) async fn relay(service: &RankService, call: RelayCall) -> RelayAnswer {
    let below = service.links().forward(&call.task, &call.below);
    let local = perform(service, call.task.clone());
    let (mut merged, (result, chosen)) = futures_util::future::join(below, local).await;
    merged.insert(call.rank, result);
    merged.add_counts(&chosen);
    merged.encode()
}

async fn perform(service: &RankService, task: RelayTask) -> (RankResult, Vec<f64>) {
    let failed = |failure: Failure| {
        log::debug!("relayed message failed: {failure}");
        (RankResult::Failed(failure.kind), Vec::new())
    };
    match task {
        RelayTask::State(request) => match service.engine().state(request).await {
            Ok(mut state) => {
                let chosen = state.chosen.take().unwrap_or_default();
                let chosen = chosen.into_iter().map(f64::from).collect();
                (RankResult::State(Box::new(state)), chosen)
            }
            Err(failure) => failed(failure),
        },
        RelayTask::Order(order) => match service.order(order).await {
            Ok(answer) => (RankResult::Order(answer), Vec::new()),
            Err(failure) => failed(failure),
        },
    }
}
