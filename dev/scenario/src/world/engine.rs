//! Engines: they run what they are given, bear what they can, and keep count.

use std::collections::BTreeMap;
use std::time::Duration;

use super::parcel::WorkAnswer;
use super::{Item, NodeId, World};
use crate::script::UpstreamText;

/// Pieces of an answer.
pub(super) const PIECES: u64 = 4;
/// Completions that let an engine bear one request more.
const WARMING: u32 = 2;

/// A request that an engine runs.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) flight: u64,
    pub(super) attempt: u32,
    pub(super) name: String,
    pub(super) content: String,
    pub(super) position: u64,
    pub(super) entry: NodeId,
    pub(super) once: bool,
    /// Whether whoever sent it still waits on a connection.
    pub(super) connected: bool,
}

/// A stand-in for an engine or a plain service.
pub(super) struct Engine {
    pub(super) text: UpstreamText,
    /// Number of the present start.
    pub(super) start: u64,
    pub(super) runs: BTreeMap<u64, Run>,
    good: u32,
}

impl Engine {
    pub(super) fn new(text: &UpstreamText) -> Self {
        Self {
            text: text.clone(),
            start: 0,
            runs: BTreeMap::new(),
            good: 0,
        }
    }

    /// Requests at once that the engine bears as warm as it is.
    fn bears(&self) -> u32 {
        let warmed = 1 + self.good / WARMING;
        warmed.min(self.text.capacity)
    }

    pub(super) fn running(&self) -> usize {
        self.runs.len()
    }
}

/// Pieces of the whole answer to a content.
pub(super) fn answer_to(content: &str) -> Vec<String> {
    (0..PIECES).map(|p| format!("{content}.{p}")).collect()
}

impl World {
    pub(super) fn start_engine(&mut self, node: NodeId) {
        if let Some(engine) = self.engines.get_mut(&node) {
            engine.start += 1;
            engine.good = 0;
            engine.runs.clear();
        }
    }

    /// An engine starts over with nothing in its memory; what ran has ended.
    pub(super) fn turn_cold(&mut self, node: NodeId) {
        self.engine_dies(node);
        self.start_engine(node);
    }

    /// Runs a request; returns its number at the engine.
    pub(super) fn engine_run(&mut self, node: NodeId, run: Run) -> u64 {
        let number = self.fresh();
        let host = &self.hosts[node];
        let (name, zone) = (host.name.clone(), host.zone.clone());
        let engine = self
            .engines
            .get_mut(&node)
            .expect("an upstream has an engine");
        let (running, bears) = (engine.runs.len() as u32, engine.bears());
        let (start, pause) = (engine.start, engine.text.takes / PIECES as u32);
        let poisoned = self.poisons.contains(&run.content);
        self.ledger.given(self.time, &name, running, bears);
        self.ledger.started(self.time, &run.name, &name, &zone);
        engine.runs.insert(number, run);
        let pause = if poisoned { pause / 2 } else { pause };
        self.schedule(pause, Item::Engine(node, start, number));
        number
    }

    /// An engine makes the next piece of an answer.
    pub(super) fn engine_step(&mut self, node: NodeId, start: u64, number: u64) {
        let Some(engine) = self.engines.get_mut(&node).filter(|e| e.start == start) else {
            return;
        };
        let Some(run) = engine.runs.get_mut(&number) else {
            return;
        };
        if self.poisons.contains(&run.content) {
            self.ledger.crashes += 1;
            let text = format!("{} crashes {}", run.content, self.hosts[node].name);
            self.note(&text);
            self.turn_cold(node);
            return;
        }
        let position = run.position;
        run.position = (position + 1).min(PIECES);
        let (run, pause) = (run.clone(), engine.text.takes / PIECES as u32);
        let ended = run.position == PIECES;
        if ended {
            engine.runs.remove(&number);
            engine.good += 1;
        } else {
            self.schedule(pause, Item::Engine(node, start, number));
        }
        self.made(node, number, &run, position, ended);
    }

    /// Everything that runs at an engine ends without an answer.
    pub(super) fn engine_dies(&mut self, node: NodeId) {
        let Some(engine) = self.engines.get_mut(&node) else {
            return;
        };
        let runs = std::mem::take(&mut engine.runs);
        engine.start += u64::from(!runs.is_empty());
        self.runs_died(node, runs);
    }

    pub(super) fn answer_flight(&mut self, node: NodeId, run: &Run, answer: WorkAnswer) {
        if !run.connected {
            return;
        }
        let parcel = super::Parcel::Answer(run.flight, run.attempt, answer);
        self.send(node, run.entry, parcel);
    }

    /// Pause between two pieces, for whoever waits for one.
    pub(super) fn longest_pause() -> Duration {
        Duration::from_secs(2)
    }
}
