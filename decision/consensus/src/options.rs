//! Times and bounds of a node.

use std::time::Duration;

/// Times and bounds of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Shortest silence after which a replica stands for election; the longest is twice that.
    pub election: Duration,
    /// Pause between heartbeats.
    pub heartbeat: Duration,
    /// How much faster one clock may run than another, as a fraction.
    pub drift: f64,
    /// Wait before a message without an answer is repeated.
    pub resend: Duration,
    /// Most bytes of entries in one message.
    pub batch: usize,
    /// Most messages with entries under way to one replica.
    pub inflight: usize,
    /// Most bytes of a snapshot in one message.
    pub chunk: usize,
    /// Entries that a learner may lack and still become a voter.
    pub lag: u64,
    /// Most entries that wait for a quorum.
    pub backlog: u64,
    /// Entries kept in memory behind a snapshot for replicas that are a little late.
    pub keep: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            election: Duration::from_millis(350),
            heartbeat: Duration::from_millis(50),
            drift: 0.05,
            resend: Duration::from_millis(200),
            batch: 256 << 10,
            inflight: 16,
            chunk: 256 << 10,
            lag: 64,
            backlog: 16_384,
            keep: 1_024,
        }
    }
}

impl Options {
    /// How long a quorum's acknowledgement keeps a leader's lease, on the leader's clock.
    ///
    /// Followers refuse other candidates for the shortest election time on their
    /// own clocks. A clock that runs slow by the drift must still end the lease first.
    pub fn lease(&self) -> Duration {
        let fastest = 1.0 + self.drift;
        let slowest = 1.0 - self.drift;
        self.election.mul_f64(slowest / fastest)
    }
}
