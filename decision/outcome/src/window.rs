//! Bounded memory of one workspace's keys.
//!
//! A closed record keeps its answer until the workspace has too many records
//! or bytes, or the record is too old; then only a tombstone stays, which
//! still keeps the key from running again. Tombstones go by age. When there
//! are too many, the oldest goes early, but none younger than the shortest
//! window: then new keys are refused instead. A key that an entry made up
//! keeps no answer, since nobody can ask for it again.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{ClaimId, Fingerprint, IdempotencyKey, Time};
use serde::{Deserialize, Serialize};

use crate::{Outcome, Place, Ticket};

/// Bounds of what the journal keeps, the same on every replica.
///
/// With the defaults a full journal fits into a snapshot of 256 MiB.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// Workspaces with any key.
    pub workspaces: usize,
    /// Claims running in a workspace.
    pub running: usize,
    /// Closed records with their answers in a workspace.
    pub records: usize,
    /// Bytes of recorded answers in a workspace.
    pub bytes: u64,
    /// Keys remembered in a workspace, tombstones included.
    pub keys: usize,
    /// Age at which a closed record gives up its answer.
    pub answers: Duration,
    /// Age at which a key is forgotten.
    pub longest: Duration,
    /// Age before which no key is forgotten.
    pub shortest: Duration,
    /// Time past its allowed time after which a running claim is given up.
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

/// How far a claim has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Phase {
    /// Granted and not closed.
    Running,
    /// Ran to its end.
    Finished(Arc<Outcome>),
    /// Nobody can tell whether it ran.
    Unknown,
}

/// What a key stands for.
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

/// What stays of a closed record without its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Tombstone {
    pub(crate) finished: bool,
    content: u64,
}

impl Tombstone {
    fn of(record: &Record) -> Self {
        Self {
            finished: matches!(record.phase, Phase::Finished(_)),
            content: content_of(record.fingerprint),
        }
    }

    /// Whether it was left by a request with this content.
    pub(crate) fn matches(self, fingerprint: Fingerprint) -> bool {
        self.content == content_of(fingerprint)
    }
}

/// What a window holds under a key.
pub(crate) enum Held<'a> {
    Nothing,
    Record(&'a Record),
    Tombstone(Tombstone),
}

/// Keys of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Window {
    records: BTreeMap<IdempotencyKey, Record>,
    running: BTreeMap<ClaimId, IdempotencyKey>,
    closed: VecDeque<(Time, IdempotencyKey)>,
    bytes: u64,
    tombstones: BTreeMap<Fingerprint, Tombstone>,
    ages: VecDeque<(Time, Fingerprint)>,
}

impl Window {
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty() && self.tombstones.is_empty()
    }

    /// Keys remembered, tombstones included.
    pub(crate) fn len(&self) -> usize {
        self.records.len() + self.tombstones.len()
    }

    pub(crate) fn get(&self, key: &IdempotencyKey) -> Held<'_> {
        if let Some(record) = self.records.get(key) {
            return Held::Record(record);
        }
        self.tombstones
            .get(&digest_of(key))
            .map_or(Held::Nothing, |t| Held::Tombstone(*t))
    }

    /// Whether another attempt runs this content.
    pub(crate) fn runs(&self, content: Fingerprint, except: Ticket) -> bool {
        let mut running = self.running.values().map(|key| &self.records[key]);
        running.any(|r| r.fingerprint == content && r.ticket != except)
    }

    /// Makes room for one more key; false if there is none.
    pub(crate) fn make_room(&mut self, limits: &Limits, at: Time) -> bool {
        self.prune(limits, at);
        if self.running.len() >= limits.running {
            return false;
        }
        while self.len() >= limits.keys {
            if !self.forget_older(limits.shortest, at) {
                return false;
            }
        }
        true
    }

    pub(crate) fn open(&mut self, key: IdempotencyKey, record: Record) {
        self.running.insert(record.claim, key.clone());
        self.records.insert(key, record);
    }

    /// Forgets a running claim that did not run.
    pub(crate) fn release(&mut self, key: &IdempotencyKey) {
        if let Some(record) = self.records.remove(key) {
            self.running.remove(&record.claim);
        }
    }

    /// Ends a running claim, or puts an answer in place of an unknown outcome.
    pub(crate) fn close(&mut self, key: &IdempotencyKey, phase: Phase, limits: &Limits, at: Time) {
        self.end(key, phase, at);
        self.prune(limits, at);
    }

    fn end(&mut self, key: &IdempotencyKey, phase: Phase, at: Time) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let first = record.phase == Phase::Running;
        let spent = record.generated && matches!(phase, Phase::Finished(_));
        self.bytes += size_of_phase(&phase);
        record.phase = phase;
        self.running.remove(&record.claim);
        if first && spent {
            self.bury(key, at);
        } else if first {
            self.closed.push_back((at, key.clone()));
        }
    }

    /// Gives up overdue claims and drops what is past its bounds.
    pub(crate) fn expire(&mut self, limits: &Limits, at: Time) {
        self.give_up(limits, at);
        self.prune(limits, at);
    }

    fn prune(&mut self, limits: &Limits, at: Time) {
        while let Some((closed, _)) = self.closed.front() {
            let old = at.since(*closed) >= limits.answers;
            let full = self.closed.len() > limits.records || self.bytes > limits.bytes;
            if !old && !full {
                break;
            }
            self.bury_oldest();
        }
        while self.forget_older(limits.longest, at) {}
    }

    fn give_up(&mut self, limits: &Limits, at: Time) {
        let overdue: Vec<IdempotencyKey> = self
            .running
            .values()
            .filter(|key| self.records[*key].until + limits.grace <= at)
            .cloned()
            .collect();
        for key in overdue {
            self.end(&key, Phase::Unknown, at);
        }
    }

    fn bury_oldest(&mut self) {
        if let Some((closed, key)) = self.closed.pop_front() {
            self.bury(&key, closed);
        }
    }

    fn bury(&mut self, key: &IdempotencyKey, closed: Time) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        self.bytes -= size_of_phase(&record.phase);
        let digest = digest_of(key);
        self.tombstones.insert(digest, Tombstone::of(&record));
        self.ages.push_back((closed, digest));
    }

    fn forget_older(&mut self, age: Duration, at: Time) -> bool {
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

fn size_of_phase(phase: &Phase) -> u64 {
    match phase {
        Phase::Finished(outcome) => outcome.size(),
        Phase::Running | Phase::Unknown => 0,
    }
}

fn digest_of(key: &IdempotencyKey) -> Fingerprint {
    Fingerprint::of([key.as_bytes()])
}

fn content_of(fingerprint: Fingerprint) -> u64 {
    let mut head = [0; 8];
    head.copy_from_slice(&fingerprint.0[..8]);
    u64::from_le_bytes(head)
}
