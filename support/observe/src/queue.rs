//! Bounded queue of log lines.
//!
//! Logging never blocks on the reader of the log: a line that exceeds the size of
//! the queue or the rate limit of its class is dropped and counted. Routine lines
//! have lower limits, so that lines that explain a failure are kept longest.
//! Dropped lines are reported in a line of their own.

use std::time::{Duration, Instant};

use log::Level;
use serde::Serialize;

use crate::Line;

/// Maximum size of the queued lines: one second of an entry's log on its busiest day.
const MAX_BYTES: usize = 256 << 10;
/// Queue size above which routine lines are dropped, to reserve space for the others.
const MAX_ROUTINE_BYTES: usize = MAX_BYTES / 2;
/// Maximum number of routine lines per second: 15 times an entry's target request rate, two lines per request.
const MAX_ROUTINE_LINES: u32 = 360;
/// Maximum number of other lines per second: at the same rate, one line each for requests that all fail twice.
const MAX_OTHER_LINES: u32 = 720;
/// Window of the rate limits, and minimum interval between two reports of dropped lines.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Numbers of dropped lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Dropped {
    /// Dropped routine lines.
    pub routine: u64,
    /// All other dropped lines.
    pub other: u64,
}

impl Line for Dropped {
    const EVENT: &'static str = "lines_dropped";
    const LEVEL: Level = Level::Warn;
}

/// Queue of lines to write.
#[derive(Debug)]
pub struct LineQueue {
    text: String,
    window_start: Instant,
    routine: u32,
    other: u32,
    dropped: Dropped,
    reported: Dropped,
}

impl LineQueue {
    /// Creates an empty queue whose first rate window starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            text: String::new(),
            window_start: now,
            routine: 0,
            other: 0,
            dropped: Dropped::default(),
            reported: Dropped::default(),
        }
    }

    /// Appends a line, or drops and counts it if a limit is exceeded.
    pub fn push(&mut self, line: &str, routine: bool, now: Instant) {
        self.advance_window(now);
        let (count, max_lines, max_bytes) = if routine {
            (&mut self.routine, MAX_ROUTINE_LINES, MAX_ROUTINE_BYTES)
        } else {
            (&mut self.other, MAX_OTHER_LINES, MAX_BYTES)
        };
        *count += 1;
        if *count > max_lines || self.text.len() + line.len() > max_bytes {
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

    /// Removes and returns all lines.
    pub fn take(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    /// Returns the numbers of lines dropped since the last report.
    ///
    /// `None` within the same rate window, or if no line was dropped.
    pub fn report(&mut self, now: Instant) -> Option<Dropped> {
        if now.saturating_duration_since(self.window_start) < RATE_WINDOW
            || self.dropped == self.reported
        {
            return None;
        }
        let delta = Dropped {
            routine: self.dropped.routine - self.reported.routine,
            other: self.dropped.other - self.reported.other,
        };
        self.reported = self.dropped;
        Some(delta)
    }

    /// Returns the total of dropped lines.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// Whether no lines are queued.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    fn advance_window(&mut self, now: Instant) {
        if now.saturating_duration_since(self.window_start) >= RATE_WINDOW {
            self.window_start = now;
            self.routine = 0;
            self.other = 0;
        }
    }
}

/// Splits text into chunks of whole lines, each at most `limit` bytes unless a single line is longer.
pub fn split_lines(text: &str, limit: usize) -> Vec<&str> {
    let mut chunks = Vec::new();
    let (mut start, mut end) = (0, 0);
    for line in text.split_inclusive('\n') {
        if end > start && end + line.len() - start > limit {
            chunks.push(&text[start..end]);
            start = end;
        }
        end += line.len();
    }
    if end > start {
        chunks.push(&text[start..end]);
    }
    chunks
}
