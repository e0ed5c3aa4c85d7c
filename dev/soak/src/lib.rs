//! Randomized fault soak of real processes.
//!
//! Starts three control replicas and three entries as processes of their own,
//! each on a loopback address, with stand-in upstreams and callers in this
//! process. Every connection to an entry, an upstream or a replica's operators'
//! port runs through a proxy that delays, resets, cuts or silences it. From a
//! seed, a schedule kills, stops, pauses and reloads processes, takes data
//! folders away, crashes, hangs and drains upstreams and changes the
//! configuration, in series and overlapping. What callers, operators and
//! upstreams saw is kept in a [`History`], which [`violations`] checks against what
//! the deployment promises.
//!
//! The schedule repeats for a seed; the timing of processes does not.

mod caller;
mod cluster;
mod fault;
mod history;
mod operator;
mod promise;
mod proxy;
mod schedule;
mod upstream;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};

use cluster::Cluster;

pub use history::{Call, Disturbance, History, Kind, Order, Outcome, Run, Target};
pub use promise::{Bounds, Violation, violations};

/// Callers at once.
const CALLERS: usize = 12;
/// Longest wait for the deployment to serve at first.
const START_LIMIT: Duration = Duration::from_secs(20);

/// What a soak is run with.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Binary under test.
    pub binary: PathBuf,
    /// Seed of the schedule.
    pub seed: u64,
    /// Time for which faults are injected.
    pub faults: Duration,
    /// Second to last number of the loopback addresses; one for each soak at once.
    pub network: u8,
}

/// What a soak has shown.
#[derive(Debug)]
pub struct Report {
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Calls by how they ended.
    pub outcomes: Vec<(String, usize)>,
    /// Faults that were injected.
    pub faults: Vec<String>,
    /// Folder with the logs; kept if a promise was broken.
    pub logs: Option<PathBuf>,
}

/// Why a soak could not be run.
#[derive(Debug, Display, From)]
pub enum SoakError {
    /// A socket or file failed.
    Io(std::io::Error),
    /// A process could not be started.
    #[from(ignore)]
    #[display("{_0}")]
    Process(String),
    /// The deployment did not begin to serve.
    #[from(ignore)]
    #[display("the deployment did not begin to serve; logs: {}", _0.display())]
    NotServing(PathBuf),
}

impl std::error::Error for SoakError {}

/// Runs one soak.
///
/// # Errors
///
/// Fails if the deployment cannot be started or does not serve at first.
pub async fn run(options: &SoakOptions) -> Result<Report, SoakError> {
    let cluster = Arc::new(Cluster::spawn(options).await?);
    let operator = operator::spawn(cluster.clone());
    let callers = caller::spawn_all(&cluster, CALLERS, options.seed);
    if !cluster.serves_within(START_LIMIT).await {
        return Err(SoakError::NotServing(cluster.keep_logs()));
    }
    schedule::play(&cluster, options.seed, options.faults).await;
    cluster.heal().await;
    schedule::recover(&cluster).await;
    callers.stop().await;
    operator.stop().await;
    cluster.read_back().await;
    let history = cluster.stop().await;
    let violations = violations(&history, &Bounds::default());
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
