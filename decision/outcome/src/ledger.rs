//! The agent's memory of claims: each runs at most once.
//!
//! Claims that the ledger forgets are remembered together by a floor: claim
//! numbers only rise, so a claim at or below the floor that is not listed may
//! have run, and is neither run nor called "not run". The whole memory has an
//! epoch, and a claim made for another epoch is answered the same way.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{ClaimId, Incarnation, Time};
use serde::{Deserialize, Serialize};

use crate::{LedgerEpoch, Outcome, Place};

/// Bounds of an agent's memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerLimits {
    /// Closed claims remembered.
    pub closed: usize,
    /// Bytes of answers remembered.
    pub bytes: u64,
    /// Time for which a closed claim is remembered.
    pub age: Duration,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            closed: 16_384,
            bytes: 32 << 20,
            age: Duration::from_secs(3_600),
        }
    }
}

/// Why a claim did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRun {
    /// Another entry asked about it first.
    Barred,
    /// It was made for another memory of this agent.
    OtherEpoch,
    /// It was made for another start of the upstream.
    OtherIncarnation,
    /// The agent or the upstream did not take it.
    Refused,
}

/// What to do with a claim that arrives to be run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Begin {
    /// Run it now.
    Run,
    /// It did not run, and this arrival does not run.
    NotRun(NotRun),
    /// It is running already.
    Running,
    /// It ran to its end.
    Finished(Arc<Outcome>),
    /// It may have run.
    Lost,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Conclusion {
    /// With an answer.
    Finished(Arc<Outcome>),
    /// Before anything was sent to the upstream, or with its true refusal.
    Refused,
    /// With the death of the upstream.
    Died,
    /// Without any sign from the upstream.
    Lost,
}

/// Answer to an inquiry about a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Finding {
    /// It is running.
    Running,
    /// It ran to its end.
    Finished(Arc<Outcome>),
    /// It did not run and never will.
    NotRun(NotRun),
    /// The upstream died while it ran.
    Died,
    /// It may have run.
    Lost,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Mark {
    Running,
    Finished(Arc<Outcome>),
    NotRun(NotRun),
    Died,
    Lost,
}

/// Claims that one agent process has seen.
#[derive(Clone, Debug, Hash)]
pub struct AgentLedger {
    epoch: LedgerEpoch,
    incarnation: Incarnation,
    limits: LedgerLimits,
    marks: BTreeMap<ClaimId, Mark>,
    closed: VecDeque<(Time, ClaimId)>,
    bytes: u64,
    floor: ClaimId,
}

impl AgentLedger {
    /// Opens an empty memory under an epoch that no earlier one had.
    pub fn open(epoch: LedgerEpoch, incarnation: Incarnation, limits: LedgerLimits) -> Self {
        Self {
            epoch,
            incarnation,
            limits,
            marks: BTreeMap::new(),
            closed: VecDeque::new(),
            bytes: 0,
            floor: ClaimId::default(),
        }
    }

    /// Epoch of this memory.
    pub fn epoch(&self) -> LedgerEpoch {
        self.epoch
    }

    /// Claims remembered.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Decides whether a claim that arrives is run.
    pub fn begin(&mut self, claim: ClaimId, place: &Place, now: Time) -> Begin {
        if place.epoch != self.epoch {
            return Begin::NotRun(NotRun::OtherEpoch);
        }
        if let Some(mark) = self.marks.get(&claim) {
            return begin_again(mark);
        }
        if claim <= self.floor {
            return Begin::Lost;
        }
        if place.incarnation != self.incarnation {
            self.close(claim, Mark::NotRun(NotRun::OtherIncarnation), now);
            return Begin::NotRun(NotRun::OtherIncarnation);
        }
        self.marks.insert(claim, Mark::Running);
        Begin::Run
    }

    /// Records how a running claim ended; later ends of it are ignored.
    pub fn finish(&mut self, claim: ClaimId, end: Conclusion, now: Time) {
        if self.marks.get(&claim) != Some(&Mark::Running) {
            return;
        }
        let mark = match end {
            Conclusion::Finished(outcome) => Mark::Finished(Arc::new(outcome.bounded())),
            Conclusion::Refused => Mark::NotRun(NotRun::Refused),
            Conclusion::Died => Mark::Died,
            Conclusion::Lost => Mark::Lost,
        };
        self.close(claim, mark, now);
    }

    /// Tells what became of a claim; one that never arrived is barred for good.
    pub fn inquire(&mut self, claim: ClaimId, place: &Place, now: Time) -> Finding {
        if place.epoch != self.epoch {
            return Finding::Lost;
        }
        if let Some(mark) = self.marks.get(&claim) {
            return mark.clone().into();
        }
        if claim <= self.floor {
            return Finding::Lost;
        }
        self.close(claim, Mark::NotRun(NotRun::Barred), now);
        Finding::NotRun(NotRun::Barred)
    }

    /// Notes that the upstream died; all that ran there has ended.
    ///
    /// Returns the claims that were running.
    pub fn upstream_died(&mut self, now: Time) -> Vec<ClaimId> {
        let running = self.marks.iter().filter(|(_, m)| **m == Mark::Running);
        let running: Vec<ClaimId> = running.map(|(claim, _)| *claim).collect();
        for claim in &running {
            self.close(*claim, Mark::Died, now);
        }
        running
    }

    /// Takes new claims for another start of the upstream.
    pub fn upstream_started(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    fn close(&mut self, claim: ClaimId, mark: Mark, now: Time) {
        self.bytes += size_of_mark(&mark);
        self.marks.insert(claim, mark);
        self.closed.push_back((now, claim));
        self.prune(now);
    }

    fn prune(&mut self, now: Time) {
        while let Some((closed, claim)) = self.closed.front().copied() {
            let full = self.closed.len() > self.limits.closed || self.bytes > self.limits.bytes;
            if !full && now.since(closed) < self.limits.age {
                return;
            }
            self.closed.pop_front();
            if let Some(mark) = self.marks.remove(&claim) {
                self.bytes -= size_of_mark(&mark);
            }
            self.floor = self.floor.max(claim);
        }
    }
}

impl From<Mark> for Finding {
    fn from(mark: Mark) -> Self {
        match mark {
            Mark::Running => Self::Running,
            Mark::Finished(outcome) => Self::Finished(outcome),
            Mark::NotRun(reason) => Self::NotRun(reason),
            Mark::Died => Self::Died,
            Mark::Lost => Self::Lost,
        }
    }
}

fn begin_again(mark: &Mark) -> Begin {
    match mark {
        Mark::Running => Begin::Running,
        Mark::Finished(outcome) => Begin::Finished(Arc::clone(outcome)),
        Mark::NotRun(reason) => Begin::NotRun(*reason),
        Mark::Died | Mark::Lost => Begin::Lost,
    }
}

fn size_of_mark(mark: &Mark) -> u64 {
    match mark {
        Mark::Finished(outcome) => outcome.size(),
        _ => 0,
    }
}
