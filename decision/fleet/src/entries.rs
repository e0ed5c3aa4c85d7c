//! Number of entries by which fleet-wide limits are divided.
//!
//! A count that is too low lets the entries together exceed a limit, one that is
//! too high leaves part of it unused. Replicas that have just started report too
//! few entries, so the leader records the number in the log, which survives a
//! restart of all processes. Before the first record a large number is assumed.

use std::collections::VecDeque;
use std::time::Duration;

use pimentotide_model::Time;

/// Age up to which a reported count is used; longer than a replica takes to discover all entries.
const COUNT_WINDOW: Duration = Duration::from_secs(20);
/// Entries assumed until replicas have had time to discover all of them.
const INITIAL_ENTRIES: usize = 32;
/// Time for which [`INITIAL_ENTRIES`] is assumed; covers several beacons and a restart of all replicas.
const STARTUP_WINDOW: Duration = Duration::from_secs(6);

/// Counts reported within [`COUNT_WINDOW`], newest last.
#[derive(Clone, Debug, Default)]
struct RecentCounts(VecDeque<(Time, usize)>);

impl RecentCounts {
    fn push(&mut self, count: usize, now: Time) {
        self.0.push_back((now, count));
        let is_expired = |(at, _): &(Time, usize)| now.since(*at) > COUNT_WINDOW;
        while self.0.front().is_some_and(is_expired) {
            self.0.pop_front();
        }
    }

    fn max(&self) -> Option<usize> {
        self.0.iter().map(|(_, count)| *count).max()
    }
}

/// Number of entries as used by one entry.
#[derive(Clone, Debug)]
pub struct EntryCount {
    start: Time,
    recorded: usize,
    recent: RecentCounts,
}

impl EntryCount {
    /// Creates a count without any report.
    pub fn new(now: Time) -> Self {
        Self {
            start: now,
            recorded: 0,
            recent: RecentCounts::default(),
        }
    }

    /// Records the number of entries that a replica reports and the number in the log.
    pub fn update(&mut self, reported: usize, recorded: usize, now: Time) {
        self.recorded = recorded;
        self.recent.push(reported.max(recorded), now);
    }

    /// Returns the number to divide limits by, at least 1.
    pub fn get(&self, now: Time) -> usize {
        let highest = self.recent.max().unwrap_or(INITIAL_ENTRIES);
        if self.recorded == 0 && now.since(self.start) < STARTUP_WINDOW {
            highest.max(INITIAL_ENTRIES)
        } else {
            highest.max(1)
        }
    }
}

/// Decides when the leader records the number of entries in the log.
#[derive(Clone, Debug)]
pub struct EntryRecord {
    start: Time,
    recent: RecentCounts,
}

impl EntryRecord {
    /// Creates a record of a leader that started at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            start: now,
            recent: RecentCounts::default(),
        }
    }

    /// Records the current number of entries; returns the number to write to the log if it differs.
    ///
    /// A higher number is due at once, a lower one only after [`COUNT_WINDOW`], and the
    /// first one only once this replica has had time to discover all entries.
    pub fn due(&mut self, reported: usize, recorded: usize, now: Time) -> Option<u32> {
        self.recent.push(reported, now);
        let highest = self.recent.max().unwrap_or(0);
        let uptime = now.since(self.start);
        let higher = highest > recorded && (recorded > 0 || uptime >= STARTUP_WINDOW);
        let lower = highest < recorded && uptime >= COUNT_WINDOW;
        let due = (higher || lower) && highest > 0;
        due.then(|| u32::try_from(highest).unwrap_or(u32::MAX))
    }
}
