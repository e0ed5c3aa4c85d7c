//! Methods by which other processes reach a replica of the shared state.

use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::{Methods, RpcModule};
use pimentotide_instance::rpc_error;

use super::super::news::{FOLLOW, JOIN, Joining, PROCESSES, Seen};
use super::desk::Desk;
use super::membership::Members;

/// What the methods use.
pub(super) struct Shared {
    desk: Desk,
    members: Members,
}

/// Methods for entries and for replicas that join.
pub(super) fn module(
    desk: Desk,
    members: Members,
) -> Result<RpcModule<Shared>, RegisterMethodError> {
    let mut module = RpcModule::new(Shared { desk, members });
    module.register_async_method(FOLLOW, |params, shared, _| async move {
        let seen: Seen = params.one()?;
        shared.desk.news(seen).await.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(PROCESSES, |_, shared, _| async move {
        shared.desk.processes().await.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(JOIN, |params, shared, _| async move {
        let joining: Joining = params.one()?;
        shared
            .members
            .admit(joining)
            .await
            .map_err(|f| rpc_error(&f))?;
        Ok::<_, ErrorObjectOwned>(())
    })?;
    Ok(module)
}

/// Methods without the type of what they use.
pub(super) fn erase(module: RpcModule<Shared>) -> Methods {
    module.into()
}
