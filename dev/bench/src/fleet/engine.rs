//! Model of an engine with continuous batching and a prompt prefix cache.

use std::collections::{BTreeMap, HashMap};

use pimentotide_model::Time;

/// Capacity of the prefix cache, in blocks.
const CACHE_BLOCKS: usize = 4_000;
/// Time to prefill one block in an empty batch, in microseconds.
const BLOCK_MICROS: f64 = 2_000.0;
/// Time of one step in an empty batch, in microseconds.
const STEP_MICROS: f64 = 10_000.0;
/// Relative slowdown that a full batch adds.
const BATCH_SLOWDOWN: f64 = 1.0;
/// Slowdown factor right after a cold start.
const COLD_SLOWDOWN: f64 = 2.0;
/// Completions after which a cold engine runs at full speed.
const WARM_UP_COMPLETIONS: u32 = 32;

/// One request in the batch; `first` and `last` are in microseconds of the engine clock.
#[derive(Clone, Copy, Debug)]
struct Job {
    request: usize,
    cached: u32,
    first: f64,
    last: f64,
    started: bool,
}

/// Milestone that an engine reached.
#[derive(Clone, Copy, Debug)]
pub enum Milestone {
    /// First token of a request.
    First(usize),
    /// Last token of a request, with the blocks found in the cache.
    Last(usize, u32),
}

/// Model of one engine.
#[derive(Debug)]
pub struct EngineModel {
    /// Slowdown factor relative to a healthy engine.
    pub slowdown: f64,
    /// Concurrent requests of a warm engine.
    pub capacity: u32,
    /// Highest number of concurrent requests beyond the warm capacity so far.
    pub excess: u32,
    jobs: Vec<Job>,
    clock: f64,
    updated: Time,
    completions: u32,
    uses: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    tick: u64,
}

impl EngineModel {
    /// Builds a cold engine.
    pub fn new(capacity: u32, slowdown: f64) -> Self {
        Self {
            slowdown,
            capacity,
            excess: 0,
            jobs: Vec::new(),
            clock: 0.0,
            updated: Time::ZERO,
            completions: 0,
            uses: HashMap::new(),
            order: BTreeMap::new(),
            tick: 0,
        }
    }

    /// Clears the cache and the warm-up, as after a restart.
    pub fn reset(&mut self) {
        self.completions = 0;
        self.uses.clear();
        self.order.clear();
    }

    /// Number of requests in the batch.
    pub fn running(&self) -> usize {
        self.jobs.len()
    }

    /// Concurrent requests for which the engine is warm: one more after every two completions.
    pub fn warm_capacity(&self) -> u32 {
        self.capacity.min(1 + self.completions / 2)
    }

    /// Starts a request; returns the blocks stored and the blocks evicted.
    pub fn start(
        &mut self,
        request: usize,
        prefix: &[u64],
        tokens: u32,
        now: Time,
    ) -> (Vec<u64>, Vec<u64>) {
        self.advance(now);
        let cached = prefix.partition_point(|b| self.uses.contains_key(b));
        let stored = prefix[cached..].to_vec();
        let evicted = self.touch(prefix);
        let prefill = stored.len() as f64 * BLOCK_MICROS + STEP_MICROS;
        let first = self.clock + prefill;
        self.jobs.push(Job {
            request,
            cached: cached as u32,
            first,
            last: first + f64::from(tokens.saturating_sub(1)) * STEP_MICROS,
            started: false,
        });
        let running = self.jobs.len() as u32;
        self.excess = self
            .excess
            .max(running.saturating_sub(self.warm_capacity()));
        (stored, evicted)
    }

    /// Time of the next milestone.
    pub fn next(&self) -> Option<Time> {
        let at = self
            .jobs
            .iter()
            .map(|j| if j.started { j.last } else { j.first })
            .min_by(f64::total_cmp)?;
        let micros = (at - self.clock).max(0.0) / self.rate();
        Some(self.updated + std::time::Duration::from_micros(micros.ceil() as u64))
    }

    /// Advances to `now` and returns the milestones reached.
    pub fn reached(&mut self, now: Time) -> Vec<Milestone> {
        self.advance(now);
        let clock = self.clock + 0.5;
        let mut reached = Vec::new();
        for job in &mut self.jobs {
            if !job.started && job.first <= clock {
                job.started = true;
                reached.push(Milestone::First(job.request));
            }
        }
        let done = self.jobs.iter().filter(|j| j.started && j.last <= clock);
        reached.extend(done.map(|j| Milestone::Last(j.request, j.cached)));
        let before = self.jobs.len();
        self.jobs.retain(|j| !j.started || j.last > clock);
        self.completions += (before - self.jobs.len()) as u32;
        reached
    }

    /// Removes a request from the batch.
    pub fn cancel(&mut self, request: usize, now: Time) {
        self.advance(now);
        self.jobs.retain(|j| j.request != request);
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.updated).as_micros() as f64;
        self.clock += elapsed * self.rate();
        self.updated = self.updated.max(now);
    }

    /// Progress of each request in the current batch, in engine clock per microsecond.
    fn rate(&self) -> f64 {
        let batch = 1.0 + BATCH_SLOWDOWN * self.jobs.len() as f64 / f64::from(self.capacity);
        let cold_part = 1.0
            - f64::from(self.completions.min(WARM_UP_COMPLETIONS)) / f64::from(WARM_UP_COMPLETIONS);
        let cold = 1.0 + (COLD_SLOWDOWN - 1.0) * cold_part;
        1.0 / (batch * cold * self.slowdown)
    }

    /// Marks blocks as recently used; returns the blocks evicted.
    fn touch(&mut self, blocks: &[u64]) -> Vec<u64> {
        // The last block is marked first, so that leaves are evicted before roots.
        for block in blocks.iter().rev() {
            self.tick += 1;
            if let Some(old) = self.uses.insert(*block, self.tick) {
                self.order.remove(&old);
            }
            self.order.insert(self.tick, *block);
        }
        let mut evicted = Vec::new();
        while self.uses.len() > CACHE_BLOCKS {
            let Some((_, block)) = self.order.pop_first() else {
                break;
            };
            self.uses.remove(&block);
            evicted.push(block);
        }
        evicted
    }
}
