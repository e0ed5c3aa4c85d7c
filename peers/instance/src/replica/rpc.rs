//! JSON-RPC methods of a replica and the calls to them.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::ErrorObjectOwned;
use pimentotide_consensus::{Change, Index, Machine};
use pimentotide_model::{ErrorKind, Failure};

use super::ReplicaHandle;
use super::link::{self, DELIVER};
use crate::{PeerClient, rpc_error};

/// Method that returns the identity of a replica.
pub(super) const INTRODUCE: &str = "replica_introduce";
const PROPOSE: &str = "replica_propose";
const READ: &str = "replica_read";
const CHANGE: &str = "replica_change";
const STATUS: &str = "replica_status";

/// Builds the methods of a replica, for [`PeerServer`](crate::PeerServer).
pub fn module<M>(
    replica: ReplicaHandle<M>,
) -> Result<RpcModule<ReplicaHandle<M>>, RegisterMethodError>
where
    M: Machine + Send + Unpin + 'static,
{
    let mut module = RpcModule::new(replica);
    module.register_method(DELIVER, |params, replica, _| {
        let text: String = params.one()?;
        replica.deliver(link::decode(&text).map_err(|f| rpc_error(&f))?);
        Ok::<_, ErrorObjectOwned>(())
    })?;
    module.register_async_method(INTRODUCE, |_, replica, _| async move {
        replica.introduction().await.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(STATUS, |_, replica, _| async move {
        replica.status().await.map_err(|f| rpc_error(&f))
    })?;
    module.register_async_method(PROPOSE, |params, replica, _| async move {
        let command = decode(&params.one::<String>()?).map_err(|f| rpc_error(&f))?;
        let result = replica.propose_here(command).await;
        result
            .map(|(index, answer)| (index, STANDARD.encode(answer)))
            .map_err(|r| rpc_error(&r.failure))
    })?;
    module.register_async_method(READ, |_, replica, _| async move {
        replica.read_here().await.map_err(|r| rpc_error(&r.failure))
    })?;
    module.register_async_method(CHANGE, |params, replica, _| async move {
        let change: Change = params.one()?;
        let result = replica.change_here(change).await;
        result.map(|_| ()).map_err(|r| rpc_error(&r.failure))
    })?;
    Ok(module)
}

/// Proposes a command to the peer, which must be the leader.
pub(super) async fn propose(
    client: &PeerClient,
    command: &[u8],
    limit: Duration,
) -> Result<(Index, Vec<u8>), Failure> {
    let text = STANDARD.encode(command);
    let (index, answer): (Index, String) = client.call_within(limit, PROPOSE, [text]).await?;
    Ok((index, decode(&answer)?))
}

/// Requests the position of a read from the peer, which must be the leader.
pub(super) async fn read(client: &PeerClient, limit: Duration) -> Result<Index, Failure> {
    client.call_within(limit, READ, [0; 0]).await
}

/// Requests a member change from the peer, which must be the leader.
pub(super) async fn change(
    client: &PeerClient,
    change: &Change,
    limit: Duration,
) -> Result<(), Failure> {
    client.call_within(limit, CHANGE, [change]).await
}

fn decode(text: &str) -> Result<Vec<u8>, Failure> {
    STANDARD
        .decode(text)
        .map_err(|e| Failure::new(ErrorKind::InvalidRequest, format!("malformed bytes: {e}")))
}
