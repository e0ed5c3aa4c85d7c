//! Paces the start of new streams at one entry while the passes of a lock-step group are long.
//!
//! All ranks of a group run each pass together, and a pass both writes one event of every running
//! stream and reads new prompts. When demand for experts shifts, the work on tokens takes several times
//! as long until the map is changed, half a second later. If a pass then exceeds the target for the gap
//! between events, all running streams are late, not only the new ones. New prompts are the part of a
//! pass that can wait: a stream has several times as long for its first event as between two events.
//!
//! So while the gaps between events of its own streams are near the target of their routes, an entry
//! starts new streams at a part of the rate at which they arrive. A stream waits no longer than its own
//! target for the first event allows. Passes that stay long have another cause, for which waiting is no
//! remedy: pacing ends after a few targets and resumes once passes have been short.
//!
//! Everything follows from what the entry observes of its own streams, without messages.

use std::time::Duration;

use pimentotide_model::Time;

/// Part of the target gap from which new streams are paced; a change of map adds 15 % to a pass.
const LONG_RATIO: f64 = 0.7;
/// Target gaps after which the latest gap no longer says how long passes take.
const GAP_MEMORY: f64 = 2.0;
/// Part of the rate of arrivals at which streams start while they are paced.
const PACED_RATIO: f64 = 0.5;
/// Targets for the first event after which long passes are no transient; a stream that waited from the
/// start of a longer one would begin late, whatever its place.
const MAX_PACED_TARGETS: f64 = 3.0;
/// Passes until the first event of a stream that has just missed one: that one, and the one that reads
/// its prompt.
const BEGIN_PASSES: u32 = 2;
/// Part of the time left until a stream has to be sent that it may wait.
const WAIT_RATIO: f64 = 0.8;
/// Weight of the latest sample in the usual time to begin and the usual interval of arrivals.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Targets of a stream that is about to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTargets {
    /// Arrival of its request.
    pub arrived: Time,
    /// Time from its arrival to its first event.
    pub first_event: Duration,
    /// Largest gap between its events.
    pub gap: Duration,
}

/// Gap between two events of a running stream.
#[derive(Clone, Copy, Debug)]
struct Gap {
    length: Duration,
    ended_at: Time,
}

/// Pacer of the streams of one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct StreamPacer {
    latest: Option<Gap>,
    /// Time since which gaps have been long; `None` while they are short.
    long_since: Option<Time>,
    /// Usual time from sending a request to its first event.
    begin: Option<Duration>,
    /// Usual time between two arrivals.
    interval: Option<Duration>,
    /// Latest arrival.
    arrived_at: Option<Time>,
    /// Earliest start of the next stream that is paced.
    next_start: Time,
}

impl StreamPacer {
    /// Creates a pacer that has seen no stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the gap between two events of a running stream, whose target is `target`.
    pub fn record_gap(&mut self, length: Duration, target: Duration, now: Time) {
        let is_long = length >= target.mul_f64(LONG_RATIO);
        self.long_since = is_long.then(|| self.long_since.unwrap_or(now));
        self.latest = Some(Gap {
            length,
            ended_at: now,
        });
    }

    /// Records the time from sending a request to its first event.
    pub fn record_begin(&mut self, begin: Duration) {
        self.begin = Some(mean(self.begin, begin));
    }

    /// Records the arrival of a stream; returns the time at which it starts unless
    /// [`is_paced`](Self::is_paced) ends before.
    pub fn start_at(&mut self, targets: &StreamTargets, now: Time) -> Time {
        if let Some(last) = self.arrived_at.replace(now) {
            self.interval = Some(mean(self.interval, now.since(last)));
        }
        let (Some(begin), Some(interval)) = (self.begin, self.interval) else {
            return now;
        };
        if !self.is_paced(targets, now) {
            self.next_start = now;
            return now;
        }
        let begin = begin.max(self.latest_gap() * BEGIN_PASSES);
        let spare = targets.first_event.saturating_sub(begin);
        let latest = targets.arrived + spare.mul_f64(WAIT_RATIO);
        let start = self.next_start.max(now);
        if start > latest {
            return latest.max(now);
        }
        self.next_start = start + interval.mul_f64(PACED_RATIO.recip());
        start
    }

    /// Returns the latest gap between two events of a running stream; zero before the first.
    pub fn latest_gap(&self) -> Duration {
        self.latest.map_or(Duration::ZERO, |gap| gap.length)
    }

    /// Whether passes take nearly as long as a stream with these targets may pause, and have not done
    /// so for long.
    pub fn is_paced(&self, targets: &StreamTargets, now: Time) -> bool {
        let (Some(latest), Some(since)) = (self.latest, self.long_since) else {
            return false;
        };
        let is_recent = now.since(latest.ended_at) <= targets.gap.mul_f64(GAP_MEMORY);
        let is_transient = now.since(since) <= targets.first_event.mul_f64(MAX_PACED_TARGETS);
        latest.length >= targets.gap.mul_f64(LONG_RATIO) && is_recent && is_transient
    }
}

/// Returns the mean with a new sample.
fn mean(old: Option<Duration>, sample: Duration) -> Duration {
    let Some(old) = old else {
        return sample;
    };
    old.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT)
}
