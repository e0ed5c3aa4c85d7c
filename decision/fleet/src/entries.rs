//! Number of entries among which limits over all of them are divided.
//!
//! A count that is too low would let all entries together exceed a limit; one
//! that is too high keeps them from using it. What replicas hear of is too low
//! while they have just started, so the leader records the number in the log,
//! which outlasts a restart of everything. Only before the first record is a
//! large number assumed.

use std::collections::VecDeque;
use std::time::Duration;

use pimentotide_model::Time;

/// Time for which a number that was told counts; longer than a replica takes to hear of all entries.
const WINDOW: Duration = Duration::from_secs(20);
/// Entries assumed until replicas have had time to hear of all.
const FIRST: usize = 32;
/// Time for which that is assumed; several beacons, and a restart of all replicas.
const FIRST_WINDOW: Duration = Duration::from_secs(6);

/// Numbers told within a while, newest last.
#[derive(Clone, Debug, Default)]
struct Told(VecDeque<(Time, usize)>);

impl Told {
    fn push(&mut self, number: usize, now: Time) {
        self.0.push_back((now, number));
        let old = |(at, _): &(Time, usize)| now.since(*at) > WINDOW;
        while self.0.front().is_some_and(old) {
            self.0.pop_front();
        }
    }

    fn most(&self) -> Option<usize> {
        self.0.iter().map(|(_, number)| *number).max()
    }
}

/// Number of entries as one entry takes it.
#[derive(Clone, Debug)]
pub struct EntryCount {
    start: Time,
    recorded: usize,
    told: Told,
}

impl EntryCount {
    /// Starts without any number told.
    pub fn new(now: Time) -> Self {
        Self {
            start: now,
            recorded: 0,
            told: Told::default(),
        }
    }

    /// Takes in how many entries a replica hears of, and how many the log has on record.
    pub fn update(&mut self, heard: usize, recorded: usize, now: Time) {
        self.recorded = recorded;
        self.told.push(heard.max(recorded), now);
    }

    /// Number to divide limits by.
    pub fn get(&self, now: Time) -> usize {
        let most = self.told.most().unwrap_or(FIRST);
        if self.recorded == 0 && now.since(self.start) < FIRST_WINDOW {
            most.max(FIRST)
        } else {
            most.max(1)
        }
    }
}

/// Number of entries that the leader keeps on record.
#[derive(Clone, Debug)]
pub struct EntryRecord {
    start: Time,
    heard: Told,
}

impl EntryRecord {
    /// Starts without having heard of any.
    pub fn new(now: Time) -> Self {
        Self {
            start: now,
            heard: Told::default(),
        }
    }

    /// Takes in the number heard of now; returns the number to record, if another one is on record.
    ///
    /// A higher number counts at once, a lower one only after a while, and none
    /// before this replica has had time to hear of all.
    pub fn due(&mut self, heard: usize, recorded: usize, now: Time) -> Option<u32> {
        self.heard.push(heard, now);
        let most = self.heard.most().unwrap_or(0);
        let lasted = now.since(self.start);
        let higher = most > recorded && (recorded > 0 || lasted >= FIRST_WINDOW);
        let lower = most < recorded && lasted >= WINDOW;
        let due = (higher || lower) && most > 0;
        due.then(|| u32::try_from(most).unwrap_or(u32::MAX))
    }
}
