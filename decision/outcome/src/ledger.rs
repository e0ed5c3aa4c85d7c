//! Agent ledger, which runs each claim at most once.
//!
//! Evicted claims are covered by a floor. Claim numbers only increase, so an
//! unlisted claim at or below the floor may have run; it is neither run nor
//! reported as not run. The ledger has an epoch. A claim made for another epoch
//! is never run, and an inquiry about it is answered as lost.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{ClaimId, Incarnation, Time};
use serde::{Deserialize, Serialize};

use crate::{LedgerEpoch, Outcome, Place};

/// Limits of an agent's ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerLimits {
    /// Maximum number of closed claims.
    pub closed: usize,
    /// Maximum size of the stored answers in bytes.
    pub bytes: u64,
    /// Time after which a closed claim is evicted.
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
    /// An inquiry about the claim arrived before the claim itself.
    Barred,
    /// The claim was made for another ledger epoch of this agent.
    OtherEpoch,
    /// The claim was made for another incarnation of the upstream.
    OtherIncarnation,
    /// The agent or the upstream rejected the claim.
    Refused,
}

/// Decision on a claim received for execution.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Begin {
    /// The claim runs now.
    Run,
    /// The claim did not run and does not run now.
    NotRun(NotRun),
    /// The claim is already running.
    Running,
    /// The claim ran to completion.
    Finished(Arc<Outcome>),
    /// The claim may have run.
    Lost,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Conclusion {
    /// Completed with an answer.
    Finished(Arc<Outcome>),
    /// Rejected by the upstream, or ended before anything was sent to it.
    Refused,
    /// Ended by a crash of the upstream.
    Died,
    /// Ended without any reply from the upstream.
    Lost,
}

/// Reply to an inquiry about a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Finding {
    /// The claim is running.
    Running,
    /// The claim ran to completion.
    Finished(Arc<Outcome>),
    /// The claim did not run and never will.
    NotRun(NotRun),
    /// The upstream crashed while it ran the claim.
    Died,
    /// The claim may have run.
    Lost,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ClaimState {
    Running,
    Finished(Arc<Outcome>),
    NotRun(NotRun),
    Died,
    Lost,
}

/// Claims received by one agent process.
#[derive(Clone, Debug, Hash)]
pub struct AgentLedger {
    epoch: LedgerEpoch,
    incarnation: Incarnation,
    limits: LedgerLimits,
    claims: BTreeMap<ClaimId, ClaimState>,
    /// Closed claims with the time of closing, oldest first.
    closed: VecDeque<(Time, ClaimId)>,
    /// Size of the stored answers.
    bytes: u64,
    /// Highest evicted claim; any unlisted claim up to it may have run.
    floor: ClaimId,
}

impl AgentLedger {
    /// Returns an empty ledger; no earlier ledger may have had this `epoch`.
    pub fn open(epoch: LedgerEpoch, incarnation: Incarnation, limits: LedgerLimits) -> Self {
        Self {
            epoch,
            incarnation,
            limits,
            claims: BTreeMap::new(),
            closed: VecDeque::new(),
            bytes: 0,
            floor: ClaimId::default(),
        }
    }

    /// Returns the epoch of this ledger.
    pub fn epoch(&self) -> LedgerEpoch {
        self.epoch
    }

    /// Returns the number of claims stored.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Decides whether a received claim runs.
    pub fn begin(&mut self, claim: ClaimId, place: &Place, now: Time) -> Begin {
        if place.epoch != self.epoch {
            return Begin::NotRun(NotRun::OtherEpoch);
        }
        if let Some(state) = self.claims.get(&claim) {
            return begin_repeated(state);
        }
        if claim <= self.floor {
            return Begin::Lost;
        }
        if place.incarnation != self.incarnation {
            self.close(claim, ClaimState::NotRun(NotRun::OtherIncarnation), now);
            return Begin::NotRun(NotRun::OtherIncarnation);
        }
        self.claims.insert(claim, ClaimState::Running);
        Begin::Run
    }

    /// Records how a running claim ended; any later conclusion is ignored.
    pub fn finish(&mut self, claim: ClaimId, end: Conclusion, now: Time) {
        if self.claims.get(&claim) != Some(&ClaimState::Running) {
            return;
        }
        let state = match end {
            Conclusion::Finished(outcome) => ClaimState::Finished(Arc::new(outcome.bounded())),
            Conclusion::Refused => ClaimState::NotRun(NotRun::Refused),
            Conclusion::Died => ClaimState::Died,
            Conclusion::Lost => ClaimState::Lost,
        };
        self.close(claim, state, now);
    }

    /// Returns the state of a claim; one that was never received is barred from running.
    pub fn inquire(&mut self, claim: ClaimId, place: &Place, now: Time) -> Finding {
        if place.epoch != self.epoch {
            return Finding::Lost;
        }
        if let Some(state) = self.claims.get(&claim) {
            return state.clone().into();
        }
        if claim <= self.floor {
            return Finding::Lost;
        }
        self.close(claim, ClaimState::NotRun(NotRun::Barred), now);
        Finding::NotRun(NotRun::Barred)
    }

    /// Records a crash of the upstream, which ends all running claims.
    ///
    /// Returns the claims that were running.
    pub fn upstream_crashed(&mut self, now: Time) -> Vec<ClaimId> {
        let running = self
            .claims
            .iter()
            .filter(|(_, state)| **state == ClaimState::Running);
        let running: Vec<ClaimId> = running.map(|(claim, _)| *claim).collect();
        for claim in &running {
            self.close(*claim, ClaimState::Died, now);
        }
        running
    }

    /// Sets the incarnation of the upstream that new claims must name.
    pub fn upstream_started(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    fn close(&mut self, claim: ClaimId, state: ClaimState, now: Time) {
        self.bytes += answer_bytes(&state);
        self.claims.insert(claim, state);
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
            if let Some(state) = self.claims.remove(&claim) {
                self.bytes -= answer_bytes(&state);
            }
            self.floor = self.floor.max(claim);
        }
    }
}

impl From<ClaimState> for Finding {
    fn from(state: ClaimState) -> Self {
        match state {
            ClaimState::Running => Self::Running,
            ClaimState::Finished(outcome) => Self::Finished(outcome),
            ClaimState::NotRun(reason) => Self::NotRun(reason),
            ClaimState::Died => Self::Died,
            ClaimState::Lost => Self::Lost,
        }
    }
}

fn begin_repeated(state: &ClaimState) -> Begin {
    match state {
        ClaimState::Running => Begin::Running,
        ClaimState::Finished(outcome) => Begin::Finished(Arc::clone(outcome)),
        ClaimState::NotRun(reason) => Begin::NotRun(*reason),
        ClaimState::Died | ClaimState::Lost => Begin::Lost,
    }
}

fn answer_bytes(state: &ClaimState) -> u64 {
    match state {
        ClaimState::Finished(outcome) => outcome.size(),
        _ => 0,
    }
}
