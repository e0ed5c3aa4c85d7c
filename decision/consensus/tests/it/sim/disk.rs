//! Disks that are full, hang or are slow for a while, and replicas that take part again without a restart.

use std::time::Duration;

use pimentotide_consensus::{Index, Node};
use pimentotide_model::Time;
use rand::RngExt;

use super::host::Process;
use super::{Item, World};

/// Interval between attempts to use a failed disk again.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// What is wrong with a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Every write is refused.
    Full,
    /// Writes wait until the trouble ends.
    Hung,
    /// Each write takes a second.
    Slow,
}

impl World {
    /// Disturbs the disk of a host until [`World::relieve`].
    pub(crate) fn disturb(&mut self, host: usize, trouble: Trouble) {
        match trouble {
            Trouble::Full => {
                self.hosts[host].disk.fill();
                let wait = self.rng.random_range(Duration::ZERO..REOPEN_INTERVAL);
                self.schedule(wait, Item::Reopen(host));
            }
            Trouble::Hung | Trouble::Slow => self.hosts[host].trouble = Some(trouble),
        }
    }

    /// Ends the trouble of a host's disk.
    pub(crate) fn relieve(&mut self, host: usize) {
        self.hosts[host].disk.free();
        self.hosts[host].trouble = None;
    }

    /// Reschedules the writes of a hung or slow disk; returns whether they have to wait.
    pub(super) fn defer_writes(&mut self, host: usize) -> bool {
        let second = Duration::from_secs(1);
        let disk = &mut self.hosts[host];
        let wait = match disk.trouble {
            Some(Trouble::Hung) => REOPEN_INTERVAL / 10,
            Some(Trouble::Slow) if self.time < disk.next_write => disk.next_write.since(self.time),
            Some(Trouble::Slow) => {
                disk.next_write = self.time + second;
                return false;
            }
            Some(Trouble::Full) | None => {
                disk.next_write = Time::ZERO;
                return false;
            }
        };
        self.schedule(wait, Item::Disk(host));
        true
    }

    /// Opens the disk of a failed replica again, as its process does.
    pub(super) fn reopen(&mut self, host: usize) {
        let full = self.hosts[host].disk.is_full();
        let failed = self.node(host).is_some_and(Node::is_failed);
        if !failed && !full {
            return;
        }
        self.schedule(REOPEN_INTERVAL, Item::Reopen(host));
        if !failed || full {
            return;
        }
        let seed = self.rng.random();
        let at = self.hosts[host].moment(self.time);
        let Ok((process, actions)) = Process::start(&self.hosts[host], seed, at) else {
            return;
        };
        self.hosts[host].process = Some(process);
        self.hosts[host].commit = Index(0);
        self.perform(host, actions);
    }
}
