//! Simulated instance with its disk, its clocks and its process.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_consensus::{
    Action, Applier, Envelope, Index, Moment, Node, Options, Ticket, Write,
};
use pimentotide_model::{InstanceName, Term, Time};
use pimentotide_storage::fake::FakeDisk;
use pimentotide_storage::{Storage, StorageError};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::disk::Trouble;
use super::machine::Recorder;

/// Maximum rate error of a clock, as a fraction.
const DRIFT: f64 = 0.05;
/// Small enough that segments are often started and removed.
const SEGMENT_BYTES: u64 = 1_024;

/// Simulated instance.
pub(crate) struct Host {
    pub(crate) name: InstanceName,
    pub(crate) address: SocketAddr,
    pub(crate) disk: FakeDisk,
    pub(crate) process: Option<Process>,
    pub(crate) ticking: bool,
    /// End of the current pause.
    pub(crate) paused_until: Time,
    /// Trouble of a disk that hangs or is slow.
    pub(crate) trouble: Option<Trouble>,
    /// Time of the next write of a slow disk.
    pub(crate) next_write: Time,
    /// Commit index of the running process at the last check.
    pub(crate) commit: Index,
    /// Last term in which a process of this host was found to lead.
    pub(crate) led_term: Option<Term>,
    /// Virtual time at the start of the process.
    start: Time,
    /// Monotonic clock at the start of the process.
    origin: Time,
    /// Rate of the monotonic clock.
    rate: f64,
    /// Offset of the wall clock in microseconds.
    pub(crate) wall_offset: u64,
}

/// A running replica.
pub(crate) struct Process {
    pub(crate) node: Node,
    pub(crate) storage: Storage<FakeDisk>,
    pub(crate) applier: Applier<Recorder>,
    pub(crate) writes: VecDeque<Write>,
    /// Messages that wait for a sync.
    pub(crate) held: Vec<(Ticket, Envelope)>,
    pub(crate) synced: Ticket,
}

/// Limits small enough to be reached often.
pub(crate) fn options() -> Options {
    Options {
        election_timeout: Duration::from_millis(350),
        heartbeat_interval: Duration::from_millis(50),
        max_clock_drift: DRIFT,
        resend_timeout: Duration::from_millis(100),
        max_batch_bytes: 300,
        max_inflight: 4,
        max_chunk_bytes: 64,
        max_learner_lag: 8,
        max_uncommitted: 200,
        retained_entries: 5,
        retained_bytes: 200,
        max_learner_lag_bytes: 600,
        max_inflight_bytes: 700,
        min_rate: 100_000,
        min_voters: 3,
        grant_silence: Duration::from_secs(3),
    }
}

impl Host {
    pub(crate) fn new(number: usize, seed: u64) -> Self {
        Self {
            name: InstanceName::from(format!("accra-a-{}", number + 1)),
            address: SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16)),
            disk: FakeDisk::new(seed),
            process: None,
            ticking: false,
            paused_until: Time::ZERO,
            trouble: None,
            next_write: Time::ZERO,
            commit: Index(0),
            led_term: None,
            start: Time::ZERO,
            origin: Time::ZERO,
            rate: 1.0,
            wall_offset: 1_000_000_000,
        }
    }

    /// Monotonic clock of the process at virtual time `time`.
    pub(crate) fn local(&self, time: Time) -> Time {
        self.origin + time.since(self.start).mul_f64(self.rate)
    }

    pub(crate) fn moment(&self, time: Time) -> Moment {
        Moment {
            now: self.local(time),
            wall: time + Duration::from_micros(self.wall_offset),
        }
    }

    /// Draws a new origin and rate, within the drift, for the clock of a new process.
    pub(crate) fn reset_clock(&mut self, time: Time, rng: &mut ChaCha8Rng) {
        self.start = time;
        self.origin = Time::from_millis(rng.random_range(0..1_000_000));
        self.rate = rng.random_range(1.0 - DRIFT..=1.0 + DRIFT);
    }
}

impl Process {
    pub(crate) fn start(
        host: &Host,
        seed: u64,
        at: Moment,
    ) -> Result<(Self, Vec<Action>), StorageError> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let disk = host.disk.clone();
        let opened = Storage::open_with_limit(disk, &host.name, &mut rng, SEGMENT_BYTES)?;
        let (node, actions) = Node::start(opened.recovered, options(), seed, at);
        let process = Self {
            node,
            storage: opened.storage,
            applier: Applier::new(Recorder::default()),
            writes: VecDeque::new(),
            held: Vec::new(),
            synced: Ticket(0),
        };
        Ok((process, actions))
    }
}
