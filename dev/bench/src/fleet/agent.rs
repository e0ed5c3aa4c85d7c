//! Events of the agents and engines in the simulated deployment.

use std::time::Duration;

use pimentotide_model::Incarnation;
use pimentotide_routing::{
    Admission, CacheAction, CacheChange, CacheEvent, CacheSnapshot, Completed, CreditId, Grant,
    Outcome as GateOutcome,
};
use rand::RngExt;

use super::chooser::Policy;
use super::engine::Milestone;
use super::event::Event;
use super::setup::{FAR_DELAY, delay, instance, upstream};
use super::world::{REPORT_INTERVAL, World};

/// Time from a cache change until entries receive its event.
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(500);
/// Ratio of cache events that are lost.
const CACHE_LOSS_RATIO: f64 = 0.02;

impl World {
    pub(super) fn deliver(&mut self, engine: usize, request: usize, credit: Option<CreditId>) {
        let offered = &self.workload.requests[request];
        let admission = Admission {
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
        match node.gate.admit(&admission, self.now) {
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

    pub(super) fn begin(&mut self, engine: usize, request: usize) {
        let offered = &self.workload.requests[request];
        let node = &mut self.nodes[engine];
        let (stored, evicted) =
            node.engine
                .start(request, &offered.meta.prefix, offered.tokens, self.now);
        for block in &stored {
            node.cached_blocks.insert(*block, ());
        }
        for block in &evicted {
            node.cached_blocks.remove(block);
        }
        self.publish(engine, CacheChange::Stored(stored));
        if !evicted.is_empty() {
            self.publish(engine, CacheChange::Evicted(evicted));
        }
        self.schedule(engine);
    }

    pub(super) fn publish(&mut self, engine: usize, change: CacheChange) {
        let node = &mut self.nodes[engine];
        node.sequence += 1;
        let event = CacheEvent {
            incarnation: Incarnation(1),
            sequence: node.sequence,
            change,
        };
        let lost = self.rng.random::<f64>() < CACHE_LOSS_RATIO;
        if !lost && self.settings.policy == Policy::Placer {
            self.after(CACHE_EVENT_DELAY, Event::Cache { engine, event });
        }
    }

    pub(super) fn cache(&mut self, engine: usize, event: &CacheEvent) {
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

    pub(super) fn snapshot(&mut self, entry: usize, engine: usize) {
        let node = &self.nodes[engine];
        let snapshot = CacheSnapshot {
            incarnation: Incarnation(1),
            sequence: node.sequence,
            blocks: node.cached_blocks.keys().copied().collect(),
        };
        let placer = &mut self.entries[entry].chooser.placer;
        placer.observe_snapshot(&upstream(engine), &snapshot, self.now);
    }

    pub(super) fn schedule(&mut self, engine: usize) {
        let node = &mut self.nodes[engine];
        node.version += 1;
        let version = node.version;
        if let Some(at) = node.engine.next() {
            self.at(at, Event::Reached { engine, version });
        }
    }

    pub(super) fn reached(&mut self, engine: usize, version: u64) {
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
                    self.after(back, Event::FirstToken(request));
                }
                Milestone::Last(request, cached) => self.complete(engine, request, cached),
            }
        }
        self.schedule(engine);
    }

    pub(super) fn complete(&mut self, engine: usize, request: usize, cached: u32) {
        let tokens = self.workload.requests[request].tokens;
        let flight = &mut self.flights[request];
        let gaps = tokens.saturating_sub(1).max(1);
        let done = Completed {
            outcome: GateOutcome::Good,
            first_token: Some(flight.started.since(flight.admitted)),
            token_gap: Some(self.now.since(flight.started) / gaps),
        };
        if let Some(permit) = flight.permit.take() {
            let grants = self.nodes[engine].gate.complete(permit, done, self.now);
            self.send_grants(engine, grants);
        }
        let back = delay(self.workload.requests[request].entry, engine);
        self.after(back, Event::LastToken { request, cached });
    }

    pub(super) fn send_grants(&mut self, engine: usize, grants: Vec<Grant>) {
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

    pub(super) fn report(&mut self, engine: usize) {
        let node = &mut self.nodes[engine];
        let grants = node.gate.tick(self.now);
        let report = node.gate.report();
        let taken_at = self.now;
        self.send_grants(engine, grants);
        self.after(
            self.settings.lag,
            Event::Reported {
                engine,
                report,
                taken_at,
            },
        );
        self.after(REPORT_INTERVAL, Event::Report { engine });
        if engine == 0 {
            let running = self.by_zone(|n| n.gate.running());
            self.samples.push((self.now, running));
        }
    }
}
