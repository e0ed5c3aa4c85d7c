//! Simulated network: cut links, loss, duplication, reordering and delay.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::NodeId;

/// Maximum extra delay of a reordered message, in microseconds.
const MAX_REORDER_DELAY_MICROS: u64 = 1_500_000;

/// Cut links and fault rates; the rates apply to every link.
#[derive(Clone, Debug)]
pub(super) struct Network {
    blocked: BTreeSet<(NodeId, NodeId)>,
    pub(super) loss: f64,
    pub(super) duplicates: f64,
    pub(super) reorder: f64,
    pub(super) delay: (Duration, Duration),
}

impl Default for Network {
    fn default() -> Self {
        Self {
            blocked: BTreeSet::new(),
            loss: 0.0,
            duplicates: 0.0,
            reorder: 0.0,
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

    /// Draws the delay of each copy of a message; empty if the message is lost.
    pub(super) fn delays(&self, from: NodeId, to: NodeId, rng: &mut ChaCha8Rng) -> Vec<Duration> {
        if from == to {
            return vec![Duration::ZERO];
        }
        if self.blocked.contains(&(from, to)) || rng.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.random_bool(self.duplicates));
        (0..copies).map(|_| self.draw_delay(rng)).collect()
    }

    fn draw_delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        let (min, max) = self.delay;
        let usual = rng.random_range(min.as_micros() as u64..=max.as_micros() as u64);
        if rng.random_bool(self.reorder) {
            return Duration::from_micros(usual + rng.random_range(0..MAX_REORDER_DELAY_MICROS));
        }
        Duration::from_micros(usual)
    }
}
