//! Bounded set of the keys of one workspace.
//!
//! A closed record keeps its answer until it is too old or the workspace exceeds
//! its limit of records or bytes; then a tombstone replaces it, which still
//! prevents a second run. Tombstones are evicted by age. If there are too many
//! keys, the oldest tombstone is evicted earlier, but none before the shortest
//! retention; new keys are rejected instead. Generated keys keep no answer, since
//! no retry can present them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{ClaimId, Fingerprint, IdempotencyKey, Time};
use serde::{Deserialize, Serialize};

use crate::{Outcome, Place, Ticket};

/// Limits of the journal, identical on every replica.
///
/// With the defaults, a full journal fits into a snapshot of 256 MiB.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of workspaces with any key.
    pub workspaces: usize,
    /// Maximum number of running claims per workspace.
    pub running: usize,
    /// Maximum number of closed records with answers per workspace.
    pub records: usize,
    /// Maximum size of recorded answers per workspace in bytes.
    pub bytes: u64,
    /// Maximum number of keys per workspace, tombstones included.
    pub keys: usize,
    /// Age at which a tombstone replaces a closed record.
    pub answers: Duration,
    /// Age at which a key is removed.
    pub longest: Duration,
    /// Age before which no key is removed.
    pub shortest: Duration,
    /// Time after the end of its allowed run time at which a running claim becomes
    /// unknown.
    pub grace: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            workspaces: 48,
            running: 512,
            records: 2_048,
            bytes: 1 << 20,
            keys: 32_768,
            answers: Duration::from_secs(3_600),
            longest: Duration::from_secs(24 * 3_600),
            shortest: Duration::from_secs(3_600),
            grace: Duration::from_secs(60),
        }
    }
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Phase {
    /// Granted and not closed.
    Running,
    /// Ran to completion.
    Finished(Arc<Outcome>),
    /// It is unknown whether the claim ran.
    Unknown,
}

/// Claim of a key and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) claim: ClaimId,
    pub(crate) ticket: Ticket,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) place: Place,
    pub(crate) since: Time,
    pub(crate) until: Time,
    pub(crate) generated: bool,
    pub(crate) phase: Phase,
}

/// Remainder of a closed record whose answer was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Tombstone {
    pub(crate) finished: bool,
    content: u64,
}

impl Tombstone {
    fn of(record: &Record) -> Self {
        Self {
            finished: matches!(record.phase, Phase::Finished(_)),
            content: fingerprint_prefix(record.fingerprint),
        }
    }

    /// Returns whether the request had this content.
    pub(crate) fn matches(self, fingerprint: Fingerprint) -> bool {
        self.content == fingerprint_prefix(fingerprint)
    }
}

/// State of a key in a window.
pub(crate) enum KeyState<'a> {
    Absent,
    Record(&'a Record),
    Tombstone(Tombstone),
}

/// Keys of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Window {
    records: BTreeMap<IdempotencyKey, Record>,
    running: BTreeMap<ClaimId, IdempotencyKey>,
    /// Closed records with the time of closing, oldest first.
    closed: VecDeque<(Time, IdempotencyKey)>,
    /// Size of all recorded answers.
    bytes: u64,
    tombstones: BTreeMap<Fingerprint, Tombstone>,
    /// Tombstones with the time of closing, oldest first.
    ages: VecDeque<(Time, Fingerprint)>,
}

impl Window {
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty() && self.tombstones.is_empty()
    }

    /// Returns the number of keys stored, tombstones included.
    pub(crate) fn len(&self) -> usize {
        self.records.len() + self.tombstones.len()
    }

    pub(crate) fn get(&self, key: &IdempotencyKey) -> KeyState<'_> {
        if let Some(record) = self.records.get(key) {
            return KeyState::Record(record);
        }
        self.tombstones
            .get(&key_digest(key))
            .map_or(KeyState::Absent, |t| KeyState::Tombstone(*t))
    }

    /// Returns whether an attempt other than `except` runs this content.
    pub(crate) fn has_running(&self, content: Fingerprint, except: Ticket) -> bool {
        let mut running = self.running.values().map(|key| &self.records[key]);
        running.any(|r| r.fingerprint == content && r.ticket != except)
    }

    /// Makes room for another key; returns whether there is any.
    pub(crate) fn make_room(&mut self, limits: &Limits, at: Time) -> bool {
        self.prune(limits, at);
        if self.running.len() >= limits.running {
            return false;
        }
        while self.len() >= limits.keys {
            if !self.evict_tombstone(limits.shortest, at) {
                return false;
            }
        }
        true
    }

    pub(crate) fn open(&mut self, key: IdempotencyKey, record: Record) {
        self.running.insert(record.claim, key.clone());
        self.records.insert(key, record);
    }

    /// Removes a claim that did not run.
    pub(crate) fn release(&mut self, key: &IdempotencyKey) {
        if let Some(record) = self.records.remove(key) {
            self.running.remove(&record.claim);
        }
    }

    /// Closes a running claim, or replaces an unknown outcome by an answer.
    pub(crate) fn close(&mut self, key: &IdempotencyKey, phase: Phase, limits: &Limits, at: Time) {
        self.set_phase(key, phase, at);
        self.prune(limits, at);
    }

    fn set_phase(&mut self, key: &IdempotencyKey, phase: Phase, at: Time) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let was_running = record.phase == Phase::Running;
        let discard_answer = record.generated && matches!(phase, Phase::Finished(_));
        self.bytes += answer_bytes(&phase);
        record.phase = phase;
        self.running.remove(&record.claim);
        if was_running && discard_answer {
            self.replace_with_tombstone(key, at);
        } else if was_running {
            self.closed.push_back((at, key.clone()));
        }
    }

    /// Closes overdue claims as unknown and evicts entries beyond the limits.
    pub(crate) fn expire(&mut self, limits: &Limits, at: Time) {
        self.close_overdue(limits, at);
        self.prune(limits, at);
    }

    fn prune(&mut self, limits: &Limits, at: Time) {
        while let Some((closed, _)) = self.closed.front() {
            let old = at.since(*closed) >= limits.answers;
            let full = self.closed.len() > limits.records || self.bytes > limits.bytes;
            if !old && !full {
                break;
            }
            self.evict_oldest_record();
        }
        while self.evict_tombstone(limits.longest, at) {}
    }

    fn close_overdue(&mut self, limits: &Limits, at: Time) {
        let overdue: Vec<IdempotencyKey> = self
            .running
            .values()
            .filter(|key| self.records[*key].until + limits.grace <= at)
            .cloned()
            .collect();
        for key in overdue {
            self.set_phase(&key, Phase::Unknown, at);
        }
    }

    fn evict_oldest_record(&mut self) {
        if let Some((closed, key)) = self.closed.pop_front() {
            self.replace_with_tombstone(&key, closed);
        }
    }

    fn replace_with_tombstone(&mut self, key: &IdempotencyKey, closed: Time) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        self.bytes -= answer_bytes(&record.phase);
        let digest = key_digest(key);
        self.tombstones.insert(digest, Tombstone::of(&record));
        self.ages.push_back((closed, digest));
    }

    fn evict_tombstone(&mut self, age: Duration, at: Time) -> bool {
        let Some((closed, digest)) = self.ages.front() else {
            return false;
        };
        if at.since(*closed) < age {
            return false;
        }
        self.tombstones.remove(digest);
        self.ages.pop_front();
        true
    }
}

fn answer_bytes(phase: &Phase) -> u64 {
    match phase {
        Phase::Finished(outcome) => outcome.size(),
        Phase::Running | Phase::Unknown => 0,
    }
}

fn key_digest(key: &IdempotencyKey) -> Fingerprint {
    Fingerprint::of([key.as_bytes()])
}

fn fingerprint_prefix(fingerprint: Fingerprint) -> u64 {
    let mut head = [0; 8];
    head.copy_from_slice(&fingerprint.0[..8]);
    u64::from_le_bytes(head)
}
