//! Replicated journal of claims, a deterministic state machine.
//!
//! Commands name a claim together with its key, so the journal needs no index
//! from claims to keys. Applying a command again returns the first reply or the
//! state reached since.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{ClaimId, Fingerprint, IdempotencyKey, Time, UpstreamName, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::window::{KeyState, Phase, Record, Window};
use crate::{
    Claim, ClaimRef, Crash, Limits, MAX_KEY_BYTES, Outcome, Place, Suspicion, Ticket, Verdict,
    Witness,
};

/// Retry delay of a suspected content while a claim of the same content runs.
const DUPLICATE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Interval between two sweeps of expired entries.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Command to the journal, replicated before it is applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Requests a claim, or the state of its key if that is not open.
    Claim(Claim),
    /// Returns the state of a key without making a claim.
    Look {
        /// Workspace that the key belongs to.
        workspace: WorkspaceName,
        /// Idempotency key of the request.
        key: IdempotencyKey,
        /// Digest of the request content.
        fingerprint: Fingerprint,
    },
    /// Releases a claim that provably did not run and never will.
    Release(ClaimRef),
    /// Records the answer of a claim that ran to completion.
    Settle {
        /// Claim that ran.
        held: ClaimRef,
        /// Answer in the form to record.
        outcome: Arc<Outcome>,
    },
    /// Records that it is unknown whether a claim ran.
    Lose {
        /// Claim with the unknown outcome.
        held: ClaimRef,
        /// Whether the agent observed the upstream crash while it ran the claim.
        crashed: bool,
    },
    /// Reports the crash of an upstream.
    Crash(Crash),
    /// Requests admission of an idempotent request with a suspected content.
    Trial {
        /// Digest of the request content.
        content: Fingerprint,
        /// Identifies the attempt that requests admission.
        ticket: Ticket,
        /// Upstream on which the attempt would run.
        upstream: UpstreamName,
        /// Maximum run time of the attempt.
        allowed: Duration,
    },
    /// Ends the trial of an idempotent request that did not crash its upstream.
    EndTrial {
        /// Digest of the request content.
        content: Fingerprint,
        /// Identifies the attempt.
        ticket: Ticket,
        /// Whether the attempt ran to completion, which clears the content.
        finished: bool,
    },
    /// Removes expired entries, which other commands do at most once a second.
    Expire,
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The command was applied and returns no value.
    Done,
    /// The claim may run once, in the place that it names.
    Granted(ClaimId),
    /// The key has no claim, and no request with this key has run.
    Open,
    /// The claim was released earlier, and the key has a newer claim.
    Superseded,
    /// The key's request ran to completion.
    Recorded(Arc<Outcome>),
    /// The key's request has a claim that is not closed.
    Running {
        /// Open claim of the key.
        claim: ClaimId,
        /// When it was granted.
        since: Time,
        /// Where the claim may run.
        place: Place,
    },
    /// It is unknown whether the key's request ran.
    Unknown,
    /// The key's request ran to completion; its answer is no longer stored.
    Spent,
    /// The key was used for a request with other content.
    Mismatch,
    /// A limit on workspaces, keys or claims is reached; nothing ran.
    Full,
    /// Decision on a suspected content.
    Verdict(Verdict),
}

/// Claims and outcomes of non-idempotent requests, identical on every replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Journal {
    limits: Limits,
    /// Number of the last granted claim.
    last: ClaimId,
    /// Time of the last removal of expired entries.
    swept: Time,
    windows: BTreeMap<WorkspaceName, Window>,
    suspicion: Suspicion,
}

impl Journal {
    /// Returns an empty journal with the given limits.
    pub fn with_limits(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies one committed command; `at` must not decrease between calls.
    pub fn apply(&mut self, command: &Command, at: Time) -> Reply {
        if at.since(self.swept) >= SWEEP_INTERVAL {
            self.expire(at);
        }
        match command {
            Command::Claim(claim) => self.claim(claim, at),
            Command::Look {
                workspace,
                key,
                fingerprint,
            } => self.look_up(workspace, key, *fingerprint),
            Command::Release(held) => self.release(held),
            Command::Settle { held, outcome } => self.settle(held, outcome, at),
            Command::Lose { held, crashed } => self.lose(held, *crashed, at),
            Command::Crash(crash) => {
                self.suspicion.report(crash, at);
                Reply::Done
            }
            Command::Trial {
                content,
                ticket,
                upstream,
                allowed,
            } => Reply::Verdict(self.admit(*content, *ticket, upstream, *allowed, at)),
            Command::EndTrial {
                content,
                ticket,
                finished,
            } => {
                self.suspicion.end_trial(*content, *ticket, *finished);
                Reply::Done
            }
            Command::Expire => self.expire(at),
        }
    }

    /// Returns the suspected contents, which entries copy.
    pub fn suspicion(&self) -> &Suspicion {
        &self.suspicion
    }

    /// Returns the number of keys stored for all workspaces, tombstones included.
    pub fn len(&self) -> usize {
        self.windows.values().map(Window::len).sum()
    }

    /// Returns whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }

    fn claim(&mut self, claim: &Claim, at: Time) -> Reply {
        if let Some(granted) = self.granted_claim(claim) {
            return Reply::Granted(granted);
        }
        match self.look_up(&claim.workspace, &claim.key, claim.fingerprint) {
            Reply::Open => self.grant(claim, at),
            reply => reply,
        }
    }

    /// Returns the running claim granted to an earlier copy of this proposal.
    fn granted_claim(&self, claim: &Claim) -> Option<ClaimId> {
        match self.windows.get(&claim.workspace)?.get(&claim.key) {
            KeyState::Record(r) if r.phase == Phase::Running && r.ticket == claim.ticket => {
                Some(r.claim)
            }
            _ => None,
        }
    }

    fn grant(&mut self, claim: &Claim, at: Time) -> Reply {
        if !self.has_room(claim, at) {
            return Reply::Full;
        }
        let (content, ticket) = (claim.fingerprint, claim.ticket);
        let upstream = &claim.place.upstream;
        let verdict = self.admit(content, ticket, upstream, claim.allowed, at);
        if !matches!(verdict, Verdict::Free | Verdict::Apart) {
            return Reply::Verdict(verdict);
        }
        self.last = self.last.next();
        let record = self.record(claim, at);
        let window = self.windows.entry(claim.workspace.clone()).or_default();
        window.open(claim.key.clone(), record);
        Reply::Granted(self.last)
    }

    /// Admits a content; a suspected one waits for running claims of the same content.
    fn admit(
        &mut self,
        content: Fingerprint,
        ticket: Ticket,
        upstream: &UpstreamName,
        allowed: Duration,
        at: Time,
    ) -> Verdict {
        let verdict = self.suspicion.verdict(content, ticket, upstream, at);
        if verdict == Verdict::Apart
            && self
                .windows
                .values()
                .any(|w| w.has_running(content, ticket))
        {
            return Verdict::Wait(DUPLICATE_RETRY_DELAY);
        }
        self.suspicion.admit(content, ticket, upstream, allowed, at)
    }

    fn record(&self, claim: &Claim, at: Time) -> Record {
        Record {
            claim: self.last,
            ticket: claim.ticket,
            fingerprint: claim.fingerprint,
            place: claim.place.clone(),
            since: at,
            until: at + claim.allowed,
            generated: claim.generated,
            phase: Phase::Running,
        }
    }

    fn has_room(&mut self, claim: &Claim, at: Time) -> bool {
        if claim.key.len() > MAX_KEY_BYTES {
            return false;
        }
        let room = self.windows.len() < self.limits.workspaces;
        match self.windows.get_mut(&claim.workspace) {
            Some(window) => window.make_room(&self.limits, at),
            None => room,
        }
    }

    fn look_up(
        &self,
        workspace: &WorkspaceName,
        key: &IdempotencyKey,
        content: Fingerprint,
    ) -> Reply {
        let Some(window) = self.windows.get(workspace) else {
            return Reply::Open;
        };
        match window.get(key) {
            KeyState::Absent => Reply::Open,
            KeyState::Record(r) if r.fingerprint != content => Reply::Mismatch,
            KeyState::Record(r) => reply_from(r),
            KeyState::Tombstone(t) if !t.matches(content) => Reply::Mismatch,
            KeyState::Tombstone(t) if t.finished => Reply::Spent,
            KeyState::Tombstone(_) => Reply::Unknown,
        }
    }

    /// Returns the record of a claim, or the state of its key if it has none.
    fn find(&self, held: &ClaimRef) -> Result<Record, Reply> {
        let Some(window) = self.windows.get(&held.workspace) else {
            return Err(Reply::Open);
        };
        match window.get(&held.key) {
            KeyState::Absent => Err(Reply::Open),
            KeyState::Record(r) if r.claim != held.claim => Err(Reply::Superseded),
            KeyState::Record(r) => Ok(r.clone()),
            KeyState::Tombstone(t) if t.finished => Err(Reply::Spent),
            KeyState::Tombstone(_) => Err(Reply::Unknown),
        }
    }

    fn release(&mut self, held: &ClaimRef) -> Reply {
        let record = match self.find(held) {
            Ok(record) => record,
            Err(reply) => return reply,
        };
        if record.phase != Phase::Running {
            return reply_from(&record);
        }
        self.suspicion
            .end_trial(record.fingerprint, record.ticket, false);
        if let Some(window) = self.windows.get_mut(&held.workspace) {
            window.release(&held.key);
        }
        Reply::Open
    }

    fn settle(&mut self, held: &ClaimRef, outcome: &Arc<Outcome>, at: Time) -> Reply {
        let record = match self.find(held) {
            Ok(record) => record,
            Err(reply) => return reply,
        };
        if let Phase::Finished(recorded) = record.phase {
            return Reply::Recorded(recorded);
        }
        self.suspicion.clear(record.fingerprint);
        self.close(held, Phase::Finished(Arc::clone(outcome)), at);
        Reply::Done
    }

    fn lose(&mut self, held: &ClaimRef, crashed: bool, at: Time) -> Reply {
        let record = match self.find(held) {
            Ok(record) => record,
            Err(reply) => return reply,
        };
        if record.phase != Phase::Running {
            return reply_from(&record);
        }
        if crashed {
            self.report_crash(&record, at);
        }
        self.close(held, Phase::Unknown, at);
        Reply::Unknown
    }

    fn report_crash(&mut self, record: &Record, at: Time) {
        let crash = Crash {
            upstream: record.place.upstream.clone(),
            incarnation: record.place.incarnation,
            zone: None,
            witness: Witness::Agent,
            suspects: vec![record.fingerprint],
        };
        self.suspicion.report(&crash, at);
    }

    fn close(&mut self, held: &ClaimRef, phase: Phase, at: Time) {
        if let Some(window) = self.windows.get_mut(&held.workspace) {
            window.close(&held.key, phase, &self.limits, at);
        }
    }

    fn expire(&mut self, at: Time) -> Reply {
        self.swept = at;
        self.suspicion.expire(at);
        for window in self.windows.values_mut() {
            window.expire(&self.limits, at);
        }
        self.windows.retain(|_, w| !w.is_empty());
        Reply::Done
    }
}

fn reply_from(record: &Record) -> Reply {
    match &record.phase {
        Phase::Running => Reply::Running {
            claim: record.claim,
            since: record.since,
            place: record.place.clone(),
        },
        Phase::Finished(outcome) => Reply::Recorded(Arc::clone(outcome)),
        Phase::Unknown => Reply::Unknown,
    }
}
