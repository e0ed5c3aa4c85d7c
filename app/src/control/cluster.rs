//! Membership of the replicated log, as shown to operators and changed by them.

use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_consensus::{Config, Member as LogMember};
use pimentotide_instance::replica::ReplicaStatus;
use pimentotide_model::{ErrorKind, Failure, InstanceName};
use pimentotide_operator::{Cluster, Control as _, Member, MemberChange, MemberRole};

use super::source::OperatorBackend;

/// Interval at which the members shown to operators are refreshed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Refreshes the members shown to operators until the replica stops.
pub(super) async fn refresh(backend: OperatorBackend) {
    while let Ok(status) = backend.replica().status().await {
        backend.set_cluster(describe(&status));
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

/// Adds or removes one member; succeeds if the change is already in effect.
pub(super) async fn change(
    backend: &OperatorBackend,
    change: MemberChange,
) -> Result<Cluster, Failure> {
    let status = backend.replica().status().await?;
    let config = &status.log.config;
    match change {
        MemberChange::Add { name, address } => {
            let address = parse(&address)?;
            if config.member(&name).is_none_or(|m| m.address != address) {
                backend.replica().add(name, address).await?;
            }
        }
        MemberChange::Remove { name } => {
            if config.member(&name).is_some() {
                backend.replica().remove(name).await?;
            }
        }
    }
    backend.set_cluster(describe(&backend.replica().status().await?));
    Ok(backend.cluster())
}

fn parse(address: &str) -> Result<SocketAddr, Failure> {
    address.parse().map_err(|_| {
        let detail = format!("expected an address such as 10.0.0.1:7100, found {address:?}");
        Failure::new(ErrorKind::InvalidRequest, detail)
    })
}

fn describe(status: &ReplicaStatus) -> Cluster {
    Cluster {
        local: status.log.identity.name.to_string(),
        leader: status.log.leader.as_ref().map(|l| l.name.clone()),
        members: members(&status.log.config),
    }
}

fn members(config: &Config) -> Vec<Member> {
    let voters = config
        .voters
        .iter()
        .map(|(name, m)| member(name, m, MemberRole::Voter));
    let learners = config
        .learners
        .iter()
        .map(|(name, m)| member(name, m, MemberRole::Learner));
    voters.chain(learners).collect()
}

fn member(name: &InstanceName, member: &LogMember, role: MemberRole) -> Member {
    Member {
        name: name.clone(),
        address: member.address.to_string(),
        role,
    }
}
