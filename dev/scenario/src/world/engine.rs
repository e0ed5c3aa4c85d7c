//! Fake engines: run requests piece by piece and report each start to the history.

use std::collections::BTreeMap;
use std::time::Duration;

use super::packet::WorkAnswer;
use super::{NodeId, SimEvent, World};
use crate::script::UpstreamSpec;

/// Number of pieces in every answer.
pub(super) const PIECES: u64 = 4;
/// Completed requests after which an engine's warm-up limit rises by one.
const COMPLETIONS_PER_SLOT: u32 = 2;

/// A request that an engine runs.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) request: u64,
    pub(super) attempt: u32,
    pub(super) name: String,
    pub(super) content: String,
    pub(super) position: u64,
    pub(super) entry: NodeId,
    pub(super) once: bool,
    /// Whether the connection to the sender is open.
    pub(super) connected: bool,
}

/// Fake of an engine or a plain service.
pub(super) struct Engine {
    pub(super) spec: UpstreamSpec,
    /// Number of starts, which marks events of earlier starts as outdated.
    pub(super) generation: u64,
    pub(super) runs: BTreeMap<u64, Run>,
    completed: u32,
}

impl Engine {
    pub(super) fn new(spec: &UpstreamSpec) -> Self {
        Self {
            spec: spec.clone(),
            generation: 0,
            runs: BTreeMap::new(),
            completed: 0,
        }
    }

    /// Returns the concurrency limit at the present stage of warm-up.
    fn concurrency_limit(&self) -> u32 {
        let limit = 1 + self.completed / COMPLETIONS_PER_SLOT;
        limit.min(self.spec.capacity)
    }

    pub(super) fn running(&self) -> usize {
        self.runs.len()
    }
}

/// Returns the pieces of the complete answer to `content`.
pub(super) fn answer_to(content: &str) -> Vec<String> {
    (0..PIECES).map(|p| format!("{content}.{p}")).collect()
}

impl World {
    pub(super) fn start_engine(&mut self, node: NodeId) {
        if let Some(engine) = self.engines.get_mut(&node) {
            engine.generation += 1;
            engine.completed = 0;
            engine.runs.clear();
        }
    }

    /// Restarts an engine cold; the requests that it runs fail.
    pub(super) fn restart_cold(&mut self, node: NodeId) {
        self.crash_engine(node);
        self.start_engine(node);
    }

    /// Starts a request and returns its number at the engine.
    pub(super) fn engine_run(&mut self, node: NodeId, run: Run) -> u64 {
        let number = self.next_id();
        let host = &self.hosts[node];
        let (name, zone) = (host.name.clone(), host.zone.clone());
        let engine = self
            .engines
            .get_mut(&node)
            .expect("an upstream has an engine");
        let (running, limit) = (engine.runs.len() as u32, engine.concurrency_limit());
        let (generation, pause) = (engine.generation, engine.spec.takes / PIECES as u32);
        let poisoned = self.poisons.contains(&run.content);
        self.history
            .check_concurrency(self.time, &name, running, limit);
        self.history.started(self.time, &run.name, &name, &zone);
        engine.runs.insert(number, run);
        let pause = if poisoned { pause / 2 } else { pause };
        self.schedule(pause, SimEvent::Engine(node, generation, number));
        number
    }

    /// Produces the next piece of an answer, or crashes the engine on poisoned content.
    pub(super) fn engine_step(&mut self, node: NodeId, generation: u64, number: u64) {
        let Some(engine) = self
            .engines
            .get_mut(&node)
            .filter(|e| e.generation == generation)
        else {
            return;
        };
        let Some(run) = engine.runs.get_mut(&number) else {
            return;
        };
        if self.poisons.contains(&run.content) {
            self.history.crashes += 1;
            let text = format!("{} crashes {}", run.content, self.hosts[node].name);
            self.note(&text);
            self.restart_cold(node);
            return;
        }
        let position = run.position;
        run.position = (position + 1).min(PIECES);
        let (run, pause) = (run.clone(), engine.spec.takes / PIECES as u32);
        let ended = run.position == PIECES;
        if ended {
            engine.runs.remove(&number);
            engine.completed += 1;
        } else {
            self.schedule(pause, SimEvent::Engine(node, generation, number));
        }
        self.piece_produced(node, number, &run, position, ended);
    }

    /// Crashes an engine; the requests that it runs fail.
    pub(super) fn crash_engine(&mut self, node: NodeId) {
        let Some(engine) = self.engines.get_mut(&node) else {
            return;
        };
        let runs = std::mem::take(&mut engine.runs);
        engine.generation += u64::from(!runs.is_empty());
        self.runs_failed(node, runs);
    }

    pub(super) fn answer_run(&mut self, node: NodeId, run: &Run, answer: WorkAnswer) {
        if !run.connected {
            return;
        }
        let packet = super::Packet::Answer(run.request, run.attempt, answer);
        self.send(node, run.entry, packet);
    }

    /// Time without a piece or an answer after which an attempt fails.
    pub(super) fn piece_timeout() -> Duration {
        Duration::from_secs(2)
    }
}
