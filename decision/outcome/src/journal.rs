//! Replicated journal of claims: one state machine, equal on every replica.
//!
//! Commands name a claim together with its key, so that the journal needs no
//! index from claims to keys. Applying a command twice gives the answer of the
//! first time or the state that has been reached since.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pimentotide_model::{ClaimId, Fingerprint, IdempotencyKey, Time, UpstreamName, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::window::{Held, Phase, Record, Window};
use crate::{
    Claim, ClaimRef, Crash, Limits, MAX_KEY_BYTES, Outcome, Place, Suspicion, Ticket, Verdict,
    Witness,
};

/// Pause of a suspected content while a claim of the same content runs.
const TWIN_PAUSE: Duration = Duration::from_secs(1);

/// Time between two sweeps of what is past its window.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Change to the journal of claims, replicated before it takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Asks for the right to run a request, or for what its key stands for.
    Claim(Claim),
    /// Asks what a key stands for, and claims nothing.
    Look {
        /// Workspace of the key.
        workspace: WorkspaceName,
        /// Key of the request.
        key: IdempotencyKey,
        /// Digest of the content.
        fingerprint: Fingerprint,
    },
    /// Gives back a claim that is proved not to have run and never to run.
    Release(ClaimRef),
    /// Records the answer of a claim that ran to its end.
    Settle {
        /// Claim that ran.
        held: ClaimRef,
        /// Its answer, bounded.
        outcome: Arc<Outcome>,
    },
    /// Records that nobody can tell whether a claim ran.
    Lose {
        /// Claim that is lost.
        held: ClaimRef,
        /// Whether the agent saw the upstream die while it ran the claim.
        crashed: bool,
    },
    /// Reports the death of an upstream.
    Crash(Crash),
    /// Asks whether an idempotent request under suspicion may run.
    Trial {
        /// Digest of the content.
        content: Fingerprint,
        /// Identifies the asking attempt.
        ticket: Ticket,
        /// Upstream on which it would run.
        upstream: UpstreamName,
        /// Time that the attempt may take.
        allowed: Duration,
    },
    /// Ends the trial of an idempotent request that did not crash.
    EndTrial {
        /// Digest of the content.
        content: Fingerprint,
        /// Identifies the attempt.
        ticket: Ticket,
        /// Whether it ran to its end, which clears the content.
        finished: bool,
    },
    /// Drops what is past its window; other commands do so once a second.
    Expire,
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// Nothing to tell.
    Done,
    /// The claim may run once, in its place.
    Granted(ClaimId),
    /// The key has no claim, and no request with it has run.
    Open,
    /// The claim was released before, and the key was claimed anew since.
    Superseded,
    /// The key's request ran to its end.
    Recorded(Arc<Outcome>),
    /// The key's request has a claim that is not closed.
    Running {
        /// Its claim.
        claim: ClaimId,
        /// When it was granted.
        since: Time,
        /// Where it may run.
        place: Place,
    },
    /// Nobody can tell whether the key's request ran.
    Unknown,
    /// The key's request ran to its end; its answer is no longer kept.
    Spent,
    /// The key belongs to a request with other content.
    Mismatch,
    /// The workspace has no room for another key; nothing ran.
    Full,
    /// How a content under suspicion may run.
    Verdict(Verdict),
}

/// Claims and outcomes of non-idempotent requests, equal on every replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Journal {
    limits: Limits,
    last: ClaimId,
    swept: Time,
    windows: BTreeMap<WorkspaceName, Window>,
    suspicion: Suspicion,
}

impl Journal {
    /// Builds an empty journal with other bounds.
    pub fn with_limits(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies one committed command; `at` never goes back.
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
            } => self.look(workspace, key, *fingerprint),
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

    /// Returns the contents under suspicion, for entries to keep a copy.
    pub fn suspicion(&self) -> &Suspicion {
        &self.suspicion
    }

    /// Keys remembered in all workspaces.
    pub fn len(&self) -> usize {
        self.windows.values().map(Window::len).sum()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }

    fn claim(&mut self, claim: &Claim, at: Time) -> Reply {
        if let Some(granted) = self.own_claim(claim) {
            return Reply::Granted(granted);
        }
        match self.look(&claim.workspace, &claim.key, claim.fingerprint) {
            Reply::Open => self.grant(claim, at),
            held => held,
        }
    }

    /// Finds the running claim that an earlier copy of this proposal made.
    fn own_claim(&self, claim: &Claim) -> Option<ClaimId> {
        match self.windows.get(&claim.workspace)?.get(&claim.key) {
            Held::Record(r) if r.phase == Phase::Running && r.ticket == claim.ticket => {
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

    /// Admits a content; a suspect waits for running claims of the same content.
    fn admit(
        &mut self,
        content: Fingerprint,
        ticket: Ticket,
        upstream: &UpstreamName,
        allowed: Duration,
        at: Time,
    ) -> Verdict {
        let verdict = self.suspicion.verdict(content, ticket, upstream, at);
        if verdict == Verdict::Apart && self.windows.values().any(|w| w.runs(content, ticket)) {
            return Verdict::Wait(TWIN_PAUSE);
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

    fn look(&self, workspace: &WorkspaceName, key: &IdempotencyKey, content: Fingerprint) -> Reply {
        let Some(window) = self.windows.get(workspace) else {
            return Reply::Open;
        };
        match window.get(key) {
            Held::Nothing => Reply::Open,
            Held::Record(r) if r.fingerprint != content => Reply::Mismatch,
            Held::Record(r) => describe(r),
            Held::Tombstone(t) if !t.matches(content) => Reply::Mismatch,
            Held::Tombstone(t) if t.finished => Reply::Spent,
            Held::Tombstone(_) => Reply::Unknown,
        }
    }

    /// Finds the record of a claim, or says what its key stands for instead.
    fn find(&self, held: &ClaimRef) -> Result<Record, Reply> {
        let Some(window) = self.windows.get(&held.workspace) else {
            return Err(Reply::Open);
        };
        match window.get(&held.key) {
            Held::Nothing => Err(Reply::Open),
            Held::Record(r) if r.claim != held.claim => Err(Reply::Superseded),
            Held::Record(r) => Ok(r.clone()),
            Held::Tombstone(t) if t.finished => Err(Reply::Spent),
            Held::Tombstone(_) => Err(Reply::Unknown),
        }
    }

    fn release(&mut self, held: &ClaimRef) -> Reply {
        let record = match self.find(held) {
            Ok(record) => record,
            Err(reply) => return reply,
        };
        if record.phase != Phase::Running {
            return describe(&record);
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
            return describe(&record);
        }
        if crashed {
            self.strike(&record, at);
        }
        self.close(held, Phase::Unknown, at);
        Reply::Unknown
    }

    fn strike(&mut self, record: &Record, at: Time) {
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

fn describe(record: &Record) -> Reply {
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
