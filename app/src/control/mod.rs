//! Role of the control replica: the replicated log with what reads and writes it.
//!
//! One replica serves three sides: other replicas and the deployment's entries
//! and agents on one port, and operators on another. All of them see the state
//! that the log has built through [`Source`].

mod cluster;
mod source;

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use actix_rt::task::JoinHandle;
use derive_more::{Display, From};
use pimentotide_instance::directory::{Directory, SharedMachine};
use pimentotide_instance::replica::{Replica, ReplicaHandle, ReplicaOptions, module};
use pimentotide_instance::{PeerServer, Token, submit_module};
use pimentotide_model::{Failure, InstanceName};
use pimentotide_operator::server::Server;

pub use source::Source;

use self::source::Desk;
use crate::settings::{Peer, ReplicaSettings};

/// What a control replica needs to run.
pub struct ControlOptions {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Settings of the role.
    pub settings: ReplicaSettings,
    /// Replicas that found the log together.
    pub founders: Vec<Peer>,
    /// Secret of the deployment.
    pub token: Token,
}

/// Why a control replica could not start.
#[derive(Debug, Display, From)]
pub enum ControlError {
    /// The replica, its disk or its port failed.
    #[display("control replica: {_0}")]
    Replica(Failure),
    /// The operators' port cannot be bound.
    #[display("listener for operators on {_0}: {_1}")]
    Operator(SocketAddr, std::io::Error),
}

impl std::error::Error for ControlError {}

/// A running control replica.
pub struct Control {
    replica: ReplicaHandle<SharedMachine>,
    source: Source,
    peers: PeerServer,
    operators: Server,
    cluster: JoinHandle<()>,
}

impl Control {
    /// Starts a control replica on the current actix system.
    ///
    /// # Errors
    ///
    /// Fails if the data folder cannot be used or an address cannot be bound.
    pub async fn spawn(options: ControlOptions) -> Result<Self, ControlError> {
        let settings = options.settings;
        let shared = SharedMachine::default();
        let replica = spawn_replica(
            &options.instance,
            &settings,
            options.founders,
            &options.token,
            &shared,
        );
        let replica = replica.await?;
        let source = Source::new(shared, replica.clone());
        let directory = Directory::spawn(source.clone(), epoch());
        let modules: Vec<jsonrpsee::Methods> = vec![
            module(replica.clone()).map_err(|e| internal(&e))?.into(),
            directory.module().map_err(|e| internal(&e))?.into(),
            submit_module(source.clone())
                .map_err(|e| internal(&e))?
                .into(),
        ];
        let peers = PeerServer::bind(settings.listen, options.token, modules).await?;
        let desk = Desk::new(source.clone(), directory, &options.instance);
        let cluster = actix_rt::spawn(cluster::follow(desk.clone()));
        let operators = Server::bind(settings.operator, desk)
            .map_err(|e| ControlError::Operator(settings.operator, e))?;
        Ok(Self {
            replica,
            source,
            peers,
            operators,
            cluster,
        })
    }

    /// Address that serves the other instances.
    pub fn address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Address that serves operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// State that the log has built.
    pub fn source(&self) -> &Source {
        &self.source
    }

    /// Hands leadership over and stops.
    pub async fn stop(self) {
        self.operators.stop().await;
        self.replica.stop().await;
        self.cluster.abort();
        self.peers.stop().await;
    }
}

async fn spawn_replica(
    name: &InstanceName,
    settings: &ReplicaSettings,
    founders: Vec<Peer>,
    token: &Token,
    machine: &SharedMachine,
) -> Result<ReplicaHandle<SharedMachine>, Failure> {
    let founders: Vec<_> = founders.into_iter().map(|p| (p.name, p.address)).collect();
    let own = founders
        .iter()
        .find(|(n, _)| n == name)
        .map_or(settings.listen, |(_, a)| *a);
    let options = ReplicaOptions::new(name.clone(), own, &settings.data, token.clone());
    Replica::spawn(options.with_founders(founders), machine.clone()).await
}

/// Number of this start of the replica: the wall clock rises from start to start.
fn epoch() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}

fn internal(error: &jsonrpsee::core::RegisterMethodError) -> Failure {
    Failure::new(pimentotide_model::ErrorKind::Internal, error.to_string())
}
