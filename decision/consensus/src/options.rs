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
    /// Rate at which a replica handles large messages at least, in bytes per second; an answer may take
    /// longer by that.
    pub min_rate: u64,
    /// Maximum append messages in flight to one replica.
    pub max_inflight: usize,
    /// Bytes in flight to one replica from which no further message is sent.
    ///
    /// Heartbeats wait behind what is in flight, and elections start without them.
    pub max_inflight_bytes: u64,
    /// Maximum bytes of a snapshot in one message.
    pub max_chunk_bytes: usize,
    /// Maximum entries that a learner may lag behind to be promoted to voter.
    pub max_learner_lag: u64,
    /// Maximum bytes of entries that a learner may lag behind to be promoted to voter.
    pub max_learner_lag_bytes: u64,
    /// Voters that bear the stated losses; more than that are being replaced.
    pub min_voters: usize,
    /// Silence of the other voters after which some voters act by a grant.
    ///
    /// A replica may count a proved loss until that time, less two election timeouts, has passed since its
    /// last entry.
    pub grant_silence: Duration,
    /// Maximum entries that are not committed yet; further proposals are rejected.
    pub max_uncommitted: u64,
    /// Maximum entries retained in memory before a snapshot, so that slow replicas need no snapshot.
    pub retained_entries: u64,
    /// Maximum bytes of these entries.
    pub retained_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_millis(350),
            heartbeat_interval: Duration::from_millis(50),
            max_clock_drift: 0.05,
            resend_timeout: Duration::from_millis(200),
            max_batch_bytes: 256 << 10,
            min_rate: 1 << 20,
            max_inflight: 16,
            max_inflight_bytes: 512 << 10,
            max_chunk_bytes: 256 << 10,
            max_learner_lag: 64,
            max_learner_lag_bytes: 1 << 20,
            min_voters: 3,
            grant_silence: Duration::from_secs(3),
            max_uncommitted: 16_384,
            retained_entries: 1_024,
            retained_bytes: 1 << 20,
        }
    }
}

impl Options {
    /// Returns the time after which a message of `bytes` that is not answered is sent again.
    pub(crate) fn resend_after(&self, bytes: u64) -> Duration {
        let micros = bytes.saturating_mul(1_000_000) / self.min_rate.max(1);
        self.resend_timeout + Duration::from_micros(micros)
    }

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
