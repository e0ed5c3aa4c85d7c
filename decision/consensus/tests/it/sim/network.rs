//! Simulated network: partitions, loss, duplication and delay of messages.

use std::collections::BTreeSet;
use std::time::Duration;

use pimentotide_consensus::{Envelope, Event, Ticket};
use rand::RngExt;

use super::{Item, World};

/// Links between hosts, each blocked per direction.
#[derive(Clone, Debug, Default)]
pub(crate) struct Network {
    blocked: BTreeSet<(usize, usize)>,
}

impl Network {
    pub(crate) fn block(&mut self, from: usize, to: usize) {
        self.blocked.insert((from, to));
    }

    pub(crate) fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.blocked.contains(&(from, to))
    }

    pub(crate) fn heal(&mut self) {
        self.blocked.clear();
    }
}

impl World {
    pub(super) fn deliver(&mut self, envelope: Envelope) {
        let Some(host) = self.host(&envelope.to) else {
            return;
        };
        if self.defer_if_paused(host, &Item::Deliver(Box::new(envelope.clone()))) {
            return;
        }
        self.counts.delivered += 1;
        self.deliver_event(host, Event::Receive(envelope));
    }

    pub(super) fn send(&mut self, host: usize, after: Ticket, envelope: Envelope) {
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        if after <= process.synced {
            self.transmit(&envelope);
        } else {
            process.held.push((after, envelope));
        }
    }

    pub(super) fn transmit(&mut self, envelope: &Envelope) {
        self.check.sent(envelope);
        let (Some(from), Some(to)) = (self.host(&envelope.from), self.host(&envelope.to)) else {
            return;
        };
        if self.network.is_blocked(from, to) || self.rng.random_bool(self.faults.loss) {
            self.counts.dropped += 1;
            return;
        }
        let copies = if self.rng.random_bool(self.faults.duplicates) {
            2
        } else {
            1
        };
        self.counts.duplicated += copies - 1;
        for _ in 0..copies {
            let late = self.rng.random_bool(self.faults.late);
            let micros = if late {
                self.rng.random_range(10_000..2_000_000)
            } else {
                self.rng.random_range(300..2_000)
            };
            self.schedule(
                Duration::from_micros(micros),
                Item::Deliver(Box::new(envelope.clone())),
            );
        }
    }
}
