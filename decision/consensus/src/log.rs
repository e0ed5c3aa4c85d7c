//! In-memory log from the last compaction on.

use std::collections::VecDeque;

use pimentotide_model::{Term, Time};

use crate::{Config, Entry, Identity, Index, LogId, Member, Payload, SnapshotMeta};

/// Log entries in memory with the memberships that they set.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    base: LogId,
    base_time: Time,
    entries: VecDeque<Entry>,
    configs: Vec<(Index, Config)>,
}

impl Log {
    /// Builds the log that follows a snapshot, or the empty log.
    pub(crate) fn new(snapshot: Option<&SnapshotMeta>) -> Self {
        match snapshot {
            Some(meta) => Self {
                base: meta.last,
                base_time: meta.time,
                entries: VecDeque::new(),
                configs: vec![(meta.last.index, meta.config.clone())],
            },
            None => Self {
                base: LogId::default(),
                base_time: Time::ZERO,
                entries: VecDeque::new(),
                configs: vec![(Index(0), Config::default())],
            },
        }
    }

    /// Id of the last entry, or the base if there is none.
    pub(crate) fn last(&self) -> LogId {
        self.entries.back().map_or(self.base, |e| e.id)
    }

    /// Id of the entry before the first one held.
    pub(crate) fn base(&self) -> LogId {
        self.base
    }

    /// Time of the last entry, or of the base if there is none.
    pub(crate) fn last_time(&self) -> Time {
        self.entries.back().map_or(self.base_time, |e| e.time)
    }

    /// Latest membership, committed or not.
    pub(crate) fn config(&self) -> &Config {
        &self.configs[self.configs.len() - 1].1
    }

    /// Index of the entry that set the latest membership.
    pub(crate) fn config_index(&self) -> Index {
        self.configs[self.configs.len() - 1].0
    }

    /// Index of the latest change of voters or arbiters and the membership before it; `None` if the log
    /// holds none.
    pub(crate) fn last_quorum_change(&self) -> Option<(Index, &Config)> {
        let latest = self.config();
        let at = self
            .configs
            .iter()
            .rposition(|(_, c)| !c.has_quorums_of(latest))?;
        let (_, previous) = &self.configs[at];
        let (changed, _) = self.configs[at + 1];
        // The first membership of a log has no predecessor.
        (!previous.voters.is_empty()).then_some((changed, previous))
    }

    /// Returns the first entry after `index` which shows that the change of members at `index` was committed.
    ///
    /// A leader changes the members again only after that, and appends a no-op other than the first
    /// entry of its term.
    pub(crate) fn commit_record(&self, index: Index) -> Option<Index> {
        let marks = |e: &Entry| match e.payload {
            Payload::Config(_) => true,
            Payload::Noop => self.term_at(e.id.index.prev()) == Some(e.id.term),
            Payload::Command(_) => false,
        };
        let later = self.entries.iter().rev();
        let later = later.take_while(|e| e.id.index > index);
        later.filter(|e| marks(e)).last().map(|e| e.id.index)
    }

    /// Returns `who` as a member of the latest membership in which it is one.
    pub(crate) fn member(&self, who: &Identity) -> Option<&Member> {
        let mut members = self
            .configs
            .iter()
            .rev()
            .filter_map(|(_, c)| c.member(&who.name));
        members.find(|m| m.disk == who.disk)
    }

    /// Returns whether `who` is a voter of a membership that the log holds.
    pub(crate) fn names_voter(&self, who: &Identity) -> bool {
        self.configs.iter().any(|(_, c)| c.is_voter(who))
    }

    /// Membership as of `index`, which must not lie before the base.
    pub(crate) fn config_at(&self, index: Index) -> &Config {
        let at = self.configs.partition_point(|(i, _)| *i <= index);
        &self.configs[at.max(1) - 1].1
    }

    /// Returns the entry at `index`, if it is held.
    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Term of the entry at `index`, also at the base.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.id.term)
    }

    /// Returns the lowest index after which the entries up to `index` take at most `bytes`.
    pub(crate) fn first_within(&self, index: Index, bytes: u64) -> Index {
        let mut first = index;
        let mut size = 0;
        while let Some(entry) = self.get(first) {
            size += entry.size() as u64;
            if size > bytes {
                break;
            }
            first = first.prev();
        }
        first
    }

    /// Returns the size of the entries after `index` in bytes.
    pub(crate) fn bytes_after(&self, index: Index) -> u64 {
        self.bytes_between(index, self.last().index)
    }

    /// Returns the size of the entries after `first` up to `last` in bytes.
    pub(crate) fn bytes_between(&self, first: Index, last: Index) -> u64 {
        let mut size = 0;
        let mut index = last;
        while index > first
            && let Some(entry) = self.get(index)
        {
            size += entry.size() as u64;
            index = index.prev();
        }
        size
    }

    /// Returns entries from `from` on: at least one if held, more up to `bytes` in total.
    pub(crate) fn slice(&self, from: Index, bytes: usize) -> Vec<Entry> {
        self.batch(from, bytes).cloned().collect()
    }

    /// Returns the size of the entries that [`slice`](Self::slice) returns.
    pub(crate) fn batch_bytes(&self, from: Index, bytes: usize) -> u64 {
        self.batch(from, bytes).map(|e| e.size() as u64).sum()
    }

    fn batch(&self, from: Index, bytes: usize) -> impl Iterator<Item = &Entry> {
        let offset = from.0.checked_sub(self.base.index.0 + 1);
        let offset = offset.and_then(|o| usize::try_from(o).ok());
        let first = offset.map_or(self.entries.len(), |o| o.min(self.entries.len()));
        let mut size = 0;
        let held = self.entries.range(first..).enumerate();
        let fits = move |(n, e): &(usize, &Entry)| {
            size += e.size();
            *n == 0 || size <= bytes
        };
        held.take_while(fits).map(|(_, e)| e)
    }

    /// Appends an entry, which must directly follow the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.id.index, self.last().index.next());
        if let Payload::Config(config) = &entry.payload {
            self.configs.push((entry.id.index, config.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on.
    pub(crate) fn truncate(&mut self, index: Index) {
        let kept = index.0.saturating_sub(self.base.index.0 + 1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        self.configs
            .retain(|(i, _)| *i < index || *i <= self.base.index);
    }

    /// Removes the entries up to `index`; does nothing if `index` is not held.
    pub(crate) fn compact(&mut self, index: Index) {
        let Some(entry) = self.get(index) else {
            return;
        };
        let (id, time) = (entry.id, entry.time);
        let config = self.config_at(index).clone();
        let dropped = usize::try_from(index.0 - self.base.index.0).unwrap_or(usize::MAX);
        self.entries.drain(..dropped);
        self.configs.retain(|(i, _)| *i > index);
        self.configs.insert(0, (index, config));
        self.base = id;
        self.base_time = time;
    }

    /// Highest index at or below `index` whose term does not exceed `term`.
    pub(crate) fn hint(&self, index: Index, term: Term) -> Index {
        let mut at = index.min(self.last().index);
        while at > self.base.index && self.term_at(at).is_some_and(|t| t > term) {
            at = at.prev();
        }
        at
    }
}
