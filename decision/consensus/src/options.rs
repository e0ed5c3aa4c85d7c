//! Timeouts and limits of a node.

use std::time::Duration;

/// Timeouts and limits of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Minimum time without contact to a leader before an election; the random maximum is twice that.
    pub election_timeout: Duration,
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Maximum rate error of a clock, as a fraction.
    pub max_clock_drift: f64,
    /// Time after which an unanswered message is sent again.
    pub resend_timeout: Duration,
    /// Maximum bytes of entries in one message; a single larger entry is still sent.
    pub max_batch_bytes: usize,
    /// Maximum append messages in flight to one replica.
    pub max_inflight: usize,
    /// Maximum bytes of a snapshot in one message.
    pub max_chunk_bytes: usize,
    /// Maximum entries that a learner may lag behind to be promoted to voter.
    pub max_learner_lag: u64,
    /// Maximum entries that are not committed yet; further proposals are rejected.
    pub max_uncommitted: u64,
    /// Entries retained in memory before a snapshot, so that slow replicas need no snapshot.
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
    /// Duration of the lease after a quorum's acknowledgement, on the leader's clock.
    ///
    /// Followers reject other candidates for the minimum election timeout on their
    /// own clocks. A leader's clock that runs slow by the drift still ends the lease
    /// before a follower's clock that runs fast.
    pub fn lease(&self) -> Duration {
        let fastest = 1.0 + self.max_clock_drift;
        let slowest = 1.0 - self.max_clock_drift;
        self.election_timeout.mul_f64(slowest / fastest)
    }
}
