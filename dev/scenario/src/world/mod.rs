//! Instances, upstreams, operators and callers under virtual time.
//!
//! One step handles one event of the queue. Processes hold the machines of the
//! decision packages; whatever is around them is a fake in this module.

mod agent;
mod call;
mod clock;
mod engine;
mod entry;
mod flight;
mod group;
mod holder;
mod judge;
mod ledger;
mod network;
mod once;
mod parcel;
mod perform;
mod replica;
mod setup;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pimentotide_model::Time;
use pimentotide_storage::fake::FakeDisk;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Report;
use crate::script::{Guard, Script, ServiceText};
use agent::Agent;
use call::{Call, OrderState};
use clock::Clock;
use engine::Engine;
use entry::Entry;
use flight::Flight;
use group::{Group, RankEvent};
use ledger::{Ledger, stamp};
use network::Network;
use once::Once;
use parcel::Parcel;
use replica::Replica;

/// Number of an instance or an upstream.
pub(super) type NodeId = usize;

/// Operators and callers, who are beyond the table of links.
pub(super) const OUTSIDE: NodeId = usize::MAX;
/// Pause between ticks of a process.
const TICK: Duration = Duration::from_millis(10);

/// What an instance and an upstream have in common.
pub(super) struct Host {
    name: String,
    zone: String,
    clock: Clock,
    up: bool,
    /// Number of the present process among all of this host.
    life: u64,
    paused: Time,
    stopping: bool,
}

/// Something that happens at one time.
#[derive(Clone, Debug)]
enum Item {
    Deliver(NodeId, NodeId, Box<Parcel>),
    Tick(NodeId, u64),
    Disk(NodeId, u64),
    Start(NodeId),
    Engine(NodeId, u64, u64),
    Rank(RankEvent),
    Agent(NodeId, u64),
    Call(u64, u32),
    Flight(u64),
    Once(u64, u64, once::Timer),
    Offer {
        service: String,
        left: u32,
        pause: Duration,
    },
}

/// Everything there is.
pub(super) struct World {
    time: Time,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Time, u64), Item>,
    sequence: u64,
    next: u64,
    network: Network,
    hosts: Vec<Host>,
    instances: usize,
    services: BTreeMap<String, ServiceText>,
    disks: BTreeMap<NodeId, FakeDisk>,
    replicas: BTreeMap<NodeId, Replica>,
    entries: BTreeMap<NodeId, Entry>,
    agents: BTreeMap<NodeId, Agent>,
    engines: BTreeMap<NodeId, Engine>,
    calls: BTreeMap<u64, Call>,
    orders: BTreeMap<String, OrderState>,
    flights: BTreeMap<u64, Flight>,
    onces: BTreeMap<u64, Once>,
    group: Option<Group>,
    poisons: BTreeSet<String>,
    bypassed: Vec<Guard>,
    ledger: Ledger,
    trace: Vec<String>,
    offered: u32,
}

/// Runs a script.
pub(super) fn play(script: &Script) -> Report {
    let mut world = World::new(script.seed);
    let mut failures = Vec::new();
    for step in &script.steps {
        if let Err(found) = world.perform(step) {
            failures.push(format!("line {}: {}: {found}", step.line, step.text));
        }
    }
    world.trace.extend(world.ledger.summary());
    let steps = world.steps().map(|s| format!("steps: {s}"));
    world.trace.extend(steps);
    failures.extend(world.ledger.violations.iter().map(|v| v.trim().to_owned()));
    Report {
        trace: world.trace,
        failures,
    }
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            time: Time::from_millis(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            next: 0,
            network: Network::default(),
            hosts: Vec::new(),
            instances: 0,
            services: BTreeMap::new(),
            disks: BTreeMap::new(),
            replicas: BTreeMap::new(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            engines: BTreeMap::new(),
            calls: BTreeMap::new(),
            orders: BTreeMap::new(),
            flights: BTreeMap::new(),
            onces: BTreeMap::new(),
            group: None,
            poisons: BTreeSet::new(),
            bypassed: Vec::new(),
            ledger: Ledger::default(),
            trace: Vec::new(),
            offered: 0,
        }
    }

    fn note(&mut self, text: &str) {
        self.trace.push(format!("{} {text}", stamp(self.time)));
    }

    fn fresh(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn bypasses(&self, guard: Guard) -> bool {
        self.bypassed.contains(&guard)
    }

    fn schedule(&mut self, after: Duration, item: Item) {
        self.sequence += 1;
        self.queue.insert((self.time + after, self.sequence), item);
    }

    /// Runs for `span` of virtual time.
    fn run(&mut self, span: Duration) {
        let end = self.time + span;
        while let Some(((at, _), item)) = self.queue.pop_first() {
            if at >= end {
                self.sequence += 1;
                self.queue.insert((at, self.sequence), item);
                break;
            }
            self.time = self.time.max(at);
            self.handle(item);
        }
        self.time = end;
    }

    fn handle(&mut self, item: Item) {
        if let Some(until) = self.pause_of(&item) {
            return self.schedule(until.since(self.time), item);
        }
        match item {
            Item::Deliver(from, to, parcel) => self.deliver(from, to, *parcel),
            Item::Tick(node, life) => self.tick(node, life),
            Item::Disk(node, life) => self.work_disk(node, life),
            Item::Start(node) => self.start(node),
            Item::Engine(node, start, run) => self.engine_step(node, start, run),
            Item::Agent(node, life) => self.agent_back(node, life),
            Item::Rank(event) => self.rank_event(event),
            Item::Call(call, attempt) => self.call_late(call, attempt),
            Item::Flight(flight) => self.place_flight(flight),
            Item::Once(once, stage, timer) => self.once_timer(once, stage, timer),
            Item::Offer {
                service,
                left,
                pause,
            } => self.offer(service, left, pause),
        }
    }

    /// Time until which the process that an item is about does nothing.
    fn pause_of(&self, item: &Item) -> Option<Time> {
        let node = match item {
            Item::Deliver(_, node, _) | Item::Tick(node, _) | Item::Disk(node, _) => *node,
            Item::Flight(flight) => self.flights.get(flight)?.entry,
            Item::Once(once, ..) => self.onces.get(once)?.entry,
            _ => return None,
        };
        let until = self.hosts.get(node)?.paused;
        (until > self.time).then_some(until)
    }

    fn send(&mut self, from: NodeId, to: NodeId, parcel: Parcel) {
        let times = if from == OUTSIDE || to == OUTSIDE {
            vec![Duration::from_millis(2)]
        } else {
            self.network.pass(from, to, &mut self.rng)
        };
        let Some((last, copies)) = times.split_last() else {
            return;
        };
        for time in copies {
            self.schedule(*time, Item::Deliver(from, to, Box::new(parcel.clone())));
        }
        self.schedule(*last, Item::Deliver(from, to, Box::new(parcel)));
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, parcel: Parcel) {
        if to != OUTSIDE && !self.hosts[to].up {
            return self.refuse_connection(from, to, parcel);
        }
        match parcel {
            Parcel::Consensus(envelope) => self.consensus(to, *envelope),
            Parcel::ReadAsk(token) => self.read_asked(from, to, token),
            Parcel::ReadDone(token, index) => self.read_done(to, token, index),
            Parcel::WatchAsk(session, request) => self.watch_asked(from, to, session, *request),
            Parcel::WatchDone(session, answer) => self.watch_done(to, session, answer),
            Parcel::Report(rank, report) => self.reported(from, to, rank, *report),
            Parcel::Heard(rank, heard) => self.heard(from, to, rank, heard),
            Parcel::Load(report, epoch) => self.loaded(from, to, &report, epoch),
            Parcel::Propose(call, command) => self.proposed(from, to, call, &command),
            Parcel::Proposed(call, result) => self.call_answered(to, call, result),
            Parcel::Work(work) => self.work(from, to, *work),
            Parcel::Answer(flight, attempt, answer) => {
                self.work_answered(from, flight, attempt, answer);
            }
            Parcel::Inquire(once, stage, held, place) => {
                self.inquired(from, to, (once, stage), &held, &place);
            }
            Parcel::Ranks(peer, message) => self.rank_message(to, peer, *message),
            Parcel::Found(once, stage, finding) => self.found(once, stage, finding),
        }
    }

    /// The instance is there but nothing listens on it.
    fn refuse_connection(&mut self, from: NodeId, to: NodeId, parcel: Parcel) {
        if let Parcel::Work(work) = parcel {
            let answer = parcel::WorkAnswer::Unsent;
            self.send(to, from, Parcel::Answer(work.flight, work.attempt, answer));
        }
    }

    fn tick(&mut self, node: NodeId, life: u64) {
        if !self.hosts[node].up || self.hosts[node].life != life {
            return;
        }
        self.tick_replica(node);
        self.tick_entry(node);
        self.tick_agent(node);
        self.tick_group(node);
        if self.hosts[node].up && self.hosts[node].life == life {
            self.schedule(TICK, Item::Tick(node, life));
        }
    }

    fn local(&self, node: NodeId) -> Time {
        self.hosts[node].clock.local(self.time)
    }

    fn node(&self, name: &str) -> Option<NodeId> {
        self.hosts.iter().position(|h| h.name == name)
    }
}
