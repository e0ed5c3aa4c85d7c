//! Simulation of replicas in virtual time with network, disk and clock faults.
//!
//! A step handles one event of the queue. After every step the safety rules are
//! checked; a violation panics with the rule and the seed.

mod chaos;
mod check;
pub(crate) mod disk;
mod host;
pub(crate) mod machine;
mod network;
mod operator;
pub(crate) mod repair;

use std::collections::BTreeMap;
use std::time::Duration;

use pimentotide_consensus::{
    Action, ClusterId, Config, Entry, Envelope, Event, Identity, Index, Member, Node, Reject,
    Snapshot, Status,
};
use pimentotide_model::{InstanceName, Time};
use pimentotide_storage::{Storage, StorageErrorKind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) use chaos::Faults;
pub(crate) use check::Checker;
use host::{Host, Process};
use network::Network;

/// Interval between ticks of a replica.
const TICK: Duration = Duration::from_millis(10);
/// Interval between membership checks by the operator.
const OPERATOR_INTERVAL: Duration = Duration::from_millis(100);

/// Scheduled event.
#[derive(Clone, Debug)]
pub(crate) enum Item {
    Deliver(Box<Envelope>),
    Tick(usize),
    Disk(usize),
    Reopen(usize),
    Start(usize),
    Client,
    Operate,
    Chaos,
}

macro_rules! counts {
    ($($name:ident)*) => {
        /// Number of events in a run.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub(crate) struct Counts {
            $(pub(crate) $name: u64,)*
        }

        impl Counts {
            /// Adds the numbers of another run.
            pub(crate) fn add(&mut self, other: &Self) {
                $(self.$name += other.$name;)*
            }

            /// Returns whether every kind of event occurred.
            pub(crate) fn is_complete(&self) -> bool {
                $(self.$name > 0)&&*
            }
        }
    };
}

counts! {
    steps delivered dropped duplicated crashes disk_failures disk_losses partitions clock_steps pauses transfers changes elections snapshots installs acknowledged reads refused
}

/// Simulated replicas, their network, clients and operator.
pub(crate) struct World {
    pub(crate) time: Time,
    pub(crate) counts: Counts,
    pub(crate) check: Checker,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    network: Network,
    faults: Faults,
    queue: BTreeMap<(Time, u64), Item>,
    sequence: u64,
    command: u64,
    /// Whether the operator wants each host as a member.
    wanted: Vec<bool>,
    /// Whether the replicas look after the membership themselves.
    repairs: bool,
}

impl World {
    /// Bootstraps a log on the first of `hosts` replicas, with the first `members` of them wanted.
    pub(crate) fn new(seed: u64, hosts: usize, members: usize, faults: Faults) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = Self {
            time: Time::from_millis(1_000),
            counts: Counts::default(),
            check: Checker::new(seed),
            hosts: (0..hosts).map(|n| Host::new(n, rng.random())).collect(),
            network: Network::default(),
            faults,
            queue: BTreeMap::new(),
            sequence: 0,
            command: 0,
            wanted: (0..hosts).map(|n| n < members).collect(),
            repairs: false,
            rng,
        };
        world.bootstrap();
        for host in 0..hosts {
            world.schedule(Duration::ZERO, Item::Start(host));
        }
        world.schedule(OPERATOR_INTERVAL, Item::Operate);
        world.schedule(Duration::from_millis(1), Item::Client);
        if world.faults.pause > Duration::ZERO {
            world.schedule(Duration::from_secs(2), Item::Chaos);
        }
        world
    }

    /// Handles the next scheduled event.
    pub(crate) fn step(&mut self) {
        let Some(((time, _), item)) = self.queue.pop_first() else {
            return;
        };
        self.time = self.time.max(time);
        self.counts.steps += 1;
        self.handle(item);
        self.check.leases(self.time, &self.hosts);
    }

    /// Runs for `span` of virtual time.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.time + span;
        while self
            .queue
            .first_key_value()
            .is_some_and(|((t, _), _)| *t < end)
        {
            self.step();
        }
    }

    /// Ends all faults, runs for 20 s and checks that the replicas agree.
    pub(crate) fn settle(&mut self) {
        self.faults = Faults::none();
        self.network.heal();
        for host in 0..self.hosts.len() {
            self.hosts[host].paused_until = Time::ZERO;
            if self.hosts[host]
                .process
                .as_ref()
                .is_none_or(|p| p.node.is_failed())
            {
                self.kill(host);
            }
            self.hosts[host].disk.disarm();
        }
        let before = self.check.committed_up_to();
        self.run(Duration::from_secs(20));
        let leader = self.leader();
        assert!(
            leader.is_some(),
            "no leader after the faults have ended, {}",
            self.check.run()
        );
        assert!(
            self.check.committed_up_to() > before,
            "no commits after the faults have ended, {}",
            self.check.run()
        );
        self.check.agreement(&self.hosts);
    }

    /// Returns the host that holds a leader lease.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.hosts.len()).find(|n| {
            let host = &self.hosts[*n];
            let now = host.local(self.time);
            host.process.as_ref().is_some_and(|p| p.node.leads_at(now))
        })
    }

    /// Returns the status of every running replica.
    pub(crate) fn statuses(&self) -> Vec<Status> {
        self.hosts
            .iter()
            .filter_map(|h| Some(h.process.as_ref()?.node.status(h.moment(self.time))))
            .collect()
    }

    /// Returns the node of a host, if its process is running.
    pub(crate) fn node(&self, host: usize) -> Option<&Node> {
        self.hosts[host].process.as_ref().map(|p| &p.node)
    }

    /// Returns the name of a host.
    pub(crate) fn name(&self, host: usize) -> InstanceName {
        self.hosts[host].name.clone()
    }

    /// Blocks the links between a host and all others, in one or both directions.
    pub(crate) fn cut_off(&mut self, host: usize, receives: bool, sends: bool) {
        for other in (0..self.hosts.len()).filter(|n| *n != host) {
            if !receives {
                self.network.block(other, host);
            }
            if !sends {
                self.network.block(host, other);
            }
        }
    }

    /// Unblocks all links.
    pub(crate) fn heal(&mut self) {
        self.network.heal();
    }

    /// Replaces the disk of a host by an empty one and restarts the host.
    pub(crate) fn lose_disk(&mut self, host: usize) {
        self.hosts[host].process = None;
        self.hosts[host].disk.wipe();
        self.counts.disk_losses += 1;
        self.schedule(Duration::from_millis(50), Item::Start(host));
    }

    /// Ends all processes at once and restarts them; the disks of `lost` are empty then, the others have
    /// lost what was not synced.
    pub(crate) fn lose_power(&mut self, lost: &[usize]) {
        for host in 0..self.hosts.len() {
            self.kill(host);
        }
        for host in lost {
            self.hosts[*host].disk.wipe();
            self.counts.disk_losses += 1;
        }
    }

    /// Injects a fault into a later operation of a host's disk.
    pub(crate) fn arm(&mut self, host: usize, after: u64, fault: pimentotide_storage::fake::Fault) {
        self.hosts[host].disk.arm(after, fault);
    }

    /// Passes an event to the replica of a host.
    pub(crate) fn deliver_event(&mut self, host: usize, event: Event) {
        let at = self.hosts[host].moment(self.time);
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        let actions = process.node.step(event, at);
        self.perform(host, actions);
        self.check.node(&mut self.hosts[host], &mut self.counts);
    }

    /// Sets whether the operator wants a host as a member.
    pub(crate) fn want(&mut self, host: usize, wanted: bool) {
        self.wanted[host] = wanted;
    }

    fn schedule(&mut self, after: Duration, item: Item) {
        self.sequence += 1;
        self.queue.insert((self.time + after, self.sequence), item);
    }

    fn bootstrap(&mut self) {
        let mut config = Config::default();
        for (n, host) in self.hosts.iter().enumerate() {
            let opened = Storage::open(host.disk.clone(), &host.name, &mut self.rng).unwrap();
            let member = Member {
                disk: opened.recovered.hard.identity.disk,
                address: host.address,
            };
            if n == 0 {
                config.voters.insert(host.name.clone(), member);
            } else if self.wanted[n] {
                config.learners.insert(host.name.clone(), member);
            }
        }
        let first = &self.hosts[0];
        let mut opened = Storage::open(first.disk.clone(), &first.name, &mut self.rng).unwrap();
        let write = Node::bootstrap(&opened.recovered, ClusterId(7), config).unwrap();
        opened.storage.write([&write]).unwrap();
    }

    fn handle(&mut self, item: Item) {
        match item {
            Item::Deliver(envelope) => self.deliver(*envelope),
            Item::Tick(host) => {
                if self.defer_if_paused(host, &Item::Tick(host)) {
                    return;
                }
                self.deliver_event(host, Event::Tick);
                if self.hosts[host].process.is_some() {
                    self.schedule(TICK, Item::Tick(host));
                } else {
                    self.hosts[host].ticking = false;
                }
            }
            Item::Disk(host) => self.perform_writes(host),
            Item::Reopen(host) => self.reopen(host),
            Item::Start(host) => self.start(host),
            Item::Client => self.run_client(),
            Item::Operate if self.repairs => self.run_repair(),
            Item::Operate => self.run_operator(),
            Item::Chaos => self.inject_fault(),
        }
    }

    /// Reschedules an event of a paused host; returns whether the host is paused.
    fn defer_if_paused(&mut self, host: usize, item: &Item) -> bool {
        let until = self.hosts[host].paused_until;
        if until <= self.time {
            return false;
        }
        self.schedule(until.since(self.time), item.clone());
        true
    }

    fn host(&self, who: &Identity) -> Option<usize> {
        self.hosts.iter().position(|h| h.name == who.name)
    }

    fn start(&mut self, host: usize) {
        if self.hosts[host].process.is_some() {
            return;
        }
        let seed = self.rng.random();
        self.hosts[host].reset_clock(self.time, &mut self.rng);
        let at = self.hosts[host].moment(self.time);
        match Process::start(&self.hosts[host], seed, at) {
            Ok((process, actions)) => {
                self.hosts[host].process = Some(process);
                self.hosts[host].commit = Index(0);
                self.perform(host, actions);
                if !std::mem::replace(&mut self.hosts[host].ticking, true) {
                    self.schedule(TICK, Item::Tick(host));
                }
            }
            Err(e) => {
                let damaged = e.kind == StorageErrorKind::Corrupt;
                assert!(
                    !damaged,
                    "{}: {e}, {}",
                    self.hosts[host].name,
                    self.check.run()
                );
                self.hosts[host].disk.restart();
                self.schedule(Duration::from_millis(50), Item::Start(host));
            }
        }
    }

    /// Kills the process of a host and schedules a restart; the disk keeps synced data.
    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].process = None;
        self.hosts[host].disk.restart();
        self.counts.crashes += 1;
        let wait = self.rng.random_range(1..400);
        self.schedule(Duration::from_millis(wait), Item::Start(host));
    }

    /// Performs some pending writes as one group and reports the sync.
    fn perform_writes(&mut self, host: usize) {
        if self.defer_if_paused(host, &Item::Disk(host)) || self.defer_writes(host) {
            return;
        }
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        if process.writes.is_empty() {
            return;
        }
        let count = self.rng.random_range(1..=process.writes.len());
        let writes: Vec<_> = process.writes.drain(..count).collect();
        match process.storage.write(&writes) {
            Ok(ticket) => {
                process.synced = ticket;
                let (ready, held) = std::mem::take(&mut process.held)
                    .into_iter()
                    .partition::<Vec<_>, _>(|(after, _)| *after <= ticket);
                process.held = held;
                for (_, envelope) in ready {
                    self.transmit(&envelope);
                }
                self.deliver_event(host, Event::Synced(ticket));
            }
            Err(_) if self.hosts[host].disk.is_crashed() => self.kill(host),
            Err(_) => self.fail_storage(host),
        }
        if self.hosts[host]
            .process
            .as_ref()
            .is_some_and(|p| !p.writes.is_empty())
        {
            self.schedule_disk(host);
        }
    }

    /// Reports a disk error to the replica, which stays disabled until restarted.
    fn fail_storage(&mut self, host: usize) {
        self.counts.disk_failures += 1;
        if let Some(process) = &mut self.hosts[host].process {
            process.held.clear();
            process.writes.clear();
        }
        self.deliver_event(host, Event::DiskFailed);
        let failed = self.node(host).is_some_and(Node::is_failed);
        assert!(
            failed,
            "a replica continues after a disk error, {}",
            self.check.run()
        );
    }

    fn schedule_disk(&mut self, host: usize) {
        let slow = self.rng.random_bool(self.faults.slow_disk);
        let micros = if slow {
            self.rng.random_range(50_000..400_000)
        } else {
            self.rng.random_range(50..3_000)
        };
        self.schedule(Duration::from_micros(micros), Item::Disk(host));
    }

    fn perform(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write(write) => {
                    self.check.written(&self.hosts[host], &write);
                    if let Some(process) = &mut self.hosts[host].process {
                        process.writes.push_back(write);
                    }
                    self.schedule_disk(host);
                }
                Action::Send { after, envelope } => self.send(host, after, envelope),
                Action::Apply(entry) => self.apply(host, &entry),
                Action::Restore(snapshot) => self.restore(host, &snapshot),
                Action::Accepted(id, index, term) => {
                    if let Some(process) = &mut self.hosts[host].process {
                        process.applier.accept(id, index, term);
                    }
                }
                Action::Rejected(id, reason) => self.check.rejected(id, &reason),
                Action::ReadReady(id, index) => {
                    self.counts.reads += 1;
                    self.check.read_ready(id, index);
                }
                Action::Refused { .. } => self.counts.refused += 1,
                // No arbiters are named here.
                Action::Ask { .. } => {}
            }
        }
    }

    fn restore(&mut self, host: usize, snapshot: &Snapshot) {
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        self.counts.installs += 1;
        let last = snapshot.meta.last.index;
        process.applier.restore(last, &snapshot.data).unwrap();
        self.check.restored(last, process.applier.machine());
    }

    fn apply(&mut self, host: usize, entry: &Entry) {
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        let term = process.node.term();
        let outcome = process.applier.apply(entry);
        self.check.applied(entry, term, process.applier.machine());
        if let Some((id, outcome)) = outcome {
            self.counts.acknowledged += 1;
            self.check.acknowledged(id, &outcome);
        }
        if process.node.compactable() >= 30 {
            let state = process.applier.machine().encode();
            self.counts.snapshots += 1;
            let index = entry.id.index;
            self.deliver_event(host, Event::Compact(index, state.into()));
        }
    }

    /// Returns the reason of the last rejected proposal, change or read.
    pub(crate) fn last_rejection(&self) -> Option<Reject> {
        self.check.last_rejection.clone()
    }
}
