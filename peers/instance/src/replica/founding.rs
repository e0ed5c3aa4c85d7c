//! Founding of a new log by several replicas with empty disks.
//!
//! The first of the founders by name asks all others who they are. Only if every
//! one answers, and none belongs to a log, does it found one with itself as the
//! only voter and the others as learners, which become voters one by one. A
//! founder that lost its disk later finds the others used and waits for being
//! added; if one of them does not answer it waits as well.

use std::time::Duration;

use actix::Addr;
use pimentotide_consensus::{Config, Identity, Machine, Member};
use pimentotide_model::{ErrorKind, Failure, InstanceName};

use super::actor::Replica;
use super::link::TIMEOUTS;
use super::message::{Found, Introduction};
use super::options::ReplicaOptions;
use super::rpc::INTRODUCE;
use crate::PeerClient;

/// Pause between attempts.
const PAUSE: Duration = Duration::from_millis(250);

/// Tries to found a log until it is done or one turns out to exist.
pub(super) async fn found<M>(options: ReplicaOptions, me: Identity, replica: Addr<Replica<M>>)
where
    M: Machine + Send + Unpin + 'static,
{
    let first = options.founders.keys().next();
    if first != Some(&options.name) {
        return;
    }
    let mut last = None;
    loop {
        match gather(&options, &me).await {
            Ok(config) => {
                replica.do_send(Found { config });
                return;
            }
            Err(failure) if failure.kind == ErrorKind::RevisionConflict => {
                log::error!("no log is founded: {failure}");
                return;
            }
            Err(failure) => {
                if last.as_ref() != Some(&failure.detail) {
                    log::info!("founding waits: {failure}");
                    last = Some(failure.detail);
                }
            }
        }
        actix_rt::time::sleep(PAUSE).await;
    }
}

async fn gather(options: &ReplicaOptions, me: &Identity) -> Result<Config, Failure> {
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
        let found = introduce(&client, name).await?;
        if found.cluster.is_some() {
            return Err(Failure::new(
                ErrorKind::RevisionConflict,
                format!("{name} belongs to a log already; add {} to it", me.name),
            ));
        }
        config
            .learners
            .insert(name.clone(), member(found.identity.disk));
    }
    Ok(config)
}

/// Asks the replica at the other end who it is.
pub(super) async fn introduce(
    client: &PeerClient,
    name: &InstanceName,
) -> Result<Introduction, Failure> {
    let found: Introduction = client.call(INTRODUCE, [0; 0]).await?;
    if found.identity.name == *name {
        return Ok(found);
    }
    Err(Failure::new(
        ErrorKind::InvalidRequest,
        format!(
            "{} is {}, not {name}",
            client.address(),
            found.identity.name
        ),
    ))
}
