//! Control replica role: the replicated log and the servers that read and write it.
//!
//! A replica serves other replicas, entries and agents on one port and operators
//! on another. All of them access the state machine through [`Source`].

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

use self::source::OperatorBackend;
use crate::settings::{Peer, ReplicaSettings};

/// Options of a control replica.
pub struct ControlOptions {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Settings of the role.
    pub settings: ReplicaSettings,
    /// Initial members of the replicated log.
    pub founders: Vec<Peer>,
    /// Secret shared by the instances of the deployment.
    pub token: Token,
}

/// Reason why a control replica fails to start.
#[derive(Debug, Display, From)]
pub enum ControlError {
    /// The replica, its storage or its port fails.
    #[display("control replica: {_0}")]
    Replica(Failure),
    /// The operator port cannot be bound.
    #[display("cannot bind the operator listener on {_0}: {_1}")]
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
    /// Fails if the data folder is unusable or an address cannot be bound.
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
        let backend = OperatorBackend::new(source.clone(), directory, &options.instance);
        let cluster = actix_rt::spawn(cluster::refresh(backend.clone()));
        let operators = Server::bind(settings.operator, backend)
            .map_err(|e| ControlError::Operator(settings.operator, e))?;
        Ok(Self {
            replica,
            source,
            peers,
            operators,
            cluster,
        })
    }

    /// Bound address of the listener for other instances.
    pub fn address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Bound address of the operator listener.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the replicated log and its state machine.
    pub fn source(&self) -> &Source {
        &self.source
    }

    /// Transfers leadership and stops.
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

/// Returns the epoch of this start of the replica: the wall clock in µs, which increases from start
/// to start.
fn epoch() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}

fn internal(error: &jsonrpsee::core::RegisterMethodError) -> Failure {
    Failure::new(pimentotide_model::ErrorKind::Internal, error.to_string())
}
