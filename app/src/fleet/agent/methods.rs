//! Methods by which the coordinator of a group reaches the other ranks.

use std::sync::{Mutex, PoisonError};

use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use pimentotide_experts::{EngineOrder, FencedOrder, Placement, PlacementChange};
use pimentotide_instance::rpc_error;
use pimentotide_model::{ErrorKind, Failure};
use serde::{Deserialize, Serialize};

use super::compact;
use super::engine::EngineHandle;

/// Method that tells the engine's state.
pub(super) const LOOK: &str = "rank_look";
/// Method that tells the engine's report.
pub(super) const REPORT: &str = "rank_report";
/// Method that gives the engine an order.
pub(super) const ORDER: &str = "rank_order";

/// An order on its way to another rank.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RankOrder {
    /// As the engine takes it.
    Whole(FencedOrder),
    /// To prepare a placement that is told by what changes.
    Changed {
        /// Epoch of the group.
        epoch: u64,
        /// Fencing number.
        fence: u64,
        /// Version of the placement.
        version: u64,
        /// Change from the placement that the rank was told last.
        change: PlacementChange,
    },
}

/// What the methods of an agent work on.
pub(super) struct RankService {
    engine: EngineHandle,
    /// Placement that the engine was last told to prepare.
    last: Mutex<Option<Placement>>,
}

impl RankService {
    pub(super) fn new(engine: EngineHandle) -> Self {
        Self {
            engine,
            last: Mutex::default(),
        }
    }

    /// Order for the engine; fails if a change is from a placement that is not known here.
    fn complete(&self, order: RankOrder) -> Result<FencedOrder, Failure> {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let order = match order {
            RankOrder::Whole(order) => order,
            RankOrder::Changed {
                epoch,
                fence,
                version,
                change,
            } => {
                let known = last.as_ref().and_then(|last| change.apply(last));
                let Some(experts) = known else {
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

/// Methods of an agent.
pub(super) fn module(engine: EngineHandle) -> Result<RpcModule<RankService>, RegisterMethodError> {
    let mut module = RpcModule::new(RankService::new(engine));
    module.register_async_method(LOOK, |params, rank, _| async move {
        let counts: bool = params.one()?;
        let look = rank.engine.look(counts).await;
        let text = look.and_then(|look| compact::encode(&look));
        text.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(REPORT, |_, rank, _| async move {
        rank.engine.report().await.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(ORDER, |params, rank, _| async move {
        let text: String = params.one()?;
        let order: RankOrder = compact::decode(&text).map_err(|f| rpc_error(&f))?;
        let order = rank.complete(order).map_err(|f| rpc_error(&f))?;
        rank.engine.order(order).await.map_err(|f| rpc_error(&f))
    })?;
    Ok(module)
}
