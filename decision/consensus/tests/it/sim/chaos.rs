//! Random fault injection.

use std::time::Duration;

use pimentotide_consensus::{Event, Node};
use pimentotide_storage::fake::Fault;
use rand::RngExt;

use super::{Item, World};

/// Probabilities of faults.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Probability that a message is lost.
    pub(crate) loss: f64,
    /// Probability that a message is delivered twice.
    pub(crate) duplicates: f64,
    /// Probability that a message is delayed and reordered.
    pub(crate) late: f64,
    /// Probability that a sync is slow.
    pub(crate) slow_disk: f64,
    /// Maximum interval between larger faults; zero disables them.
    pub(crate) pause: Duration,
}

impl Faults {
    /// No faults.
    pub(crate) fn none() -> Self {
        Self {
            loss: 0.0,
            duplicates: 0.0,
            late: 0.0,
            slow_disk: 0.0,
            pause: Duration::ZERO,
        }
    }

    /// All kinds of faults.
    pub(crate) fn all() -> Self {
        Self {
            loss: 0.02,
            duplicates: 0.02,
            late: 0.02,
            slow_disk: 0.01,
            pause: Duration::from_millis(600),
        }
    }
}

impl World {
    /// Injects one larger fault and schedules the next one.
    pub(super) fn inject_fault(&mut self) {
        let max_wait = u64::try_from(self.faults.pause.as_micros()).unwrap_or(0);
        if max_wait == 0 {
            return;
        }
        let wait = self.rng.random_range(1..=max_wait);
        self.schedule(Duration::from_micros(wait), Item::Chaos);
        let host = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..16) {
            0 => self.isolate(host, false, false),
            1 => self.isolate(host, true, false),
            2 => self.isolate(host, false, true),
            3 => self.partition(),
            4..=6 => self.heal(),
            7 => self.crash(host),
            8 => self.arm_randomly(host, Fault::Crash),
            9 => self.arm_randomly(host, Fault::Fail),
            10 => self.arm_randomly(host, Fault::Fill),
            11 => self.replace_disk(host),
            12 => self.step_clock(host),
            13 => self.pause(host),
            14 => self.transfer_leadership(),
            _ => self.change_wanted(host),
        }
        self.restart_failed();
    }

    fn isolate(&mut self, host: usize, receives: bool, sends: bool) {
        self.counts.partitions += 1;
        self.cut_off(host, receives, sends);
    }

    /// Partitions the hosts into two random groups.
    fn partition(&mut self) {
        self.counts.partitions += 1;
        let side: Vec<bool> = (0..self.hosts.len()).map(|_| self.rng.random()).collect();
        for from in 0..side.len() {
            for to in 0..side.len() {
                if side[from] != side[to] {
                    self.network.block(from, to);
                }
            }
        }
    }

    fn crash(&mut self, host: usize) {
        if self.hosts[host].process.is_some() {
            self.kill(host);
        }
    }

    fn arm_randomly(&mut self, host: usize, fault: Fault) {
        let after = self.rng.random_range(0..12);
        self.arm(host, after, fault);
    }

    /// Replaces a disk if the log tolerates it: at least three voters and no other repair in progress.
    fn replace_disk(&mut self, host: usize) {
        let voters = self
            .leader()
            .and_then(|n| self.node(n))
            .map(|n| n.config().voters.len());
        if voters.is_some_and(|v| v >= 3) && self.has_wanted_members() && self.is_config_committed()
        {
            self.lose_disk(host);
        }
    }

    fn is_config_committed(&self) -> bool {
        self.leader()
            .and_then(|n| Some((n, self.node(n)?)))
            .is_some_and(|(n, node)| {
                node.status(self.hosts[n].moment(self.time))
                    .config_committed
            })
    }

    fn step_clock(&mut self, host: usize) {
        self.counts.clock_steps += 1;
        self.hosts[host].wall_offset = self.rng.random_range(0..2_000_000_000);
    }

    fn pause(&mut self, host: usize) {
        self.counts.pauses += 1;
        let millis = self.rng.random_range(50..3_000);
        self.hosts[host].paused_until = self.time + Duration::from_millis(millis);
    }

    fn transfer_leadership(&mut self) {
        if let Some(leader) = self.leader() {
            self.counts.transfers += 1;
            self.deliver_event(leader, Event::Transfer);
        }
    }

    /// Adds the host to the wanted members, or removes it while more than three are wanted.
    fn change_wanted(&mut self, host: usize) {
        let members = self.wanted.iter().filter(|w| **w).count();
        if !self.wanted[host] {
            self.want(host, true);
        } else if members > 3 && self.has_wanted_members() {
            self.want(host, false);
        }
    }

    /// Restarts replicas with a failed disk with some probability, as an operator would.
    fn restart_failed(&mut self) {
        for host in 0..self.hosts.len() {
            let failed = self.node(host).is_some_and(Node::is_failed);
            if failed && self.rng.random_bool(0.3) {
                self.kill(host);
            }
        }
    }
}
