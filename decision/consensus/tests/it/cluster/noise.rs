//! Random delays, loss, duplication and reordering of messages, and random times of syncs.

use std::time::Duration;

use pimentotide_consensus::{Envelope, Message, Payload, Write};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Cluster, DELAY, Item, SYNC};

/// Time of a message on a slow link; longer than a vote and the return of a host without its disk.
const SLOW_DELAY: Duration = Duration::from_millis(30);

/// Extent of the disorder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disorder {
    /// Times as in an ordinary network.
    Mild,
    /// Messages are lost, duplicated and up to 3 s late; syncs take up to 0.3 s.
    Severe,
}

#[derive(Clone)]
pub(super) struct Noise {
    rng: ChaCha8Rng,
    severe: bool,
    /// Whether an election or a change of the membership went on since the last question.
    stirred: bool,
}

impl Cluster {
    /// Makes the network and the disks as disorderly as `seed` says.
    pub(crate) fn disturb(&mut self, seed: u64, disorder: Disorder) {
        self.noise = Some(Noise {
            rng: ChaCha8Rng::seed_from_u64(seed),
            severe: disorder == Disorder::Severe,
            stirred: false,
        });
    }

    pub(crate) fn calm(&mut self) {
        self.noise = None;
    }

    pub(super) fn send(&mut self, envelope: Envelope) {
        let Some(noise) = &mut self.noise else {
            let link = (self.number(&envelope.from), self.number(&envelope.to));
            let is_slow = self.slow.contains(&link);
            let delay = if is_slow { SLOW_DELAY } else { DELAY };
            self.schedule(delay, Item::Deliver(Box::new(envelope)));
            return;
        };
        noise.stirred |= matches!(
            envelope.body,
            Message::Vote { .. }
                | Message::RestartVote { .. }
                | Message::GrantVote { .. }
                | Message::VoteReply { .. }
        );
        let copies = match noise.rng.random_range(0..40) {
            0..2 if noise.severe => 0,
            2..4 if noise.severe => 2,
            _ => 1,
        };
        let delays: Vec<_> = (0..copies).map(|_| noise.delay()).collect();
        for delay in delays {
            self.schedule(delay, Item::Deliver(Box::new(envelope.clone())));
        }
    }

    pub(super) fn sync_time(&mut self) -> Duration {
        let Some(noise) = &mut self.noise else {
            return SYNC;
        };
        let slow = noise.severe && noise.rng.random_bool(0.1);
        let micros = if slow { 10_000..300_000 } else { 100..8_000 };
        Duration::from_micros(noise.rng.random_range(micros))
    }

    pub(super) fn note_write(&mut self, write: &Write) {
        if let Some(noise) = &mut self.noise {
            let mut payloads = write.entries.iter().map(|e| &e.payload);
            noise.stirred |= payloads.any(|p| matches!(p, Payload::Config(_)));
        }
    }

    /// Returns the seed of a new process.
    pub(super) fn node_seed(&mut self, host: usize, run: u64) -> u64 {
        let noise = self.noise.as_mut();
        noise.map_or(host as u64 * 1_000 + run, |n| n.rng.random())
    }

    /// Whether an election or a change of the membership went on since the last call.
    pub(crate) fn is_stirred(&mut self) -> bool {
        let noise = self.noise.as_mut();
        noise.is_some_and(|n| std::mem::take(&mut n.stirred))
    }
}

impl Noise {
    fn delay(&mut self) -> Duration {
        let micros = match self.rng.random_range(0..20) {
            0 if self.severe => self.rng.random_range(100_000..3_000_000),
            1..5 if self.severe => self.rng.random_range(3_000..100_000),
            _ => self.rng.random_range(300..3_000),
        };
        Duration::from_micros(micros)
    }
}
