//! Replicas with real folders, connections and clocks on loopback.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

use pimentotide_consensus::{Index, Machine, RestoreError, RoleKind};
use pimentotide_instance::replica::{DiskHealth, Replica, ReplicaHandle, ReplicaOptions, module};
use pimentotide_instance::{PeerServer, Token};
use pimentotide_model::{ErrorKind, InstanceName, Time};
use tempfile::TempDir;

/// Limit for each awaited event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Disk stall and request limits; longer than any write of a busy disk.
const DISK_LIMIT: Duration = Duration::from_secs(120);
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State machine that stores all commands in order.
#[derive(Debug, Default)]
struct List(Vec<String>);

impl Machine for List {
    fn apply(&mut self, _: Index, _: Time, command: &[u8]) -> Vec<u8> {
        self.0.push(String::from_utf8_lossy(command).into_owned());
        self.0.len().to_string().into_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.join("\n").into_bytes()
    }

    fn restore(&mut self, state: &[u8]) -> Result<(), RestoreError> {
        let text = String::from_utf8_lossy(state);
        self.0 = text.lines().map(str::to_owned).collect();
        Ok(())
    }
}

struct Running {
    server: PeerServer,
    handle: ReplicaHandle<List>,
}

/// Addresses and data folders of the replicas of a test.
struct Deployment {
    folder: TempDir,
    founders: Vec<(InstanceName, SocketAddr)>,
}

impl Deployment {
    fn new(count: usize) -> Self {
        let sockets: Vec<_> = (0..count)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let founders = sockets.iter().enumerate().map(|(n, socket)| {
            let name = InstanceName::from(format!("accra-a-{n}"));
            (name, socket.local_addr().unwrap())
        });
        Self {
            folder: tempfile::tempdir().unwrap(),
            founders: founders.collect(),
        }
    }

    fn folder(&self, number: usize) -> std::path::PathBuf {
        Path::new(self.folder.path()).join(number.to_string())
    }

    async fn start(&self, number: usize) -> Running {
        self.start_with_stall(number, DISK_LIMIT).await
    }

    async fn start_with_stall(&self, number: usize, stall: Duration) -> Running {
        let (name, address) = self.founders[number].clone();
        let token = Token::open("secret-of-the-test").unwrap();
        let mut options = ReplicaOptions::new(name, address, self.folder(number), token.clone())
            .with_founders(self.founders.clone());
        options.stall = stall;
        options.request_timeout = DISK_LIMIT;
        options.compact_after = 20;
        options.log.retained_entries = 5;
        let handle = Replica::spawn(options, List::default()).await.unwrap();
        let methods = module(handle.clone()).unwrap();
        let server = PeerServer::bind(address, token, [methods]).await.unwrap();
        Running { server, handle }
    }

    async fn start_all(&self) -> Vec<Running> {
        let mut running = Vec::new();
        for number in 0..self.founders.len() {
            running.push(self.start(number).await);
        }
        running
    }
}

impl Running {
    async fn stop(self) {
        self.handle.stop().await;
        self.server.stop().await;
    }

    async fn role(&self) -> RoleKind {
        self.handle.status().await.unwrap().log.role
    }

    async fn voters(&self) -> usize {
        self.handle.status().await.unwrap().log.config.voters.len()
    }

    async fn commands(&self) -> Vec<String> {
        self.handle.query(|list, _| list.0.clone()).await.unwrap()
    }
}

/// Polls until `done` returns true.
async fn until<F>(what: &str, mut done: F)
where
    F: AsyncFnMut() -> bool,
{
    let polled = async {
        while !done().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let result = tokio::time::timeout(EVENT_TIMEOUT, polled).await;
    assert!(result.is_ok(), "{what} did not happen");
}

/// Proposes a command until a leader commits it; panics on any other failure.
async fn propose(replica: &Running, command: &str) -> (Index, Vec<u8>) {
    loop {
        match replica.handle.propose(command.as_bytes().to_vec()).await {
            Ok(answer) => return answer,
            Err(f) => assert_eq!(f.kind, ErrorKind::NotLeader, "{f}"),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn leader(running: &[Running]) -> usize {
    let mut found = None;
    until("an election", async || {
        for (number, replica) in running.iter().enumerate() {
            if replica.role().await == RoleKind::Leader {
                found = Some(number);
            }
        }
        found.is_some()
    })
    .await;
    found.unwrap()
}

#[actix_rt::test]
async fn a_single_replica_commits_and_finds_its_state_again() {
    let deployment = Deployment::new(1);
    let first = deployment.start(0).await;
    for number in 0..50 {
        propose(&first, &format!("command {number}")).await;
    }
    first.handle.read_index().await.unwrap();
    let before = first.commands().await;
    assert_eq!(before.len(), 50);
    first.stop().await;
    let second = deployment.start(0).await;
    let (_, answer) = propose(&second, "one more").await;
    assert_eq!(answer, b"51");
    assert_eq!(second.commands().await[..50], before);
    second.stop().await;
}

/// After a power failure, upstreams announce themselves before a leader is elected;
/// their commands must wait for the election instead of failing.
#[actix_rt::test]
async fn early_command_waits_for_a_leader() {
    let deployment = Deployment::new(3);
    let first = deployment.start(0).await;
    let short = Duration::from_millis(50);
    let alone = first
        .handle
        .propose_with_leader(b"alone".to_vec(), short)
        .await;
    assert_eq!(alone.unwrap_err().kind, ErrorKind::NotLeader);
    let waiting = first.handle.clone();
    let proposed = actix_rt::spawn(async move {
        waiting
            .propose_with_leader(b"early".to_vec(), EVENT_TIMEOUT)
            .await
    });
    let second = deployment.start(1).await;
    let third = deployment.start(2).await;
    let (_, answer) = proposed.await.unwrap().unwrap();
    assert_eq!(answer, b"1");
    for running in [first, second, third] {
        running.stop().await;
    }
}

#[actix_rt::test]
async fn three_replicas_survive_a_planned_stop_and_a_lost_disk() {
    let deployment = Deployment::new(3);
    let mut running = deployment.start_all().await;
    until("the bootstrap", async || running[0].voters().await == 3).await;
    let led = leader(&running).await;
    let (one, two) = ((led + 1) % 3, (led + 2) % 3);
    for number in 0..30 {
        propose(&running[one], &format!("command {number}")).await;
    }
    running[two].handle.read_index().await.unwrap();
    assert_eq!(running[two].commands().await.len(), 30);

    running.remove(led).stop().await;
    let (_, answer) = propose(&running[0], "after the stop").await;
    assert_eq!(answer, b"31");

    std::fs::remove_dir_all(deployment.folder(led)).unwrap();
    let name = deployment.founders[led].0.clone();
    running.insert(led, deployment.start(led).await);
    assert_eq!(running[led].role().await, RoleKind::Outsider);
    running[one].handle.remove(name.clone()).await.unwrap();
    running[two]
        .handle
        .add(name, deployment.founders[led].1)
        .await
        .unwrap();
    // Waits for the role instead of the membership: while the replica catches up, it applies
    // older member lists, in which it still has its old disk.
    until("the rejoin", async || {
        running[led].role().await == RoleKind::Follower
    })
    .await;

    running.remove(one).stop().await;
    let (_, answer) = propose(&running[0], "after a second loss").await;
    assert_eq!(answer, b"32");
    for replica in &running {
        replica.handle.read_index().await.unwrap();
        assert_eq!(replica.commands().await.len(), 32);
    }
    for replica in running {
        replica.stop().await;
    }
}

/// A disk that is full refuses writes for a while. Its replica must acknowledge nothing
/// meanwhile and take part again afterwards, without a restart and with everything committed.
#[actix_rt::test]
async fn replica_takes_part_again_once_its_disk_accepts_writes() {
    let deployment = Deployment::new(3);
    let mut running = deployment.start_all().await;
    until("the bootstrap", async || running[0].voters().await == 3).await;
    let led = leader(&running).await;
    let failing = (led + 1) % 3;
    for number in 0..30 {
        propose(&running[led], &format!("command {number}")).await;
    }
    // A folder in the place of the temporary file makes the next change of the term fail.
    let obstacle = deployment.folder(failing).join("state.tmp");
    std::fs::create_dir(&obstacle).unwrap();
    let stopped = running.remove(led);
    let failing = failing - usize::from(failing > led);
    stopped.stop().await;
    until("the failure", async || {
        let status = running[failing].handle.status().await.unwrap();
        matches!(status.disk, DiskHealth::Failed(_))
    })
    .await;
    let refused = running[failing].handle.propose(b"lost".to_vec()).await;
    assert_eq!(refused.unwrap_err().kind, ErrorKind::DiskFailed);
    assert_eq!(
        running[failing].handle.reopen().await.unwrap_err().kind,
        ErrorKind::DiskFailed
    );

    std::fs::remove_dir(&obstacle).unwrap();
    running[failing].handle.reopen().await.unwrap();
    let (_, answer) = propose(&running[failing], "after the failure").await;
    assert_eq!(answer, b"31");
    for replica in &running {
        replica.handle.read_index().await.unwrap();
        assert_eq!(replica.commands().await.len(), 31);
    }
    for replica in running {
        replica.stop().await;
    }
}

/// Guards against a replica that stays out until its process restarts after its disk was slower than the
/// limit, because the idle writer still holds the folder.
#[actix_rt::test]
async fn replica_opens_its_folder_again_after_a_write_that_took_too_long() {
    let deployment = Deployment::new(1);
    let first = deployment.start(0).await;
    propose(&first, "first").await;
    first.stop().await;
    let replica = deployment.start_with_stall(0, Duration::ZERO).await;
    until("a stall", async || {
        // Fails until there is a leader, and once the disk counts as failed.
        let _ = replica.handle.propose(b"second".to_vec()).await;
        let status = replica.handle.status().await.unwrap();
        matches!(status.disk, DiskHealth::Failed(_))
    })
    .await;
    until("the end of the writer", async || {
        replica.handle.reopen().await.is_ok()
    })
    .await;
    replica.stop().await;
}

/// Guards against a deployment that never gets a log because the disk of its first founder was full
/// while it stored the first entry.
#[actix_rt::test]
async fn founder_bootstraps_once_its_disk_accepts_writes() {
    for refused in ["state.tmp", "log-0000000000000001"] {
        let deployment = Deployment::new(2);
        let first = deployment.start(0).await;
        // A folder in the place of a file makes its creation fail.
        let obstacle = deployment.folder(0).join(refused);
        std::fs::create_dir(&obstacle).unwrap();
        let second = deployment.start(1).await;
        until("the failure", async || {
            let status = first.handle.status().await.unwrap();
            matches!(status.disk, DiskHealth::Failed(_))
        })
        .await;
        std::fs::remove_dir(&obstacle).unwrap();
        until("the end of the writer", async || {
            first.handle.reopen().await.is_ok()
        })
        .await;
        until("the bootstrap", async || second.voters().await == 2).await;
        let (_, answer) = propose(&second, "first").await;
        assert_eq!(answer, b"1");
        first.stop().await;
        second.stop().await;
    }
}
