//! Access to the replicated log and its state machine for the servers of the control replica.

use pimentotide_control::directory::Registry;
use pimentotide_control::machine::{MAX_COMMAND_BYTES, decode, encode};
use pimentotide_control::{Command, Machine, Response};
use pimentotide_instance::Submit;
use pimentotide_instance::directory::{Directory, SharedMachine, Source as DirectorySource};
use pimentotide_instance::replica::ReplicaHandle;
use pimentotide_model::{ErrorKind, Failure, Fingerprint, InstanceName, Revision};
use pimentotide_operator::{Cluster, Control as OperatorControl, MemberChange};
use tokio::sync::watch;

/// Replicated log and its state machine; clones share both.
#[derive(Clone)]
pub struct Source {
    shared: SharedMachine,
    replica: ReplicaHandle<SharedMachine>,
}

impl Source {
    pub(super) fn new(shared: SharedMachine, replica: ReplicaHandle<SharedMachine>) -> Self {
        Self { shared, replica }
    }

    pub(super) fn replica(&self) -> &ReplicaHandle<SharedMachine> {
        &self.replica
    }
}

impl Submit for Source {
    async fn submit(&self, command: Command) -> Result<Response, Failure> {
        let internal = |detail: String| Failure::new(ErrorKind::Internal, detail);
        let bytes = encode(&command).map_err(|e| internal(e.to_string()))?;
        let (_, answer) = self.replica.propose(bytes).await?;
        decode(&answer, MAX_COMMAND_BYTES).map_err(|e| internal(e.to_string()))
    }

    async fn suspects(&self) -> Result<Vec<Fingerprint>, Failure> {
        self.confirm().await?;
        let contents = self
            .shared
            .read(|machine| machine.journal().suspicion().contents());
        Ok(contents.into_iter().collect())
    }
}

impl DirectorySource for Source {
    async fn confirm(&self) -> Result<(), Failure> {
        self.replica.read_index().await.map(drop)
    }

    fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine) -> T,
    {
        self.shared.read(read)
    }

    fn changes(&self) -> watch::Receiver<Revision> {
        self.shared.changes()
    }
}

/// State behind the operator server.
#[derive(Clone)]
pub(super) struct OperatorBackend {
    source: Source,
    directory: Directory<Source>,
    cluster: watch::Sender<Cluster>,
}

impl OperatorBackend {
    pub(super) fn new(source: Source, directory: Directory<Source>, name: &InstanceName) -> Self {
        let local = name.to_string();
        let cluster = watch::Sender::new(Cluster {
            local,
            ..Cluster::default()
        });
        Self {
            source,
            directory,
            cluster,
        }
    }

    pub(super) fn replica(&self) -> &ReplicaHandle<SharedMachine> {
        self.source.replica()
    }

    pub(super) fn set_cluster(&self, cluster: Cluster) {
        self.cluster.send_replace(cluster);
    }
}

impl OperatorControl for OperatorBackend {
    async fn propose(&self, command: Command) -> Result<Response, Failure> {
        self.source.submit(command).await
    }

    async fn confirm(&self) -> Result<(), Failure> {
        DirectorySource::confirm(&self.source).await
    }

    fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine, &Registry) -> T,
    {
        self.source
            .shared
            .read(|machine| self.directory.read(|registry| read(machine, registry)))
    }

    fn cluster(&self) -> Cluster {
        self.cluster.borrow().clone()
    }

    async fn change(&self, change: MemberChange) -> Result<Cluster, Failure> {
        super::cluster::change(self, change).await
    }
}
