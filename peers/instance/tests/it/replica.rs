//! Replicas with real folders, connections and clocks.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

use pimentotide_consensus::{Index, Machine, RestoreError, RoleKind};
use pimentotide_instance::replica::{Replica, ReplicaHandle, ReplicaOptions, module};
use pimentotide_instance::{PeerServer, Token};
use pimentotide_model::{ErrorKind, InstanceName, Time};
use tempfile::TempDir;

/// Longest wait for anything that has to happen.
const PATIENCE: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);

/// Keeps all commands.
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

/// Three instances on loopback.
struct Place {
    folder: TempDir,
    founders: Vec<(InstanceName, SocketAddr)>,
}

impl Place {
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
        let (name, address) = self.founders[number].clone();
        let token = Token::open("secret-of-the-test").unwrap();
        let mut options = ReplicaOptions::new(name, address, self.folder(number), token.clone())
            .with_founders(self.founders.clone());
        options.compact = 20;
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

/// Waits until `done` holds.
async fn until<F>(what: &str, mut done: F)
where
    F: AsyncFnMut() -> bool,
{
    let waited = async {
        while !done().await {
            tokio::time::sleep(PAUSE).await;
        }
    };
    let result = tokio::time::timeout(PATIENCE, waited).await;
    assert!(result.is_ok(), "{what} did not happen");
}

/// Proposes until it is accepted; not repeated once it may have run.
async fn propose(replica: &Running, command: &str) -> (Index, Vec<u8>) {
    loop {
        match replica.handle.propose(command.as_bytes().to_vec()).await {
            Ok(answer) => return answer,
            Err(f) => assert_eq!(f.kind, ErrorKind::NotLeader, "{f}"),
        }
        tokio::time::sleep(PAUSE).await;
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
    let place = Place::new(1);
    let first = place.start(0).await;
    for number in 0..50 {
        propose(&first, &format!("command {number}")).await;
    }
    first.handle.read_index().await.unwrap();
    let before = first.commands().await;
    assert_eq!(before.len(), 50);
    first.stop().await;
    let second = place.start(0).await;
    let (_, answer) = propose(&second, "one more").await;
    assert_eq!(answer, b"51");
    assert_eq!(second.commands().await[..50], before);
    second.stop().await;
}

/// Pattern: power comes back, and upstreams announce themselves before there is a leader.
#[actix_rt::test]
async fn a_command_that_comes_before_there_is_a_leader_waits_for_one() {
    let place = Place::new(3);
    let first = place.start(0).await;
    let short = Duration::from_millis(50);
    let alone = first
        .handle
        .propose_when_led(b"alone".to_vec(), short)
        .await;
    assert_eq!(alone.unwrap_err().kind, ErrorKind::NotLeader);
    let waiting = first.handle.clone();
    let proposed =
        actix_rt::spawn(async move { waiting.propose_when_led(b"early".to_vec(), PATIENCE).await });
    let second = place.start(1).await;
    let third = place.start(2).await;
    let (_, answer) = proposed.await.unwrap().unwrap();
    assert_eq!(answer, b"1");
    for running in [first, second, third] {
        running.stop().await;
    }
}

#[actix_rt::test]
async fn three_replicas_outlive_a_planned_stop_and_a_lost_disk() {
    let place = Place::new(3);
    let mut running = place.start_all().await;
    until("the founding", async || running[0].voters().await == 3).await;
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

    std::fs::remove_dir_all(place.folder(led)).unwrap();
    let name = place.founders[led].0.clone();
    running.insert(led, place.start(led).await);
    assert_eq!(running[led].role().await, RoleKind::Outsider);
    running[one].handle.remove(name.clone()).await.unwrap();
    running[two]
        .handle
        .add(name, place.founders[led].1)
        .await
        .unwrap();
    // Its own role counts: on the way it sees older members, itself with its old disk among them.
    until("the return", async || {
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
