//! Randomized fault soak of real processes.
//!
//! Runs control replicas and three entries as separate processes on loopback addresses; replicas
//! are replaced for good and lose their disks, and one of the zones is evacuated and taken back all the
//! time; stand-in upstreams and callers run in this process. Proxies in front of entries, upstreams and
//! the replicas' operator ports disturb connections. A seeded schedule injects overlapping faults
//! and planned work; [`violations`] checks the recorded [`History`] against the guarantees.
//! The schedule is deterministic for a seed; the timing of processes is not.

mod caller;
mod cluster;
mod disks;
mod evacuation;
mod fault;
mod guarantee;
mod history;
mod incarnation;
mod operator;
mod proxy;
mod schedule;
mod upstream;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use cluster::Cluster;

pub use guarantee::{Bounds, Violation, violations};
pub use history::{Call, Disturbance, Evacuation, History, Kind, Order, Outcome, Run, Target};
pub use incarnation::IncarnationState;

/// Number of concurrent callers.
const CALLERS: usize = 12;
/// One in so many seeds declares large configurations.
const HEAVY_INTERVAL: u64 = 5;
/// Number of keys that fill them up, of about 30 bytes each.
const HEAVY_KEYS: usize = 10_000;
/// Timeout for the deployment to begin serving.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Parameters of one soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Binary under test.
    pub binary: PathBuf,
    /// Seed of the schedule.
    pub seed: u64,
    /// Time for which faults are injected.
    pub faults: Duration,
    /// Number of disks that may be lost at once; twice as many replicas and one more run.
    pub loss: usize,
    /// Third octet of the loopback addresses; concurrent soaks need different ones.
    pub network: u8,
}

impl SoakOptions {
    /// Returns the grace period of a stop, in seconds; some requests arrive late in the longer one.
    fn grace_s(&self) -> u64 {
        if self.seed.is_multiple_of(2) { 8 } else { 4 }
    }

    /// Returns the number of keys that fill each version of the configuration up.
    fn extra_keys(&self) -> usize {
        if self.seed % HEAVY_INTERVAL == HEAVY_INTERVAL - 1 {
            HEAVY_KEYS
        } else {
            0
        }
    }

    /// Returns the limits of the guarantees.
    fn bounds(&self) -> Bounds {
        Bounds {
            grace: 1_000 * self.grace_s() + 1_000,
            ..Bounds::default()
        }
    }
}

/// Result of one soak.
#[derive(Debug)]
pub struct Report {
    /// Violated guarantees; empty if the soak passed.
    pub violations: Vec<Violation>,
    /// Number of calls by outcome.
    pub outcomes: Vec<(String, usize)>,
    /// Injected faults and planned work, with time and target.
    pub faults: Vec<String>,
    /// Folder with the logs; `None` if no guarantee was violated.
    pub logs: Option<PathBuf>,
}

/// Failure to run a soak.
#[derive(Debug, Display, From)]
pub enum SoakError {
    /// A socket or file failed.
    Io(std::io::Error),
    /// A process could not be started.
    #[from(ignore)]
    #[display("{_0}")]
    Process(String),
    /// The deployment did not begin to serve in time; the logs are in this folder.
    #[from(ignore)]
    #[display("the deployment did not begin to serve; logs: {}", _0.display())]
    NotServing(PathBuf),
}

impl std::error::Error for SoakError {}

/// Runs one soak.
///
/// # Errors
///
/// Fails if the deployment cannot be started or does not begin to serve in time.
pub async fn run(options: &SoakOptions) -> Result<Report, SoakError> {
    let bounds = options.bounds();
    let cluster = Arc::new(Cluster::spawn(options).await?);
    let operator = operator::spawn(cluster.clone());
    let callers = caller::spawn_all(&cluster, CALLERS, options.seed);
    if !cluster.serves_within(START_TIMEOUT).await {
        return Err(SoakError::NotServing(cluster.keep_logs()));
    }
    let evacuator = evacuation::spawn(cluster.clone());
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    schedule::run(&cluster, &mut rng, options.faults).await;
    evacuator.finish(&cluster).await;
    disks::final_loss(&cluster, &mut rng).await;
    cluster.heal().await;
    schedule::recover(&cluster).await;
    schedule::observe_evacuation(&bounds).await;
    evacuation::repeat(&cluster).await;
    schedule::observe_evacuation(&bounds).await;
    callers.stop().await;
    operator.stop().await;
    cluster.read_back().await;
    let history = cluster.stop().await;
    let violations = violations(&history, &bounds);
    let logs = (!violations.is_empty()).then(|| cluster.keep_logs());
    Ok(Report {
        outcomes: history.outcomes(),
        faults: history
            .disturbances
            .iter()
            .map(ToString::to_string)
            .collect(),
        violations,
        logs,
    })
}
