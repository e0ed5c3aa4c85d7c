//! Hosts in virtual time with the repair of the membership, which can be cloned.
//!
//! Messages and syncs take a constant time, so that a run is determined by the faults that the test
//! injects, and a search can go on from each state. The safety rules are checked after every step.

mod arbiters;
mod check;
mod host;
mod losses;
mod members;
mod noise;
mod search;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pimentotide_consensus::{
    Action, ClusterId, Config, Entry, Envelope, Event, Identity, Index, Machine, Member, Moment,
    Node, Options, Payload, ProposalId, Reject, RoleKind,
};
use pimentotide_model::Time;

pub(crate) use arbiters::ARBITERS;
use arbiters::{ArbiterHost, Ask};
pub(crate) use check::Checker;
use host::{Host, empty_disk};
pub(crate) use noise::Disorder;
pub(crate) use search::{Case, DISK_RESTART, Ends, Findings, Step, Target, replay, search, wander};

const DELAY: Duration = Duration::from_millis(1);
const SYNC: Duration = Duration::from_millis(2);
const TICK: Duration = Duration::from_millis(20);
/// Time after which a process that ended is back.
const RESTART: Duration = Duration::from_millis(300);

#[derive(Clone)]
enum Item {
    Deliver(Box<Envelope>),
    Start(usize),
    /// Events of one process, by its host and its number.
    Tick(usize, u64),
    Sync(usize, u64),
    Members(usize, u64),
    Release(usize, u64),
    /// Requests to arbiters, by the stage of their handling.
    Ask(Box<Ask>),
    Decide(Box<Ask>),
    Grant(Box<Ask>),
}

#[derive(Clone)]
pub(crate) struct Cluster {
    pub(crate) time: Time,
    pub(crate) hosts: Vec<Host>,
    pub(crate) check: Checker,
    pub(crate) acknowledged: BTreeSet<ProposalId>,
    rejected: BTreeMap<ProposalId, Reject>,
    /// Number of messages that arrived after their sender had lost its disk.
    pub(crate) late: u64,
    /// Time at which the last host is back.
    pub(crate) back_at: Time,
    /// Number of lost voters that the log has to bear.
    loss: usize,
    options: Options,
    noise: Option<noise::Noise>,
    arbiters: Vec<ArbiterHost>,
    /// Number of grants that reached a host.
    pub(crate) grants: u64,
    /// Directed links, by the hosts' numbers, on which messages take longer.
    pub(crate) slow: BTreeSet<(usize, usize)>,
    /// Hosts that are cut off from the others, and until when.
    cut: (BTreeSet<usize>, Time),
    queue: BTreeMap<(Time, u64), Item>,
    sequence: u64,
    proposals: u64,
    disks: u64,
}

impl Cluster {
    /// Starts as many voters as bear `loss`, and runs until one leads.
    pub(crate) fn with_loss(loss: usize) -> Self {
        let mut cluster = Self {
            time: Time::from_millis(1_000),
            hosts: Vec::new(),
            check: Checker::default(),
            acknowledged: BTreeSet::new(),
            rejected: BTreeMap::new(),
            late: 0,
            back_at: Time::ZERO,
            loss,
            options: Options {
                // A replica that was away for a moment needs the snapshot after a compaction.
                retained_entries: 1,
                min_voters: 2 * loss + 1,
                ..Options::default()
            },
            noise: None,
            arbiters: Vec::new(),
            grants: 0,
            slow: BTreeSet::new(),
            cut: (BTreeSet::new(), Time::ZERO),
            queue: BTreeMap::new(),
            sequence: 0,
            proposals: 0,
            disks: 0,
        };
        cluster.start_arbiters();
        for _ in 0..=2 * loss {
            cluster.add();
        }
        let mut founders = Config::default();
        for host in &cluster.hosts {
            let (disk, address) = (host.identity().disk, host.address);
            let member = Member { disk, address };
            founders.voters.insert(host.name.clone(), member);
        }
        for host in &mut cluster.hosts {
            let founders = founders.clone();
            let write = Node::bootstrap(&host.stored, ClusterId(1), founders).unwrap();
            host.stored.hard = write.hard.unwrap();
            host.stored.entries = write.entries;
        }
        assert!(cluster.commit(Duration::from_secs(5)));
        cluster
    }

    /// Starts a new host, which asks to join.
    pub(crate) fn add(&mut self) -> usize {
        let number = self.hosts.len();
        self.hosts.push(Host::new(number));
        self.replace_disk(number);
        self.schedule(Duration::ZERO, Item::Start(number));
        number
    }

    /// Ends a process; its unsynced writes are lost.
    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].process = None;
        self.hosts[host].frozen_until = Time::ZERO;
        if self.hosts[host].stops_at.is_some() {
            self.end(host);
        } else {
            self.restart_after(host, RESTART);
        }
    }

    pub(crate) fn end(&mut self, host: usize) {
        self.hosts[host].process = None;
        self.hosts[host].gone = true;
    }

    /// Stops a host for good: it ends once the log does not need its vote, or after a limit.
    pub(crate) fn stop(&mut self, host: usize) {
        if let Some(process) = &self.hosts[host].process {
            let run = process.run;
            self.hosts[host].stops_at = Some(self.time + members::RELEASE_LIMIT);
            self.schedule(Duration::ZERO, Item::Release(host, run));
        }
    }

    /// Loses every message between these hosts and the others for `span`.
    pub(crate) fn cut(&mut self, hosts: BTreeSet<usize>, span: Duration) {
        let until = self.time + span;
        self.back_at = self.back_at.max(until);
        self.cut = (hosts, until);
    }

    /// Ends a process; the host is back after `span` with an empty disk.
    pub(crate) fn lose_disk(&mut self, host: usize, span: Duration) {
        self.hosts[host].process = None;
        self.hosts[host].frozen_until = Time::ZERO;
        self.replace_disk(host);
        self.restart_after(host, span);
    }

    /// Ends the processes of all hosts; unsynced writes are lost.
    pub(crate) fn lose_power(&mut self) {
        for host in 0..self.hosts.len() {
            if self.hosts[host].process.is_some() {
                self.kill(host);
            }
        }
    }

    pub(crate) fn freeze(&mut self, host: usize, span: Duration) {
        let until = self.time + span;
        self.hosts[host].frozen_until = until;
        self.back_at = self.back_at.max(until);
    }

    /// Compacts the log of every host.
    pub(crate) fn compact(&mut self) {
        for host in 0..self.hosts.len() {
            if let Some(process) = &self.hosts[host].process {
                let state = process.machine.encode().into();
                let event = Event::Compact(process.applied, state);
                self.deliver_event(host, event);
            }
        }
    }

    /// Proposes a command and runs until it is acknowledged; returns false if it is not within `limit`.
    pub(crate) fn commit(&mut self, limit: Duration) -> bool {
        let end = self.time + limit;
        let mut proposed = None;
        while self.time < end {
            if proposed.is_some_and(|id| self.acknowledged.contains(&id)) {
                return true;
            }
            let leader = self.leader().filter(|l| !self.is_frozen(*l));
            if let (None, Some(leader)) = (proposed, leader) {
                let id = self.next_proposal();
                proposed = Some(id);
                let command = id.0.to_le_bytes().as_slice().into();
                self.deliver_event(leader, Event::Propose(id, command));
            }
            self.step();
        }
        false
    }

    /// Runs for `span`.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.time + span;
        while self.next_time() <= end {
            self.step();
        }
        self.time = end;
    }

    /// Returns the host that holds a lease.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| self.node(*n).is_some_and(|n| n.leads_at(self.time));
        (0..self.hosts.len()).find(leads)
    }

    /// Returns the host that leads or, during an election, the one that led last.
    pub(crate) fn last_leader(&self) -> Option<usize> {
        let led = |n: &usize| self.hosts[*n].process.as_ref().and_then(|p| p.led_term);
        self.leader().or_else(|| {
            (0..self.hosts.len())
                .filter(|n| led(n).is_some())
                .max_by_key(led)
        })
    }

    /// Returns whether every host has applied all that is committed.
    pub(crate) fn agrees(&self) -> bool {
        let newest = self.check.committed.keys().next_back().copied();
        let mut live = self.hosts.iter().filter(|h| !h.gone);
        live.all(|h| h.process.as_ref().map(|p| p.applied) == newest)
    }

    /// Whether a leader waits for the commit of a membership.
    pub(crate) fn has_open_change(&self) -> bool {
        let mut statuses = (0..self.hosts.len()).filter_map(|n| self.status(n));
        statuses.any(|s| s.role == RoleKind::Leader && !s.config_committed)
    }

    pub(crate) fn node(&self, host: usize) -> Option<&Node> {
        self.hosts[host].process.as_ref().map(|p| &p.node)
    }

    pub(crate) fn is_frozen(&self, host: usize) -> bool {
        self.hosts[host].frozen_until > self.time
    }

    pub(crate) fn number(&self, who: &Identity) -> usize {
        let mut hosts = self.hosts.iter();
        hosts.position(|h| h.name == who.name).unwrap()
    }

    /// Whether an identity was that of a disk that is lost.
    fn is_former(&self, who: &Identity) -> bool {
        let mut hosts = self.hosts.iter();
        hosts.any(|h| h.name == who.name && h.identity() != who)
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        from != to && !self.is_frozen(to) && !self.is_cut(from, to)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (hosts, until) = &self.cut;
        self.time < *until && hosts.contains(&from) != hosts.contains(&to)
    }

    fn replace_disk(&mut self, host: usize) {
        self.disks += 1;
        let host = &mut self.hosts[host];
        host.stored = empty_disk(&host.name, self.disks);
    }

    fn restart_after(&mut self, host: usize, span: Duration) {
        self.back_at = self.back_at.max(self.time + span);
        self.schedule(span, Item::Start(host));
    }

    fn next_proposal(&mut self) -> ProposalId {
        self.proposals += 1;
        ProposalId(self.proposals)
    }

    fn next_time(&self) -> Time {
        self.queue
            .first_key_value()
            .map_or(Time::MAX, |((time, _), _)| *time)
    }

    fn schedule(&mut self, after: Duration, item: Item) {
        self.sequence += 1;
        let key = (self.time + after, self.sequence);
        self.queue.insert(key, item);
    }

    /// Handles the next event.
    pub(crate) fn step(&mut self) {
        let Some(((time, _), item)) = self.queue.pop_first() else {
            return;
        };
        self.time = self.time.max(time);
        let host = match &item {
            Item::Deliver(envelope) => self.number(&envelope.to),
            Item::Ask(ask) | Item::Decide(ask) | Item::Grant(ask) => ask.host,
            Item::Start(host)
            | Item::Tick(host, _)
            | Item::Sync(host, _)
            | Item::Members(host, _)
            | Item::Release(host, _) => *host,
        };
        let frozen_until = self.hosts[host].frozen_until;
        let at_arbiter = matches!(item, Item::Ask(_) | Item::Decide(_));
        if frozen_until > self.time && !at_arbiter {
            self.schedule(frozen_until.since(self.time), item);
            return;
        }
        match item {
            Item::Deliver(envelope) => {
                self.late += u64::from(
                    envelope.to == *self.hosts[host].identity() && self.is_former(&envelope.from),
                );
                if let Some(process) = &mut self.hosts[host].process {
                    process.senders.insert(envelope.from.name.clone());
                }
                self.deliver_event(host, Event::Receive(*envelope));
            }
            Item::Ask(ask) => self.probe_absent(ask),
            Item::Decide(ask) => self.decide(ask),
            Item::Grant(ask) => self.grant(*ask),
            Item::Start(host) => self.start(host),
            Item::Tick(host, run) => {
                if self.hosts[host].running(run).is_some() {
                    self.schedule(TICK, Item::Tick(host, run));
                    self.deliver_event(host, Event::Tick);
                }
            }
            Item::Sync(host, run) => {
                if self.hosts[host].running(run).is_some() {
                    let (ready, synced) = self.hosts[host].sync();
                    for envelope in ready {
                        self.transmit(envelope);
                    }
                    self.deliver_event(host, Event::Synced(synced));
                    self.start_sync(host);
                }
            }
            Item::Members(host, run) => {
                if self.hosts[host].running(run).is_some() && self.hosts[host].stops_at.is_none() {
                    self.schedule(members::CHECK_INTERVAL, Item::Members(host, run));
                    self.check_members(host);
                }
            }
            Item::Release(host, run) => {
                if self.hosts[host].running(run).is_some() && !self.release_vote(host) {
                    self.schedule(members::RELEASE_INTERVAL, Item::Release(host, run));
                }
            }
        }
        self.check.leases(self.time, &self.hosts);
    }

    fn start(&mut self, host: usize) {
        if self.hosts[host].process.is_some() || self.hosts[host].gone {
            return;
        }
        let run = self.hosts[host].runs + 1;
        let seed = self.node_seed(host, run);
        let actions = self.hosts[host].start(self.options, seed, self.time);
        self.perform(host, actions);
        self.schedule(TICK, Item::Tick(host, run));
        self.schedule(members::CHECK_INTERVAL, Item::Members(host, run));
    }

    pub(crate) fn deliver_event(&mut self, host: usize, event: Event) {
        let at = Moment {
            now: self.time,
            wall: self.time,
        };
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        let actions = process.node.step(event, at);
        self.check.leader(process);
        self.perform(host, actions);
    }

    fn perform(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            let Some(process) = &mut self.hosts[host].process else {
                return;
            };
            match action {
                Action::Write(write) => {
                    self.check.written(process, &write);
                    self.note_write(&write);
                    self.hosts[host].queue(write);
                    self.start_sync(host);
                }
                Action::Send { after, envelope } if after <= process.synced => {
                    self.transmit(envelope);
                }
                Action::Send { after, envelope } => process.held.push((after, envelope)),
                Action::Apply(entry) => self.apply(host, &entry),
                Action::Restore(snapshot) => {
                    process.applied = snapshot.meta.last.index;
                    process.machine.restore(&snapshot.data).unwrap();
                    let digest = process.machine.digest;
                    self.check.restored(process.applied, digest);
                }
                Action::Accepted(id, index, term) => {
                    process.proposals.insert(index, (term, id));
                }
                Action::Rejected(id, reason) => {
                    self.rejected.insert(id, reason);
                }
                Action::Ask { arbiters, request } => self.ask(host, &arbiters, &request),
                Action::ReadReady(..) | Action::Refused { .. } => {}
            }
        }
    }

    fn apply(&mut self, host: usize, entry: &Entry) {
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        let index: Index = entry.id.index;
        if let Payload::Command(command) = &entry.payload {
            process.machine.apply(index, entry.time, command);
        }
        process.applied = index;
        let (term, digest) = (process.node.term(), process.machine.digest);
        self.check.applied(entry, term, digest);
        let proposal = process.proposals.remove(&index);
        if let Some((_, id)) = proposal.filter(|(term, _)| *term == entry.id.term) {
            let joining = process.joining.remove(&id);
            self.acknowledged.insert(id);
            if let Some(joining) = joining {
                self.admit(host, joining);
            }
        }
    }

    fn start_sync(&mut self, host: usize) {
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        if process.syncing == 0 && !process.writes.is_empty() {
            process.syncing = process.writes.len();
            let run = process.run;
            let time = self.sync_time();
            self.schedule(time, Item::Sync(host, run));
        }
    }

    fn transmit(&mut self, envelope: Envelope) {
        self.check.sent(&envelope);
        let mut hosts = self.hosts.iter();
        let sender = hosts.find(|h| h.name == envelope.from.name);
        let reaches = |p: &host::Process| {
            p.node.address_of(&envelope.to).is_some() || p.senders.contains(&envelope.to.name)
        };
        let cut = self.is_cut(self.number(&envelope.from), self.number(&envelope.to));
        if sender.and_then(|h| h.process.as_ref()).is_some_and(reaches) && !cut {
            self.send(envelope);
        }
    }
}
