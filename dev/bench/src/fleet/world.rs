//! Events of the model deployment.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use pimentotide_model::{
    Announcement, Declarations, Fence, Incarnation, InstanceName, LoadReport, ModelName, Profile,
    ProfileName, Revision, Service, ServiceKind, ServiceName, SlowStart, Spread, Standing, Time,
    UpstreamName, VersionName, ZoneName,
};
use pimentotide_routing::{
    Admission, CacheAction, CacheChange, CacheEvent, CacheSnapshot, Completed, CreditId,
    EntryDemand, FairQueue, Finished, Gate, GatePolicy, GateSettings, Grant, Outcome as Ended,
    Permit, PlacerSettings, RetryBudget, Ticket, Verdict,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::chooser::{Choice, Chooser, Policy};
use super::engine::{EngineModel, Milestone};
use super::result::{Answer, Outcome};
use super::workload::Workload;

/// Zones of the deployment.
const ZONES: [&str; 3] = ["accra-a", "accra-b", "tema-c"];
/// One way within a zone.
const NEAR_DELAY: Duration = Duration::from_micros(100);
/// One way between zones.
const FAR_DELAY: Duration = Duration::from_micros(900);
/// Time between load reports of one agent.
const REPORT_EVERY: Duration = Duration::from_millis(50);
/// Time between ticks of an entry.
const ENTRY_TICK: Duration = Duration::from_millis(50);
/// Delay of cache events.
const CACHE_DELAY: Duration = Duration::from_millis(500);
/// Part of the cache events that is lost.
const CACHE_LOSS: f64 = 0.02;
/// Delay of declarations.
const DECLARE_DELAY: Duration = Duration::from_millis(100);

/// Zone taken out or brought back at a time.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// When operators give it.
    pub at: Time,
    /// Zone number.
    pub zone: usize,
    /// Standing from then on.
    pub standing: Standing,
}

/// Shape of the deployment.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Policy of all entries.
    pub policy: Policy,
    /// Entries.
    pub entries: usize,
    /// Slowdown of each engine.
    pub engines: Vec<f64>,
    /// Requests that an engine runs at once.
    pub capacity: u32,
    /// Lag of load reports.
    pub lag: Duration,
    /// Nearness in the profile.
    pub spread: Spread,
    /// Candidates drawn by the placer.
    pub choices: usize,
    /// Orders of operators.
    pub orders: Vec<Order>,
    /// Seed.
    pub seed: u64,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Deliver {
        engine: usize,
        request: usize,
        credit: Option<CreditId>,
    },
    Refused {
        request: usize,
        report: LoadReport,
    },
    Reached {
        engine: usize,
        version: u64,
    },
    First(usize),
    Last {
        request: usize,
        cached: u32,
    },
    Report {
        engine: usize,
    },
    Reported {
        engine: usize,
        report: LoadReport,
        taken: Time,
    },
    Cache {
        engine: usize,
        event: CacheEvent,
    },
    Snapshot {
        entry: usize,
        engine: usize,
    },
    Ask {
        engine: usize,
        entry: usize,
        demand: EntryDemand,
    },
    Granted {
        engine: usize,
        entry: usize,
        credit: CreditId,
    },
    GiveBack {
        engine: usize,
        credit: CreditId,
    },
    EntryTick {
        entry: usize,
    },
    Order(usize),
    Declared,
}

struct Node {
    gate: Gate,
    engine: EngineModel,
    version: u64,
    sequence: u64,
    holds: BTreeMap<u64, ()>,
}

struct Entry {
    chooser: Chooser,
    queue: FairQueue<usize>,
    asked: Option<Time>,
}

#[derive(Default)]
struct Flight {
    engine: usize,
    sent: Time,
    first: Option<Time>,
    ticket: Option<Ticket>,
    permit: Option<Permit>,
    admitted: Time,
    started: Time,
    tried: Vec<usize>,
    refusals: u32,
}

/// The model deployment.
pub struct World {
    settings: WorldSettings,
    workload: Workload,
    declarations: Declarations,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    pending: BTreeMap<u64, Event>,
    next: u64,
    nodes: Vec<Node>,
    entries: Vec<Entry>,
    flights: Vec<Flight>,
    rng: ChaCha8Rng,
    /// What callers got.
    pub answers: Vec<Answer>,
    /// Running requests by zone, sampled with each report.
    pub samples: Vec<(Time, [u32; 3])>,
}

impl World {
    /// Builds the deployment.
    pub fn new(settings: WorldSettings, workload: Workload) -> Self {
        let declarations = declarations(settings.spread);
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let nodes = (0..settings.engines.len())
            .map(|i| node(&settings, &declarations, i))
            .collect();
        let entries = (0..settings.entries)
            .map(|i| entry(&settings, &declarations, i, &mut rng))
            .collect();
        let flights = workload.requests.iter().map(|_| Flight::default());
        let mut world = Self {
            flights: flights.collect(),
            declarations,
            now: Time::ZERO,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next: 0,
            nodes,
            entries,
            rng,
            answers: Vec::new(),
            samples: Vec::new(),
            settings,
            workload,
        };
        world.start();
        world
    }

    /// Runs all events up to `until`.
    pub fn run(&mut self, until: Time) {
        while let Some(Reverse((at, id))) = self.events.pop() {
            if at > until {
                return;
            }
            self.now = at;
            if let Some(event) = self.pending.remove(&id) {
                self.handle(event);
            }
        }
    }

    /// Requests run at once beyond what an engine bore, worst of all engines.
    pub fn excess(&self) -> u32 {
        self.nodes
            .iter()
            .map(|n| n.engine.excess)
            .max()
            .unwrap_or(0)
    }

    /// Places allowed by the gates of each zone.
    pub fn allowance(&self) -> [u32; 3] {
        self.by_zone(|n| n.gate.allowance())
    }

    fn by_zone<F>(&self, read: F) -> [u32; 3]
    where
        F: Fn(&Node) -> u32,
    {
        let mut sums = [0; 3];
        for (i, node) in self.nodes.iter().enumerate() {
            sums[i % 3] += read(node);
        }
        sums
    }

    fn start(&mut self) {
        for i in 0..self.workload.requests.len() {
            self.at(self.workload.requests[i].arrival, Event::Arrive(i));
        }
        for engine in 0..self.nodes.len() {
            let offset = REPORT_EVERY * engine as u32 / self.nodes.len() as u32;
            self.after(offset, Event::Report { engine });
        }
        for entry in 0..self.entries.len() {
            let offset = ENTRY_TICK * entry as u32 / self.entries.len() as u32;
            self.after(offset, Event::EntryTick { entry });
        }
        for i in 0..self.settings.orders.len() {
            self.at(self.settings.orders[i].at, Event::Order(i));
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next)));
        self.pending.insert(self.next, event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Deliver {
                engine,
                request,
                credit,
            } => self.deliver(engine, request, credit),
            Event::Refused { request, report } => self.refused(request, report),
            Event::Reached { engine, version } => self.reached(engine, version),
            Event::First(request) => self.first(request),
            Event::Last { request, cached } => self.last(request, cached),
            Event::Report { engine } => self.report(engine),
            Event::Reported {
                engine,
                report,
                taken,
            } => {
                for entry in &mut self.entries {
                    entry.chooser.report(engine, &report, taken);
                }
            }
            Event::Cache { engine, event } => self.cache(engine, &event),
            Event::Snapshot { entry, engine } => self.snapshot(entry, engine),
            Event::Ask {
                engine,
                entry,
                demand,
            } => {
                let grants = self.nodes[engine]
                    .gate
                    .demand(&instance(entry), demand, self.now);
                self.send_grants(engine, grants);
            }
            Event::Granted {
                engine,
                entry,
                credit,
            } => self.granted(engine, entry, credit),
            Event::GiveBack { engine, credit } => {
                let grants = self.nodes[engine].gate.give_back(credit, self.now);
                self.send_grants(engine, grants);
            }
            Event::EntryTick { entry } => self.entry_tick(entry),
            Event::Order(index) => self.order(index),
            Event::Declared => self.declared(),
        }
    }

    fn arrive(&mut self, request: usize) {
        let entry = self.workload.requests[request].entry;
        if self.entries[entry].queue.is_empty() {
            self.choose(request);
        } else {
            self.enqueue(request);
        }
    }

    fn choose(&mut self, request: usize) {
        let offered = &self.workload.requests[request];
        let flight = &self.flights[request];
        let entry = &mut self.entries[offered.entry];
        match entry.chooser.choose(&offered.meta, &flight.tried, self.now) {
            Choice::Engine(engine, ticket) => self.send(request, engine, ticket, None),
            Choice::Queue => self.enqueue(request),
        }
    }

    fn send(
        &mut self,
        request: usize,
        engine: usize,
        ticket: Option<Ticket>,
        credit: Option<CreditId>,
    ) {
        let entry = self.workload.requests[request].entry;
        let flight = &mut self.flights[request];
        flight.engine = engine;
        flight.ticket = ticket;
        flight.sent = self.now;
        let event = Event::Deliver {
            engine,
            request,
            credit,
        };
        self.after(delay(entry, engine), event);
    }

    fn enqueue(&mut self, request: usize) {
        let offered = &self.workload.requests[request];
        let index = offered.entry;
        let entry = &mut self.entries[index];
        let shed = entry.queue.push(&offered.meta, request, self.now);
        for shed in shed {
            self.refuse(shed.queued.item);
        }
        self.ask(index, false);
    }

    /// States the demand of an entry to all agents.
    fn ask(&mut self, entry: usize, again: bool) {
        let count = self.nodes.len();
        let state = &mut self.entries[entry];
        let recent = state
            .asked
            .is_some_and(|at| self.now.since(at) < Duration::from_millis(10));
        if state.queue.is_empty() || (recent && !again) {
            return;
        }
        state.asked = Some(self.now);
        let demand = state.queue.demand(count, self.now);
        for engine in 0..count {
            let demand = demand.clone();
            self.after(
                delay(entry, engine),
                Event::Ask {
                    engine,
                    entry,
                    demand,
                },
            );
        }
    }

    fn deliver(&mut self, engine: usize, request: usize, credit: Option<CreditId>) {
        let offered = &self.workload.requests[request];
        let ask = Admission {
            entry: instance(offered.entry),
            request: offered.meta.id,
            service: offered.meta.service.clone(),
            workspace: offered.meta.workspace.clone(),
            priority: offered.meta.priority,
            remaining: offered.meta.deadline.since(self.now),
            revision: self.declarations.revision,
            credit,
        };
        let node = &mut self.nodes[engine];
        match node.gate.admit(&ask, self.now) {
            Ok(permit) => {
                self.flights[request].permit = Some(permit);
                self.flights[request].admitted = self.now;
                self.begin(engine, request);
            }
            Err(refusal) => {
                let back = delay(offered.entry, engine);
                let report = refusal.report;
                self.after(back, Event::Refused { request, report });
            }
        }
    }

    fn begin(&mut self, engine: usize, request: usize) {
        let offered = &self.workload.requests[request];
        let node = &mut self.nodes[engine];
        let (stored, evicted) =
            node.engine
                .start(request, &offered.meta.prefix, offered.tokens, self.now);
        for block in &stored {
            node.holds.insert(*block, ());
        }
        for block in &evicted {
            node.holds.remove(block);
        }
        self.publish(engine, CacheChange::Stored(stored));
        if !evicted.is_empty() {
            self.publish(engine, CacheChange::Evicted(evicted));
        }
        self.schedule(engine);
    }

    fn publish(&mut self, engine: usize, change: CacheChange) {
        let node = &mut self.nodes[engine];
        node.sequence += 1;
        let event = CacheEvent {
            incarnation: Incarnation(1),
            sequence: node.sequence,
            change,
        };
        let lost = self.rng.random::<f64>() < CACHE_LOSS;
        if !lost && self.settings.policy == Policy::Placer {
            self.after(CACHE_DELAY, Event::Cache { engine, event });
        }
    }

    fn cache(&mut self, engine: usize, event: &CacheEvent) {
        let name = upstream(engine);
        for index in 0..self.entries.len() {
            let placer = &mut self.entries[index].chooser.placer;
            if placer.observe_cache(&name, event.clone(), self.now) == CacheAction::Resync {
                let event = Event::Snapshot {
                    entry: index,
                    engine,
                };
                self.after(FAR_DELAY * 2, event);
            }
        }
    }

    fn snapshot(&mut self, entry: usize, engine: usize) {
        let node = &self.nodes[engine];
        let snapshot = CacheSnapshot {
            incarnation: Incarnation(1),
            sequence: node.sequence,
            blocks: node.holds.keys().copied().collect(),
        };
        let placer = &mut self.entries[entry].chooser.placer;
        placer.observe_snapshot(&upstream(engine), &snapshot, self.now);
    }

    fn schedule(&mut self, engine: usize) {
        let node = &mut self.nodes[engine];
        node.version += 1;
        let version = node.version;
        if let Some(at) = node.engine.next() {
            self.at(at, Event::Reached { engine, version });
        }
    }

    fn reached(&mut self, engine: usize, version: u64) {
        if self.nodes[engine].version != version {
            return;
        }
        for milestone in self.nodes[engine].engine.reached(self.now) {
            match milestone {
                Milestone::First(request) => {
                    let flight = &mut self.flights[request];
                    flight.started = self.now;
                    if let Some(permit) = &flight.permit {
                        self.nodes[engine].gate.first_token(permit, self.now);
                    }
                    let back = delay(self.workload.requests[request].entry, engine);
                    self.after(back, Event::First(request));
                }
                Milestone::Last(request, cached) => self.complete(engine, request, cached),
            }
        }
        self.schedule(engine);
    }

    fn complete(&mut self, engine: usize, request: usize, cached: u32) {
        let tokens = self.workload.requests[request].tokens;
        let flight = &mut self.flights[request];
        let gaps = tokens.saturating_sub(1).max(1);
        let done = Completed {
            outcome: Ended::Good,
            first_token: Some(flight.started.since(flight.admitted)),
            token_gap: Some(self.now.since(flight.started) / gaps),
        };
        if let Some(permit) = flight.permit.take() {
            let grants = self.nodes[engine].gate.complete(permit, done, self.now);
            self.send_grants(engine, grants);
        }
        let back = delay(self.workload.requests[request].entry, engine);
        self.after(back, Event::Last { request, cached });
    }

    fn send_grants(&mut self, engine: usize, grants: Vec<Grant>) {
        for grant in grants {
            let entry = grant.entry.as_str()[1..].parse().unwrap_or(0);
            let credit = grant.credit;
            self.after(
                delay(entry, engine),
                Event::Granted {
                    engine,
                    entry,
                    credit,
                },
            );
        }
    }

    fn granted(&mut self, engine: usize, entry: usize, credit: CreditId) {
        let Some(queued) = self.entries[entry].queue.pop(self.now) else {
            self.after(delay(entry, engine), Event::GiveBack { engine, credit });
            return;
        };
        let request = queued.item;
        let meta = &self.workload.requests[request].meta;
        let chooser = &mut self.entries[entry].chooser;
        match chooser.redeem(meta, engine, credit, self.now) {
            Some(Choice::Engine(engine, ticket)) => {
                self.send(request, engine, ticket, Some(credit));
            }
            _ => {
                self.entries[entry].queue.put_back(queued, self.now);
                self.after(delay(entry, engine), Event::GiveBack { engine, credit });
            }
        }
    }

    fn refused(&mut self, request: usize, report: LoadReport) {
        self.finish(request, Verdict::Refused(Some(report)), 0, None);
        let flight = &mut self.flights[request];
        flight.refusals += 1;
        flight.tried.push(flight.engine);
        if RetryBudget::may_replace(flight.refusals) {
            self.choose(request);
        } else {
            self.flights[request].tried.clear();
            self.enqueue(request);
        }
    }

    fn first(&mut self, request: usize) {
        let entry = self.workload.requests[request].entry;
        let flight = &mut self.flights[request];
        flight.first = Some(self.now);
        if let Some(ticket) = &flight.ticket {
            self.entries[entry]
                .chooser
                .placer
                .progress(ticket, self.now);
        }
    }

    fn last(&mut self, request: usize, cached: u32) {
        let tokens = self.workload.requests[request].tokens;
        self.finish(request, Verdict::Good, tokens, Some(cached));
        let offered = &self.workload.requests[request];
        let flight = &self.flights[request];
        let first = flight.first.unwrap_or(self.now);
        self.entries[offered.entry]
            .queue
            .observe_answer(self.now.since(flight.sent));
        self.answers.push(Answer {
            arrival: offered.arrival,
            outcome: Outcome::Answered,
            first: first.since(offered.arrival),
            total: self.now.since(offered.arrival),
            timely: self.now <= offered.meta.deadline,
            blocks: offered.meta.prefix.len() as u32,
            cached,
            refusals: flight.refusals,
        });
    }

    fn finish(&mut self, request: usize, verdict: Verdict, tokens: u32, cached: Option<u32>) {
        let offered = &self.workload.requests[request];
        let flight = &mut self.flights[request];
        let done = Finished {
            verdict,
            first_token: flight.first.map(|f| f.since(flight.sent)),
            total: self.now.since(flight.sent),
            tokens,
            cached,
        };
        let ticket = flight.ticket.take();
        let chooser = &mut self.entries[offered.entry].chooser;
        chooser.finish(flight.engine, ticket, &offered.meta, &done, self.now);
    }

    fn refuse(&mut self, request: usize) {
        let offered = &self.workload.requests[request];
        self.answers.push(Answer {
            arrival: offered.arrival,
            outcome: Outcome::Refused,
            first: Duration::ZERO,
            total: self.now.since(offered.arrival),
            timely: false,
            blocks: 0,
            cached: 0,
            refusals: self.flights[request].refusals,
        });
    }

    fn report(&mut self, engine: usize) {
        let node = &mut self.nodes[engine];
        let grants = node.gate.tick(self.now);
        let report = node.gate.report();
        let taken = self.now;
        self.send_grants(engine, grants);
        self.after(
            self.settings.lag,
            Event::Reported {
                engine,
                report,
                taken,
            },
        );
        self.after(REPORT_EVERY, Event::Report { engine });
        if engine == 0 {
            let running = self.by_zone(|n| n.gate.running());
            self.samples.push((self.now, running));
        }
    }

    fn entry_tick(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        state.chooser.placer.check_stalls(self.now);
        for shed in state.queue.shed_late(self.now) {
            self.refuse(shed.queued.item);
        }
        self.ask(entry, true);
        self.after(ENTRY_TICK, Event::EntryTick { entry });
    }

    fn order(&mut self, index: usize) {
        let order = self.settings.orders[index];
        self.declarations.revision = self.declarations.revision.next();
        self.declarations
            .zones
            .insert(ZoneName::from(ZONES[order.zone]), order.standing);
        if order.standing == Standing::In {
            for engine in (order.zone..self.nodes.len()).step_by(3) {
                self.nodes[engine].engine.chill();
                self.nodes[engine].holds.clear();
                self.publish(engine, CacheChange::Cleared);
            }
        }
        self.after(DECLARE_DELAY, Event::Declared);
    }

    fn declared(&mut self) {
        for engine in 0..self.nodes.len() {
            let announcement = announcement(&self.settings, engine);
            let out = !self
                .declarations
                .admits(&announcement.zone, &announcement.upstream);
            let policy = GatePolicy::of(&self.declarations, &announcement);
            let gate = &mut self.nodes[engine].gate;
            let grants = gate.declare(policy, self.settings.capacity, self.now);
            self.send_grants(engine, grants);
            for entry in &mut self.entries {
                entry.chooser.set_out(engine, out);
            }
        }
        for entry in &mut self.entries {
            entry.chooser.placer.declare(self.declarations.clone());
        }
    }
}

fn node(settings: &WorldSettings, declarations: &Declarations, index: usize) -> Node {
    let announcement = announcement(settings, index);
    let gate = GateSettings {
        incarnation: announcement.incarnation,
        capacity: settings.capacity,
        policy: GatePolicy::of(declarations, &announcement),
    };
    let mut gate = Gate::open(gate, Time::ZERO);
    gate.renew(Time::MAX);
    Node {
        gate,
        engine: EngineModel::new(settings.capacity, settings.engines[index]),
        version: 0,
        sequence: 0,
        holds: BTreeMap::new(),
    }
}

fn entry(
    settings: &WorldSettings,
    declarations: &Declarations,
    index: usize,
    rng: &mut ChaCha8Rng,
) -> Entry {
    let zone = ZoneName::from(ZONES[index % 3]);
    let mut placing = PlacerSettings::new(instance(index), zone);
    placing.choices = settings.choices;
    let names = (0..settings.engines.len()).map(upstream).collect();
    let own = ChaCha8Rng::seed_from_u64(rng.random());
    let turn = rng.random_range(0..1_000);
    let mut chooser = Chooser::new(settings.policy, placing, names, turn, own);
    chooser.placer.declare(declarations.clone());
    for engine in 0..settings.engines.len() {
        chooser.placer.announce(announcement(settings, engine));
    }
    let service = ServiceName::from("drafting");
    let profile = declarations
        .profile_of(&service)
        .cloned()
        .unwrap_or_default();
    Entry {
        chooser,
        queue: FairQueue::open(service, profile.queue, profile.shares),
        asked: None,
    }
}

fn declarations(spread: Spread) -> Declarations {
    let mut profile = Profile {
        model: Some(ModelName::from("draft")),
        slow_start: SlowStart {
            initial: 1,
            completions: 2,
            least: Duration::from_secs(2),
        },
        ..Profile::default()
    };
    profile.zones.spread = spread;
    let service = Service {
        name: ServiceName::from("drafting"),
        kind: ServiceKind::Model,
        profile: ProfileName::from("default"),
    };
    Declarations {
        revision: Revision(1),
        profiles: [(profile.name.clone(), profile)].into(),
        services: [(service.name.clone(), service)].into(),
        ..Declarations::default()
    }
}

fn announcement(settings: &WorldSettings, index: usize) -> Announcement {
    Announcement {
        upstream: upstream(index),
        incarnation: Incarnation(1),
        zone: ZoneName::from(ZONES[index % 3]),
        address: format!("127.0.0.1:{}", 7_000 + index),
        kind: ServiceKind::Model,
        services: Vec::new(),
        models: vec![(ModelName::from("draft"), VersionName::from("1"))],
        adapters: Vec::new(),
        capacity: settings.capacity,
        group: None,
        leaving: false,
        revision: Revision(1),
        fence: Fence(0),
    }
}

fn upstream(index: usize) -> UpstreamName {
    UpstreamName::from(format!("u{index:04}"))
}

fn instance(index: usize) -> InstanceName {
    InstanceName::from(format!("e{index}"))
}

/// One way between an entry and an engine.
fn delay(entry: usize, engine: usize) -> Duration {
    if entry % 3 == engine % 3 {
        NEAR_DELAY
    } else {
        FAR_DELAY
    }
}
