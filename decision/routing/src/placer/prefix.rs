//! Index of the prompt blocks expected in the cache of each upstream.
//!
//! Cache events arrive late, out of order and with gaps. Events that arrive
//! early are buffered until the missing ones arrive; while a gap remains, a
//! snapshot is requested. Requests that this entry places add their blocks as
//! well. A wrong record costs one prefill; `Slot::hit_confidence` discounts
//! expected hits by the accuracy of earlier ones.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use pimentotide_model::{Incarnation, Time};
use smallvec::SmallVec;

/// Holders from which a block counts as cached on all upstreams.
const COMMON_HOLDERS: usize = 12;
/// Largest number of blocks indexed per upstream.
const MAX_SLOT_BLOCKS: usize = 16_384;
/// Largest number of blocks indexed over all upstreams.
const MAX_BLOCKS: usize = 2_000_000;
/// Largest number of events buffered behind a gap, per upstream.
const MAX_BUFFERED: usize = 64;
/// Shortest time between two requests for a snapshot.
const RESYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Change to the cache of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks were stored.
    Stored(Vec<u64>),
    /// Blocks were evicted.
    Evicted(Vec<u64>),
    /// All blocks were evicted.
    Cleared,
}

/// Event that an upstream publishes about its cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Incarnation of the upstream that published it.
    pub incarnation: Incarnation,
    /// Sequence number in the incarnation, from 1.
    pub sequence: u64,
    /// Change to apply.
    pub change: CacheChange,
}

/// All blocks cached on an upstream after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheSnapshot {
    /// Incarnation of the upstream that published it.
    pub incarnation: Incarnation,
    /// Sequence number of the last event that it includes.
    pub sequence: u64,
    /// Digests of the cached blocks.
    pub blocks: Vec<u64>,
}

/// Action that a cache event requires of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheAction {
    /// No action.
    None,
    /// Request a snapshot from the upstream's agent.
    Resync,
}

/// Slots of the upstreams that cache one block.
type Holders = SmallVec<[u32; 4]>;

/// Identity hasher for block digests, which are hashes already.
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

/// State of the event stream of one upstream.
#[derive(Debug, Default)]
struct EventFeed {
    incarnation: Incarnation,
    /// Sequence number of the last event applied.
    applied: u64,
    /// Changes by sequence number that wait for earlier events.
    buffered: BTreeMap<u64, CacheChange>,
    /// Time of the last snapshot request for the current gap.
    requested_at: Option<Time>,
    /// Blocks in the order of their addition; may include blocks removed since.
    blocks: VecDeque<u64>,
}

/// Cached blocks of all upstreams.
#[derive(Debug, Default)]
pub(super) struct CacheIndex {
    holders: HashMap<u64, Holders, BuildHasherDefault<DigestHasher>>,
    feeds: Vec<EventFeed>,
}

impl CacheIndex {
    /// Grows to `count` slots.
    pub(super) fn resize(&mut self, count: usize) {
        if self.feeds.len() < count {
            self.feeds.resize_with(count, EventFeed::default);
        }
    }

    /// Resets the upstream in `slot` to `incarnation` with an empty cache.
    pub(super) fn restart(&mut self, slot: u32, incarnation: Incarnation) {
        self.clear(slot);
        let feed = &mut self.feeds[slot as usize];
        feed.incarnation = incarnation;
        feed.applied = 0;
        feed.buffered.clear();
        feed.requested_at = None;
    }

    /// Applies a cache event, or buffers it while earlier ones are missing.
    pub(super) fn event(&mut self, slot: u32, event: CacheEvent, now: Time) -> CacheAction {
        let feed = &mut self.feeds[slot as usize];
        if event.incarnation != feed.incarnation || event.sequence <= feed.applied {
            return CacheAction::None;
        }
        if feed.buffered.len() >= MAX_BUFFERED {
            feed.buffered.pop_first();
        }
        feed.buffered.insert(event.sequence, event.change);
        self.apply_buffered(slot);
        self.check_gap(slot, now)
    }

    /// Applies a snapshot requested after a gap, then the buffered events that follow it.
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
        feed.buffered
            .retain(|sequence, _| *sequence > snapshot.sequence);
        feed.requested_at = None;
        self.clear(slot);
        self.add(slot, &snapshot.blocks);
        self.apply_buffered(slot);
        self.check_gap(slot, now)
    }

    /// Adds `blocks` to the upstream in `slot`; evicts its oldest blocks above the limit.
    pub(super) fn add(&mut self, slot: u32, blocks: &[u64]) {
        let max = MAX_SLOT_BLOCKS.min(MAX_BLOCKS / self.feeds.len().max(1));
        for block in blocks {
            let holders = self.holders.entry(*block).or_default();
            if holders.len() >= COMMON_HOLDERS || holders.contains(&slot) {
                continue;
            }
            holders.push(slot);
            let feed = &mut self.feeds[slot as usize];
            feed.blocks.push_back(*block);
            if feed.blocks.len() > max
                && let Some(oldest) = feed.blocks.pop_front()
            {
                self.drop_holder(slot, oldest);
            }
        }
    }

    /// Removes `blocks` from the upstream in `slot`.
    pub(super) fn remove(&mut self, slot: u32, blocks: &[u64]) {
        for block in blocks {
            self.drop_holder(slot, *block);
        }
    }

    /// Returns the number of leading blocks of `prefix` expected in the cache of `slot`.
    pub(super) fn hit(&self, slot: u32, prefix: &[u64]) -> u32 {
        self.depth(prefix, |holders| {
            holders.len() >= COMMON_HOLDERS || holders.contains(&slot)
        })
    }

    /// Returns the holders of the longest indexed part of `prefix`; none if that part is common.
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

    /// Returns the number of blocks with at least one holder.
    pub(super) fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns the length of the longest leading part whose last block satisfies `test`.
    ///
    /// Uses a binary search, which assumes that a cached block implies all preceding ones.
    fn depth<F>(&self, prefix: &[u64], test: F) -> u32
    where
        F: Fn(&Holders) -> bool,
    {
        let depth = prefix.partition_point(|block| self.holders.get(block).is_some_and(&test));
        u32::try_from(depth).unwrap_or(u32::MAX)
    }

    fn apply_buffered(&mut self, slot: u32) {
        loop {
            let feed = &mut self.feeds[slot as usize];
            let next = feed.applied + 1;
            let Some(change) = feed.buffered.remove(&next) else {
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

    /// Returns whether to request a snapshot, at most once per interval while events are missing.
    fn check_gap(&mut self, slot: u32, now: Time) -> CacheAction {
        let feed = &mut self.feeds[slot as usize];
        if feed.buffered.is_empty() {
            feed.requested_at = None;
            return CacheAction::None;
        }
        let throttled = feed
            .requested_at
            .is_some_and(|at| now.since(at) < RESYNC_INTERVAL);
        if throttled {
            return CacheAction::None;
        }
        feed.requested_at = Some(now);
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
