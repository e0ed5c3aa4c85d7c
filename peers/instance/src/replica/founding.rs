//! Bootstrap of a new log by several replicas with empty disks.
//!
//! The first founder by name requests the identity of all others. Only if every
//! one answers and none belongs to a log, it bootstraps one with itself as the
//! only voter and the others as learners, which become voters one by one. A
//! founder that lost its disk later finds that the others belong to a log and
//! waits until it is added; it also waits while any of them does not answer.

use std::time::Duration;

use actix::Addr;
use pimentotide_consensus::{Config, Identity, Machine, Member};
use pimentotide_model::{ErrorKind, Failure, InstanceName};

use super::actor::Replica;
use super::link::TIMEOUTS;
use super::message::{Bootstrap, Introduction};
use super::options::ReplicaOptions;
use super::rpc::INTRODUCE;
use crate::PeerClient;

/// Delay between bootstrap attempts.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Tries to bootstrap a log until it succeeds or an existing one is found.
pub(super) async fn bootstrap<M>(options: ReplicaOptions, me: Identity, replica: Addr<Replica<M>>)
where
    M: Machine + Send + Unpin + 'static,
{
    let first = options.founders.keys().next();
    if first != Some(&options.name) {
        return;
    }
    let mut last_detail = None;
    loop {
        match collect_members(&options, &me).await {
            Ok(config) => {
                replica.do_send(Bootstrap { config });
                return;
            }
            Err(failure) if failure.kind == ErrorKind::RevisionConflict => {
                log::error!("cannot bootstrap a new log: {failure}");
                return;
            }
            Err(failure) => {
                if last_detail.as_ref() != Some(&failure.detail) {
                    log::info!("bootstrap waits for all founders: {failure}");
                    last_detail = Some(failure.detail);
                }
            }
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

async fn collect_members(options: &ReplicaOptions, me: &Identity) -> Result<Config, Failure> {
    let mut config = Config::default();
    for (name, address) in &options.founders {
        let member = |disk| Member {
            disk,
            address: *address,
        };
        if *name == me.name {
            config.voters.insert(name.clone(), member(me.disk));
            continue;
        }
        let client = PeerClient::with_timeouts(*address, options.token.clone(), TIMEOUTS);
        let peer = introduce(&client, name).await?;
        if peer.cluster.is_some() {
            return Err(Failure::new(
                ErrorKind::RevisionConflict,
                format!("{name} belongs to a log already; add {} to it", me.name),
            ));
        }
        config
            .learners
            .insert(name.clone(), member(peer.identity.disk));
    }
    Ok(config)
}

/// Requests the identity of the replica.
pub(crate) async fn read_identity(client: &PeerClient) -> Result<Identity, Failure> {
    let peer: Introduction = client.call(INTRODUCE, [0; 0]).await?;
    Ok(peer.identity)
}

/// Requests the identity of the peer and checks that its name is `name`.
pub(super) async fn introduce(
    client: &PeerClient,
    name: &InstanceName,
) -> Result<Introduction, Failure> {
    let peer: Introduction = client.call(INTRODUCE, [0; 0]).await?;
    if peer.identity.name == *name {
        return Ok(peer);
    }
    Err(Failure::new(
        ErrorKind::InvalidRequest,
        format!("{} is {}, not {name}", client.address(), peer.identity.name),
    ))
}
