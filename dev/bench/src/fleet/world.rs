//! Event loop of the simulated deployment and the events of its entries.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use pimentotide_model::{AdminState, Declarations, LoadReport, Time, ZoneName};
use pimentotide_routing::{
    AttemptOutcome, CacheChange, CreditId, Finished, GatePolicy, RetryBudget, Ticket,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::chooser::Choice;
use super::event::{Event, WorldSettings};
use super::result::{Outcome, RequestResult};
use super::setup::{
    Entry, Flight, Node, ZONES, announcement, declarations, delay, entry, instance, node,
};
use super::workload::Workload;

/// Time between load reports of one agent.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Time between ticks of an entry.
const ENTRY_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time from an operator order until entries and agents apply it.
const DECLARATION_DELAY: Duration = Duration::from_millis(100);

/// Simulated deployment.
pub struct World {
    pub(super) settings: WorldSettings,
    pub(super) workload: Workload,
    pub(super) declarations: Declarations,
    pub(super) now: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    pending: BTreeMap<u64, Event>,
    next: u64,
    pub(super) nodes: Vec<Node>,
    pub(super) entries: Vec<Entry>,
    pub(super) flights: Vec<Flight>,
    pub(super) rng: ChaCha8Rng,
    /// Results of the requests that have ended, in the order of their end.
    pub results: Vec<RequestResult>,
    /// Running requests by zone, sampled with each report of the first engine.
    pub samples: Vec<(Time, [u32; 3])>,
}

impl World {
    /// Builds the deployment and schedules its first events.
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
            results: Vec::new(),
            samples: Vec::new(),
            settings,
            workload,
        };
        world.start();
        world
    }

    /// Handles all events up to and including `until`.
    pub fn run(&mut self, until: Time) {
        while let Some(Reverse((at, id))) = self.events.peek().copied() {
            if at > until {
                return;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.pending.remove(&id) {
                self.handle(event);
            }
        }
    }

    /// Highest number of concurrent requests beyond the warm capacity, over all engines.
    pub fn excess(&self) -> u32 {
        self.nodes
            .iter()
            .map(|n| n.engine.excess)
            .max()
            .unwrap_or(0)
    }

    /// Requests running according to the gates, and according to the engines.
    pub fn running(&self) -> (u32, usize) {
        let gates = self.nodes.iter().map(|n| n.gate.running()).sum();
        let engines = self.nodes.iter().map(|n| n.engine.running()).sum();
        (gates, engines)
    }

    /// Sum of the gates' allowances by zone, in concurrent requests.
    pub fn allowance(&self) -> [u32; 3] {
        self.by_zone(|n| n.gate.allowance())
    }

    pub(super) fn by_zone<F>(&self, read: F) -> [u32; 3]
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
            let offset = REPORT_INTERVAL * engine as u32 / self.nodes.len() as u32;
            self.after(offset, Event::Report { engine });
        }
        for entry in 0..self.entries.len() {
            let offset = ENTRY_TICK_INTERVAL * entry as u32 / self.entries.len() as u32;
            self.after(offset, Event::EntryTick { entry });
        }
        for i in 0..self.settings.orders.len() {
            self.at(self.settings.orders[i].at, Event::Order(i));
        }
    }

    pub(super) fn at(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next)));
        self.pending.insert(self.next, event);
    }

    pub(super) fn after(&mut self, delay: Duration, event: Event) {
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
            Event::FirstToken(request) => self.first_token(request),
            Event::LastToken { request, cached } => self.last_token(request, cached),
            Event::Report { engine } => self.report(engine),
            Event::Reported {
                engine,
                report,
                taken_at,
            } => {
                for entry in &mut self.entries {
                    entry.chooser.report(engine, &report, taken_at);
                }
            }
            Event::Cache { engine, event } => self.cache(engine, &event),
            Event::Snapshot { entry, engine } => self.snapshot(entry, engine),
            Event::Demand {
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
            Event::ReturnCredit { engine, credit } => {
                let grants = self.nodes[engine].gate.return_credit(credit, self.now);
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
        self.send_demand(index, false);
    }

    /// Sends the demand of an entry to all agents, at most every 10 ms unless `force` is set.
    fn send_demand(&mut self, entry: usize, force: bool) {
        let count = self.nodes.len();
        let state = &mut self.entries[entry];
        let recent = state
            .demand_sent_at
            .is_some_and(|at| self.now.since(at) < Duration::from_millis(10));
        if state.queue.is_empty() || (recent && !force) {
            return;
        }
        state.demand_sent_at = Some(self.now);
        let demand = state.queue.demand(count, self.now);
        for engine in 0..count {
            let demand = demand.clone();
            self.after(
                delay(entry, engine),
                Event::Demand {
                    engine,
                    entry,
                    demand,
                },
            );
        }
    }

    fn granted(&mut self, engine: usize, entry: usize, credit: CreditId) {
        let Some(queued) = self.entries[entry].queue.pop(self.now) else {
            self.after(delay(entry, engine), Event::ReturnCredit { engine, credit });
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
                self.entries[entry].queue.requeue(queued, self.now);
                self.after(delay(entry, engine), Event::ReturnCredit { engine, credit });
            }
        }
    }

    fn refused(&mut self, request: usize, report: LoadReport) {
        self.finish(request, AttemptOutcome::Refused(Some(report)), 0, None);
        let flight = &mut self.flights[request];
        flight.refusals += 1;
        flight.tried.push(flight.engine);
        if RetryBudget::may_reroute(flight.refusals) {
            self.choose(request);
        } else {
            self.flights[request].tried.clear();
            self.enqueue(request);
        }
    }

    fn first_token(&mut self, request: usize) {
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

    fn last_token(&mut self, request: usize, cached: u32) {
        let tokens = self.workload.requests[request].tokens;
        self.finish(request, AttemptOutcome::Good, tokens, Some(cached));
        let offered = &self.workload.requests[request];
        let flight = &self.flights[request];
        let first = flight.first.unwrap_or(self.now);
        self.entries[offered.entry]
            .queue
            .observe_answer(self.now.since(flight.sent));
        self.results.push(RequestResult {
            arrival: offered.arrival,
            outcome: Outcome::Answered,
            first: first.since(offered.arrival),
            total: self.now.since(offered.arrival),
            met_deadline: self.now <= offered.meta.deadline,
            blocks: offered.meta.prefix.len() as u32,
            cached,
            refusals: flight.refusals,
        });
    }

    fn finish(
        &mut self,
        request: usize,
        outcome: AttemptOutcome,
        tokens: u32,
        cached: Option<u32>,
    ) {
        let offered = &self.workload.requests[request];
        let flight = &mut self.flights[request];
        let done = Finished {
            outcome,
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
        self.results.push(RequestResult {
            arrival: offered.arrival,
            outcome: Outcome::Refused,
            first: Duration::ZERO,
            total: self.now.since(offered.arrival),
            met_deadline: false,
            blocks: 0,
            cached: 0,
            refusals: self.flights[request].refusals,
        });
    }

    fn entry_tick(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        state.chooser.placer.check_stalls(self.now);
        for shed in state.queue.shed_late(self.now) {
            self.refuse(shed.queued.item);
        }
        self.send_demand(entry, true);
        self.after(ENTRY_TICK_INTERVAL, Event::EntryTick { entry });
    }

    fn order(&mut self, index: usize) {
        let order = self.settings.orders[index];
        self.declarations.revision = self.declarations.revision.next();
        self.declarations
            .zones
            .insert(ZoneName::from(ZONES[order.zone]), order.standing);
        if order.standing == AdminState::In {
            for engine in (order.zone..self.nodes.len()).step_by(3) {
                self.nodes[engine].engine.reset();
                self.nodes[engine].cached_blocks.clear();
                self.publish(engine, CacheChange::Cleared);
            }
        }
        self.after(DECLARATION_DELAY, Event::Declared);
    }

    fn declared(&mut self) {
        for engine in 0..self.nodes.len() {
            let announcement = announcement(&self.settings, engine);
            let out = !self
                .declarations
                .admits(&announcement.zone, &announcement.upstream);
            let policy = GatePolicy::of(&self.declarations, &announcement);
            let gate = &mut self.nodes[engine].gate;
            let grants = gate.set_policy(policy, self.settings.capacity, self.now);
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
