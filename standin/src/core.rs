//! State shared by the handlers of one stand-in engine.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pimentotide_model::ServiceKind;
use pimentotide_upstream::{CacheChange, CacheEvent, EngineState, LoadedModel};

use crate::{Control, EngineOptions, Ledger};

/// Cache events kept for the next announcement at most; older ones are lost.
const MAX_EVENTS: usize = 1024;

/// Load over what it bears, as a multiple, at which an engine falls over.
const CRASH_FACTOR: u32 = 2;

/// One stand-in engine.
pub(crate) struct Core {
    pub(crate) options: EngineOptions,
    inner: Mutex<Inner>,
}

struct Inner {
    started: u64,
    running: u32,
    finished: u32,
    ledger: Ledger,
    cache: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
    progress: u64,
    control: Control,
}

/// A run in progress; ends as broken off unless [`Run::complete`] is called.
pub(crate) struct Run {
    core: std::sync::Arc<Core>,
    id: String,
    incarnation: u64,
    bytes: u64,
    whole: bool,
}

impl Core {
    pub(crate) fn new(options: EngineOptions) -> Self {
        let inner = Inner {
            started: unix_micros(),
            running: 0,
            finished: 0,
            ledger: Ledger::default(),
            cache: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
            progress: 0,
            control: Control::default(),
        };
        Self {
            options,
            inner: Mutex::new(inner),
        }
    }

    /// Begins a run; none if the engine fell over instead.
    pub(crate) fn begin(self: &std::sync::Arc<Self>, id: &str, body: &[u8]) -> Option<Run> {
        let mut inner = self.lock();
        let bearable = self.bearable(&inner);
        inner.running += 1;
        let (started, running) = (inner.started, inner.running);
        inner.ledger.begin(id, started, running, bearable);
        if running > bearable * CRASH_FACTOR || inner.crashes_on(body) {
            inner.ledger.crashes += 1;
            inner.ledger.end(id, false, 0);
            inner.restart();
            return None;
        }
        let core = std::sync::Arc::clone(self);
        Some(Run {
            core,
            id: id.to_owned(),
            incarnation: started,
            bytes: 0,
            whole: false,
        })
    }

    /// Looks up and stores the blocks of a prompt; returns the share that was cached.
    pub(crate) fn cached_share(&self, blocks: &[u64]) -> f64 {
        if blocks.is_empty() {
            return 0.0;
        }
        let mut inner = self.lock();
        let hits = blocks
            .iter()
            .take_while(|b| inner.cache.contains(b))
            .count();
        inner.ledger.cache_hits += hits as u64;
        inner.ledger.cache_lookups += blocks.len() as u64;
        for block in &blocks[hits..] {
            inner.store(*block, self.options.cache_blocks);
        }
        hits as f64 / blocks.len() as f64
    }

    /// State to announce; takes the cache events along.
    pub(crate) fn announce(&self, address: SocketAddr) -> EngineState {
        let mut inner = self.lock();
        let options = &self.options;
        let models = match options.kind {
            ServiceKind::Model => vec![LoadedModel {
                name: options.model.clone(),
                version: options.version.clone(),
            }],
            ServiceKind::Plain => Vec::new(),
        };
        EngineState {
            address,
            started: inner.started,
            kind: options.kind,
            services: options.services.clone(),
            models,
            adapters: Vec::new(),
            capacity: options.capacity,
            running: inner.running,
            waiting: 0,
            progress: (options.kind == ServiceKind::Model).then_some(inner.progress),
            group: None,
            cache: inner.events.drain(..).collect(),
        }
    }

    pub(crate) fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    pub(crate) fn control(&self, control: Control) {
        let mut inner = self.lock();
        if control.restart {
            inner.restart();
        }
        inner.control = Control {
            restart: false,
            ..control
        };
    }

    /// Whether the engine accepts work but makes no progress.
    pub(crate) fn is_stalled(&self) -> bool {
        self.lock().control.stall
    }

    /// Scales a delay by the slowness that was set.
    pub(crate) fn scaled(&self, delay: Duration) -> Duration {
        delay.mul_f64(self.lock().control.slowness.max(0.01))
    }

    fn bearable(&self, inner: &Inner) -> u32 {
        let options = &self.options;
        let grown = options.initial_capacity + inner.finished / options.completions_per_slot.max(1);
        grown.min(options.capacity)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn crashes_on(&self, body: &[u8]) -> bool {
        let text = self.control.crash_on.as_ref();
        text.is_some_and(|text| body.windows(text.len()).any(|w| w == text.as_bytes()))
    }

    fn restart(&mut self) {
        self.started = unix_micros().max(self.started + 1);
        self.running = 0;
        self.finished = 0;
        self.cache.clear();
        self.events.clear();
        self.sequence = 0;
    }

    fn store(&mut self, block: u64, bound: usize) {
        self.cache.push_back(block);
        self.push_event(CacheChange::Stored, block);
        if self.cache.len() > bound
            && let Some(old) = self.cache.pop_front()
        {
            self.push_event(CacheChange::Evicted, old);
        }
    }

    fn push_event(&mut self, change: CacheChange, block: u64) {
        self.sequence += 1;
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            change,
            block,
        });
    }
}

impl Run {
    /// Whether the engine still is the one that began this run.
    pub(crate) fn is_current(&self) -> bool {
        self.core.lock().started == self.incarnation
    }

    pub(crate) fn core(&self) -> &Core {
        &self.core
    }

    pub(crate) fn wrote(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
    }

    /// Notes that a token was generated.
    pub(crate) fn advance(&self) {
        self.core.lock().progress += 1;
    }

    pub(crate) fn complete(&mut self) {
        self.whole = true;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut inner = self.core.lock();
        let current = inner.started == self.incarnation;
        inner
            .ledger
            .end(&self.id, self.whole && current, self.bytes);
        if current {
            inner.running -= 1;
            inner.finished += u32::from(self.whole);
        }
    }
}

fn unix_micros() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}
