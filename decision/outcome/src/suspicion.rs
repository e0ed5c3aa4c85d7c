//! Identifies by content the requests that crash upstreams.
//!
//! A crash that the agent survives makes every running request a suspect. A
//! suspect waits until all entries have received the report, then runs on an
//! upstream with no other suspect. In this trial a second crash identifies it,
//! and a success clears it. [`CrashHistory`] says which crashes count.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pimentotide_model::{Fingerprint, Time, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::{Crash, CrashHistory, Ticket};

/// Number of crashes after which a content is refused.
const MAX_STRIKES: usize = 2;
/// Time from a crash to the first retry of the suspects, for all entries to
/// receive the report.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry delay of a suspect while another copy of its content runs.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Duration of a refusal, counted from the last crash.
const REFUSAL_DURATION: Duration = Duration::from_secs(600);
/// Maximum number of refused contents; the oldest refusal is evicted first.
const MAX_REFUSED_CONTENTS: usize = 1_024;

/// Decision on whether and where a content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// May run without restrictions.
    Free,
    /// May run on the requested upstream, as its only suspect.
    Apart,
    /// May not run on this upstream now, which runs another suspect.
    Occupied,
    /// May run after this time.
    Wait(Duration),
    /// Refused for this time.
    Refused(Duration),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Trial {
    ticket: Ticket,
    upstream: UpstreamName,
    until: Time,
}

/// Suspected contents, identical on every replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Suspicion {
    history: CrashHistory,
    trials: BTreeMap<Fingerprint, Trial>,
    refused: BTreeMap<Fingerprint, Time>,
}

impl Suspicion {
    /// Returns whether no content is suspected or refused.
    pub fn is_empty(&self) -> bool {
        self.history.is_empty() && self.refused.is_empty()
    }

    /// Records a crash; reports of the same crash are merged.
    pub fn report(&mut self, crash: &Crash, at: Time) {
        self.expire(at);
        if self.history.report(crash, at) {
            self.withdraw_refusals();
        }
        for suspect in &crash.suspects {
            self.trials.remove(suspect);
            self.refuse_if_due(*suspect, at);
        }
        self.evict_refusals();
    }

    /// Decides whether a content may run on `upstream`, and reserves a trial
    /// there for a suspect.
    ///
    /// The trial of `ticket` ends after `allowed`, or with a crash, a success or
    /// [`Suspicion::end_trial`].
    pub fn admit(
        &mut self,
        content: Fingerprint,
        ticket: Ticket,
        upstream: &UpstreamName,
        allowed: Duration,
        at: Time,
    ) -> Verdict {
        let verdict = self.verdict(content, ticket, upstream, at);
        if verdict == Verdict::Apart {
            let trial = Trial {
                ticket,
                upstream: upstream.clone(),
                until: at + allowed,
            };
            self.trials.insert(content, trial);
        }
        verdict
    }

    /// Returns the verdict on a content that `ticket` requests to run on `upstream`.
    pub fn verdict(
        &self,
        content: Fingerprint,
        ticket: Ticket,
        upstream: &UpstreamName,
        at: Time,
    ) -> Verdict {
        if let Some(until) = self.refused.get(&content)
            && at < *until
        {
            return Verdict::Refused(until.since(at));
        }
        let Some(last) = self.history.strikes(content).map(|s| s.last) else {
            return Verdict::Free;
        };
        if at < last + RETRY_DELAY {
            return Verdict::Wait((last + RETRY_DELAY).since(at));
        }
        self.isolate(content, ticket, upstream, at)
    }

    /// Returns the upstreams that run a suspect.
    pub fn occupied(&self, at: Time) -> BTreeSet<UpstreamName> {
        let active = self.trials.values().filter(|t| at < t.until);
        active.map(|t| t.upstream.clone()).collect()
    }

    /// Ends the trial of `ticket`, if it holds one.
    ///
    /// A request that ran to completion (`finished`) clears its content.
    pub fn end_trial(&mut self, content: Fingerprint, ticket: Ticket, finished: bool) {
        if self.trials.get(&content).is_none_or(|t| t.ticket != ticket) {
            return;
        }
        self.trials.remove(&content);
        if finished {
            self.clear(content);
        }
    }

    /// Clears a content that ran to completion, unless it is refused.
    pub fn clear(&mut self, content: Fingerprint) {
        if self.is_empty() || self.refused.contains_key(&content) {
            return;
        }
        self.trials.remove(&content);
        self.history.clear(content);
    }

    /// Removes expired crashes, trials and refusals.
    pub fn expire(&mut self, at: Time) {
        self.history.expire(at);
        self.trials.retain(|_, t| at < t.until);
        self.refused.retain(|_, until| at < *until);
    }

    /// Returns the suspected and refused contents.
    pub fn contents(&self) -> BTreeSet<Fingerprint> {
        let suspects = self.history.all_strikes().into_keys();
        suspects.chain(self.refused.keys().copied()).collect()
    }

    fn isolate(
        &self,
        content: Fingerprint,
        ticket: Ticket,
        upstream: &UpstreamName,
        at: Time,
    ) -> Verdict {
        if let Some(trial) = self.trials.get(&content)
            && trial.ticket != ticket
            && at < trial.until
        {
            return Verdict::Wait(trial.until.since(at).min(TRIAL_RETRY_DELAY));
        }
        let mut others = self.trials.iter().filter(|(c, _)| **c != content);
        if others.any(|(_, t)| t.upstream == *upstream && at < t.until) {
            return Verdict::Occupied;
        }
        Verdict::Apart
    }

    /// Withdraws refusals for which too few crashes remain.
    fn withdraw_refusals(&mut self) {
        for content in self.history.excused() {
            if self.strikes(content) < MAX_STRIKES {
                self.refused.remove(&content);
            }
        }
    }

    fn strikes(&self, content: Fingerprint) -> usize {
        self.history.strikes(content).map_or(0, |s| s.count)
    }

    fn refuse_if_due(&mut self, content: Fingerprint, at: Time) {
        if self.strikes(content) >= MAX_STRIKES {
            self.refused.insert(content, at + REFUSAL_DURATION);
        }
    }

    fn evict_refusals(&mut self) {
        while self.refused.len() > MAX_REFUSED_CONTENTS {
            let oldest = self.refused.iter().min_by_key(|(_, t)| **t);
            let oldest = oldest.map(|(content, _)| *content);
            self.refused.retain(|c, _| Some(*c) != oldest);
        }
    }
}
