//! Bounded queue of log lines on their way out.
//!
//! Nobody waits for the reader of the log: a line that finds the queue full, or
//! comes after too many others of its second, is dropped and counted. Routine
//! lines go first, so that those that explain a failure last longest. What was
//! dropped is said in a line of its own.

use std::time::{Duration, Instant};

use log::Level;
use serde::Serialize;

use crate::Line;

/// Lines that wait, bytes; a second of the heaviest day of an entry.
const MAX_BYTES: usize = 256 << 10;
/// Bytes from which on routine lines are dropped, so that room is left for the others.
const MAX_ROUTINE_BYTES: usize = MAX_BYTES / 2;
/// Routine lines in a second; fifteen times the requests of an entry at the target, two lines each.
const MAX_ROUTINE: u32 = 360;
/// Other lines in a second; one for each of as many requests that all fail twice.
const MAX_OTHER: u32 = 720;
/// Time over which lines are counted, and the shortest time between two reports of dropped lines.
const SPAN: Duration = Duration::from_secs(1);

/// Lines that were dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Dropped {
    /// Lines that told of nothing unusual.
    pub routine: u64,
    /// All others.
    pub other: u64,
}

impl Line for Dropped {
    const EVENT: &'static str = "lines_dropped";
    const LEVEL: Level = Level::Warn;
}

/// Lines on their way out.
#[derive(Debug)]
pub struct LineQueue {
    text: String,
    span: Instant,
    routine: u32,
    other: u32,
    dropped: Dropped,
    told: Dropped,
}

impl LineQueue {
    /// Starts empty.
    pub fn new(now: Instant) -> Self {
        Self {
            text: String::new(),
            span: now,
            routine: 0,
            other: 0,
            dropped: Dropped::default(),
            told: Dropped::default(),
        }
    }

    /// Appends a line unless it has to be dropped.
    pub fn push(&mut self, line: &str, routine: bool, now: Instant) {
        self.begin_span(now);
        let (count, most, room) = if routine {
            (&mut self.routine, MAX_ROUTINE, MAX_ROUTINE_BYTES)
        } else {
            (&mut self.other, MAX_OTHER, MAX_BYTES)
        };
        *count += 1;
        if *count > most || self.text.len() + line.len() > room {
            let dropped = &mut self.dropped;
            *(if routine {
                &mut dropped.routine
            } else {
                &mut dropped.other
            }) += 1;
            return;
        }
        self.text.push_str(line);
        self.text.push('\n');
    }

    /// Takes all lines.
    pub fn take(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    /// Lines dropped since the last call; none before a second has passed, or if there are none.
    pub fn report(&mut self, now: Instant) -> Option<Dropped> {
        if now.saturating_duration_since(self.span) < SPAN || self.dropped == self.told {
            return None;
        }
        let since = Dropped {
            routine: self.dropped.routine - self.told.routine,
            other: self.dropped.other - self.told.other,
        };
        self.told = self.dropped;
        Some(since)
    }

    /// Lines dropped in all.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    fn begin_span(&mut self, now: Instant) {
        if now.saturating_duration_since(self.span) >= SPAN {
            self.span = now;
            self.routine = 0;
            self.other = 0;
        }
    }
}

/// Cuts text into pieces of whole lines, of at most `limit` bytes unless one line is longer.
pub fn split_lines(text: &str, limit: usize) -> Vec<&str> {
    let mut pieces = Vec::new();
    let (mut start, mut end) = (0, 0);
    for line in text.split_inclusive('\n') {
        if end > start && end + line.len() - start > limit {
            pieces.push(&text[start..end]);
            start = end;
        }
        end += line.len();
    }
    if end > start {
        pieces.push(&text[start..end]);
    }
    pieces
}
