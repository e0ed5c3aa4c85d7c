//! Time from a proposal to its answer, for one and three replicas on loopback.
//!
//! Each run creates a log in new folders and proposes commands of 200 bytes one
//! after another, then many concurrently. The baseline of a run is the time of
//! one append with a sync on the same disk. Three replicas share one disk here,
//! so their syncs wait for each other.

use std::fs::OpenOptions;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use pimentotide_consensus::{Index, Machine, RestoreError, RoleKind};
use pimentotide_instance::replica::{Replica, ReplicaHandle, ReplicaOptions, module};
use pimentotide_instance::{PeerServer, Token};
use pimentotide_model::{Failure, InstanceName, Time};

const RUNS: usize = 5;
/// Commands proposed one after another.
const SERIAL: usize = 300;
/// Commands proposed concurrently.
const PARALLEL: usize = 2_000;
const COMMAND_BYTES: usize = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

type Error = Box<dyn std::error::Error>;

/// State machine that counts commands.
#[derive(Default)]
struct Counter(u64);

impl Machine for Counter {
    fn apply(&mut self, _: Index, _: Time, _: &[u8]) -> Vec<u8> {
        self.0 += 1;
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }

    fn restore(&mut self, state: &[u8]) -> Result<(), RestoreError> {
        let bytes = state.try_into().map_err(|_| RestoreError {
            detail: "not a count".to_owned(),
        })?;
        self.0 = u64::from_le_bytes(bytes);
        Ok(())
    }
}

struct RunningReplica {
    handle: ReplicaHandle<Counter>,
    server: PeerServer,
}

/// Figures of one run; the rate is in commands per second.
struct Run {
    sync: Duration,
    median: Duration,
    p99: Duration,
    rate: f64,
}

fn sync_time(folder: &Path) -> Result<Duration, Error> {
    let path = folder.join("baseline");
    let mut file = OpenOptions::new().create(true).append(true).open(path)?;
    let mut times = Vec::with_capacity(SERIAL);
    for _ in 0..SERIAL {
        let start = Instant::now();
        file.write_all(&[7; COMMAND_BYTES])?;
        file.sync_data()?;
        times.push(start.elapsed());
    }
    times.sort_unstable();
    Ok(times[SERIAL / 2])
}

async fn start(
    founders: &[(InstanceName, SocketAddr)],
    number: usize,
    folder: &Path,
) -> Result<RunningReplica, Error> {
    let token = Token::open("secret-of-the-bench")?;
    let (name, address) = founders[number].clone();
    let folder = folder.join(name.as_str());
    let options = ReplicaOptions::new(name, address, folder, token.clone())
        .with_founders(founders.iter().cloned());
    let handle = Replica::spawn(options, Counter::default()).await?;
    let server = PeerServer::bind(address, token, [module(handle.clone())?]).await?;
    Ok(RunningReplica { handle, server })
}

/// Waits until all replicas are voters; returns the number of the leader.
async fn wait_for_leader(running: &[RunningReplica]) -> Result<usize, Error> {
    loop {
        for (number, replica) in running.iter().enumerate() {
            let log = replica.handle.status().await?.log;
            let all_vote = log.config.voters.len() == running.len() && log.config_committed;
            if log.role == RoleKind::Leader && all_vote {
                return Ok(number);
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn run(replicas: usize) -> Result<Run, Error> {
    let folder = std::env::temp_dir().join(format!("replica-latency-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let sync = sync_time(&folder)?;
    let sockets = (0..replicas)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<Vec<_>, _>>()?;
    let mut founders = Vec::new();
    for (number, socket) in sockets.iter().enumerate() {
        let name = InstanceName::from(format!("accra-a-{number}"));
        founders.push((name, socket.local_addr()?));
    }
    drop(sockets);
    let mut running = Vec::new();
    for number in 0..replicas {
        running.push(start(&founders, number, &folder).await?);
    }
    let leader = wait_for_leader(&running).await?;
    let handle = running[leader].handle.clone();
    let mut times = Vec::with_capacity(SERIAL);
    for _ in 0..SERIAL {
        let begin = Instant::now();
        handle.propose(vec![7; COMMAND_BYTES]).await?;
        times.push(begin.elapsed());
    }
    times.sort_unstable();
    let begin = Instant::now();
    let all = (0..PARALLEL).map(|_| handle.propose(vec![7; COMMAND_BYTES]));
    let answers: Result<Vec<_>, Failure> = join_all(all).await.into_iter().collect();
    answers?;
    let rate = PARALLEL as f64 / begin.elapsed().as_secs_f64();
    for replica in running {
        replica.handle.stop().await;
        replica.server.stop().await;
    }
    std::fs::remove_dir_all(&folder)?;
    Ok(Run {
        sync,
        median: times[SERIAL / 2],
        p99: times[SERIAL * 99 / 100],
        rate,
    })
}

/// Formats minimum, median and maximum of a value over the runs.
fn min_median_max<F>(runs: &[Run], value: F) -> String
where
    F: Fn(&Run) -> f64,
{
    let mut values: Vec<f64> = runs.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    format!(
        "{:9.2} {:9.2} {:9.2}",
        values[0],
        values[values.len() / 2],
        values[values.len() - 1]
    )
}

fn main() -> Result<(), Error> {
    println!("{RUNS} runs, {SERIAL} commands one by one, {PARALLEL} at once");
    println!("{:32} {:>9} {:>9} {:>9}", "", "min", "median", "max");
    for replicas in [1, 3] {
        let mut runs = Vec::new();
        for _ in 0..RUNS {
            runs.push(actix_rt::System::new().block_on(run(replicas))?);
        }
        let micros = |d: Duration| d.as_secs_f64() * 1e6;
        let row = |name: &str, value: &dyn Fn(&Run) -> f64| {
            println!(
                "{replicas} replicas, {name:20} {}",
                min_median_max(&runs, value)
            );
        };
        row("sync, us", &|r| micros(r.sync));
        row("median, us", &|r| micros(r.median));
        row("p99, us", &|r| micros(r.p99));
        row("median / sync", &|r| micros(r.median) / micros(r.sync));
        row("at once, 1/s", &|r| r.rate);
    }
    Ok(())
}
