//! Order in which a holder turns to the replicas.

use std::time::Duration;

use super::RETRY_PAUSE;

/// Position among the replicas: stays with one that answers, else goes on at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rotation {
    replicas: usize,
    position: usize,
    failures: usize,
}

impl Rotation {
    /// Starts at `seed` among `replicas`, so that holders spread over them.
    pub const fn new(replicas: usize, seed: usize) -> Self {
        let replicas = if replicas == 0 { 1 } else { replicas };
        Self {
            replicas,
            position: seed % replicas,
            failures: 0,
        }
    }

    /// Replica to ask.
    pub const fn position(&self) -> usize {
        self.position
    }

    /// Notes that the replica answered.
    pub const fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Goes on to the next replica and returns how long to pause before asking it.
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
