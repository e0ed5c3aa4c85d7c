//! Methods by which the coordinator of a group reaches the other ranks.

use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use pimentotide_experts::FencedOrder;
use pimentotide_instance::rpc_error;

use super::compact;
use super::engine::EngineHandle;

/// Method that tells the engine's state.
pub(super) const LOOK: &str = "rank_look";
/// Method that tells the engine's report.
pub(super) const REPORT: &str = "rank_report";
/// Method that gives the engine an order.
pub(super) const ORDER: &str = "rank_order";

/// Methods of an agent.
pub(super) fn module(engine: EngineHandle) -> Result<RpcModule<EngineHandle>, RegisterMethodError> {
    let mut module = RpcModule::new(engine);
    module.register_async_method(LOOK, |params, engine, _| async move {
        let counts: bool = params.one()?;
        let look = engine.look(counts).await;
        let text = look.and_then(|look| compact::encode(&look));
        text.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(REPORT, |_, engine, _| async move {
        engine.report().await.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(ORDER, |params, engine, _| async move {
        let text: String = params.one()?;
        let order: FencedOrder = compact::decode(&text).map_err(|f| rpc_error(&f))?;
        engine.order(order).await.map_err(|f| rpc_error(&f))
    })?;
    Ok(module)
}
