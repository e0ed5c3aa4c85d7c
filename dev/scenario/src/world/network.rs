//! Links between processes, and what becomes of messages.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::NodeId;

/// Longest time that a message out of order takes, microseconds.
const LATE: u64 = 1_500_000;

/// Table of links.
#[derive(Clone, Debug)]
pub(super) struct Network {
    blocked: BTreeSet<(NodeId, NodeId)>,
    pub(super) loss: f64,
    pub(super) duplicates: f64,
    pub(super) late: f64,
    pub(super) delay: (Duration, Duration),
}

impl Default for Network {
    fn default() -> Self {
        Self {
            blocked: BTreeSet::new(),
            loss: 0.0,
            duplicates: 0.0,
            late: 0.0,
            delay: (Duration::from_micros(400), Duration::from_micros(900)),
        }
    }
}

impl Network {
    pub(super) fn cut(&mut self, from: NodeId, to: NodeId) {
        self.blocked.insert((from, to));
    }

    pub(super) fn heal(&mut self, from: NodeId, to: NodeId) {
        self.blocked.remove(&(from, to));
    }

    pub(super) fn heal_all(&mut self) {
        *self = Self::default();
    }

    /// Times that a message takes to arrive, one for each copy.
    pub(super) fn pass(&self, from: NodeId, to: NodeId, rng: &mut ChaCha8Rng) -> Vec<Duration> {
        if from == to {
            return vec![Duration::ZERO];
        }
        if self.blocked.contains(&(from, to)) || rng.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.random_bool(self.duplicates));
        (0..copies).map(|_| self.take(rng)).collect()
    }

    fn take(&self, rng: &mut ChaCha8Rng) -> Duration {
        let (least, most) = self.delay;
        let usual = rng.random_range(least.as_micros() as u64..=most.as_micros() as u64);
        if rng.random_bool(self.late) {
            return Duration::from_micros(usual + rng.random_range(0..LATE));
        }
        Duration::from_micros(usual)
    }
}
