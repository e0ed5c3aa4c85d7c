//! What one entry knows of requests and parts of prompts that crash upstreams.
//!
//! The entry combines the shared view with the crashes that it has seen itself, so that an entry
//! without contact to control still limits what it sends. What has run soundly here a short time
//! ago is neither reported as a suspect nor refused: many requests may share a content or a part,
//! and some of them run wherever an upstream crashes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pimentotide_model::{Fingerprint, Time};
use pimentotide_outcome::Crash;
use serde::{Deserialize, Serialize};

use crate::prompts::Prompt;
use crate::suspects::{SuspectView, Suspects};

/// Number of events after which a stream has run soundly.
///
/// A content that crashes its upstream does so while the answer begins.
const MIN_SOUND_EVENTS: u64 = 2;
/// Time for which a sound run speaks for a content.
const SOUND_RUN_RETENTION: Duration = Duration::from_secs(10);
/// Time for which a sound run speaks for a part of a prompt, which may begin to crash upstreams
/// although many requests have run with it.
const SOUND_PART_RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of digests whose sound runs are remembered; the oldest are evicted first.
const MAX_SOUND_RUNS: usize = 4_096;

/// Whether a stream has run soundly after this number of events from one upstream.
pub fn is_sound_run(events: u64) -> bool {
    events >= MIN_SOUND_EVENTS
}

/// Digests by which requests are compared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestDigests {
    /// Digest of the content; equal for repeats of the same request.
    pub content: Fingerprint,
    /// Digests of the parts of the prompt that other requests may share.
    pub parts: BTreeSet<Fingerprint>,
}

/// Crash of an upstream as an entry reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Upstream that crashed, and the contents that ran there.
    pub crash: Crash,
    /// Prompts of these contents.
    pub prompts: Vec<Prompt>,
}

/// Crash evidence and verdicts at one entry.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    shared: SuspectView,
    /// Suspicion from the crashes seen by this entry.
    own: Suspects,
    /// Number of changes to the own suspicion.
    own_changes: u64,
    /// Time of the last sound run, by digest of a content or part.
    sound: BTreeMap<Fingerprint, Time>,
}

impl CrashEvidence {
    /// Replaces the shared view; returns the suspected contents and parts that ran soundly here.
    pub fn update(&mut self, view: SuspectView, now: Time) -> BTreeSet<Fingerprint> {
        let contents = view.suspected.iter().map(|d| (*d, SOUND_RUN_RETENTION));
        let parts = view
            .suspected_parts
            .iter()
            .map(|d| (*d, SOUND_PART_RETENTION));
        let sound = contents
            .chain(parts)
            .filter(|(digest, retention)| self.ran_soundly(*digest, *retention, now))
            .map(|(digest, _)| digest)
            .collect();
        self.shared = view;
        sound
    }

    /// Returns the shared view.
    pub fn shared(&self) -> &SuspectView {
        &self.shared
    }

    /// Records a sound run; returns its content and parts if they are suspected, to be reported.
    pub fn record_sound_run(&mut self, request: &RequestDigests, now: Time) -> Vec<Fingerprint> {
        let digests: Vec<Fingerprint> = request.digests().collect();
        self.sound.extend(digests.iter().map(|d| (*d, now)));
        if self.sound.len() > MAX_SOUND_RUNS {
            self.evict_sound_runs(now);
        }
        self.own_changes += 1;
        self.own.clear(self.own_changes, &digests, now);
        let suspected = digests.into_iter();
        suspected.filter(|d| self.shared.is_suspected(d)).collect()
    }

    /// Records a crash seen by this entry; returns the report to share.
    ///
    /// `crash` lists the upstream, and `requests` what ran there; the report leaves out contents
    /// and parts that have run soundly. `None` if no content remains.
    pub fn record_crash(
        &mut self,
        mut crash: Crash,
        requests: &[RequestDigests],
        now: Time,
    ) -> Option<CrashReport> {
        // A sound run speaks for a content once, so that one that has begun to crash is found.
        let suspects = requests
            .iter()
            .filter(|r| match self.sound.remove(&r.content) {
                Some(at) => now.since(at) > SOUND_RUN_RETENTION,
                None => true,
            });
        let suspects: Vec<&RequestDigests> = suspects.collect();
        if suspects.is_empty() {
            return None;
        }
        crash.suspects = suspects.iter().map(|r| r.content).collect();
        let prompts: Vec<Prompt> = suspects
            .iter()
            .map(|r| self.suspect_prompt(r, now))
            .collect();
        self.own_changes += 1;
        self.own
            .report(self.own_changes, &crash, prompts.iter().cloned(), now);
        Some(CrashReport { crash, prompts })
    }

    /// Whether a request is refused because its content or a part of its prompt crashes upstreams.
    pub fn is_refused(&self, request: &RequestDigests, now: Time) -> bool {
        let content = request.content;
        let content_refused = self.shared.refused.contains(&content) || self.own.is_final(content);
        if content_refused && !self.ran_soundly(content, SOUND_RUN_RETENTION, now) {
            return true;
        }
        let shared = self.shared.refused_parts.iter();
        let mut refused = shared.chain(&self.own.view().refused_parts);
        refused.any(|parts| {
            let sound = |part: &Fingerprint| self.ran_soundly(*part, SOUND_PART_RETENTION, now);
            parts.is_subset(&request.parts) && !parts.iter().all(sound)
        })
    }

    /// Returns the prompt of a request without the parts that have run soundly.
    fn suspect_prompt(&self, request: &RequestDigests, now: Time) -> Prompt {
        let parts = request.parts.iter().copied();
        Prompt {
            content: request.content,
            parts: parts
                .filter(|p| !self.ran_soundly(*p, SOUND_PART_RETENTION, now))
                .collect(),
        }
    }

    fn ran_soundly(&self, digest: Fingerprint, retention: Duration, now: Time) -> bool {
        let last = self.sound.get(&digest);
        last.is_some_and(|at| now.since(*at) <= retention)
    }

    fn evict_sound_runs(&mut self, now: Time) {
        self.sound
            .retain(|_, at| now.since(*at) <= SOUND_RUN_RETENTION);
        while self.sound.len() > MAX_SOUND_RUNS {
            let oldest = self.sound.iter().min_by_key(|(_, at)| **at);
            let Some(digest) = oldest.map(|(digest, _)| *digest) else {
                return;
            };
            self.sound.remove(&digest);
        }
    }
}

impl RequestDigests {
    fn digests(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.content).chain(self.parts.iter().copied())
    }
}
