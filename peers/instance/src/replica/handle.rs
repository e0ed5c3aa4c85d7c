//! Handle by which the rest of the process uses a running replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use actix::{Actor, Addr, Arbiter};
use actix_rt::ArbiterHandle;
use pimentotide_consensus::{Change, Index, Machine, Member, Recovered};
use pimentotide_model::{ErrorKind, Failure, InstanceName, Ran};
use pimentotide_storage::{Folder, Opened, Storage, StorageError};
use tokio::sync::{oneshot, watch};

use super::actor::{Parts, Replica};
use super::founding;
use super::link::TIMEOUTS;
use super::message::{
    Applied, ChangeMembers, Delivery, GetStatus, GetWriterEnd, Halt, Introduction, Propose, Query,
    Read, Refusal, Reopen, SetArbiters, Synced, TransferLeadership, WriteFailed,
};
use super::options::ReplicaOptions;
use super::rpc;
use super::status::{LeaderView, ReplicaStatus};
use super::writer::Writer;
use crate::PeerClient;

/// Polling interval during a leadership transfer.
const TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Handle of a running replica; clones refer to the same one.
pub struct ReplicaHandle<M>
where
    M: Machine + Send + Unpin + 'static,
{
    replica: Addr<Replica<M>>,
    arbiter: ArbiterHandle,
    pub(super) options: ReplicaOptions,
    clients: Arc<Mutex<BTreeMap<SocketAddr, PeerClient>>>,
    applied: watch::Receiver<Index>,
    leader: watch::Receiver<LeaderView>,
}

impl<M> Clone for ReplicaHandle<M>
where
    M: Machine + Send + Unpin + 'static,
{
    fn clone(&self) -> Self {
        Self {
            replica: self.replica.clone(),
            arbiter: self.arbiter.clone(),
            options: self.options.clone(),
            clients: self.clients.clone(),
            applied: self.applied.clone(),
            leader: self.leader.clone(),
        }
    }
}

impl<M> Replica<M>
where
    M: Machine + Send + Unpin + 'static,
{
    /// Opens the data folder and starts the replica on its own thread.
    ///
    /// A single founder becomes leader as soon as its first write is synced.
    pub async fn spawn(options: ReplicaOptions, machine: M) -> Result<ReplicaHandle<M>, Failure> {
        let (folder, name) = (options.folder.clone(), options.name.clone());
        let Opened {
            storage,
            recovered,
            fresh,
            truncated_bytes,
        } = tokio::task::spawn_blocking(move || open(&folder, &name))
            .await
            .map_err(|e| Failure::new(ErrorKind::Internal, e.to_string()))??;
        log::info!(
            "opened replica {}: new folder {fresh}, {truncated_bytes} bytes truncated, {} entries",
            recovered.hard.identity,
            recovered.entries.len()
        );
        start(options, machine, storage, recovered).await
    }
}

fn open(folder: &Path, name: &InstanceName) -> Result<Opened<Folder>, StorageError> {
    let disk = Folder::open(folder).map_err(|e| StorageError::opening(folder, &e))?;
    Storage::open(disk, name, &mut rand::rng())
}

async fn start<M>(
    options: ReplicaOptions,
    machine: M,
    storage: Storage<Folder>,
    recovered: Recovered,
) -> Result<ReplicaHandle<M>, Failure>
where
    M: Machine + Send + Unpin + 'static,
{
    let (applied, applied_receiver) = watch::channel(Index(0));
    let (leader, leader_receiver) = watch::channel(LeaderView::default());
    let (started, start_result) = oneshot::channel();
    let actor_options = options.clone();
    let arbiter = Arbiter::new().handle();
    let own_arbiter = arbiter.clone();
    arbiter.spawn_fn(move || {
        let (address, addresses) = std::sync::mpsc::channel::<Addr<Replica<M>>>();
        let report = reporter(addresses);
        let built = Writer::spawn(storage, report)
            .map_err(|e| Failure::new(ErrorKind::Internal, format!("no writer thread: {e}")))
            .and_then(|writer| {
                Replica::new(Parts {
                    options: actor_options,
                    recovered,
                    machine,
                    writer,
                    seed: rand::random(),
                    applied,
                    leader,
                })
            });
        let result = built.map(|replica| {
            let running = replica.start();
            // The writer waits for the address before its first report.
            let _ = address.send(running.clone());
            running
        });
        if result.is_err() {
            own_arbiter.stop();
        }
        // The caller of `spawn` may have dropped the receiver.
        let _ = started.send(result);
    });
    let replica = start_result
        .await
        .map_err(|_| Failure::new(ErrorKind::Internal, "the replica's thread ended"))??;
    Ok(ReplicaHandle {
        replica,
        arbiter,
        options,
        clients: Arc::default(),
        applied: applied_receiver,
        leader: leader_receiver,
    })
}

/// Builds the callback by which a writer reports to a running actor.
pub(super) fn report_to<M>(
    replica: Addr<Replica<M>>,
) -> impl Fn(Result<pimentotide_consensus::Ticket, StorageError>) + Send + 'static
where
    M: Machine + Send + Unpin + 'static,
{
    move |done| match done {
        Ok(ticket) => replica.do_send(Synced(ticket)),
        Err(e) => replica.do_send(WriteFailed(e.to_string())),
    }
}

/// Builds the callback by which the first writer reports to the actor.
///
/// Its first call waits for the address of the actor.
fn reporter<M>(
    addresses: std::sync::mpsc::Receiver<Addr<Replica<M>>>,
) -> impl Fn(Result<pimentotide_consensus::Ticket, StorageError>) + Send + 'static
where
    M: Machine + Send + Unpin + 'static,
{
    let replica = std::cell::OnceCell::new();
    move |done| {
        if replica.get().is_none()
            && let Ok(address) = addresses.recv()
        {
            // Cannot fail: the cell is empty.
            let _ = replica.set(address);
        }
        if let Some(replica) = replica.get() {
            report_to(replica.clone())(done);
        }
    }
}

impl<M> ReplicaHandle<M>
where
    M: Machine + Send + Unpin + 'static,
{
    /// Replicates a command and returns its position and the machine's response.
    ///
    /// A replica that is not the leader forwards it, by at most one hop.
    pub async fn propose(&self, command: Vec<u8>) -> Result<(Index, Vec<u8>), Failure> {
        match self.propose_here(command.clone()).await {
            Err(Refusal {
                leader: Some(leader),
                ..
            }) => {
                let client = self.client(leader);
                let forwarded = rpc::propose(&client, &command, self.options.request_timeout).await;
                forwarded.map_err(leader_unreachable)
            }
            result => result.map_err(|r| r.failure),
        }
    }

    /// Waits until the machine has applied everything committed before the call.
    pub async fn read_index(&self) -> Result<Index, Failure> {
        match self.read_here().await {
            Err(Refusal {
                leader: Some(leader),
                ..
            }) => {
                let client = self.client(leader);
                let forwarded = rpc::read(&client, self.options.request_timeout).await;
                let index = forwarded.map_err(leader_unreachable)?;
                self.wait_applied(index).await?;
                Ok(index)
            }
            result => result.map_err(|r| r.failure),
        }
    }

    /// Runs `query` on the actor with the machine and its applied position.
    pub async fn query<F, R>(&self, query: F) -> Result<R, Failure>
    where
        F: FnOnce(&M, Index) -> R + Send + 'static,
        R: Send + 'static,
    {
        let (reply, answer) = oneshot::channel();
        self.replica.do_send(Query(Box::new(move |machine, index| {
            // The requester may have dropped its receiver.
            let _ = reply.send(query(machine, index));
        })));
        answer.await.map_err(|_| stopped())
    }

    /// Opens the data folder again after the disk failed, and takes part in the log again.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be opened, also while a write that hangs still uses it.
    pub async fn reopen(&self) -> Result<(), Failure> {
        let (reply, ended) = oneshot::channel();
        self.replica.do_send(GetWriterEnd { reply });
        // The lock of the folder is not enough: some file systems grant it twice.
        if !ended.await.map_err(|_| stopped())? {
            return Err(Failure::new(ErrorKind::DiskFailed, "a write still hangs"));
        }
        let (folder, name) = (self.options.folder.clone(), self.options.name.clone());
        let opened = tokio::task::spawn_blocking(move || open(&folder, &name))
            .await
            .map_err(|e| Failure::new(ErrorKind::Internal, e.to_string()))??;
        let (reply, answer) = oneshot::channel();
        self.replica.do_send(Reopen {
            storage: opened.storage,
            recovered: opened.recovered,
            reply,
        });
        answer.await.map_err(|_| stopped())?
    }

    /// Status of the replica; fails once it has stopped.
    pub async fn status(&self) -> Result<ReplicaStatus, Failure> {
        let (reply, answer) = oneshot::channel();
        self.replica.do_send(GetStatus { reply });
        answer.await.map_err(|_| stopped())
    }

    /// Adds the replica `name` at `address` as a learner; it becomes a voter once caught up.
    pub async fn add(&self, name: InstanceName, address: SocketAddr) -> Result<(), Failure> {
        let client = self.client(address);
        let peer = founding::introduce(&client, &name).await?;
        let introduction = self.introduction().await?;
        if peer.cluster.is_some() && peer.cluster != introduction.cluster {
            return Err(Failure::new(
                ErrorKind::RevisionConflict,
                format!("{name} belongs to another log"),
            ));
        }
        let disk = peer.identity.disk;
        self.change(Change::Add(name, Member { disk, address }))
            .await
    }

    /// Removes the replica `name` from the members.
    pub async fn remove(&self, name: InstanceName) -> Result<(), Failure> {
        self.change(Change::Remove(name)).await
    }

    /// Sets the processes that this replica names as arbiters when it leads, with the identities of their
    /// starts.
    pub fn set_arbiters(&self, members: BTreeMap<InstanceName, Member>) {
        self.replica.do_send(SetArbiters(members));
    }

    /// Subscribes to the position applied to the machine.
    pub fn applied(&self) -> watch::Receiver<Index> {
        self.applied.clone()
    }

    /// Replicates a command like [`propose`](Self::propose), waiting up to `limit` for a leader.
    ///
    /// Commands that arrive during an election thus wait instead of being rejected.
    ///
    /// # Errors
    ///
    /// Fails like [`propose`](Self::propose), with `not_leader` if no leader is elected in time.
    pub async fn propose_with_leader(
        &self,
        command: Vec<u8>,
        limit: Duration,
    ) -> Result<(Index, Vec<u8>), Failure> {
        match self.propose(command.clone()).await {
            Err(failure) if failure.kind == ErrorKind::NotLeader => {
                self.wait_for_leader(limit, failure).await?;
            }
            result => return result,
        }
        self.propose(command).await
    }

    /// Waits like [`read_index`](Self::read_index), after up to `limit` for a leader.
    ///
    /// # Errors
    ///
    /// Fails like [`read_index`](Self::read_index), with `not_leader` if no leader is elected in time.
    pub async fn read_index_with_leader(&self, limit: Duration) -> Result<Index, Failure> {
        match self.read_index().await {
            Err(failure) if failure.kind == ErrorKind::NotLeader => {
                self.wait_for_leader(limit, failure).await?;
            }
            result => return result,
        }
        self.read_index().await
    }

    /// Waits up to `limit` for a leader; fails with `failure` if none is elected in time.
    async fn wait_for_leader(&self, limit: Duration, failure: Failure) -> Result<(), Failure> {
        let mut leader = self.leader.clone();
        let elected = leader.wait_for(|view| view.leader.is_some());
        match tokio::time::timeout(limit, elected).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(failure),
        }
    }

    /// Subscribes to the leader as seen by this replica.
    pub fn leader(&self) -> watch::Receiver<LeaderView> {
        self.leader.clone()
    }

    /// Transfers leadership, finishes the queued writes and stops the replica.
    pub async fn stop(self) {
        let limit = self.options.log.election_timeout * 2;
        self.replica.do_send(TransferLeadership);
        // Stops as leader if no other replica takes over in time.
        let _ = tokio::time::timeout(limit, self.leadership_transferred()).await;
        let (done, ended) = oneshot::channel();
        self.replica.do_send(Halt { done });
        // Fails only if the actor has stopped already.
        let _ = ended.await;
        self.arbiter.stop();
    }

    async fn leadership_transferred(&self) {
        while let Ok(status) = self.status().await {
            let only_voter = status.log.config.voters.len() < 2;
            if only_voter || status.log.role != pimentotide_consensus::RoleKind::Leader {
                return;
            }
            tokio::time::sleep(TRANSFER_POLL_INTERVAL).await;
        }
    }

    async fn change(&self, change: Change) -> Result<(), Failure> {
        match self.change_here(change.clone()).await {
            Err(Refusal {
                leader: Some(leader),
                ..
            }) => {
                let client = self.client(leader);
                let forwarded = rpc::change(&client, &change, self.options.request_timeout).await;
                forwarded.map_err(leader_unreachable)
            }
            result => result.map(|_| ()).map_err(|r| r.failure),
        }
    }

    pub(super) async fn propose_here(&self, command: Vec<u8>) -> Result<Applied, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.replica.do_send(Propose { command, reply });
        answer
            .await
            .map_err(|_| Refusal::from(stopped_in_flight()))?
    }

    pub(super) async fn read_here(&self) -> Result<Index, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.replica.do_send(Read { reply });
        answer.await.map_err(|_| Refusal::from(stopped()))?
    }

    pub(super) async fn change_here(&self, change: Change) -> Result<Applied, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.replica.do_send(ChangeMembers { change, reply });
        answer
            .await
            .map_err(|_| Refusal::from(stopped_in_flight()))?
    }

    pub(super) async fn introduction(&self) -> Result<Introduction, Failure> {
        let status = self.status().await?;
        Ok(Introduction {
            identity: status.log.identity,
            cluster: status.log.cluster,
        })
    }

    pub(super) fn deliver(&self, delivery: Delivery) {
        self.replica.do_send(delivery);
    }

    /// Waits until `index` is applied to the machine.
    async fn wait_applied(&self, index: Index) -> Result<(), Failure> {
        let mut applied = self.applied.clone();
        let reached = applied.wait_for(|current| *current >= index);
        match tokio::time::timeout(self.options.request_timeout, reached).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) => Err(stopped()),
            Err(_) => Err(Failure::new(
                ErrorKind::NotCurrent,
                format!("this replica has not reached {index} in time"),
            )),
        }
    }

    /// Client of another replica; all calls to it share one connection.
    pub(super) fn client(&self, address: SocketAddr) -> PeerClient {
        let token = &self.options.token;
        self.clients
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(address)
            .or_insert_with(|| PeerClient::with_timeouts(address, token.clone(), TIMEOUTS))
            .clone()
    }
}

/// Reports an unreachable leader as `not_leader`, so that the caller retries elsewhere.
fn leader_unreachable(failure: Failure) -> Failure {
    if failure.kind == ErrorKind::NotCurrent && failure.ran == Ran::No {
        return Failure::new(ErrorKind::NotLeader, failure.detail);
    }
    failure
}

fn stopped() -> Failure {
    Failure::new(ErrorKind::Stopping, "the replica has stopped")
}

/// The replica stopped while a command was in flight; it may have been committed.
fn stopped_in_flight() -> Failure {
    stopped().with_ran(Ran::Unknown)
}
