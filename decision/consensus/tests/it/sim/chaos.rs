//! Faults by chance.

use std::time::Duration;

use pimentotide_consensus::{Event, Node};
use pimentotide_storage::fake::Fault;
use rand::RngExt;

use super::{Item, World};

/// How likely faults are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Chance that a message is lost.
    pub(crate) loss: f64,
    /// Chance that a message arrives twice.
    pub(crate) duplicates: f64,
    /// Chance that a message arrives late and out of order.
    pub(crate) late: f64,
    /// Chance that a sync takes long.
    pub(crate) slow_disk: f64,
    /// Longest pause between larger faults; none at zero.
    pub(crate) pause: Duration,
}

impl Faults {
    /// A well-behaved world.
    pub(crate) fn none() -> Self {
        Self {
            loss: 0.0,
            duplicates: 0.0,
            late: 0.0,
            slow_disk: 0.0,
            pause: Duration::ZERO,
        }
    }

    /// Everything that can go wrong, again and again.
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
    /// Does one larger fault and schedules the next.
    pub(super) fn disturb(&mut self) {
        let most = u64::try_from(self.faults.pause.as_micros()).unwrap_or(0);
        if most == 0 {
            return;
        }
        let wait = self.rng.random_range(1..=most);
        self.schedule(Duration::from_micros(wait), Item::Chaos);
        let host = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..16) {
            0 => self.cut(host, false, false),
            1 => self.cut(host, true, false),
            2 => self.cut(host, false, true),
            3 => self.split(),
            4..=6 => self.heal(),
            7 => self.crash(host),
            8 => self.arm_chance(host, Fault::Crash),
            9 => self.arm_chance(host, Fault::Fail),
            10 => self.arm_chance(host, Fault::Fill),
            11 => self.replace_disk(host),
            12 => self.step_clock(host),
            13 => self.pause(host),
            14 => self.hand_over(),
            _ => self.reshape(host),
        }
        self.restart_failed();
    }

    fn cut(&mut self, host: usize, hears: bool, speaks: bool) {
        self.counts.partitions += 1;
        self.cut_off(host, hears, speaks);
    }

    /// Splits the hosts into two groups.
    fn split(&mut self) {
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

    fn arm_chance(&mut self, host: usize, fault: Fault) {
        let after = self.rng.random_range(0..12);
        self.arm(host, after, fault);
    }

    /// Replaces a disk, if the log can bear it: three voters and no other loss under repair.
    fn replace_disk(&mut self, host: usize) {
        let voters = self
            .leader()
            .and_then(|n| self.node(n))
            .map(|n| n.config().voters.len());
        if voters.is_some_and(|v| v >= 3) && self.is_whole() && self.leader_settled() {
            self.lose_disk(host);
        }
    }

    fn leader_settled(&self) -> bool {
        self.leader()
            .and_then(|n| Some((n, self.node(n)?)))
            .is_some_and(|(n, node)| {
                node.status(self.hosts[n].moment(self.time))
                    .config_committed
            })
    }

    fn step_clock(&mut self, host: usize) {
        self.counts.clock_steps += 1;
        self.hosts[host].shift = self.rng.random_range(0..2_000_000_000);
    }

    fn pause(&mut self, host: usize) {
        self.counts.pauses += 1;
        let millis = self.rng.random_range(50..3_000);
        self.hosts[host].paused = self.time + Duration::from_millis(millis);
    }

    fn hand_over(&mut self) {
        if let Some(leader) = self.leader() {
            self.counts.transfers += 1;
            self.tell(leader, Event::Transfer);
        }
    }

    /// Wants one host more or less as a member, between three and all.
    fn reshape(&mut self, host: usize) {
        let members = self.wanted.iter().filter(|w| **w).count();
        if !self.wanted[host] {
            self.want(host, true);
        } else if members > 3 && self.is_whole() {
            self.want(host, false);
        }
    }

    /// An operator restarts replicas whose disk failed.
    fn restart_failed(&mut self) {
        for host in 0..self.hosts.len() {
            let failed = self.node(host).is_some_and(Node::is_failed);
            if failed && self.rng.random_bool(0.3) {
                self.kill(host);
            }
        }
    }
}
