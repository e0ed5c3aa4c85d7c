//! RPC methods of a control replica for other processes.

use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::{Methods, RpcModule};
use pimentotide_instance::rpc_error;

use super::super::rpc::{
    EntryReports, FOLLOW, JOIN, JoinRequest, PROCESSES, REPORT, SeenRevisions,
};
use super::desk::ControlService;
use super::membership::Members;

/// State of the RPC methods.
pub(super) struct Shared {
    service: ControlService,
    members: Members,
}

/// Registers the methods for entries, agents and joining replicas.
pub(super) fn module(
    service: ControlService,
    members: Members,
) -> Result<RpcModule<Shared>, RegisterMethodError> {
    let mut module = RpcModule::new(Shared { service, members });
    module.register_async_method(FOLLOW, |params, shared, _| async move {
        let seen: SeenRevisions = params.one()?;
        shared
            .service
            .next_update(seen)
            .await
            .map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(PROCESSES, |params, shared, _| async move {
        let group: Option<String> = params.one()?;
        let processes = shared.service.processes(group.as_deref()).await;
        processes.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(REPORT, |params, shared, _| async move {
        let reports: EntryReports = params.one()?;
        let recorded = shared.service.record_reports(reports).await;
        recorded.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(JOIN, |params, shared, _| async move {
        let joining: JoinRequest = params.one()?;
        shared
            .members
            .admit(joining)
            .await
            .map_err(|f| rpc_error(&f))?;
        Ok::<_, ErrorObjectOwned>(())
    })?;
    Ok(module)
}

/// Erases the type of the state, so that modules can be merged.
pub(super) fn erase(module: RpcModule<Shared>) -> Methods {
    module.into()
}
