//! What one entry knows of contents that crash upstreams.
//!
//! The entry combines the shared view with the crashes that it has seen itself, so that an entry
//! without contact to control still limits what it sends. A content that has run soundly here a
//! short time ago is neither reported as a suspect nor refused: many requests may share a
//! content, and some of them run wherever an upstream crashes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pimentotide_model::{Fingerprint, Time};
use pimentotide_outcome::{Crash, CrashHistory};

use crate::suspects::{SuspectView, is_final};

/// Number of events after which a stream has run soundly.
///
/// A content that crashes its upstream does so while the answer begins.
const MIN_SOUND_EVENTS: u64 = 2;
/// Time for which a sound run speaks for a content.
const SOUND_RUN_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of contents whose sound runs are remembered; the oldest are evicted first.
const MAX_SOUND_RUNS: usize = 4_096;

/// Whether a stream has run soundly after this number of events from one upstream.
pub fn is_sound_run(events: u64) -> bool {
    events >= MIN_SOUND_EVENTS
}

/// Crash evidence and verdicts at one entry.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    shared: SuspectView,
    /// Crashes seen by this entry.
    own: CrashHistory,
    /// Time of the last sound run, by content.
    sound: BTreeMap<Fingerprint, Time>,
}

impl CrashEvidence {
    /// Replaces the shared view; returns the suspected contents that ran soundly here.
    pub fn update(&mut self, view: SuspectView, now: Time) -> BTreeSet<Fingerprint> {
        let suspected = view.suspected.iter().copied();
        let cleared = suspected.filter(|c| self.ran_soundly(*c, now)).collect();
        self.shared = view;
        cleared
    }

    /// Returns the contents that are refused everywhere.
    pub fn refused(&self) -> &BTreeSet<Fingerprint> {
        &self.shared.refused
    }

    /// Records a sound run; true if its content is suspected, so that the run is to be reported.
    pub fn record_sound_run(&mut self, content: Fingerprint, now: Time) -> bool {
        self.sound.insert(content, now);
        if self.sound.len() > MAX_SOUND_RUNS {
            self.evict_sound_runs(now);
        }
        self.own.clear(content);
        self.shared.suspected.contains(&content)
    }

    /// Records a crash seen by this entry; returns the report to share.
    ///
    /// `crash` lists the contents that ran on the upstream; the report leaves out those that have
    /// run soundly. `None` if none remains.
    pub fn record_crash(&mut self, mut crash: Crash, now: Time) -> Option<Crash> {
        let suspects = std::mem::take(&mut crash.suspects);
        // A sound run speaks for a content once, so that one that has begun to crash is found.
        let suspects = suspects.into_iter().filter(|c| match self.sound.remove(c) {
            Some(at) => now.since(at) > SOUND_RUN_RETENTION,
            None => true,
        });
        crash.suspects = suspects.collect();
        if crash.suspects.is_empty() {
            return None;
        }
        self.own.report(&crash, now);
        Some(crash)
    }

    /// Whether a content is refused because it crashes upstreams.
    pub fn is_refused(&self, content: Fingerprint, now: Time) -> bool {
        let own = self.own.strikes(content);
        let refused = self.shared.refused.contains(&content) || own.is_some_and(is_final);
        refused && !self.ran_soundly(content, now)
    }

    fn ran_soundly(&self, content: Fingerprint, now: Time) -> bool {
        let last = self.sound.get(&content);
        last.is_some_and(|at| now.since(*at) <= SOUND_RUN_RETENTION)
    }

    fn evict_sound_runs(&mut self, now: Time) {
        self.sound
            .retain(|_, at| now.since(*at) <= SOUND_RUN_RETENTION);
        while self.sound.len() > MAX_SOUND_RUNS {
            let oldest = self.sound.iter().min_by_key(|(_, at)| **at);
            let Some(content) = oldest.map(|(content, _)| *content) else {
                return;
            };
            self.sound.remove(&content);
        }
    }
}
