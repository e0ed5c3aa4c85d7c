//! RPC methods through which the coordinator of a group reaches the other ranks.

use std::sync::{Mutex, PoisonError};

use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use pimentotide_experts::{EngineOrder, FencedOrder, OrderAnswer, Placement, PlacementChange};
use pimentotide_instance::rpc_error;
use pimentotide_model::{ErrorKind, Failure};
use serde::{Deserialize, Serialize};

use super::super::compact;
use super::engine::{EngineHandle, StateRequest};
use super::relay::{AgentLinks, RelayCall, relay};

/// Method that returns the encoded [`RankState`](super::engine::RankState) of the engine.
pub(super) const STATE: &str = "rank_look";
/// Method that returns the engine's report.
pub(super) const REPORT: &str = "rank_report";
/// Method that forwards an encoded [`RankOrder`] to the engine.
pub(super) const ORDER: &str = "rank_order";
/// Method that handles an encoded [`RelayCall`] and forwards it to other agents.
pub(super) const RELAY: &str = "rank_relay";

/// Order sent to another rank.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RankOrder {
    /// Complete order, as the engine accepts it.
    Whole(FencedOrder),
    /// Order to prepare a placement, given as a change.
    Changed {
        /// Epoch of the group that the order is for.
        epoch: u64,
        /// Fencing token.
        fence: u64,
        /// Version of the new placement.
        version: u64,
        /// Change from the last placement sent to the rank.
        change: PlacementChange,
    },
}

/// State of the RPC methods of an agent.
pub(super) struct RankService {
    engine: EngineHandle,
    links: AgentLinks,
    /// Last placement that the engine was ordered to prepare.
    last_placement: Mutex<Option<Placement>>,
}

impl RankService {
    pub(super) fn new(engine: EngineHandle, links: AgentLinks) -> Self {
        Self {
            engine,
            links,
            last_placement: Mutex::default(),
        }
    }

    pub(super) fn engine(&self) -> &EngineHandle {
        &self.engine
    }

    pub(super) fn links(&self) -> &AgentLinks {
        &self.links
    }

    /// Completes an order and sends it to the engine.
    ///
    /// # Errors
    ///
    /// Fails with `RevisionConflict` if a change does not apply to the last placement.
    pub(super) async fn order(&self, order: RankOrder) -> Result<OrderAnswer, Failure> {
        let order = self.complete(order)?;
        self.engine.order(order).await
    }

    /// Completes an order for the engine.
    ///
    /// # Errors
    ///
    /// Fails if a change does not apply to the last placement.
    fn complete(&self, order: RankOrder) -> Result<FencedOrder, Failure> {
        let mut last = self
            .last_placement
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let order = match order {
            RankOrder::Whole(order) => order,
            RankOrder::Changed {
                epoch,
                fence,
                version,
                change,
            } => {
                let applied = last.as_ref().and_then(|last| change.apply(last));
                let Some(experts) = applied else {
                    let detail = "the change is from another placement";
                    return Err(Failure::new(ErrorKind::RevisionConflict, detail));
                };
                FencedOrder {
                    order: EngineOrder::Prepare { version, experts },
                    epoch,
                    fence,
                }
            }
        };
        if let EngineOrder::Prepare { experts, .. } = &order.order {
            *last = Some(experts.clone());
        }
        Ok(order)
    }
}

/// Registers the methods of an agent.
pub(super) fn module(
    engine: EngineHandle,
    links: AgentLinks,
) -> Result<RpcModule<RankService>, RegisterMethodError> {
    let mut module = RpcModule::new(RankService::new(engine, links));
    module.register_async_method(STATE, |params, rank, _| async move {
        let request: StateRequest = params.one()?;
        let state = rank.engine.state(request).await;
        let text = state.and_then(|state| compact::encode(&state));
        text.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(REPORT, |_, rank, _| async move {
        rank.engine.report().await.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(ORDER, |params, rank, _| async move {
        let text: String = params.one()?;
        let order: RankOrder = compact::decode(&text).map_err(|f| rpc_error(&f))?;
        rank.order(order).await.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(RELAY, |params, rank, _| async move {
        let text: String = params.one()?;
        let call: RelayCall = compact::decode(&text).map_err(|f| rpc_error(&f))?;
        compact::encode(&relay(&rank, call).await).map_err(|f| rpc_error(&f))
    })?;
    Ok(module)
}
