//! The running replica as the rest of the process sees it.

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
    Applied, ChangeMembers, Delivery, GetStatus, Halt, HandOver, Introduction, Propose, Query,
    Read, Refusal, Synced, WriteFailed,
};
use super::options::ReplicaOptions;
use super::rpc;
use super::status::{LeaderView, ReplicaStatus};
use super::writer::Writer;
use crate::PeerClient;

/// Pause between looks at a handover.
const HANDOVER_PAUSE: Duration = Duration::from_millis(10);

/// A running replica; clones lead to the same one.
pub struct ReplicaHandle<M>
where
    M: Machine + Send + Unpin + 'static,
{
    replica: Addr<Replica<M>>,
    arbiter: ArbiterHandle,
    options: ReplicaOptions,
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
    /// Opens the data folder and starts the replica on a thread of its own.
    ///
    /// A single founder leads as soon as its first write is synced.
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
            "replica {}: fresh {fresh}, cut {truncated_bytes} bytes, {} entries",
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
    let (applied, applied_seen) = watch::channel(Index(0));
    let (leader, leader_seen) = watch::channel(LeaderView::default());
    let (started, start_seen) = oneshot::channel();
    let settings = options.clone();
    let arbiter = Arbiter::new().handle();
    let ends = arbiter.clone();
    arbiter.spawn_fn(move || {
        let (address, addresses) = std::sync::mpsc::channel::<Addr<Replica<M>>>();
        let report = reporter(addresses);
        let built = Writer::spawn(storage, report)
            .map_err(|e| Failure::new(ErrorKind::Internal, format!("no writer thread: {e}")))
            .and_then(|writer| {
                Replica::new(Parts {
                    options: settings,
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
            ends.stop();
        }
        // Whoever spawned the replica may have gone.
        let _ = started.send(result);
    });
    let replica = start_seen
        .await
        .map_err(|_| Failure::new(ErrorKind::Internal, "the replica's thread ended"))??;
    Ok(ReplicaHandle {
        replica,
        arbiter,
        options,
        clients: Arc::default(),
        applied: applied_seen,
        leader: leader_seen,
    })
}

/// Builds what the writer reports to: the actor, once its address is known.
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
            // Set once, as the cell was empty.
            let _ = replica.set(address);
        }
        let Some(replica) = replica.get() else {
            return;
        };
        match done {
            Ok(ticket) => replica.do_send(Synced(ticket)),
            Err(e) => replica.do_send(WriteFailed(e.to_string())),
        }
    }
}

impl<M> ReplicaHandle<M>
where
    M: Machine + Send + Unpin + 'static,
{
    /// Replicates a command and returns its position and the machine's answer.
    ///
    /// A replica that does not lead forwards it to the leader, one hop at most.
    pub async fn propose(&self, command: Vec<u8>) -> Result<(Index, Vec<u8>), Failure> {
        match self.propose_here(command.clone()).await {
            Err(Refusal {
                leader: Some(leader),
                ..
            }) => {
                let client = self.client(leader);
                let asked = rpc::propose(&client, &command, self.options.patience).await;
                asked.map_err(unreached)
            }
            result => result.map_err(|r| r.failure),
        }
    }

    /// Waits until the machine has everything that was committed when this was called.
    pub async fn read_index(&self) -> Result<Index, Failure> {
        match self.read_here().await {
            Err(Refusal {
                leader: Some(leader),
                ..
            }) => {
                let client = self.client(leader);
                let asked = rpc::read(&client, self.options.patience).await;
                let index = asked.map_err(unreached)?;
                self.reach(index).await?;
                Ok(index)
            }
            result => result.map_err(|r| r.failure),
        }
    }

    /// Runs `query` with the machine and the position that it has reached.
    pub async fn query<F, R>(&self, query: F) -> Result<R, Failure>
    where
        F: FnOnce(&M, Index) -> R + Send + 'static,
        R: Send + 'static,
    {
        let (reply, answer) = oneshot::channel();
        self.replica.do_send(Query(Box::new(move |machine, index| {
            // Whoever asked may have gone.
            let _ = reply.send(query(machine, index));
        })));
        answer.await.map_err(|_| stopped())
    }

    /// Reports the replica.
    pub async fn status(&self) -> Result<ReplicaStatus, Failure> {
        let (reply, answer) = oneshot::channel();
        self.replica.do_send(GetStatus { reply });
        answer.await.map_err(|_| stopped())
    }

    /// Adds the replica `name` at `address` as a learner; it votes once it has caught up.
    pub async fn add(&self, name: InstanceName, address: SocketAddr) -> Result<(), Failure> {
        let client = self.client(address);
        let found = founding::introduce(&client, &name).await?;
        let mine = self.introduction().await?;
        if found.cluster.is_some() && found.cluster != mine.cluster {
            return Err(Failure::new(
                ErrorKind::RevisionConflict,
                format!("{name} belongs to another log"),
            ));
        }
        let disk = found.identity.disk;
        self.change(Change::Add(name, Member { disk, address }))
            .await
    }

    /// Removes the replica `name`.
    pub async fn remove(&self, name: InstanceName) -> Result<(), Failure> {
        self.change(Change::Remove(name)).await
    }

    /// Position that the machine has reached, to be woken by.
    pub fn applied(&self) -> watch::Receiver<Index> {
        self.applied.clone()
    }

    /// Replicates a command as [`propose`](Self::propose), waiting for a leader at most for `limit`.
    ///
    /// For a caller that would otherwise be sent away while an election is under way.
    ///
    /// # Errors
    ///
    /// Fails like [`propose`](Self::propose), with `not_leader` if none is known in time.
    pub async fn propose_when_led(
        &self,
        command: Vec<u8>,
        limit: Duration,
    ) -> Result<(Index, Vec<u8>), Failure> {
        let mut leader = self.leader.clone();
        match self.propose(command.clone()).await {
            Err(failure) if failure.kind == ErrorKind::NotLeader => {
                let led = leader.wait_for(|view| view.leader.is_some());
                match tokio::time::timeout(limit, led).await {
                    Ok(Ok(_)) => {}
                    Ok(Err(_)) | Err(_) => return Err(failure),
                }
            }
            result => return result,
        }
        self.propose(command).await
    }

    /// Who leads, to be woken by.
    pub fn leader(&self) -> watch::Receiver<LeaderView> {
        self.leader.clone()
    }

    /// Hands over leadership, writes what is queued and ends the replica.
    pub async fn stop(self) {
        let patience = self.options.log.election_timeout * 2;
        self.replica.do_send(HandOver);
        // Without a successor the replica stops as leader.
        let _ = tokio::time::timeout(patience, self.handed_over()).await;
        let (done, ended) = oneshot::channel();
        self.replica.do_send(Halt { done });
        // An error only says that the actor has ended already.
        let _ = ended.await;
        self.arbiter.stop();
    }

    async fn handed_over(&self) {
        while let Ok(status) = self.status().await {
            let alone = status.log.config.voters.len() < 2;
            if alone || status.log.role != pimentotide_consensus::RoleKind::Leader {
                return;
            }
            tokio::time::sleep(HANDOVER_PAUSE).await;
        }
    }

    async fn change(&self, change: Change) -> Result<(), Failure> {
        match self.change_here(change.clone()).await {
            Err(Refusal {
                leader: Some(leader),
                ..
            }) => {
                let client = self.client(leader);
                let asked = rpc::change(&client, &change, self.options.patience).await;
                asked.map_err(unreached)
            }
            result => result.map(|_| ()).map_err(|r| r.failure),
        }
    }

    pub(super) async fn propose_here(&self, command: Vec<u8>) -> Result<Applied, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.replica.do_send(Propose { command, reply });
        answer.await.map_err(|_| Refusal::from(lost()))?
    }

    pub(super) async fn read_here(&self) -> Result<Index, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.replica.do_send(Read { reply });
        answer.await.map_err(|_| Refusal::from(stopped()))?
    }

    pub(super) async fn change_here(&self, change: Change) -> Result<Applied, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.replica.do_send(ChangeMembers { change, reply });
        answer.await.map_err(|_| Refusal::from(lost()))?
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

    /// Waits until the machine has reached `index`.
    async fn reach(&self, index: Index) -> Result<(), Failure> {
        let mut applied = self.applied.clone();
        let reached = applied.wait_for(|held| *held >= index);
        match tokio::time::timeout(self.options.patience, reached).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) => Err(stopped()),
            Err(_) => Err(Failure::new(
                ErrorKind::NotCurrent,
                format!("this replica has not reached {index} in time"),
            )),
        }
    }

    /// Client of another replica; calls to it share one connection.
    fn client(&self, address: SocketAddr) -> PeerClient {
        let token = &self.options.token;
        self.clients
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(address)
            .or_insert_with(|| PeerClient::with_timeouts(address, token.clone(), TIMEOUTS))
            .clone()
    }
}

/// A leader that cannot be reached leads no more, as far as whoever asks is concerned.
fn unreached(failure: Failure) -> Failure {
    if failure.kind == ErrorKind::NotCurrent && failure.ran == Ran::No {
        return Failure::new(ErrorKind::NotLeader, failure.detail);
    }
    failure
}

fn stopped() -> Failure {
    Failure::new(ErrorKind::Stopping, "the replica has stopped")
}

/// The replica stopped while a command was under way.
fn lost() -> Failure {
    stopped().with_ran(Ran::Unknown)
}
