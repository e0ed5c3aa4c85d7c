//! Number of entries among which limits over all of them are divided.
//!
//! A replica that has just started knows few entries yet, and so does an entry
//! that has. A count that is too low would let all of them together exceed a
//! limit, so the largest of a while counts, and a large number at the start.

use std::collections::VecDeque;
use std::time::Duration;

use pimentotide_model::Time;

/// Time for which a number that was told counts; longer than a replica takes to hear of all entries.
const WINDOW: Duration = Duration::from_secs(20);
/// Entries assumed until replicas have had time to hear of all.
const FIRST: usize = 32;
/// Time for which that is assumed; several beacons, and a restart of all replicas.
const FIRST_WINDOW: Duration = Duration::from_secs(6);

/// Number of entries as one entry takes it.
#[derive(Clone, Debug)]
pub struct EntryCount {
    start: Time,
    told: VecDeque<(Time, usize)>,
}

impl EntryCount {
    /// Starts without any number told.
    pub fn new(now: Time) -> Self {
        Self {
            start: now,
            told: VecDeque::new(),
        }
    }

    /// Takes in a number that a replica told.
    pub fn tell(&mut self, entries: usize, now: Time) {
        self.told.push_back((now, entries));
        while self
            .told
            .front()
            .is_some_and(|(at, _)| now.since(*at) > WINDOW)
        {
            self.told.pop_front();
        }
    }

    /// Number to divide limits by.
    pub fn get(&self, now: Time) -> usize {
        let most = self.told.iter().map(|(_, n)| *n).max().unwrap_or(FIRST);
        if now.since(self.start) < FIRST_WINDOW {
            most.max(FIRST)
        } else {
            most.max(1)
        }
    }
}
