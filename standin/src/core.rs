//! State shared by the handlers of one stand-in engine.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pimentotide_model::ServiceKind;
use pimentotide_upstream::{CacheChange, CacheEvent, EngineState, LoadedModel};

use crate::{Control, EngineOptions, Ledger};

/// Maximum number of cache events kept for the next announcement; the oldest are dropped.
const MAX_CACHE_EVENTS: usize = 1024;

/// An engine crashes when its running requests exceed its current capacity by this factor.
const CRASH_LOAD_FACTOR: u32 = 2;

/// State of one stand-in engine.
pub(crate) struct Core {
    pub(crate) options: EngineOptions,
    inner: Mutex<Inner>,
}

struct Inner {
    /// Start time, µs since the Unix epoch; identifies the incarnation.
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

/// Run in progress; its end is recorded on drop.
///
/// It counts as completed if [`Run::complete`] was called and the engine has not restarted since
/// the run started, else as aborted.
pub(crate) struct Run {
    core: std::sync::Arc<Core>,
    id: String,
    incarnation: u64,
    bytes: u64,
    completed: bool,
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

    /// Starts a run; `None` if the request crashed the engine.
    pub(crate) fn begin(self: &std::sync::Arc<Self>, id: &str, body: &[u8]) -> Option<Run> {
        let mut inner = self.lock();
        let capacity = self.current_capacity(&inner);
        inner.running += 1;
        let (started, running) = (inner.started, inner.running);
        inner.ledger.begin(id, started, running, capacity);
        if running > capacity * CRASH_LOAD_FACTOR || inner.crashes_on(body) {
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
            completed: false,
        })
    }

    /// Looks up the blocks of a prompt, caches the missing ones and returns the hit ratio.
    pub(crate) fn cache_hit_ratio(&self, blocks: &[u64]) -> f64 {
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

    /// Returns the state to announce, including the cache events since the last call.
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

    /// Whether the engine accepts requests but makes no progress on them.
    pub(crate) fn is_stalled(&self) -> bool {
        self.lock().control.stall
    }

    /// Scales a delay by the injected slowness.
    pub(crate) fn scaled(&self, delay: Duration) -> Duration {
        delay.mul_f64(self.lock().control.slowness.max(0.01))
    }

    fn current_capacity(&self, inner: &Inner) -> u32 {
        let options = &self.options;
        let warmed_up =
            options.initial_capacity + inner.finished / options.completions_per_slot.max(1);
        warmed_up.min(options.capacity)
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

    fn store(&mut self, block: u64, max_blocks: usize) {
        self.cache.push_back(block);
        self.push_event(CacheChange::Stored, block);
        if self.cache.len() > max_blocks
            && let Some(old) = self.cache.pop_front()
        {
            self.push_event(CacheChange::Evicted, old);
        }
    }

    fn push_event(&mut self, change: CacheChange, block: u64) {
        self.sequence += 1;
        if self.events.len() == MAX_CACHE_EVENTS {
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
    /// Whether the engine has not restarted since this run started.
    pub(crate) fn is_current(&self) -> bool {
        self.core.lock().started == self.incarnation
    }

    pub(crate) fn core(&self) -> &Core {
        &self.core
    }

    pub(crate) fn add_bytes(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
    }

    /// Records that a token was generated.
    pub(crate) fn advance(&self) {
        self.core.lock().progress += 1;
    }

    pub(crate) fn complete(&mut self) {
        self.completed = true;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut inner = self.core.lock();
        let current = inner.started == self.incarnation;
        inner
            .ledger
            .end(&self.id, self.completed && current, self.bytes);
        if current {
            inner.running -= 1;
            inner.finished += u32::from(self.completed);
        }
    }
}

fn unix_micros() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}
