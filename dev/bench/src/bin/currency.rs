//! Time from applying an order until it is in force at every holder, over loopback.
//!
//! Three replicas share one state machine in memory, so replication time is
//! excluded. Nine entries and fifteen agents follow them. The cost of applying
//! an order is printed for several numbers of declared profiles, as a ratio to
//! the smallest.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use pimentotide_consensus::{Index, Machine as _};
use pimentotide_control::machine::encode;
use pimentotide_control::{Action, Command, Document, Machine, Order};
use pimentotide_instance::directory::{Directory, FollowOptions, Follower, SharedMachine, Source};
use pimentotide_instance::{PeerClient, PeerServer, Token, View};
use pimentotide_model::{AdminState, Failure, Profile, ProfileName, Revision, Time};
use tokio::sync::watch;

const ENTRIES: usize = 9;
const AGENTS: usize = 15;
const REPLICAS: u64 = 3;
const RUNS: usize = 5;
/// Orders per run.
const ORDERS: u64 = 100;
/// Numbers of declared profiles.
const PROFILES: [usize; 3] = [10, 100, 1_000];
/// Orders per timing of the state machine.
const APPLY_BATCH: u32 = 20;
/// Target for the 99th percentile.
const TARGET: Duration = Duration::from_secs(1);

#[derive(Clone, Default)]
struct State {
    machine: SharedMachine,
}

impl State {
    fn apply(&self, id: u64, action: Action) -> Revision {
        let command = encode(&order(id, action)).expect("every order can be encoded");
        self.machine.clone().apply(Index(id), Time::ZERO, &command);
        Revision(id)
    }
}

impl Source for State {
    async fn confirm(&self) -> Result<(), Failure> {
        Ok(())
    }

    fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine) -> T,
    {
        self.machine.read(read)
    }

    fn changes(&self) -> watch::Receiver<Revision> {
        self.machine.changes()
    }
}

fn order(id: u64, action: Action) -> Command {
    Command::Declare(Order {
        id: format!("o{id}").into(),
        base: None,
        actor: "bench".to_owned(),
        action,
    })
}

fn zone(id: u64) -> Action {
    let standing = if id.is_multiple_of(2) {
        AdminState::In
    } else {
        AdminState::Out
    };
    Action::Zone {
        zone: "zone-a".into(),
        standing,
    }
}

fn token() -> Token {
    Token::open("the-secret-of-the-bench").expect("the secret is long enough")
}

fn main() {
    print_apply_cost();
    actix_rt::System::new().block_on(async {
        let mut rows = Vec::new();
        for _ in 0..RUNS {
            rows.push(push_times().await);
        }
        print_pushes(&rows);
    });
}

/// Prints the cost of applying one order, by number of profiles.
fn print_apply_cost() {
    println!("profiles  apply min/median/max us  ratio  snapshot bytes");
    let mut base = None;
    for profiles in PROFILES {
        let mut times: Vec<_> = (0..RUNS).map(|_| apply_time(profiles)).collect();
        times.sort_unstable();
        let median = times[RUNS / 2];
        let base = *base.get_or_insert(median);
        println!(
            "{profiles:>8}  {:>6} {:>8} {:>8}  {:>5.1}  {}",
            times[0].as_micros(),
            median.as_micros(),
            times[RUNS - 1].as_micros(),
            median.as_secs_f64() / base.as_secs_f64(),
            snapshot_bytes(profiles),
        );
    }
}

fn machine_with(profiles: usize) -> Machine {
    let mut document = Document::default();
    for i in 0..profiles {
        let name = ProfileName::from(format!("profile-{i}"));
        let profile = Profile {
            name: name.clone(),
            model: Some("model".into()),
            ..Profile::default()
        };
        document.profiles.insert(name, profile);
    }
    let mut machine = Machine::default();
    let prune = false;
    machine.apply(Time::ZERO, &order(0, Action::Apply { document, prune }));
    machine
}

fn apply_time(profiles: usize) -> Duration {
    let mut machine = machine_with(profiles);
    let start = Instant::now();
    for id in 1..=APPLY_BATCH {
        machine.apply(Time::ZERO, &order(u64::from(id), zone(u64::from(id))));
    }
    start.elapsed() / APPLY_BATCH
}

fn snapshot_bytes(profiles: usize) -> usize {
    machine_with(profiles)
        .snapshot()
        .map_or(0, |bytes| bytes.len())
}

/// Runs all orders; records the time of each order at each holder, in microseconds.
async fn push_times() -> Histogram<u64> {
    let state = State::default();
    let mut servers = Vec::new();
    for epoch in 0..REPLICAS {
        servers.push(start_replica(&state, epoch).await);
    }
    let addresses: Vec<_> = servers.iter().map(PeerServer::address).collect();
    let followers: Vec<_> = (0..ENTRIES + AGENTS)
        .map(|i| {
            let clients = addresses.iter().map(|a| PeerClient::connect(*a, token()));
            let agent = i >= ENTRIES;
            Follower::spawn(FollowOptions {
                instance: format!("holder-{i}").into(),
                upstream: agent.then(|| format!("upstream-{i}").into()),
                directory: !agent,
                replicas: clients.collect(),
            })
        })
        .collect();
    let mut views: Vec<_> = followers.iter().map(Follower::view).collect();
    for view in &mut views {
        wait_until(view, |v| v.is_current()).await;
    }
    let mut times = Histogram::new(3).expect("three digits are supported");
    for id in 1..=ORDERS {
        let start = Instant::now();
        let revision = state.apply(id, zone(id));
        let waits = views.iter_mut().map(|view| async move {
            wait_until(view, |v| v.declarations.revision >= revision).await;
            start.elapsed()
        });
        for time in futures_util::future::join_all(waits).await {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            times.saturating_record(micros);
        }
    }
    times
}

async fn start_replica(state: &State, epoch: u64) -> PeerServer {
    let directory = Directory::spawn(state.clone(), epoch);
    let module = directory.module().expect("the methods have distinct names");
    let address = ([127, 0, 0, 1], 0).into();
    let server = PeerServer::bind(address, token(), [module]).await;
    server.expect("a loopback port is free")
}

async fn wait_until<F>(view: &mut watch::Receiver<View>, test: F)
where
    F: FnMut(&View) -> bool,
{
    view.wait_for(test).await.expect("the follower runs");
}

fn print_pushes(runs: &[Histogram<u64>]) {
    println!(
        "\nholders {}, orders {ORDERS}, runs {RUNS}",
        ENTRIES + AGENTS
    );
    println!("in force after  min/median/max over runs, us");
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        let mut values: Vec<_> = runs.iter().map(|r| r.value_at_quantile(quantile)).collect();
        values.sort_unstable();
        let [low, median, high] = [values[0], values[RUNS / 2], values[RUNS - 1]];
        println!("{name:<14}  {low:>8} {median:>8} {high:>8}");
    }
    println!("target: p99 under {} us", TARGET.as_micros());
}
