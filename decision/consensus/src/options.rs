//! Times and bounds of a node.

use std::time::Duration;

/// Times and bounds of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Shortest silence after which a replica stands for election; the longest is twice that.
    pub election_timeout: Duration,
    /// Pause between heartbeats.
    pub heartbeat_interval: Duration,
    /// How much faster one clock may run than another, as a fraction.
    pub max_clock_drift: f64,
    /// Wait before a message without an answer is repeated.
    pub resend_timeout: Duration,
    /// Most bytes of entries in one message.
    pub max_batch_bytes: usize,
    /// Most messages with entries under way to one replica.
    pub max_inflight: usize,
    /// Most bytes of a snapshot in one message.
    pub max_chunk_bytes: usize,
    /// Entries that a learner may lack and still become a voter.
    pub max_learner_lag: u64,
    /// Most entries that wait for a quorum.
    pub max_uncommitted: u64,
    /// Entries kept in memory behind a snapshot for replicas that are a little late.
    pub retained_entries: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_millis(350),
            heartbeat_interval: Duration::from_millis(50),
            max_clock_drift: 0.05,
            resend_timeout: Duration::from_millis(200),
            max_batch_bytes: 256 << 10,
            max_inflight: 16,
            max_chunk_bytes: 256 << 10,
            max_learner_lag: 64,
            max_uncommitted: 16_384,
            retained_entries: 1_024,
        }
    }
}

impl Options {
    /// How long a quorum's acknowledgement keeps a leader's lease, on the leader's clock.
    ///
    /// Followers refuse other candidates for the shortest election time on their
    /// own clocks. A clock that runs slow by the drift must still end the lease first.
    pub fn lease(&self) -> Duration {
        let fastest = 1.0 + self.max_clock_drift;
        let slowest = 1.0 - self.max_clock_drift;
        self.election_timeout.mul_f64(slowest / fastest)
    }
}
