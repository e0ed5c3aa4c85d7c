//! Simulates instances, upstreams, operators and callers under virtual time.
//!
//! Events are handled one at a time in order of time and insertion. Processes
//! run the state machines of the decision packages; clocks, disks, network and
//! engines are fakes.

mod agent;
mod call;
mod clock;
mod engine;
mod entry;
mod expectation;
mod group;
mod history;
mod network;
mod once;
mod packet;
mod perform;
mod replica;
mod setup;
mod stream;
mod watcher;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pimentotide_model::Time;
use pimentotide_storage::fake::FakeDisk;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Report;
use crate::script::{Guard, Script, ServiceSpec};
use agent::Agent;
use call::{Call, OrderState};
use clock::Clock;
use engine::Engine;
use entry::Entry;
use group::{Group, RankEvent};
use history::{History, stamp};
use network::Network;
use once::OnceRequest;
use packet::Packet;
use replica::Replica;
use stream::StreamRequest;

/// Index into the hosts; instances precede upstreams and ranks.
pub(super) type NodeId = usize;

/// Operators and callers, whose messages bypass the simulated network.
pub(super) const OUTSIDE: NodeId = usize::MAX;
/// Interval between ticks of a process.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// State common to all processes: instances, upstreams and ranks.
pub(super) struct Host {
    name: String,
    zone: String,
    clock: Clock,
    up: bool,
    /// Number of starts, which marks events of earlier processes as outdated.
    generation: u64,
    paused_until: Time,
    stopping: bool,
}

/// An event of the queue.
///
/// A `u64` after a node is the generation of the process for which the event is valid.
#[derive(Clone, Debug)]
enum SimEvent {
    Deliver(NodeId, NodeId, Box<Packet>),
    Tick(NodeId, u64),
    Disk(NodeId, u64),
    Start(NodeId),
    Engine(NodeId, u64, u64),
    Rank(RankEvent),
    Agent(NodeId, u64),
    Call(u64, u32),
    Stream(u64),
    Once(u64, u64, once::Timer),
    Offer {
        service: String,
        left: u32,
        pause: Duration,
    },
}

/// State of a simulation.
pub(super) struct World {
    time: Time,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Time, u64), SimEvent>,
    sequence: u64,
    last_id: u64,
    network: Network,
    hosts: Vec<Host>,
    instances: usize,
    services: BTreeMap<String, ServiceSpec>,
    disks: BTreeMap<NodeId, FakeDisk>,
    replicas: BTreeMap<NodeId, Replica>,
    entries: BTreeMap<NodeId, Entry>,
    agents: BTreeMap<NodeId, Agent>,
    engines: BTreeMap<NodeId, Engine>,
    calls: BTreeMap<u64, Call>,
    orders: BTreeMap<String, OrderState>,
    streams: BTreeMap<u64, StreamRequest>,
    once_requests: BTreeMap<u64, OnceRequest>,
    group: Option<Group>,
    poisons: BTreeSet<String>,
    bypassed: Vec<Guard>,
    history: History,
    trace: Vec<String>,
    offered: u32,
}

/// Runs a script.
pub(super) fn run_script(script: &Script) -> Report {
    let mut world = World::new(script.seed);
    let mut failures = Vec::new();
    for step in &script.steps {
        if let Err(found) = world.perform(step) {
            failures.push(format!("line {}: {}: {found}", step.line, step.text));
        }
    }
    world.trace.extend(world.history.summary());
    let steps = world.steps().map(|s| format!("steps: {s}"));
    world.trace.extend(steps);
    failures.extend(world.history.violations.iter().map(|v| v.trim().to_owned()));
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
            last_id: 0,
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
            streams: BTreeMap::new(),
            once_requests: BTreeMap::new(),
            group: None,
            poisons: BTreeSet::new(),
            bypassed: Vec::new(),
            history: History::default(),
            trace: Vec::new(),
            offered: 0,
        }
    }

    fn note(&mut self, text: &str) {
        self.trace.push(format!("{} {text}", stamp(self.time)));
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn bypasses(&self, guard: Guard) -> bool {
        self.bypassed.contains(&guard)
    }

    fn schedule(&mut self, after: Duration, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((self.time + after, self.sequence), event);
    }

    /// Runs for `span` of virtual time.
    fn run(&mut self, span: Duration) {
        let end = self.time + span;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at >= end {
                self.sequence += 1;
                self.queue.insert((at, self.sequence), event);
                break;
            }
            self.time = self.time.max(at);
            self.handle(event);
        }
        self.time = end;
    }

    fn handle(&mut self, event: SimEvent) {
        if let Some(until) = self.pause_of(&event) {
            return self.schedule(until.since(self.time), event);
        }
        match event {
            SimEvent::Deliver(from, to, packet) => self.deliver(from, to, *packet),
            SimEvent::Tick(node, generation) => self.tick(node, generation),
            SimEvent::Disk(node, generation) => self.flush_writes(node, generation),
            SimEvent::Start(node) => self.start(node),
            SimEvent::Engine(node, generation, run) => self.engine_step(node, generation, run),
            SimEvent::Agent(node, generation) => self.restart_agent(node, generation),
            SimEvent::Rank(event) => self.rank_event(event),
            SimEvent::Call(call, attempt) => self.call_timed_out(call, attempt),
            SimEvent::Stream(id) => self.place_stream(id),
            SimEvent::Once(once, stage, timer) => self.once_timer(once, stage, timer),
            SimEvent::Offer {
                service,
                left,
                pause,
            } => self.offer_load(service, left, pause),
        }
    }

    /// End of the pause of the process that handles an event, if it is paused.
    fn pause_of(&self, event: &SimEvent) -> Option<Time> {
        let node = match event {
            SimEvent::Deliver(_, node, _) | SimEvent::Tick(node, _) | SimEvent::Disk(node, _) => {
                *node
            }
            SimEvent::Stream(id) => self.streams.get(id)?.entry,
            SimEvent::Once(once, ..) => self.once_requests.get(once)?.entry,
            _ => return None,
        };
        let until = self.hosts.get(node)?.paused_until;
        (until > self.time).then_some(until)
    }

    fn send(&mut self, from: NodeId, to: NodeId, packet: Packet) {
        let times = if from == OUTSIDE || to == OUTSIDE {
            vec![Duration::from_millis(2)]
        } else {
            self.network.delays(from, to, &mut self.rng)
        };
        let Some((last, copies)) = times.split_last() else {
            return;
        };
        for time in copies {
            self.schedule(*time, SimEvent::Deliver(from, to, Box::new(packet.clone())));
        }
        self.schedule(*last, SimEvent::Deliver(from, to, Box::new(packet)));
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, packet: Packet) {
        if to != OUTSIDE && !self.hosts[to].up {
            return self.refuse_connection(from, to, packet);
        }
        match packet {
            Packet::Consensus(envelope) => self.consensus_received(to, *envelope),
            Packet::ReadRequest(token) => self.read_requested(from, to, token),
            Packet::ReadResponse(token, index) => self.read_answered(to, token, index),
            Packet::WatchRequest(session, request) => {
                self.watch_requested(from, to, session, *request);
            }
            Packet::WatchResponse(session, answer) => self.watch_answered(to, session, answer),
            Packet::Report(rank, report) => self.report_received(from, to, rank, *report),
            Packet::ReportAnswer(rank, answer) => self.report_answered(from, to, rank, answer),
            Packet::Load(report, epoch) => self.load_reported(from, to, &report, epoch),
            Packet::Propose(call, command) => self.proposal_received(from, to, call, &command),
            Packet::Proposed(call, result) => self.call_answered(to, call, result),
            Packet::Work(work) => self.work_received(from, to, *work),
            Packet::Answer(request, attempt, answer) => {
                self.work_answered(from, request, attempt, answer);
            }
            Packet::Inquire(once, stage, held, place) => {
                self.inquiry_received(from, to, (once, stage), &held, &place);
            }
            Packet::Ranks(peer, message) => self.rank_message(to, peer, *message),
            Packet::Found(once, stage, finding) => self.finding_received(once, stage, finding),
        }
    }

    /// Answers for a host on which no process listens.
    fn refuse_connection(&mut self, from: NodeId, to: NodeId, packet: Packet) {
        if let Packet::Work(work) = packet {
            let answer = packet::WorkAnswer::Unsent;
            self.send(to, from, Packet::Answer(work.request, work.attempt, answer));
        }
    }

    fn tick(&mut self, node: NodeId, generation: u64) {
        if !self.hosts[node].up || self.hosts[node].generation != generation {
            return;
        }
        self.tick_replica(node);
        self.tick_entry(node);
        self.tick_agent(node);
        self.tick_group(node);
        if self.hosts[node].up && self.hosts[node].generation == generation {
            self.schedule(TICK_INTERVAL, SimEvent::Tick(node, generation));
        }
    }

    fn local(&self, node: NodeId) -> Time {
        self.hosts[node].clock.local(self.time)
    }

    fn node(&self, name: &str) -> Option<NodeId> {
        self.hosts.iter().position(|h| h.name == name)
    }
}
