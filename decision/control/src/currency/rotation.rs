//! Order in which a holder asks the replicas.

use std::time::Duration;

use super::RETRY_PAUSE;

/// Position among the replicas; changes only when the current replica fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rotation {
    replicas: usize,
    position: usize,
    failures: usize,
}

impl Rotation {
    /// Starts at `seed` modulo `replicas`, which spreads the holders over them.
    pub const fn new(replicas: usize, seed: usize) -> Self {
        let replicas = if replicas == 0 { 1 } else { replicas };
        Self {
            replicas,
            position: seed % replicas,
            failures: 0,
        }
    }

    /// Index of the replica to ask.
    pub const fn position(&self) -> usize {
        self.position
    }

    /// Records an answer of the replica and resets the count of failures.
    pub const fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Moves to the next replica and returns the delay before asking it.
    pub const fn fail(&mut self) -> Duration {
        self.position = (self.position + 1) % self.replicas;
        self.failures += 1;
        if self.failures < self.replicas {
            return Duration::ZERO;
        }
        self.failures = 0;
        RETRY_PAUSE
    }
}
