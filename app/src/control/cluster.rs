//! Members of the log as operators see and change them.

use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_consensus::{Config, Member as LogMember};
use pimentotide_instance::replica::ReplicaStatus;
use pimentotide_model::{ErrorKind, Failure, InstanceName};
use pimentotide_operator::{Cluster, Control as _, Member, MemberChange, MemberRole};

use super::source::Desk;

/// Time between two looks at the members.
const REFRESH: Duration = Duration::from_millis(250);

/// Keeps what operators are told about the members up to date.
pub(super) async fn follow(desk: Desk) {
    while let Ok(status) = desk.replica().status().await {
        desk.set_cluster(describe(&status));
        tokio::time::sleep(REFRESH).await;
    }
}

/// Changes the members by one; a change that is in force already succeeds.
pub(super) async fn change(desk: &Desk, change: MemberChange) -> Result<Cluster, Failure> {
    let status = desk.replica().status().await?;
    let config = &status.log.config;
    match change {
        MemberChange::Add { name, address } => {
            let address = parse(&address)?;
            if config.member(&name).is_none_or(|m| m.address != address) {
                desk.replica().add(name, address).await?;
            }
        }
        MemberChange::Remove { name } => {
            if config.member(&name).is_some() {
                desk.replica().remove(name).await?;
            }
        }
    }
    desk.set_cluster(describe(&desk.replica().status().await?));
    Ok(desk.cluster())
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
