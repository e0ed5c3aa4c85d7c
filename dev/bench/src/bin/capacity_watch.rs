//! Bytes per second between one control replica and idle entries or agents.
//!
//! Production reporters and followers connect to the port of a production
//! directory through a relay that counts the bytes of both directions, without
//! TCP and IP headers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use pimentotide_bench::target;
use pimentotide_control::Machine;
use pimentotide_instance::directory::{
    AgentOptions, AgentReporter, Directory, EntryOptions, EntryReporter, FollowOptions, Follower,
    SharedMachine, Source,
};
use pimentotide_instance::{PeerClient, PeerServer, Token};
use pimentotide_model::{Failure, Fence, InstanceName, Revision, Warmth};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Numbers of holders (entries or agents that watch the replica) of each kind.
const SIZES: [usize; 3] = [10, 40, 160];
/// Time before counting starts; a replica settles in less.
const WARM_UP: Duration = Duration::from_secs(6);
/// Time for which bytes are counted.
const COUNT_TIME: Duration = Duration::from_secs(8);
/// Buffer for reads from a connection.
const BUFFER_BYTES: usize = 64 << 10;

#[derive(Clone, Default)]
struct State(SharedMachine);

impl Source for State {
    async fn confirm(&self) -> Result<(), Failure> {
        Ok(())
    }

    fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine) -> T,
    {
        self.0.read(read)
    }

    fn changes(&self) -> watch::Receiver<Revision> {
        self.0.changes()
    }
}

/// Bytes forwarded by the relay; inward is towards the replica.
#[derive(Default)]
struct Counts {
    inward: AtomicU64,
    outward: AtomicU64,
}

impl Counts {
    fn get(&self) -> (u64, u64) {
        let inward = self.inward.load(Ordering::Relaxed);
        (inward, self.outward.load(Ordering::Relaxed))
    }
}

/// Tasks of one holder; they stop when it is dropped.
enum Holder {
    Agent {
        _reporter: AgentReporter,
        _follower: Follower,
    },
    Entry {
        _reporter: EntryReporter,
        _follower: Follower,
    },
}

fn main() {
    actix_rt::System::new().block_on(run());
}

async fn run() {
    println!("bytes per second at one replica, idle holders, counted for {COUNT_TIME:?}");
    println!(
        "{:>8} {:>8} {:>12} {:>12} {:>14}",
        "kind", "holders", "in B/s", "out B/s", "both / holder"
    );
    let cases = [false, true]
        .into_iter()
        .flat_map(|entries| SIZES.into_iter().map(move |holders| (entries, holders)));
    for row in join_all(cases.map(|(entries, holders)| measure(entries, holders))).await {
        println!("{row}");
    }
}

async fn measure(entries: bool, holders: usize) -> String {
    let directory = Directory::spawn(State::default(), 1);
    let module = directory.module().expect("the methods have distinct names");
    let server = PeerServer::bind(any_port(), token(), [module]).await;
    let server = server.expect("a loopback port is free");
    let counts = Arc::new(Counts::default());
    let relay = relay(server.address(), Arc::clone(&counts)).await;
    let held: Vec<Holder> = (0..holders)
        .map(|i| {
            let client = PeerClient::connect(relay, token());
            if entries {
                entry(i, client)
            } else {
                agent(i, client)
            }
        })
        .collect();
    tokio::time::sleep(WARM_UP).await;
    let before = counts.get();
    tokio::time::sleep(COUNT_TIME).await;
    let after = counts.get();
    drop(held);
    let rate = |bytes: u64| bytes as f64 / COUNT_TIME.as_secs_f64();
    let (inward, outward) = (rate(after.0 - before.0), rate(after.1 - before.1));
    let each = (inward + outward) / holders as f64;
    let kind = if entries { "entry" } else { "agent" };
    format!("{kind:>8} {holders:>8} {inward:>12.0} {outward:>12.0} {each:>14.0}")
}

fn agent(i: usize, client: PeerClient) -> Holder {
    let announcement = target::announcement(i);
    let follower = Follower::spawn(FollowOptions {
        instance: format!("instance-{i:04}").into(),
        upstream: Some(announcement.upstream.clone()),
        directory: false,
        replicas: vec![client.clone()],
    });
    let reporter = AgentReporter::spawn(AgentOptions {
        replicas: vec![client],
        announcement: constant_watch(Some(announcement)),
        warmth: constant_watch(Warmth::Warm),
        fence: constant_watch(Fence(1_200_000)),
        view: follower.view(),
    });
    Holder::Agent {
        _reporter: reporter,
        _follower: follower,
    }
}

fn entry(i: usize, client: PeerClient) -> Holder {
    let instance = InstanceName::from(format!("instance-{i:04}"));
    let follower = Follower::spawn(FollowOptions {
        instance: instance.clone(),
        upstream: None,
        directory: true,
        replicas: vec![client.clone()],
    });
    let reporter = EntryReporter::spawn(&EntryOptions {
        instance,
        zone: "region-1-zone-1".into(),
        replicas: vec![client],
        view: follower.view(),
    });
    Holder::Entry {
        _reporter: reporter,
        _follower: follower,
    }
}

/// Returns a receiver of a constant value whose sender is never dropped.
fn constant_watch<T>(value: T) -> watch::Receiver<T>
where
    T: Send + Sync + 'static,
{
    let sender = Box::leak(Box::new(watch::Sender::new(value)));
    sender.subscribe()
}

/// Forwards connections to `target` and counts their bytes; returns the listening address.
async fn relay(target: SocketAddr, counts: Arc<Counts>) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await;
    let listener = listener.expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound port has an address");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(target).await else {
                continue;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let (first, second) = (Arc::clone(&counts), Arc::clone(&counts));
            tokio::spawn(async move { forward(near_read, far_write, &first.inward).await });
            tokio::spawn(async move { forward(far_read, near_write, &second.outward).await });
        }
    });
    address
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: &AtomicU64) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
        count.fetch_add(read as u64, Ordering::Relaxed);
    }
}

fn token() -> Token {
    Token::open("the-secret-of-the-bench").expect("the secret is long enough")
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
