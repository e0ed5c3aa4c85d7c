//! Beliefs about which upstream holds which block of a prompt.
//!
//! Cache events arrive late, out of order and with gaps. Events that come too
//! early wait for the missing ones; when a gap stays open, a snapshot is asked
//! for. Requests that this entry places add beliefs as well. A wrong belief
//! costs one prefill and is weighed by how often beliefs about that upstream
//! have proved true.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use pimentotide_model::{Incarnation, Time};
use smallvec::SmallVec;

/// Holders after which a block counts as held by all.
const COMMON_HOLDERS: usize = 12;
/// Blocks believed held by one upstream, at most.
const MAX_SLOT_BLOCKS: usize = 16_384;
/// Blocks believed held by all upstreams together, at most.
const MAX_BLOCKS: usize = 2_000_000;
/// Events that wait for a missing one, at most.
const MAX_EARLY: usize = 64;
/// Shortest time between two requests for a snapshot.
const RESYNC_PAUSE: Duration = Duration::from_secs(1);

/// Change of the cache of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks were stored.
    Stored(Vec<u64>),
    /// Blocks were evicted.
    Evicted(Vec<u64>),
    /// All blocks were dropped.
    Cleared,
}

/// Event that an upstream publishes about its cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Start of the upstream that it belongs to.
    pub incarnation: Incarnation,
    /// Position in the upstream's sequence of events, from 1.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// All blocks that an upstream holds after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheSnapshot {
    /// Start of the upstream that it belongs to.
    pub incarnation: Incarnation,
    /// Event up to which it holds.
    pub sequence: u64,
    /// Blocks held.
    pub blocks: Vec<u64>,
}

/// What to do after a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheAction {
    /// Nothing.
    None,
    /// Ask the upstream's agent for a snapshot.
    Resync,
}

/// Holders of one block.
type Holders = SmallVec<[u32; 4]>;

/// Passes block digests through, which are hashes already.
#[derive(Debug, Default)]
struct DigestHasher(u64);

impl Hasher for DigestHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

/// Progress through the events of one upstream.
#[derive(Debug, Default)]
struct Feed {
    incarnation: Incarnation,
    applied: u64,
    early: BTreeMap<u64, CacheChange>,
    asked: Option<Time>,
    blocks: VecDeque<u64>,
}

/// Beliefs about all upstreams.
#[derive(Debug, Default)]
pub(super) struct Beliefs {
    holders: HashMap<u64, Holders, BuildHasherDefault<DigestHasher>>,
    feeds: Vec<Feed>,
}

impl Beliefs {
    /// Makes room for `count` upstreams.
    pub(super) fn resize(&mut self, count: usize) {
        if self.feeds.len() < count {
            self.feeds.resize_with(count, Feed::default);
        }
    }

    /// Forgets all about the upstream in `slot`, whose start is now `incarnation`.
    pub(super) fn restart(&mut self, slot: u32, incarnation: Incarnation) {
        self.clear(slot);
        let feed = &mut self.feeds[slot as usize];
        feed.incarnation = incarnation;
        feed.applied = 0;
        feed.early.clear();
        feed.asked = None;
    }

    /// Takes a cache event.
    pub(super) fn event(&mut self, slot: u32, event: CacheEvent, now: Time) -> CacheAction {
        let feed = &mut self.feeds[slot as usize];
        if event.incarnation != feed.incarnation || event.sequence <= feed.applied {
            return CacheAction::None;
        }
        if feed.early.len() >= MAX_EARLY {
            feed.early.pop_first();
        }
        feed.early.insert(event.sequence, event.change);
        self.apply_early(slot);
        self.gap(slot, now)
    }

    /// Takes a snapshot asked for after a gap.
    pub(super) fn snapshot(
        &mut self,
        slot: u32,
        snapshot: &CacheSnapshot,
        now: Time,
    ) -> CacheAction {
        let feed = &mut self.feeds[slot as usize];
        if snapshot.incarnation != feed.incarnation || snapshot.sequence < feed.applied {
            return CacheAction::None;
        }
        feed.applied = snapshot.sequence;
        feed.early
            .retain(|sequence, _| *sequence > snapshot.sequence);
        feed.asked = None;
        self.clear(slot);
        self.add(slot, &snapshot.blocks);
        self.apply_early(slot);
        self.gap(slot, now)
    }

    /// Believes that the upstream in `slot` holds `blocks`.
    pub(super) fn add(&mut self, slot: u32, blocks: &[u64]) {
        let most = MAX_SLOT_BLOCKS.min(MAX_BLOCKS / self.feeds.len().max(1));
        for block in blocks {
            let holders = self.holders.entry(*block).or_default();
            if holders.len() >= COMMON_HOLDERS || holders.contains(&slot) {
                continue;
            }
            holders.push(slot);
            let feed = &mut self.feeds[slot as usize];
            feed.blocks.push_back(*block);
            if feed.blocks.len() > most
                && let Some(oldest) = feed.blocks.pop_front()
            {
                self.drop_holder(slot, oldest);
            }
        }
    }

    /// Stops believing that the upstream in `slot` holds `blocks`.
    pub(super) fn remove(&mut self, slot: u32, blocks: &[u64]) {
        for block in blocks {
            self.drop_holder(slot, *block);
        }
    }

    /// Leading blocks of `prefix` believed held in `slot`.
    pub(super) fn hit(&self, slot: u32, prefix: &[u64]) -> u32 {
        self.depth(prefix, |holders| {
            holders.len() >= COMMON_HOLDERS || holders.contains(&slot)
        })
    }

    /// Holders of the longest part of `prefix` that not everyone holds.
    pub(super) fn best_holders(&self, prefix: &[u64]) -> &[u32] {
        let depth = self.depth(prefix, |holders| !holders.is_empty());
        let Some(index) = (depth as usize).checked_sub(1) else {
            return &[];
        };
        match self.holders.get(&prefix[index]) {
            Some(holders) if holders.len() < COMMON_HOLDERS => holders,
            _ => &[],
        }
    }

    /// Blocks that are believed held by anyone.
    pub(super) fn len(&self) -> usize {
        self.holders.len()
    }

    /// Length of the longest leading part whose last block satisfies `test`.
    fn depth<F>(&self, prefix: &[u64], test: F) -> u32
    where
        F: Fn(&Holders) -> bool,
    {
        let depth = prefix.partition_point(|block| self.holders.get(block).is_some_and(&test));
        u32::try_from(depth).unwrap_or(u32::MAX)
    }

    fn apply_early(&mut self, slot: u32) {
        loop {
            let feed = &mut self.feeds[slot as usize];
            let next = feed.applied + 1;
            let Some(change) = feed.early.remove(&next) else {
                return;
            };
            feed.applied = next;
            match change {
                CacheChange::Stored(blocks) => self.add(slot, &blocks),
                CacheChange::Evicted(blocks) => self.remove(slot, &blocks),
                CacheChange::Cleared => self.clear(slot),
            }
        }
    }

    /// Asks for a snapshot while events are missing.
    fn gap(&mut self, slot: u32, now: Time) -> CacheAction {
        let feed = &mut self.feeds[slot as usize];
        if feed.early.is_empty() {
            feed.asked = None;
            return CacheAction::None;
        }
        let paused = feed.asked.is_some_and(|at| now.since(at) < RESYNC_PAUSE);
        if paused {
            return CacheAction::None;
        }
        feed.asked = Some(now);
        CacheAction::Resync
    }

    fn clear(&mut self, slot: u32) {
        let blocks = std::mem::take(&mut self.feeds[slot as usize].blocks);
        for block in blocks {
            self.drop_holder(slot, block);
        }
    }

    fn drop_holder(&mut self, slot: u32, block: u64) {
        let Some(holders) = self.holders.get_mut(&block) else {
            return;
        };
        holders.retain(|s| *s != slot);
        if holders.is_empty() {
            self.holders.remove(&block);
        }
    }
}
